package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// bodyPartBytes is the greatest BodyPart of the contract.
const bodyPartBytes = 256 << 10

// Errors of an attempt.
const (
	errAdmitWait  = errors.ConstError("no admission in time")
	errUnexpected = errors.ConstError("unexpected message")
)

// result is how one attempt ended. Exactly one of refuse, end and err is set.
type result struct {
	peer   string
	sent   bool // a byte of the body may have left
	chunks int  // that this attempt brought
	refuse *wirepb.Refuse
	end    *wirepb.End
	err    error
	// callerErr: the answer could not be given to the caller. The attempt
	// itself was not at fault and trying again is of no use.
	callerErr error
}

// hooks are what an attempt calls back. Nil ones are skipped.
type hooks struct {
	sending func() // before the first byte of the body leaves
	head    func(*wirepb.Head) error
	chunk   func(*wirepb.Chunk) error
}

// exchange runs one Start on one agent to its end. It never outlives ctx: a
// broken stream is how the agent learns that it must free the run.
func (e *Entry) exchange(ctx context.Context, to routing.Choice, start *wirepb.Start, body []byte, h hooks) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.meters.attempts.Inc(1)
	res := result{peer: to.Name}

	// An agent that is paused, or whose packets are dropped, answers nothing. The
	// caller would see its whole time limit pass without a try elsewhere.
	wait := time.AfterFunc(e.admitWait(start), func() { cancel(errAdmitWait) })
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
	admit := e.admission(ctx, stream, to, &res)
	if admit == nil {
		return res
	}
	if !wait.Stop() { // it fired while the admission was on its way
		res.err = stepError(ctx, errAdmitWait, "admission", to.Name)
		return res
	}
	w := &watched{server: to.Name, incarnation: admit.GetLoad().GetIncarnation(), cancel: cancel}
	w.hear(time.Now())
	if start.GetIdempotent() {
		defer e.watch.add(w)()
	}
	res.sent = true
	if h.sending != nil {
		h.sending()
	}
	if err := sendBody(stream, body); err != nil {
		res.err = stepError(ctx, err, "body", to.Name)
		return res
	}
	e.receive(ctx, stream, w, h, &res)
	return res
}

func (e *Entry) admitWait(start *wirepb.Start) time.Duration {
	if start.GetLong() || start.GetAlone() {
		return e.limits.LongAdmissionTimeout
	}
	return e.limits.AdmissionTimeout
}

// admission waits for Admit or Refuse. It returns nil if it wasn't Admit.
func (e *Entry) admission(ctx context.Context, stream wirepb.DRPCAgent_RunClient, to routing.Choice, res *result) *wirepb.Admit {
	down, err := stream.Recv()
	if err != nil {
		res.err = stepError(ctx, err, "admission", to.Name)
		return nil
	}
	if refuse := down.GetRefuse(); refuse != nil {
		e.observe(to.Name, refuse.GetLoad())
		res.refuse = refuse
		return nil
	}
	admit := down.GetAdmit()
	if admit == nil {
		res.err = errors.Annotatef(errUnexpected, "step admission, peer %s, %T", to.Name, down.GetBody())
		return nil
	}
	e.observe(to.Name, admit.GetLoad())
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

// receive relays the answer until its end.
func (e *Entry) receive(ctx context.Context, stream wirepb.DRPCAgent_RunClient, w *watched, h hooks, res *result) {
	for {
		down, err := stream.Recv()
		if err != nil {
			res.err = stepError(ctx, err, "answer", w.server)
			return
		}
		w.hear(time.Now())
		if end := down.GetEnd(); end != nil {
			e.observe(w.server, end.GetLoad())
			res.end = end
			return
		}
		if err := h.take(down, res); err != nil {
			var caller *callerError
			if errors.As(err, &caller) {
				res.callerErr = caller
			}
			res.err = errors.Annotatef(err, "step answer, peer %s", w.server)
			return
		}
	}
}

// take passes a head or a chunk on.
func (h *hooks) take(down *wirepb.RunDown, res *result) error {
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

// observe takes in the load that an agent sent with an answer.
func (e *Entry) observe(name string, l *wirepb.Load) {
	if l == nil {
		return
	}
	e.cfg.Servers.ObserveResponse(name, wire.LoadOf(l), time.Now())
}

// stepError names the step and peer, and the cause where the entry itself ended
// the attempt.
func stepError(ctx context.Context, err error, step, peer string) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return errors.Annotatef(err, "step %s, peer %s", step, peer)
}
