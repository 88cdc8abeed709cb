package wire

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
)

// minSilence is how long a cancelled stream must have received nothing for its connection to be
// closed. A stream that is cancelled sooner says nothing about its connection, and a new one
// costs a round trip.
const minSilence = time.Second

// NewStream implements drpc.Conn.
func (c callConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	before, began := c.received.Load(), time.Now()
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	checked := &checkedStream{Stream: stream, ctx: doneContext{Context: ctx, done: make(chan struct{})}}
	go func() {
		defer close(checked.ctx.done)
		<-stream.Context().Done()
		if c.received.Load() == before && gaveUp(ctx, time.Since(began)) {
			_ = c.Close() // the stream has failed already
		}
	}()
	return checked, nil
}

// gaveUp reports whether a stream ended because its caller had waited long enough.
func gaveUp(ctx context.Context, waited time.Duration) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() != nil && waited >= minSilence
}

// checkedStream is a stream that counts as done only after its connection has been checked, so
// that the pool doesn't take back a connection that is about to be closed.
type checkedStream struct {
	drpc.Stream
	ctx doneContext
}

// Context implements drpc.Stream.
func (s *checkedStream) Context() context.Context { return &s.ctx }

// doneContext is a context with a Done channel of its own.
type doneContext struct {
	context.Context
	done chan struct{}
}

// Done implements context.Context.
func (c *doneContext) Done() <-chan struct{} { return c.done }
