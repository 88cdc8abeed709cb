package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Reason says why the gateway answers by itself.
type Reason string

// Reasons. Those with status 503 promise that the request has not run.
const (
	ReasonNoConfig           Reason = "no_configuration"
	ReasonStaleConfig        Reason = "stale_configuration"
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
	ReasonShuttingDown       Reason = "ending"
	ReasonTimeout            Reason = "timeout"
	ReasonOutcomeUnknown     Reason = "outcome_unknown"
	ReasonKillsServers       Reason = "kills_servers"
	ReasonOutOfRegion        Reason = "no_server_in_region"
	ReasonZoneEvacuated      Reason = "zones_evacuated"
	ReasonServersCold        Reason = "servers_cold"
)

var reasons = []Reason{
	ReasonNoConfig, ReasonStaleConfig, ReasonNoRoute, ReasonUnknownKey, ReasonMalformed, ReasonHeaderTooLarge, ReasonBodyTooLarge, ReasonBodyIncomplete,
	ReasonBodyMemoryFull, ReasonNoServer, ReasonServersRefused, ReasonDeadlineUnmeetable, ReasonShuttingDown, ReasonTimeout, ReasonOutcomeUnknown, ReasonKillsServers,
	ReasonOutOfRegion, ReasonZoneEvacuated, ReasonServersCold,
}

// Reasons returns every Reason.
func Reasons() []Reason { return slices.Clone(reasons) }

// status of each reason's answer.
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

// endingRetryAfter is when a caller may come back that an entry refused at its end: at
// once, for the balancer takes it to another entry, which has room.
const endingRetryAfter = 10 * time.Millisecond

// retryAfter is when a caller that was refused may come back.
func (r Reason) retryAfter(o Options) time.Duration {
	switch r {
	case ReasonStaleConfig:
		return o.StaleRetryAfter
	case ReasonOutOfRegion, ReasonZoneEvacuated:
		return o.DeclaredRetryAfter
	case ReasonShuttingDown:
		return endingRetryAfter
	case ReasonKillsServers:
		return o.PoisonRetryAfter
	}
	return o.RetryAfter
}

// RefuseShuttingDown answers a request that came after the gateway had ended.
func RefuseShuttingDown(w http.ResponseWriter) { refuse(w, ReasonShuttingDown, endingRetryAfter) }

// refusal is the body of an answer of the gateway's own.
type refusal struct {
	Error Reason `json:"error"`
	Run   string `json:"run"` // not_run or outcome_unknown
}

// refuse answers for the gateway. after is when the caller may come back; it is
// sent with a 503 only, in seconds with a fraction.
func refuse(w http.ResponseWriter, reason Reason, after time.Duration) {
	status := reason.status()
	body := refusal{Error: reason, Run: "not_run"}
	if reason == ReasonOutcomeUnknown || reason == ReasonTimeout {
		body.Run = "outcome_unknown"
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone, which the context tells.
	_ = json.NewEncoder(w).Encode(body)
}
