package reservation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
)

// Reservation is memory reserved on several engines for one prompt. The caller must call
// Release.
type Reservation struct {
	Parts      []Part
	reserver   *Reserver
	stop       context.CancelFunc
	log        logrus.FieldLogger
	reservedAt time.Time
	used       atomic.Bool // a prompt has begun to use the memory
	firstToken sync.Once   // runs the work of FirstToken once

	unused     context.Context // ends if no prompt has begun to use the memory in time
	markUnused context.CancelFunc
}

// newReservation keeps the reserved parts until Release.
func (r *Reserver) newReservation(ctx context.Context, request string, parts []Part) *Reservation {
	renewCtx, stop := context.WithCancel(ctx)
	res := &Reservation{Parts: parts, reserver: r, stop: stop, reservedAt: time.Now()}
	res.unused, res.markUnused = context.WithCancel(ctx)
	res.log = r.log.WithFields(logrus.Fields{"request": request, "reservations": partNames(parts)})
	res.log.WithField("tokens_each", parts[0].Tokens).Info("memory reserved")
	r.pending.Go(func() { res.run(renewCtx) })
	r.pending.Go(func() { res.watchUsage(renewCtx) })
	return res
}

// partNames returns the names of reservations for the log.
func partNames(parts []Part) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.Engine.Address + "/" + p.ID
	}
	return out
}

// run renews the parts until ctx ends and then releases them. One goroutine does both: a
// renewal that arrived after the release would reserve the memory again.
func (r *Reservation) run(ctx context.Context) {
	r.renewUntilDone(ctx)
	for _, p := range r.Parts {
		r.reserver.pending.Go(func() { r.reserver.release(p) })
	}
	used := r.used.Load()
	if !used {
		r.reserver.metrics.neverUsed.Inc(1)
	}
	r.log.WithFields(logrus.Fields{"held_ms": time.Since(r.reservedAt).Milliseconds(), "used": used}).Info("memory released")
}

// renewUntilDone renews the parts until ctx ends. The lease of a part that can't be renewed
// expires, and the engine then cancels the request, which appears as a broken stream.
func (r *Reservation) renewUntilDone(ctx context.Context) {
	for sleep.For(ctx, renewInterval) {
		// Renewed concurrently: one after the other, calls to engines that don't respond
		// would take longer than the leases on the others last.
		var all sync.WaitGroup
		for i := range r.Parts {
			all.Go(func() { r.renewPart(ctx, &r.Parts[i]) })
		}
		all.Wait()
	}
}

func (r *Reservation) renewPart(ctx context.Context, p *Part) {
	err := r.reserver.call(ctx, func(ctx context.Context) error { return r.reserver.reserve(ctx, p) })
	if err != nil && ctx.Err() == nil {
		r.log.WithError(err).WithFields(logrus.Fields{"server": p.Engine.Address, "reservation": p.ID}).
			Warn("reservation not renewed")
	}
}

// FirstToken records that the first token of the prompt has arrived, so the memory is in
// use.
func (r *Reservation) FirstToken() {
	r.firstToken.Do(func() {
		r.used.Store(true)
		r.reserver.metrics.firstUse.Update(time.Since(r.reservedAt).Milliseconds())
	})
}

// Release ends the reservation in the background. It may be called more than once.
func (r *Reservation) Release() { r.stop() }
