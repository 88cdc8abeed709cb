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
	ReasonNoConfig      Reason = "no_configuration"
	ReasonStaleConfig   Reason = "stale_configuration"
	ReasonNoRoute       Reason = "no_route"
	ReasonNoKey         Reason = "unknown_key"
	ReasonMalformed     Reason = "malformed"
	ReasonHeader        Reason = "header_too_large"
	ReasonTooLarge      Reason = "body_too_large"
	ReasonBodyLost      Reason = "body_incomplete"
	ReasonMemory        Reason = "bodies_held"
	ReasonNoServer      Reason = "no_server"
	ReasonServersFull   Reason = "servers_refused"
	ReasonNoTime        Reason = "no_time"
	ReasonEnding        Reason = "ending"
	ReasonTimeout       Reason = "timeout"
	ReasonUnknown       Reason = "outcome_unknown"
	ReasonPoison        Reason = "kills_servers"
	ReasonOutOfRegion   Reason = "no_server_in_region"
	ReasonZoneEvacuated Reason = "zones_evacuated"
	ReasonCold          Reason = "servers_cold"
)

var reasons = []Reason{
	ReasonNoConfig, ReasonStaleConfig, ReasonNoRoute, ReasonNoKey, ReasonMalformed, ReasonHeader, ReasonTooLarge, ReasonBodyLost,
	ReasonMemory, ReasonNoServer, ReasonServersFull, ReasonNoTime, ReasonEnding, ReasonTimeout, ReasonUnknown, ReasonPoison,
	ReasonOutOfRegion, ReasonZoneEvacuated, ReasonCold,
}

// Reasons returns every Reason.
func Reasons() []Reason { return slices.Clone(reasons) }

// status of each reason's answer.
func (r Reason) status() int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonNoKey:
		return http.StatusUnauthorized
	case ReasonMalformed, ReasonBodyLost:
		return http.StatusBadRequest
	case ReasonHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonUnknown:
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
	case ReasonEnding:
		return endingRetryAfter
	case ReasonPoison:
		return o.PoisonRetryAfter
	}
	return o.RetryAfter
}

// RefuseEnding answers a request that came after the gateway had ended.
func RefuseEnding(w http.ResponseWriter) { refuse(w, ReasonEnding, endingRetryAfter) }

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
	if reason == ReasonUnknown || reason == ReasonTimeout {
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
