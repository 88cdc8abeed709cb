package agent

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcctx"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Causes of the cancellation of a run's context.
const (
	errDeadline   = errors.ConstError("time limit reached")
	errCancelled  = errors.ConstError("cancelled by the entry")
	errEntryGone  = errors.ConstError("entry's stream broke")
	errOwnerGone  = errors.ConstError("entry is dead")
	errHoldLapsed = errors.ConstError("hold ended")
	errClosing    = errors.ConstError("agent is closing")
)

// Limits of a Start's fields, checked before use.
const (
	maxIDBytes        = 256
	maxTokens         = 1 << 40
	maxGroupMembers   = 64
	maxHeaders        = 256
	maxPriorTextBytes = 4 << 20
)

// run is one attempt. Its goroutine is the drpc handler; see Agent.Run.
type run struct {
	id             string // ID of the request at the engine
	start          *wirepb.Start
	owner          backend.Owner
	stream         wirepb.DRPCAgent_RunStream
	ctx            context.Context // ends at the deadline, on Cancel, or when the stream breaks
	cancel         context.CancelCauseFunc
	stop           func()
	arrived        time.Time
	timeout        time.Duration
	promptTokens   int64
	reservedTokens int64         // prompt and longest output
	admissionLoad  backend.Load  // sent with Admit
	bootID         string        // boot ID of the engine at admission
	admitted       atomic.Bool   // body parts are accepted
	began          atomic.Bool   // the engine may have begun
	finished       chan struct{} // closed when the handler returns
	body           *bodyReceiver
	end            wirepb.End // filled in during the run; owned by the handler
	// streamedTokens counts the tokens of the chunks; owned by the handler.
	streamedTokens uint64

	// Guarded by Agent.mu.
	bufferedBodyBytes uint64
	prefillTokens     int64
}

// Run handles one attempt: Start, then Admit or Refuse, then the body, the
// answer's chunks and End.
func (a *Agent) Run(stream wirepb.DRPCAgent_RunStream) error {
	start, err := a.receiveStart(stream)
	if err != nil {
		return errors.Annotatef(err, "step receive start")
	}
	r := a.newRun(stream, start)
	defer r.stop()
	if refused := a.validate(start); refused != nil {
		return a.sendRefusal(r, refused)
	}
	// The receiver starts before admission, so that a Cancel ends the wait.
	go r.body.receive(r)
	refused, err := a.admit(r)
	if err != nil {
		return errors.Annotatef(err, "step admit, request %s, peer %s", r.id, start.Entry)
	}
	if refused != nil {
		return a.sendRefusal(r, refused)
	}
	defer a.release(r)
	defer a.releaseOnCancel(r)()
	r.admitted.Store(true)
	admit := &wirepb.Admit{Load: wire.LoadToProto(r.admissionLoad), EngineAddress: a.cfg.Descriptor.EngineAddress}
	if err := r.send(&wirepb.RunDown{Body: &wirepb.RunDown_Admit{Admit: admit}}); err != nil {
		return errors.Annotatef(err, "step send admit, peer %s", start.Entry)
	}
	a.execute(r)
	return a.sendEnd(r)
}

// receiveStart waits for the first message. A peer that opens a stream and
// sends nothing would occupy a goroutine forever; its connection is closed
// instead.
func (a *Agent) receiveStart(stream wirepb.DRPCAgent_RunStream) (*wirepb.Start, error) {
	timer := time.AfterFunc(a.cfg.Limits.BodyTimeout, func() { closeTransport(stream) })
	defer timer.Stop()
	up, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	start := up.GetStart()
	if start == nil {
		return nil, errors.NotValidf("first message other than start")
	}
	return start, nil
}

func closeTransport(stream wirepb.DRPCAgent_RunStream) {
	if tr, ok := drpcctx.Transport(stream.Context()); ok {
		_ = tr.Close()
	}
}

func (a *Agent) newRun(stream wirepb.DRPCAgent_RunStream, start *wirepb.Start) *run {
	timeoutMs := min(start.TimeoutMs, uint64(a.cfg.Limits.MaxTimeout.Milliseconds()))
	r := &run{
		id:       fmt.Sprintf("%s.%d", start.RequestId, start.Attempt),
		start:    start,
		owner:    backend.Owner{Entry: start.Entry, Incarnation: start.EntryIncarnation},
		stream:   stream,
		arrived:  a.cfg.Now(),
		timeout:  time.Duration(timeoutMs) * time.Millisecond,
		finished: make(chan struct{}),
		body:     newBodyReceiver(start.BodyBytes),
	}
	r.promptTokens = int64(min(start.PromptTokens, maxTokens))
	r.reservedTokens = r.promptTokens + int64(min(start.MaxTokens, maxTokens))
	if start.Kind == wirepb.Kind_KIND_SERVICE {
		r.promptTokens, r.reservedTokens = 0, 1
	}
	// Not derived from the stream's context, which isn't one of package
	// context: that would cost a goroutine per run. The body receiver watches
	// the stream.
	ctx, cancel := context.WithCancelCause(a.ctx)
	r.cancel = cancel
	limited, stopTimer := context.WithTimeoutCause(ctx, r.timeout, errDeadline)
	r.ctx = limited
	r.stop = func() {
		stopTimer()
		cancel(nil)
	}
	return r
}

