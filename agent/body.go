package agent

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	errBodyShort       = errors.ConstError("body shorter than promised")
	errBodyLong        = errors.ConstError("body longer than promised")
	errBodyTimeout     = errors.ConstError("body did not arrive in time")
	errBodyBeforeAdmit = errors.ConstError("body before admission")
)

// initialBodyCapacity limits the memory allocated for a declared body before
// its bytes arrive.
const initialBodyCapacity = 64 << 10

// bodyReceiver collects a request's BodyParts. Its goroutine keeps receiving
// after the body is complete, to handle Cancel.
type bodyReceiver struct {
	declaredSize uint64
	data         []byte // written by the receiving goroutine until done is closed
	err          error
	done         chan struct{}
}

func newBodyReceiver(declaredSize uint64) *bodyReceiver {
	return &bodyReceiver{declaredSize: declaredSize, done: make(chan struct{})}
}

// receive reads messages until the entry closes its side or the stream breaks.
func (b *bodyReceiver) receive(r *run) {
	complete := false
	for {
		up, err := r.stream.Recv()
		if err != nil {
			b.handleRecvError(r, complete, err)
			return
		}
		if up.GetCancel() != nil {
			r.cancel(errCancelled)
		}
		part := up.GetPart()
		if part == nil || complete {
			continue
		}
		if !r.admitted.Load() {
			// The bytes are not yet counted against MaxTotalBodyBytes.
			r.cancel(errBodyBeforeAdmit)
			continue
		}
		if complete = b.appendPart(part); complete {
			close(b.done)
		}
	}
}

// appendPart appends a part and reports whether the body has ended.
func (b *bodyReceiver) appendPart(part *wirepb.BodyPart) bool {
	if uint64(len(b.data))+uint64(len(part.Data)) > b.declaredSize {
		b.err = errBodyLong
		return true
	}
	if b.data == nil {
		b.data = make([]byte, 0, min(b.declaredSize, initialBodyCapacity))
	}
	b.data = append(b.data, part.Data...)
	if part.Last && uint64(len(b.data)) < b.declaredSize {
		b.err = errBodyShort
	}
	return part.Last
}

// handleRecvError handles the end of the entry's side. A proper close is normal
// and only leaves an incomplete body too short; any other error means that the
// entry is gone. After a proper close no message can arrive, but the stream may
// still break, so it is watched until the run ends.
func (b *bodyReceiver) handleRecvError(r *run, complete bool, err error) {
	closed := errors.Is(err, io.EOF)
	if !closed {
		r.cancel(errEntryGone)
	}
	if !complete {
		b.err = errBodyShort
		close(b.done)
	}
	if !closed {
		return
	}
	select {
	case <-r.stream.Context().Done():
		r.cancel(errEntryGone)
	case <-r.ctx.Done():
	}
}

// wait returns the complete body.
func (b *bodyReceiver) wait(ctx context.Context, timeout time.Duration) ([]byte, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-b.done:
		if b.err != nil && ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return b.data, b.err
	case <-timer.C:
		return nil, errBodyTimeout
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
