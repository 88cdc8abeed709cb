package reservation

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
)

const (
	// useExpected is when the engines are asked whether a prompt has begun to use what
	// is reserved for it, unless its first token has come. An engine that can't begin
	// because one that helps it is gone refuses after 1.5 s, which is better to have:
	// it proves that the prompt did not run.
	useExpected = 1600 * time.Millisecond
	// useAgain is the pause between two questions. Reports are 200 ms old.
	useAgain = 300 * time.Millisecond
	// unusedAnswers is how many answers must say that nothing has begun, while none says
	// the opposite: of the engines of one prompt some report its beginning later than
	// others. Engines that don't answer count for neither.
	unusedAnswers = 2
)

// watchUse finds out whether a prompt begins to use the memory. An engine that takes a
// prompt and stays silent is not told from one that reads for long by its answer; but
// all engines that keep the prompt say whether it has begun. Memory that nobody uses
// would else be kept, and the caller kept waiting, for as long as the caller has
// patience: twelve seconds in place of two.
func (h *Reservation) watchUse(ctx context.Context) {
	if !sleep.For(ctx, useExpected) {
		return
	}
	unused := 0
	for question := 0; !h.used.Load(); question++ {
		// From the last on: the first is the one that may be silent altogether.
		last := len(h.Parts) - 1
		switch h.ask(ctx, h.Parts[last-question%len(h.Parts)]) {
		case InUse:
			h.used.Store(true)
			return
		case Unused:
			unused++
		}
		if unused >= unusedAnswers && !h.used.Load() {
			h.sayUnused()
			return
		}
		if !sleep.For(ctx, useAgain) {
			return
		}
	}
}

func (h *Reservation) ask(ctx context.Context, p Part) Usage {
	use := UsageUnknown
	err := h.reserver.order(ctx, func(ctx context.Context) (err error) {
		use, err = h.reserver.engines.Usage(ctx, p.Engine, p.ID)
		return err
	})
	if ctx.Err() != nil {
		return UsageUnknown
	}
	line := h.log.WithFields(logrus.Fields{"server": p.Engine.Address, "held_ms": time.Since(h.since).Milliseconds(), "use": use})
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("memory without a first token")
	return use
}

// Context returns a context that ends with its parent, and with the cause ErrUnused
// when the engines say that no prompt has begun to use the memory. Cancel it.
func (h *Reservation) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(h.unused, func() { cancel(ErrUnused) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