// queueID returns the request's key in the ledger's wait queue, the same for
// all its attempts.
func (r *run) queueID() string { return "run:" + r.start.RequestId }

func (r *run) timeLeft(now time.Time) time.Duration {
	return r.timeout - now.Sub(r.arrived)
}

func (r *run) send(m *wirepb.RunDown) error { return r.stream.Send(m) }

// validate checks the limits of fields received from the network.
func (a *Agent) validate(s *wirepb.Start) *refusal {
	bad := func(detail string) *refusal {
		return &refusal{wirepb.RefuseCode_REFUSE_BAD_REQUEST, detail}
	}
	switch {
	case s.TimeoutMs == 0:
		return &refusal{wirepb.RefuseCode_REFUSE_DEADLINE, "no time left"}
	case s.RequestId == "" || len(s.RequestId) > maxIDBytes:
		return bad("request id missing or too long")
	case s.Entry == "" || len(s.Entry) > maxIDBytes || len(s.HoldId) > maxIDBytes:
		return bad("entry or hold id missing or too long")
	case s.BodyBytes > a.cfg.Limits.MaxBodyBytes:
		return bad("body too large")
	case len(s.Group) > maxGroupMembers || s.Segment >= maxGroupMembers || len(s.Headers) > maxHeaders || len(s.PriorText) > maxPriorTextBytes:
		return bad("group, headers or prior text too large")
	case s.Kind == wirepb.Kind_KIND_KV_SEGMENT && s.HoldId == "":
		return bad("a segment needs a hold")
	case s.Kind == wirepb.Kind_KIND_UNSPECIFIED:
		return bad("kind missing")
	case s.Kind != wirepb.Kind_KIND_SERVICE && s.PromptTokens+s.MaxTokens == 0:
		return bad("no tokens asked for")
	}
	return nil
}

// releaseOnCancel frees a run at its deadline, or when its entry is gone, even
// while the handler is blocked in a write to an entry that doesn't read.
// Without it a paused entry would keep engine memory, visible as used tokens
// without output. The returned function ends the watch.
func (a *Agent) releaseOnCancel(r *run) func() {
	stop := context.AfterFunc(r.ctx, func() {
		a.cancelAtEngine(r)
		a.release(r)
		grace := time.NewTimer(a.cfg.Limits.SendGrace)
		defer grace.Stop()
		select {
		case <-r.finished:
		case <-grace.C:
			closeTransport(r.stream)
		}
	})
	return func() {
		close(r.finished)
		stop()
	}
}

// cancelAtEngine has the engine stop a run that may have begun and did not end
// on its own.
func (a *Agent) cancelAtEngine(r *run) {
	if r.began.Load() && r.start.Kind != wirepb.Kind_KIND_SERVICE {
		a.reaper.cancel(r.id)
	}
}

// execute waits for the body, sends the request to the engine and records how
// the attempt ended.
func (a *Agent) execute(r *run) {
	data, err := r.body.wait(r.ctx, a.cfg.Limits.BodyTimeout)
	if err != nil {
		a.setEnd(r, err)
		return
	}
	switch r.start.Kind {
	case wirepb.Kind_KIND_SERVICE:
		err = a.relayService(r, data)
	case wirepb.Kind_KIND_KV_SEGMENT:
		err = a.prefillSegment(r, data)
	default:
		err = a.relayRun(r, data)
	}
	a.setEnd(r, err)
}

// sendEnd frees the run and sends End. The send fails if the entry is gone.
func (a *Agent) sendEnd(r *run) error {
	a.counters.ended(r.end.Code).Inc(1)
	a.release(r)
	r.end.Began = r.began.Load()
	r.end.Load = a.loadMessage()
	err := r.send(&wirepb.RunDown{Body: &wirepb.RunDown_End{End: &r.end}})
	return errors.Annotatef(err, "step send end, peer %s", r.start.Entry)
}
