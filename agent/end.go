package agent

import (
	"context"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// setEnd records how an attempt ended. After an error it also cancels the run
// at the engine.
func (a *Agent) setEnd(r *run, err error) {
	if err == nil {
		r.end.Code = wirepb.EndCode_END_OK
		return
	}
	r.end.Code = a.classifyEnd(r, err)
	r.end.Detail = err.Error()
	a.recordUnansweredRun(r)
	a.cancelAtEngine(r)
}

// classifyEnd returns the end code for an error. It clears began if the engine
// is known not to have run the request.
func (a *Agent) classifyEnd(r *run, err error) wirepb.EndCode {
	var status *StatusError
	switch {
	case errors.Is(err, ErrUnreachable), errors.Is(err, ErrNotRun):
		r.began.Store(false)
		return a.notRunEndCode(r, err)
	case r.ctx.Err() != nil:
		return contextEndCode(context.Cause(r.ctx))
	case errors.As(err, &status):
		r.end.Status = uint32(status.Status)
		return wirepb.EndCode_END_ENGINE_ERROR
	case isBodyError(err):
		return wirepb.EndCode_END_REJECTED
	case errors.Is(err, errEntryWrite), errors.Is(err, errHoldLapsed):
		return wirepb.EndCode_END_CANCELLED
	}
	return a.brokenEndCode(r)
}

func (a *Agent) notRunEndCode(r *run, err error) wirepb.EndCode {
	if r.ctx.Err() != nil {
		return contextEndCode(context.Cause(r.ctx))
	}
	if errors.Is(err, ErrUnreachable) {
		a.probe(a.ctx)
		return wirepb.EndCode_END_ENGINE_DIED
	}
	return wirepb.EndCode_END_REJECTED
}

func contextEndCode(cause error) wirepb.EndCode {
	if errors.Is(cause, errDeadline) {
		return wirepb.EndCode_END_DEADLINE
	}
	return wirepb.EndCode_END_CANCELLED
}

func isBodyError(err error) bool {
	return errors.Is(err, errBodyShort) || errors.Is(err, errBodyLong) || errors.Is(err, errBodyTimeout)
}

// brokenEndCode distinguishes the death of the engine from a broken connection.
// It sets the death ID only if a death was confirmed: an engine that merely
// does not respond is no evidence against a request.
func (a *Agent) brokenEndCode(r *run) wirepb.EndCode {
	a.probe(a.ctx)
	a.mu.Lock()
	engineAlive := a.engine.up && a.engine.bootID == r.bootID
	a.mu.Unlock()
	if engineAlive {
		return wirepb.EndCode_END_STREAM_BROKEN
	}
	a.waitForEvidence(r.ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engine.deathRecorded || a.engine.bootID != r.bootID {
		r.end.Death = a.deathID(r.bootID)
	}
	return wirepb.EndCode_END_ENGINE_DIED
}
