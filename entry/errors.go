package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Reasons are the stable machine-readable causes of a failure. docs/API.md
// explains each.
const (
	reasonBadRequest       = "bad_request"
	reasonBadJSON          = "bad_json"
	reasonBadUTF8          = "bad_utf8"
	reasonUnsupported      = "unsupported"
	reasonTooLarge         = "too_large"
	reasonSlowBody         = "slow_body"
	reasonUnknownPath      = "unknown_path"
	reasonUnknownModel     = "unknown_model"
	reasonUnknownService   = "unknown_service"
	reasonUnknownWorkspace = "unknown_workspace"
	reasonUnconfirmed      = "unconfirmed_configuration"
	reasonDraining         = "draining"
	reasonDeadline         = "deadline"
	reasonCancelled        = "cancelled"
	reasonQuarantined      = "quarantined"
	reasonPartSuspected    = "prompt_part_suspected"
	reasonNoBackend        = "no_backend"
	reasonBusy             = "busy"
	reasonNoMemory         = "no_memory"
	reasonUnreachable      = "unreachable"
	reasonEngineDied       = "engine_died"
	reasonEngineError      = "engine_error"
	reasonStreamBroken     = "stream_broken"
	reasonBadAnswer        = "bad_answer"
	reasonBadKey           = "bad_key"
	reasonClaimUnavailable = "claim_unavailable"
	reasonInProgress       = "in_progress"
	reasonFinished         = "finished_earlier"
	reasonEarlierUnknown   = "earlier_outcome_unknown"
	reasonKeyReused        = "key_reused"
)

const (
	// retrySoon is the Retry-After of a condition that ends within seconds.
	retrySoon = 2 * time.Second
	// retryElsewhere is the Retry-After of a refusal by this entry alone,
	// since the load balancer has other entries.
	retryElsewhere = time.Second
	// statusClientClosed is the conventional status of a request whose caller
	// disconnected; it appears only in logs and metrics.
	statusClientClosed = 499
)

func badRequest(reason, message string) *request.Failure {
	return &request.Failure{Code: request.NotRun, Reason: reason, Message: message,
		Status: http.StatusBadRequest, Step: "read"}
}

// notRun returns the failure of a request that was refused before it ran.
func notRun(status int, reason, step, message string, retry time.Duration) *request.Failure {
	return &request.Failure{Code: request.NotRun, Reason: reason, Message: message,
		Status: status, RetryAfter: retry, Step: step}
}

// unknownName returns the failure of a request that names what the declared objects don't
// contain. An object that was declared lately may be missing while they are unconfirmed.
func (e *Entry) unknownName(status int, reason, message string) *request.Failure {
	if e.cfg.Catalog.Confirmed() {
		return notRun(status, reason, "read", message, 0)
	}
	return notRun(http.StatusServiceUnavailable, reasonUnconfirmed, "read", message, retryElsewhere)
}

// errorBody is an error in the OpenAI format, with the additional field reason.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string              `json:"message"`
	Type    string              `json:"type"`
	Param   *string             `json:"param"`
	Code    request.FailureCode `json:"code"`
	Reason  string              `json:"reason"`
	Step    string              `json:"step,omitempty"`
	ID      string              `json:"request_id,omitempty"`
}

func errorJSON(f *request.Failure, id string) []byte {
	fields := errorFields{Message: f.Message, Type: errorType(f.Status), Code: f.Code,
		Reason: f.Reason, Step: f.Step, ID: id}
	if fields.Message == "" {
		fields.Message = f.Reason
	}
	data, err := json.Marshal(errorBody{fields})
	if err != nil { // can't fail: the fields are strings
		return []byte(fmt.Sprintf(`{"error":{"code":%q}}`, f.Code))
	}
	return data
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// writeFailure writes a failure as the whole response. No part of a response may
// have been written.
func writeFailure(w http.ResponseWriter, f *request.Failure, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	status := f.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(errorJSON(f, id), '\n'))
}

// refusalFailure maps an agent's refusal to the failure that the caller
// receives if no other backend server admits the request.
func refusalFailure(r *wirepb.Refuse, peer string) *request.Failure {
	status, reason, retry := http.StatusServiceUnavailable, reasonBusy, retrySoon
	switch r.GetCode() {
	case wirepb.RefuseCode_REFUSE_DRAINING:
		reason = reasonDraining
	case wirepb.RefuseCode_REFUSE_NO_MEMORY, wirepb.RefuseCode_REFUSE_HOLD_UNKNOWN:
		reason = reasonNoMemory
	case wirepb.RefuseCode_REFUSE_DEADLINE:
		status, reason, retry = http.StatusGatewayTimeout, reasonDeadline, 0
	case wirepb.RefuseCode_REFUSE_NOT_SERVED:
		reason = reasonNoBackend
	case wirepb.RefuseCode_REFUSE_QUARANTINED:
		status, reason, retry = http.StatusUnprocessableEntity, reasonQuarantined, 0
	case wirepb.RefuseCode_REFUSE_BAD_REQUEST:
		status, reason, retry = http.StatusBadRequest, reasonBadRequest, 0
	case wirepb.RefuseCode_REFUSE_ENGINE_DOWN:
		reason = reasonUnreachable
	}
	if ms := r.GetRetryAfterMs(); ms > 0 {
		retry = min(time.Duration(ms)*time.Millisecond, time.Minute)
	}
	f := notRun(status, reason, "admission", r.GetDetail(), retry)
	f.Peer = peer
	return f
}
