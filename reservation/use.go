package reservation

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
)

const (
	// usageCheckDelay is the time after which the engines are asked whether a prompt has
	// begun to use its reservation, unless its first token has arrived. An engine that
	// can't begin because one of its helpers is gone refuses after 1.5 s. That refusal is
	// preferable, because it proves that the prompt did not run.
	usageCheckDelay = 1600 * time.Millisecond
	// usageCheckInterval is the time between two checks. Reports are 200 ms old.
	usageCheckInterval = 300 * time.Millisecond
	// minUnusedReplies is how many replies must say that nothing has begun before the
	// reservation counts as unused, provided that none says the opposite: the engines of
	// one prompt report its start at different times. Engines that don't reply count
	// neither way.
	minUnusedReplies = 2
)

// watchUsage checks whether a prompt begins to use the memory. An engine that accepts a
// prompt and doesn't respond can't be told from one with a long prefill by its response
// alone, but every engine that holds the prompt reports whether it has begun. Without this
// check unused memory would be reserved, and the caller would wait, until the caller's
// timeout: twelve seconds instead of two.
func (r *Reservation) watchUsage(ctx context.Context) {
	if !sleep.For(ctx, usageCheckDelay) {
		return
	}
	unused := 0
	for check := 0; !r.used.Load(); check++ {
		// Starts with the last part: the first engine is the primary, which may be
		// unresponsive.
		last := len(r.Parts) - 1
		switch r.queryUsage(ctx, r.Parts[last-check%len(r.Parts)]) {
		case InUse:
			r.used.Store(true)
			return
		case Unused:
			unused++
		}
		if unused >= minUnusedReplies && !r.used.Load() {
			r.markUnused()
			return
		}
		if !sleep.For(ctx, usageCheckInterval) {
			return
		}
	}
}

func (r *Reservation) queryUsage(ctx context.Context, p Part) Usage {
	usage := UsageUnknown
	err := r.reserver.call(ctx, func(ctx context.Context) (err error) {
		usage, err = r.reserver.engines.Usage(ctx, p.Engine, p.ID)
		return err
	})
	if ctx.Err() != nil {
		return UsageUnknown
	}
	line := r.log.WithFields(logrus.Fields{"server": p.Engine.Address, "held_ms": time.Since(r.reservedAt).Milliseconds(), "use": usage})
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("usage of reserved memory checked before first token")
	return usage
}

// Context returns a context that ends with its parent, or with the cause ErrUnused when the
// engines report that no prompt has begun to use the memory. The caller must call the
// CancelFunc.
func (r *Reservation) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(r.unused, func() { cancel(ErrUnused) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
