package settings

import (
	"github.com/go-playground/validator/v10"

	"github.com/briarturn/briarturn/config"
)

// Entry is the settings of an entry.
type Entry struct {
	// RoutingPolicy is used for pools that name none; empty means the default
	// of package routing.
	RoutingPolicy string   `json:"routing_policy" validate:"omitempty,name"`
	Limits        Limits   `json:"limits"`
	Timeouts      Timeouts `json:"timeouts"`
	// RetryBudget is retries per first attempt, for workspaces without policy.
	RetryBudget float64 `json:"retry_budget" validate:"gte=0,lte=1"`
	// Seeds are RPC addresses of other entries, IP:PORT, to ask while the
	// object API is down.
	Seeds  []string `json:"seeds" validate:"dive,addrport" distinct:"."`
	Outage Outage   `json:"outage"`
}

// Limits bounds what an entry takes on.
type Limits struct {
	MaxBodyBytes   int64 `json:"body_bytes" validate:"min=1024,max=33554432"` // agents take no more
	MaxHeaderBytes int   `json:"header_bytes" validate:"min=1024,max=1048576"`
	MaxRunning     int   `json:"running" validate:"min=1,max=1000000"` // requests at a time
	MaxQueued      int   `json:"queued" validate:"min=0,max=1000000"`  // requests that wait
	// Tokens of one request: MaxTokens of output may be asked for, and
	// DefaultMaxTokens are given where the caller asks for none.
	MaxPromptTokens  int64 `json:"prompt_tokens" validate:"min=1,max=100000000"`
	DefaultMaxTokens int64 `json:"default_max_tokens" validate:"min=1,max=10000000"`
	MaxTokens        int64 `json:"max_tokens" validate:"min=1,max=10000000"`
	// TokensPerGroupMember: see TokensPerGroupMember of entry.Limits; -1 keeps groups as small as fit.
	TokensPerGroupMember int64 `json:"spread_tokens" validate:"min=-1,max=100000000,ne=0"`
}

// Timeouts of an entry.
type Timeouts struct {
	Request    config.Duration `json:"request" validate:"min=1ms,max=24h"`     // where caller and policy give none
	MaxRequest config.Duration `json:"request_max" validate:"min=1ms,max=24h"` // the most that a caller may ask for
	ReadHeader config.Duration `json:"read_header" validate:"min=1ms,max=1h"`
	ReadBody   config.Duration `json:"read_body" validate:"min=1ms,max=1h"`
	WriteStall config.Duration `json:"write_stall" validate:"min=1ms,max=1h"` // a caller that doesn't read
	Idle       config.Duration `json:"idle" validate:"min=1ms,max=1h"`        // between two requests of a connection
	Drain      config.Duration `json:"drain" validate:"min=1s,max=24h"`       // for work in progress at SIGTERM
}

// Outage says when an entry that starts empty while the object API is down may
// become ready; see declared.Freshness.
type Outage struct {
	UnconfirmedPeers int             `json:"unconfirmed_peers" validate:"min=0,max=64"` // 0: never
	UnconfirmedAfter config.Duration `json:"unconfirmed_after" validate:"min=1s,max=24h"`
}

func init() {
	config.RegisterStructValidation(func(sl validator.StructLevel) {
		if l := sl.Current().Interface().(Limits); l.DefaultMaxTokens > l.MaxTokens {
			config.ReportError(sl, l.DefaultMaxTokens, "default_max_tokens", "DefaultMaxTokens", "must be at most max_tokens")
		}
	}, Limits{})
	config.RegisterStructValidation(func(sl validator.StructLevel) {
		if t := sl.Current().Interface().(Timeouts); t.Request > t.MaxRequest {
			config.ReportError(sl, t.Request, "request", "Request", "must be at most request_max")
		}
	}, Timeouts{})
}
