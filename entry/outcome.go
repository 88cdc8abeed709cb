package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// done reports whether the caller has the whole answer.
func (r *result) done() bool {
	return r.end.GetCode() == wirepb.EndCode_END_OK && r.err == nil
}

// provedNotRun reports whether the attempt can't have begun to run.
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

// judgeEnd applies the table of safe retries to an attempt that has ended
// without a whole answer. final tells whether f is the request's last word.
func (c *call) judgeEnd(ctx context.Context, res result) (f *request.Failure, final bool) {
	c.noteCertainty(res)
	c.noteDeath(res)
	if res.callerErr != nil {
		return c.failure(statusClientClosed, reasonCancelled, "answer", "the caller went away or reads too slowly", 0), true
	}
	if ctx.Err() != nil {
		return c.ended(ctx, "attempt"), true
	}
	f = c.describe(res)
	verdict := request.DecideRetry(c.situation(res))
	if verdict.Action == request.Fail {
		return f, true
	}
	if verdict.Action == request.Resume && !c.out.resumable() {
		return f, true
	}
	c.exclude = append(c.exclude, res.peer)
	if !res.sent && res.refuse == nil {
		c.e.cfg.Servers.MarkSuspect(res.peer)
	}
	if res.provedNotRun() {
		c.refusals++
		c.e.meters.refusals.Inc(1)
		return f, c.givesUp()
	}
	if c.admitted >= c.e.limits.MaxAttempts || !c.e.cfg.Scheduler.AllowRetry(c.spec.Workspace) {
		return f, true
	}
	c.e.meters.retries.Inc(1)
	if c.asm.NextSequence() > 0 {
		c.e.meters.resumes.Inc(1)
	}
	return f, false
}

func (c *call) noteCertainty(res result) {
	if !res.sent {
		return
	}
	if res.provedNotRun() {
		c.life.MarkNotRun(c.mayHaveRun)
		return
	}
	c.mayHaveRun = true
}

// noteDeath reports the fingerprint if the engine died under it. The agent names
// the death as its own reports do: under two names a single death would count
// twice and convict the innocent.
func (c *call) noteDeath(res result) {
	if res.end.GetDeath() == 0 || !res.end.GetBegan() || c.body == nil {
		return
	}
	c.e.meters.count("entry.engine_deaths")
	c.e.cfg.Quarantine.RecordDeath(c.spec.Fingerprint, res.end.GetDeath(), time.Now())
}

func (c *call) situation(res result) request.AttemptOutcome {
	code := res.end.GetCode()
	status := res.end.GetStatus()
	return request.AttemptOutcome{
		Idempotent: c.spec.Idempotent,
		Refused:    res.provedNotRun(),
		Sent:       res.sent,
		FirstByte:  c.asm.NextSequence() > 0 || c.out.started(),
		EngineDead: code == wirepb.EndCode_END_ENGINE_DIED,
		Rejected: refusedForGood(res.refuse) ||
			code == wirepb.EndCode_END_ENGINE_ERROR && status >= 400 && status < 500,
		Deadline: code == wirepb.EndCode_END_DEADLINE,
	}
}

// refusedForGood reports whether any other server would refuse as well.
func refusedForGood(r *wirepb.Refuse) bool {
	switch r.GetCode() {
	case wirepb.RefuseCode_REFUSE_BAD_REQUEST, wirepb.RefuseCode_REFUSE_QUARANTINED:
		return true
	}
	return false
}

// ended is the failure of a request whose context has ended.
func (c *call) ended(ctx context.Context, step string) *request.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.failure(http.StatusGatewayTimeout, reasonDeadline, step, "the time limit has passed", 0)
	}
	return c.failure(statusClientClosed, reasonCancelled, step, "the caller went away", 0)
}

// failure makes a failure that says no more than is known.
func (c *call) failure(status int, reason, step, message string, retry time.Duration) *request.Failure {
	return &request.Failure{Code: c.life.FailureCode(), Reason: reason, Message: message,
		Status: status, RetryAfter: retry, Step: step}
}

// describe says what an attempt's end means to the caller, if it is the last.
func (c *call) describe(res result) *request.Failure {
	if res.refuse != nil {
		f := refusal(res.refuse, res.peer)
		f.Code = c.life.FailureCode()
		return f
	}
	f := c.failure(http.StatusBadGateway, reasonStreamBroken, "answer", "", 0)
	f.Peer = res.peer
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
		describeEnd(f, res.end)
	}
	return f
}

func describeEnd(f *request.Failure, end *wirepb.End) {
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
