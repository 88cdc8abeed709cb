package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Reason says why the gateway answered a request itself.
type Reason string

// Reasons. Those with status 503 guarantee that the request has not run.
const (
	ReasonNoConfig           Reason = "no_configuration"
	ReasonStaleConfig        Reason = "stale_configuration"
	ReasonUnconfirmedConfig  Reason = "unconfirmed_configuration"
	ReasonNoRoute            Reason = "no_route"
	ReasonUnknownKey         Reason = "unknown_key"
	ReasonMalformed          Reason = "malformed"
	ReasonHeaderTooLarge     Reason = "header_too_large"
	ReasonBodyTooLarge       Reason = "body_too_large"
	ReasonBodyIncomplete     Reason = "body_incomplete"
	ReasonBodyMemoryFull     Reason = "bodies_held"
	ReasonNoServer           Reason = "no_server"
	ReasonServersRefused     Reason = "servers_refused"
	ReasonDeadlineUnmeetable Reason = "no_time"
	ReasonQueueFull          Reason = "queue_full"
	ReasonShuttingDown       Reason = "ending"
	ReasonTimeout            Reason = "timeout"
	ReasonOutcomeUnknown     Reason = "outcome_unknown"
	ReasonKillsServers       Reason = "kills_servers"
	ReasonPartKillsServers   Reason = "prompt_part_kills_servers"
	ReasonPartSuspected      Reason = "prompt_part_suspected"
	ReasonOutOfRegion        Reason = "no_server_in_region"
	ReasonZoneEvacuated      Reason = "zones_evacuated"
	ReasonServersCold        Reason = "servers_cold"
	ReasonServersLimited     Reason = "servers_limited"
	ReasonServersDraining    Reason = "servers_draining"
	ReasonServersBackOff     Reason = "servers_back_off"
)

var allReasons = []Reason{
	ReasonNoConfig, ReasonStaleConfig, ReasonUnconfirmedConfig, ReasonNoRoute, ReasonUnknownKey, ReasonMalformed, ReasonHeaderTooLarge, ReasonBodyTooLarge, ReasonBodyIncomplete,
	ReasonBodyMemoryFull, ReasonNoServer, ReasonServersRefused, ReasonDeadlineUnmeetable, ReasonQueueFull, ReasonShuttingDown, ReasonTimeout, ReasonOutcomeUnknown, ReasonKillsServers,
	ReasonPartKillsServers, ReasonPartSuspected,
	ReasonOutOfRegion, ReasonZoneEvacuated, ReasonServersCold, ReasonServersLimited, ReasonServersDraining, ReasonServersBackOff,
}

// Reasons returns all reasons.
func Reasons() []Reason { return slices.Clone(allReasons) }

// status returns the HTTP status of a refusal.
func (r Reason) status() int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonUnknownKey:
		return http.StatusUnauthorized
	case ReasonMalformed, ReasonBodyIncomplete:
		return http.StatusBadRequest
	case ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonOutcomeUnknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// followsFromConfig reports whether the request is refused, for good, for what the configuration
// contains or lacks.
func (r Reason) followsFromConfig() bool {
	switch r {
	case ReasonNoRoute, ReasonUnknownKey, ReasonHeaderTooLarge, ReasonBodyTooLarge:
		return true
	}
	return false
}

// confirmed returns the reason to give for a refusal by a configuration that was last confirmed
// age ago. A change that allows the request may be in force elsewhere if age exceeds RefusalAge.
func (r Reason) confirmed(age time.Duration, o Options) Reason {
	switch {
	case !r.followsFromConfig() || age <= o.RefusalAge:
		return r
	case age > o.KeyAge:
		return ReasonStaleConfig
	}
	return ReasonUnconfirmedConfig
}

// shutdownRetryAfter is the delay after which a caller that was refused during a shutdown
// may retry. It is short because the load balancer sends the retry to another entry,
// which has capacity.
const shutdownRetryAfter = 10 * time.Millisecond

// retryAfter returns the delay after which a refused caller may retry.
func (r Reason) retryAfter(o Options) time.Duration {
	switch r {
	case ReasonStaleConfig:
		return o.StaleRetryAfter
	case ReasonOutOfRegion, ReasonZoneEvacuated, ReasonServersDraining:
		return o.DeclaredRetryAfter
	case ReasonShuttingDown:
		return shutdownRetryAfter
	case ReasonKillsServers, ReasonPartKillsServers:
		return o.PoisonRetryAfter
	}
	return o.RetryAfter
}

// RefuseShuttingDown refuses a request that arrived after the gateway had shut down.
func RefuseShuttingDown(w http.ResponseWriter) {
	writeRefusal(w, ReasonShuttingDown, shutdownRetryAfter)
}

// refusalBody is the body of a response that the gateway writes itself.
type refusalBody struct {
	Error Reason `json:"error"`
	Run   string `json:"run"` // not_run or outcome_unknown
}

// writeRefusal refuses a request. after is the delay after which the caller may retry. It
// is sent with status 503 only, in seconds with a fraction.
func writeRefusal(w http.ResponseWriter, reason Reason, after time.Duration) {
	status := reason.status()
	body := refusalBody{Error: reason, Run: "not_run"}
	if reason == ReasonOutcomeUnknown || reason == ReasonTimeout {
		body.Run = "outcome_unknown"
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone, which the context reports.
	_ = json.NewEncoder(w).Encode(body)
}
