package settings

import "github.com/briarturn/briarturn/config"

// Gateway is the settings of an entry that serves routed requests. The figures
// are those that its operators run the platform by.
type Gateway struct {
	// Grace is how long after SIGTERM the platform kills the process.
	Grace config.Duration `json:"grace" validate:"min=1s,max=24h"`
	// Retries of all entries together, a service and a window: RetryRatio of its
	// requests and RetrySlack more.
	RetryRatio  float64         `json:"retry_ratio" validate:"gte=0,lte=1"`
	RetrySlack  float64         `json:"retry_slack" validate:"gte=0,lte=1000000"`
	RetryWindow config.Duration `json:"retry_window" validate:"min=1s,max=1h"`
	// LinkMbps is the VM's own link in megabits a second, 0 if not known. Of the entries
	// of a zone one on a fast link reads the object API for the others.
	LinkMbps float64 `json:"link_mbps" validate:"gte=0,lte=1000000"`
	// Regions are those of the availability zones, by name. A server of a zone that is not
	// named has no known region: requests that are bound to regions don't go there.
	Regions map[string]string `json:"regions,omitempty" validate:"dive,keys,name,endkeys,name"`
	// FirstStart is set where the whole fleet starts for the first time, before callers
	// come: a few entries then read the object API for all.
	FirstStart bool `json:"first_start"`
	// EvacuateWithin is how long after an operator has evacuated an availability zone nothing
	// new may go to its servers any more; 0 where operators don't.
	EvacuateWithin config.Duration `json:"evacuate_within" validate:"min=0s,max=1h"`
	// RoutineLines bounds the log lines a second of requests that went well; the
	// others are always written.
	RoutineLines float64 `json:"routine_lines" validate:"gte=1,lte=100000"`
	// Placement is the policy by which servers are chosen (placement.Policy).
	Placement string        `json:"placement" validate:"oneof=least_loss least_requests"`
	Limits    GatewayLimits `json:"limits"`
}

// GatewayLimits bound requests and connections. gateway.Options says what each is for.
type GatewayLimits struct {
	KeyAge           config.Duration `json:"key_age" validate:"min=100ms,max=1h"`
	BodiesBytes      int64           `json:"bodies_bytes" validate:"gte=1048576"`
	BodyTimeout      config.Duration `json:"body_timeout" validate:"min=100ms,max=1h"`
	WriteSlack       config.Duration `json:"write_slack" validate:"min=100ms,max=1m"`
	HeaderBytes      int             `json:"header_bytes" validate:"gte=4096,lte=1048576"`
	HeaderTimeout    config.Duration `json:"header_timeout" validate:"min=100ms,max=5m"`
	IdleTimeout      config.Duration `json:"idle_timeout" validate:"min=1s,max=1h"`
	RetryAfter       config.Duration `json:"retry_after" validate:"min=10ms,max=1m"`
	StaleRetryAfter  config.Duration `json:"stale_retry_after" validate:"min=10ms,max=1m"`
	PoisonRetryAfter config.Duration `json:"poison_retry_after" validate:"min=1s,max=1h"`
	// DeclaredRetryAfter is that of a request which operators have left no server.
	DeclaredRetryAfter config.Duration `json:"declared_retry_after" validate:"min=10ms,max=1h"`
	ConnectTries       int             `json:"connect_tries" validate:"gte=1,lte=100"`
	MemoryWait         config.Duration `json:"memory_wait" validate:"min=1ms,max=1m"`
}
