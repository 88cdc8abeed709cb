package settings

import (
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/placement"
)

// Defaults of all roles.
const (
	DefaultLogLevel        = "info"
	DefaultLogFormat       = "json"
	DefaultCallTimeout     = objectapi.DefaultCallTimeout
	DefaultReadsPerSecond  = objectapi.DefaultReadsPerSecond
	DefaultWritesPerSecond = objectapi.DefaultWritesPerSecond
)

// Defaults of an entry.
const (
	// DefaultBodyBytes takes a million tokens of four bytes, four times over.
	DefaultBodyBytes        = 16 << 20
	DefaultHeaderBytes      = 64 << 10
	DefaultPromptTokens     = 1_200_000
	DefaultOutputTokens     = 256
	DefaultMaxTokens        = 32 << 10
	DefaultSpreadTokens     = 128_000
	DefaultRunning          = 4000
	DefaultQueued           = 4000
	DefaultRequestTimeout   = 2 * time.Minute
	DefaultRequestMax       = 30 * time.Minute
	DefaultReadHeader       = 5 * time.Second
	DefaultReadBody         = time.Minute
	DefaultWriteStall       = 30 * time.Second
	DefaultIdle             = 90 * time.Second
	DefaultEntryDrain       = 30 * time.Minute
	DefaultRetryBudget      = 0.1
	DefaultUnconfirmedPeers = 0
	DefaultUnconfirmedAfter = time.Minute
)

// Defaults of an agent.
const (
	DefaultRole        = backend.RoleMixed
	DefaultConcurrency = 256
	DefaultAgentDrain  = 30 * time.Minute
)

// Defaults of a gateway.
const (
	DefaultGatewayGrace = 8 * time.Second
	DefaultRetryRatio   = 0.2
	DefaultRetrySlack   = 100
	DefaultRetryWindow  = 10 * time.Second
	// DefaultRoutineLines is over four times the requests of a gateway, 11 a second;
	// at 400 bytes a line it bounds them to 20 kB/s.
	DefaultRoutineLines = 50
	// A caller's connection: the limits are over what operators allow callers, so that
	// no proper caller is cut.
	DefaultGatewayHeader        = 64 << 10
	DefaultGatewayHeaderTimeout = 10 * time.Second
	DefaultGatewayIdle          = 2 * time.Minute
)

func withDefaults(role Role) *Settings {
	s := &Settings{
		Platform: Store{
			CallTimeout:     config.Duration(DefaultCallTimeout),
			ReadsPerSecond:  DefaultReadsPerSecond,
			WritesPerSecond: DefaultWritesPerSecond,
		},
		Log: Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
	}
	switch role {
	case RoleEntry:
		s.Entry = defaultEntry()
	case RoleGateway:
		s.Gateway = defaultGateway()
	case RoleAgent:
		s.Agent = &Agent{Role: DefaultRole, Concurrency: DefaultConcurrency, Drain: config.Duration(DefaultAgentDrain)}
	}
	return s
}

func defaultEntry() *Entry {
	return &Entry{
		Limits: Limits{
			BodyBytes: DefaultBodyBytes, HeaderBytes: DefaultHeaderBytes,
			Running: DefaultRunning, Queued: DefaultQueued,
			PromptTokens: DefaultPromptTokens, DefaultMaxTokens: DefaultOutputTokens,
			MaxTokens: DefaultMaxTokens, SpreadTokens: DefaultSpreadTokens,
		},
		Timeouts: Timeouts{
			Request:    config.Duration(DefaultRequestTimeout),
			RequestMax: config.Duration(DefaultRequestMax),
			ReadHeader: config.Duration(DefaultReadHeader),
			ReadBody:   config.Duration(DefaultReadBody),
			WriteStall: config.Duration(DefaultWriteStall),
			Idle:       config.Duration(DefaultIdle),
			Drain:      config.Duration(DefaultEntryDrain),
		},
		RetryBudget: DefaultRetryBudget,
		Outage: Outage{
			UnconfirmedPeers: DefaultUnconfirmedPeers,
			UnconfirmedAfter: config.Duration(DefaultUnconfirmedAfter),
		},
	}
}

func defaultGateway() *Gateway {
	return &Gateway{
		Grace:        config.Duration(DefaultGatewayGrace),
		RetryRatio:   DefaultRetryRatio,
		RetrySlack:   DefaultRetrySlack,
		RetryWindow:  config.Duration(DefaultRetryWindow),
		RoutineLines: DefaultRoutineLines,
		Placement:    string(placement.LeastLoss),
		Limits: GatewayLimits{
			KeyAge:             config.Duration(gateway.DefaultKeyAge),
			BodiesBytes:        gateway.DefaultBodiesBytes,
			BodyTimeout:        config.Duration(gateway.DefaultBodyTimeout),
			WriteSlack:         config.Duration(gateway.DefaultWriteSlack),
			HeaderBytes:        DefaultGatewayHeader,
			HeaderTimeout:      config.Duration(DefaultGatewayHeaderTimeout),
			IdleTimeout:        config.Duration(DefaultGatewayIdle),
			RetryAfter:         config.Duration(gateway.DefaultRetryAfter),
			StaleRetryAfter:    config.Duration(gateway.DefaultStaleRetryAfter),
			PoisonRetryAfter:   config.Duration(gateway.DefaultPoisonRetryAfter),
			DeclaredRetryAfter: config.Duration(gateway.DefaultDeclaredRetryAfter),
			ConnectTries:       gateway.DefaultConnectTries,
			MemoryWait:         config.Duration(gateway.DefaultMemoryWait),
		},
	}
}
