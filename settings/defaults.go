package settings

import (
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
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
	// DefaultMaxBodyBytes is four times the size of a million tokens of four
	// bytes each.
	DefaultMaxBodyBytes         = 16 << 20
	DefaultMaxHeaderBytes       = 64 << 10
	DefaultMaxPromptTokens      = 1_200_000
	DefaultOutputTokens         = 256
	DefaultMaxTokens            = 32 << 10
	DefaultTokensPerGroupMember = 128_000
	DefaultMaxRunning           = 4000
	DefaultMaxQueued            = 4000
	DefaultRequestTimeout       = 2 * time.Minute
	DefaultMaxRequestTimeout    = 30 * time.Minute
	DefaultReadHeaderTimeout    = 5 * time.Second
	DefaultReadBodyTimeout      = time.Minute
	DefaultWriteStallTimeout    = 30 * time.Second
	DefaultIdleTimeout          = 90 * time.Second
	DefaultEntryDrain           = 30 * time.Minute
	DefaultRetryBudget          = 0.1
	DefaultUnconfirmedPeers     = 0
	DefaultUnconfirmedAfter     = time.Minute
)

// Defaults of an agent.
const (
	DefaultAgentRole   = backend.RoleMixed
	DefaultConcurrency = 256
	DefaultAgentDrain  = 30 * time.Minute
)

// Defaults of a gateway.
const (
	DefaultGatewayGrace = 8 * time.Second
	DefaultRetryRatio   = 0.2
	DefaultRetrySlack   = 100
	DefaultRetryWindow  = 10 * time.Second
	DefaultConfigWithin = gateway.DefaultRefusalAge
	DefaultDrainWithin  = 2 * time.Second
	// DefaultRoutineLines is more than four times the request rate of a gateway,
	// 11 requests/s. At 400 bytes a line it limits these lines to 20 kB/s.
	DefaultRoutineLines = 50
	// Limits of a caller's connection. They are higher than what operators allow
	// callers, so that no caller within these limits is disconnected.
	DefaultGatewayHeaderBytes   = 64 << 10
	DefaultGatewayHeaderTimeout = 10 * time.Second
	DefaultGatewayIdleTimeout   = 2 * time.Minute
)

func withDefaults(role Role) *Settings {
	s := &Settings{
		Platform: ObjectAPI{
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
		s.Agent = &Agent{Role: DefaultAgentRole, Concurrency: DefaultConcurrency, Drain: config.Duration(DefaultAgentDrain)}
	}
	return s
}

func defaultEntry() *Entry {
	return &Entry{
		Limits: Limits{
			MaxBodyBytes: DefaultMaxBodyBytes, MaxHeaderBytes: DefaultMaxHeaderBytes,
			MaxRunning: DefaultMaxRunning, MaxQueued: DefaultMaxQueued,
			MaxPromptTokens: DefaultMaxPromptTokens, DefaultMaxTokens: DefaultOutputTokens,
			MaxTokens: DefaultMaxTokens, TokensPerGroupMember: DefaultTokensPerGroupMember,
		},
		Timeouts: Timeouts{
			Request:    config.Duration(DefaultRequestTimeout),
			MaxRequest: config.Duration(DefaultMaxRequestTimeout),
			ReadHeader: config.Duration(DefaultReadHeaderTimeout),
			ReadBody:   config.Duration(DefaultReadBodyTimeout),
			WriteStall: config.Duration(DefaultWriteStallTimeout),
			Idle:       config.Duration(DefaultIdleTimeout),
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
		ConfigWithin: config.Duration(DefaultConfigWithin),
		DrainWithin:  config.Duration(DefaultDrainWithin),
		RoutineLines: DefaultRoutineLines,
		Placement:    string(placement.LeastLoss),
		Contention: Contention{
			Queue:          string(routetable.SwitchOn),
			LostServers:    string(routetable.SwitchOn),
			SilentAttempts: string(routetable.SwitchOn),
		},
		Limits: GatewayLimits{
			KeyAge:             config.Duration(gateway.DefaultKeyAge),
			BodiesBytes:        gateway.DefaultBodiesBytes,
			BodyTimeout:        config.Duration(gateway.DefaultBodyTimeout),
			WriteSlack:         config.Duration(gateway.DefaultWriteSlack),
			HeaderBytes:        DefaultGatewayHeaderBytes,
			HeaderTimeout:      config.Duration(DefaultGatewayHeaderTimeout),
			IdleTimeout:        config.Duration(DefaultGatewayIdleTimeout),
			RetryAfter:         config.Duration(gateway.DefaultRetryAfter),
			StaleRetryAfter:    config.Duration(gateway.DefaultStaleRetryAfter),
			PoisonRetryAfter:   config.Duration(gateway.DefaultPoisonRetryAfter),
			DeclaredRetryAfter: config.Duration(gateway.DefaultDeclaredRetryAfter),
			ConnectTries:       gateway.DefaultConnectTries,
		},
	}
}
