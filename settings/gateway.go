package settings

import (
	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/routetable"
)

// Gateway holds the settings of a gateway, which serves routed requests. The values
// are those with which the operators run the platform.
type Gateway struct {
	// Grace is the time from SIGTERM until the platform kills the process.
	Grace config.Duration `json:"grace" validate:"min=1s,max=24h"`
	// Limit on the retries of all gateways together, for each service and window:
	// RetryRatio of the service's requests in the window, plus RetrySlack.
	RetryRatio  float64         `json:"retry_ratio" validate:"gte=0,lte=1"`
	RetrySlack  float64         `json:"retry_slack" validate:"gte=0,lte=1000000"`
	RetryWindow config.Duration `json:"retry_window" validate:"min=1s,max=1h"`
	// LinkMbps is the speed of the VM's network link in megabits per second, or 0 if it
	// is unknown. Among the gateways of a zone, one with a fast link reads the object
	// API for the others.
	LinkMbps float64 `json:"link_mbps" validate:"gte=0,lte=1000000"`
	// Regions maps names of availability zones to their regions. A server in a zone that
	// is not listed has no known region and gets no requests that are restricted to
	// regions.
	Regions map[string]string `json:"regions,omitempty" validate:"dive,keys,name,endkeys,name"`
	// FirstStart is set when the whole fleet starts for the first time, before there are
	// callers. A few gateways then read the object API for all.
	FirstStart bool `json:"first_start"`
	// ConfigWithin is the maximum time after its acknowledgement until a change of the
	// configuration is in force, and DrainWithin the maximum time after a server announced
	// that it leaves until no new requests are sent to it.
	ConfigWithin config.Duration `json:"config_within" validate:"min=1500ms,max=1h"`
	DrainWithin  config.Duration `json:"drain_within" validate:"min=1500ms,max=1h"`
	// EvacuateWithin is the maximum time after an operator evacuates an availability
	// zone until no new requests are sent to its servers. It is 0 if operators don't
	// evacuate zones.
	EvacuateWithin config.Duration `json:"evacuate_within" validate:"min=0s,max=1h"`
	// RoutineLines is the maximum number of log lines per second for successful
	// requests. Lines for other requests are always written.
	RoutineLines float64 `json:"routine_lines" validate:"gte=1,lte=100000"`
	// Placement is the policy that selects servers (placement.Policy).
	Placement string        `json:"placement" validate:"oneof=least_loss least_requests"`
	Limits    GatewayLimits `json:"limits"`
	// Contention switches the features that decide under contention for servers.
	Contention Contention `json:"contention"`
}

// Contention switches features for services whose servers have too little room at times. The
// features are described at routetable.Features.
type Contention struct {
	Queue          string `json:"queue" validate:"oneof=on off"`
	LostServers    string `json:"lost_servers" validate:"oneof=on off"`
	SilentAttempts string `json:"silent_attempts" validate:"oneof=on off"`
}

// Features returns the switches in the form that the gateway takes.
func (c Contention) Features() routetable.Features {
	return routetable.Features{
		Queue:          routetable.Switch(c.Queue),
		LostServers:    routetable.Switch(c.LostServers),
		SilentAttempts: routetable.Switch(c.SilentAttempts),
	}
}

// GatewayLimits limits requests and connections. The fields are described at
// gateway.Options.
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
	// DeclaredRetryAfter is the retry delay of a request for which operators have left
	// no server.
	DeclaredRetryAfter config.Duration `json:"declared_retry_after" validate:"min=10ms,max=1h"`
	ConnectTries       int             `json:"connect_tries" validate:"gte=1,lte=100"`
}
