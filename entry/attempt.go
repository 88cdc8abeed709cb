package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// bodyPartBytes is the maximum size of a BodyPart in the wire protocol.
const bodyPartBytes = 256 << 10

// Errors of an attempt.
const (
	errAdmissionTimeout = errors.ConstError("no admission in time")
	errUnexpected       = errors.ConstError("unexpected message")
)

// result is the outcome of one attempt. Exactly one of refuse, end and err is
// set, except that err can be set with an end whose answer is incomplete or
// could not be delivered.
type result struct {
	server string
	sent   bool // part of the body may have been sent
	chunks int  // received from this attempt
	refuse *wirepb.Refuse
	end    *wirepb.End
	err    error
	// callerErr is set if the answer could not be delivered to the caller. The
	// attempt did not cause this, so a retry would not help.
	callerErr error
}

// hooks are the callbacks of an attempt. Nil hooks are skipped.
type hooks struct {
	beforeBody func() // called before the first byte of the body is sent
	head       func(*wirepb.Head) error
	chunk      func(*wirepb.Chunk) error
}

// runAttempt runs one attempt on one agent to its end. The stream is closed when
// ctx ends, by which the agent detects that it must end the run.
func (e *Entry) runAttempt(ctx context.Context, to routing.Choice, start *wirepb.Start, body []byte, h hooks) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.metrics.attempts.Inc(1)
	res := result{server: to.Name}

	// An agent that is paused, or whose packets are dropped, sends no response.
	// Without this timeout the request would use up its whole time limit without
	// an attempt on another server.
	wait := time.AfterFunc(e.admissionTimeout(start), func() { cancel(errAdmissionTimeout) })
	defer wait.Stop()

	stream, err := e.cfg.AgentClient.Run(ctx, to.RPCAddress)
	if err != nil {
		res.err = stepError(ctx, err, "dial", to.Name)
		return res
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(&wirepb.RunUp{Body: &wirepb.RunUp_Start{Start: start}}); err != nil {
		res.err = stepError(ctx, err, "start", to.Name)
		return res
	}
	admit := e.awaitAdmission(ctx, stream, to, &res)
	if admit == nil {
		return res
	}
	if !wait.Stop() { // the timeout fired while the admission was in transit
		res.err = stepError(ctx, errAdmissionTimeout, "admission", to.Name)
		return res
	}
	w := &watchedAttempt{server: to.Name, incarnation: admit.GetLoad().GetIncarnation(), cancel: cancel}
	w.touch(time.Now())
	if start.GetIdempotent() {
		defer e.watch.add(w)()
	}
	res.sent = true
	if h.beforeBody != nil {
		h.beforeBody()
	}
	if err := sendBody(stream, body); err != nil {
		res.err = stepError(ctx, err, "body", to.Name)
		return res
	}
	e.receive(ctx, stream, w, h, &res)
	return res
}

func (e *Entry) admissionTimeout(start *wirepb.Start) time.Duration {
	if start.GetLong() || start.GetAlone() {
		return e.limits.LongAdmissionTimeout
	}
	return e.limits.AdmissionTimeout
}

// awaitAdmission waits for Admit or Refuse. It returns nil unless it received
// Admit.
func (e *Entry) awaitAdmission(ctx context.Context, stream wirepb.DRPCAgent_RunClient, to routing.Choice, res *result) *wirepb.Admit {
	down, err := stream.Recv()
	if err != nil {
		res.err = stepError(ctx, err, "admission", to.Name)
		return nil
	}
	if refuse := down.GetRefuse(); refuse != nil {
		e.observeLoad(to.Name, refuse.GetLoad())
		res.refuse = refuse
		return nil
	}
	admit := down.GetAdmit()
	if admit == nil {
		res.err = errors.Annotatef(errUnexpected, "step admission, peer %s, %T", to.Name, down.GetBody())
		return nil
	}
	e.observeLoad(to.Name, admit.GetLoad())
	return admit
}

func sendBody(stream wirepb.DRPCAgent_RunClient, body []byte) error {
	for {
		n := min(len(body), bodyPartBytes)
		part := &wirepb.BodyPart{Data: body[:n], Last: n == len(body)}
		if err := stream.Send(&wirepb.RunUp{Body: &wirepb.RunUp_Part{Part: part}}); err != nil {
			return err
		}
		if part.Last {
			return nil
		}
		body = body[n:]
	}
}

// receive passes the answer to the hooks until it ends.
func (e *Entry) receive(ctx context.Context, stream wirepb.DRPCAgent_RunClient, w *watchedAttempt, h hooks, res *result) {
	for {
		down, err := stream.Recv()
		if err != nil {
			res.err = stepError(ctx, err, "answer", w.server)
			return
		}
		w.touch(time.Now())
		if end := down.GetEnd(); end != nil {
			e.observeLoad(w.server, end.GetLoad())
			res.end = end
			return
		}
		if err := h.handle(down, res); err != nil {
			var caller *callerError
			if errors.As(err, &caller) {
				res.callerErr = caller
			}
			res.err = errors.Annotatef(err, "step answer, peer %s", w.server)
			return
		}
	}
}

// handle passes a head or a chunk to its hook.
func (h *hooks) handle(down *wirepb.RunDown, res *result) error {
	switch m := down.GetBody().(type) {
	case *wirepb.RunDown_Chunk:
		res.chunks++
		if h.chunk != nil {
			return h.chunk(m.Chunk)
		}
	case *wirepb.RunDown_Head:
		if h.head != nil {
			return h.head(m.Head)
		}
	default:
		return errors.Annotatef(errUnexpected, "%T", m)
	}
	return nil
}

// observeLoad records the load that an agent sent with a response.
func (e *Entry) observeLoad(name string, l *wirepb.Load) {
	if l == nil {
		return
	}
	e.cfg.Servers.ObserveResponse(name, wire.LoadFromProto(l), time.Now())
}

// stepError annotates err with the step and the peer. If ctx has ended, its
// cancellation cause replaces err.
func stepError(ctx context.Context, err error, step, peer string) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return errors.Annotatef(err, "step %s, peer %s", step, peer)
}
