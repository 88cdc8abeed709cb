package settings

import (
	"github.com/go-playground/validator/v10"

	"github.com/briarturn/briarturn/config"
)

// Entry holds the settings of an entry.
type Entry struct {
	// RoutingPolicy is used for pools that set none. Empty means the default of
	// package routing.
	RoutingPolicy string   `json:"routing_policy" validate:"omitempty,name"`
	Limits        Limits   `json:"limits"`
	Timeouts      Timeouts `json:"timeouts"`
	// RetryBudget is the number of retries allowed per first attempt, for workspaces
	// without a policy.
	RetryBudget float64 `json:"retry_budget" validate:"gte=0,lte=1"`
	// Seeds are the RPC addresses of other entries, IP:PORT, which the entry
	// queries while the object API is down.
	Seeds  []string `json:"seeds" validate:"dive,addrport" distinct:"."`
	Outage Outage   `json:"outage"`
}

// Limits holds the limits on the requests of an entry.
type Limits struct {
	MaxBodyBytes   int64 `json:"body_bytes" validate:"min=1024,max=33554432"` // at most what agents accept
	MaxHeaderBytes int   `json:"header_bytes" validate:"min=1024,max=1048576"`
	MaxRunning     int   `json:"running" validate:"min=1,max=1000000"` // requests in progress
	MaxQueued      int   `json:"queued" validate:"min=0,max=1000000"`  // requests in the queue
	// Limits on the tokens of one request. A caller may request up to MaxTokens of
	// output. DefaultMaxTokens applies if the caller sets no limit.
	MaxPromptTokens  int64 `json:"prompt_tokens" validate:"min=1,max=100000000"`
	DefaultMaxTokens int64 `json:"default_max_tokens" validate:"min=1,max=10000000"`
	MaxTokens        int64 `json:"max_tokens" validate:"min=1,max=10000000"`
	// TokensPerGroupMember sets the field of the same name of entry.Limits. -1 gives
	// a group the fewest members that the prompt fits on.
	TokensPerGroupMember int64 `json:"spread_tokens" validate:"min=-1,max=100000000,ne=0"`
}

// Timeouts holds the timeouts of an entry.
type Timeouts struct {
	Request    config.Duration `json:"request" validate:"min=1ms,max=24h"`     // for requests for which neither caller nor policy sets one
	MaxRequest config.Duration `json:"request_max" validate:"min=1ms,max=24h"` // maximum that a caller may request
	ReadHeader config.Duration `json:"read_header" validate:"min=1ms,max=1h"`
	ReadBody   config.Duration `json:"read_body" validate:"min=1ms,max=1h"`
	WriteStall config.Duration `json:"write_stall" validate:"min=1ms,max=1h"` // maximum time for which a caller reads nothing
	Idle       config.Duration `json:"idle" validate:"min=1ms,max=1h"`        // between two requests on a connection
	Drain      config.Duration `json:"drain" validate:"min=1s,max=24h"`       // time for work in progress to finish after SIGTERM
}

// Outage controls when an entry that starts without declared objects while the object
// API is down may become ready. See declared.Freshness.
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
