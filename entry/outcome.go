package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// succeeded reports whether the caller has received the complete answer.
func (r *result) succeeded() bool {
	return r.end.GetCode() == wirepb.EndCode_END_OK && r.err == nil
}

// provedNotRun reports whether the attempt has certainly not started to run.
func (r *result) provedNotRun() bool {
	switch {
	case r.refuse != nil, !r.sent:
		return true
	case r.end == nil, r.end.GetCode() == wirepb.EndCode_END_OK, r.chunks > 0:
		return false
	case r.end.GetCode() == wirepb.EndCode_END_REJECTED:
		return true
	}
	return !r.end.GetBegan()
}

// handleFailedAttempt decides whether to retry an attempt that ended without a
// complete answer. final reports whether the request fails with f.
func (c *call) handleFailedAttempt(ctx context.Context, res result) (f *request.Failure, final bool) {
	c.updateMayHaveRun(res)
	c.recordEngineDeath(res)
	if res.callerErr != nil {
		return c.newFailure(statusClientClosed, reasonCancelled, "answer", "the caller went away or reads too slowly", 0), true
	}
	if ctx.Err() != nil {
		return c.contextFailure(ctx, "attempt"), true
	}
	f = c.attemptFailure(res)
	verdict := request.DecideRetry(c.attemptOutcome(res))
	if verdict.Action == request.Fail {
		return f, true
	}
	if verdict.Action == request.Resume && !c.sink.resumable() {
		return f, true
	}
	c.excluded = append(c.excluded, res.server)
	if !res.sent && res.refuse == nil {
		c.e.cfg.Servers.MarkSuspect(res.server)
	}
	if res.provedNotRun() {
		c.refusals++
		c.e.metrics.refusals.Inc(1)
		return f, c.shouldGiveUp()
	}
	if c.admittedAttempts >= c.e.limits.MaxAttempts || !c.e.cfg.Scheduler.AllowRetry(c.spec.Workspace) {
		return f, true
	}
	c.e.metrics.retries.Inc(1)
	if c.assembler.NextSequence() > 0 {
		c.e.metrics.resumes.Inc(1)
	}
	return f, false
}

func (c *call) updateMayHaveRun(res result) {
	if !res.sent {
		return
	}
	if res.provedNotRun() {
		c.lifecycle.MarkNotRun(c.mayHaveRun)
		return
	}
	c.mayHaveRun = true
}

// recordEngineDeath records the death of the engine that ran the prompt. The
// agent uses the same death id here as in its own reports: with two ids a
// single death would count twice and quarantine a harmless prompt.
func (c *call) recordEngineDeath(res result) {
	if res.end.GetDeath() == 0 || !res.end.GetBegan() || c.body == nil {
		return
	}
	c.e.metrics.count("entry.engine_deaths")
	c.recordPartDeath(res.end)
	c.e.cfg.Quarantine.RecordDeath(c.spec.Fingerprint, res.end.GetDeath(), time.Now())
}

func (c *call) attemptOutcome(res result) request.AttemptOutcome {
	code := res.end.GetCode()
	status := res.end.GetStatus()
	return request.AttemptOutcome{
		Idempotent: c.spec.Idempotent,
		Refused:    res.provedNotRun(),
		Sent:       res.sent,
		FirstByte:  c.assembler.NextSequence() > 0 || c.sink.started(),
		EngineDead: code == wirepb.EndCode_END_ENGINE_DIED,
		Rejected: isPermanentRefusal(res.refuse) ||
			code == wirepb.EndCode_END_ENGINE_ERROR && status >= 400 && status < 500,
		Deadline: code == wirepb.EndCode_END_DEADLINE,
	}
}

// isPermanentRefusal reports whether every other server would refuse the
// request as well.
func isPermanentRefusal(r *wirepb.Refuse) bool {
	switch r.GetCode() {
	case wirepb.RefuseCode_REFUSE_BAD_REQUEST, wirepb.RefuseCode_REFUSE_QUARANTINED:
		return true
	}
	return false
}

// contextFailure returns the failure of a request whose context has ended.
func (c *call) contextFailure(ctx context.Context, step string) *request.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.newFailure(http.StatusGatewayTimeout, reasonDeadline, step, "the time limit has passed", 0)
	}
	return c.newFailure(statusClientClosed, reasonCancelled, step, "the caller went away", 0)
}

// newFailure returns a failure whose code is not_run only if the request has
// certainly not run.
func (c *call) newFailure(status int, reason, step, message string, retry time.Duration) *request.Failure {
	return &request.Failure{Code: c.lifecycle.FailureCode(), Reason: reason, Message: message,
		Status: status, RetryAfter: retry, Step: step}
}

// attemptFailure returns the failure that the caller receives if no attempt
// follows res.
func (c *call) attemptFailure(res result) *request.Failure {
	if res.refuse != nil {
		f := refusalFailure(res.refuse, res.server)
		f.Code = c.lifecycle.FailureCode()
		return f
	}
	f := c.newFailure(http.StatusBadGateway, reasonStreamBroken, "answer", "", 0)
	f.Peer = res.server
	if res.err != nil {
		f.Message = res.err.Error()
	}
	if !res.sent {
		f.Status, f.Reason, f.Step, f.RetryAfter = http.StatusServiceUnavailable, reasonUnreachable, "admission", retrySoon
		return f
	}
	if errors.Is(res.err, request.ErrIncomplete) || errors.Is(res.err, request.ErrOverrun) ||
		errors.Is(res.err, request.ErrTooFarAhead) || errors.Is(res.err, errBadChunk) {
		f.Reason = reasonBadAnswer
		return f
	}
	if res.end != nil {
		applyEnd(f, res.end)
	}
	return f
}

func applyEnd(f *request.Failure, end *wirepb.End) {
	if f.Message == "" {
		f.Message = end.GetDetail()
	}
	switch end.GetCode() {
	case wirepb.EndCode_END_ENGINE_DIED:
		f.Reason = reasonEngineDied
	case wirepb.EndCode_END_DEADLINE:
		f.Status, f.Reason = http.StatusGatewayTimeout, reasonDeadline
	case wirepb.EndCode_END_REJECTED:
		f.Status, f.Reason, f.RetryAfter = http.StatusServiceUnavailable, reasonBusy, retrySoon
	case wirepb.EndCode_END_ENGINE_ERROR:
		f.Reason = reasonEngineError
		if s := int(end.GetStatus()); s >= 400 && s < 500 {
			f.Status = s
		}
	}
}
