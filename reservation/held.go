package reservation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
)

// Reservation is memory on several engines. Release it.
type Reservation struct {
	Parts    []Part
	reserver *Reserver
	stop     context.CancelFunc
	log      logrus.FieldLogger
	since    time.Time
	used     atomic.Bool // a prompt has begun to use it
	first    sync.Once   // token of the prompt

	unused    context.Context // ends when no prompt has begun in time
	sayUnused context.CancelFunc
}

// hold keeps what was reserved until Release.
func (r *Reserver) hold(ctx context.Context, request string, parts []Part) *Reservation {
	keeping, stop := context.WithCancel(ctx)
	h := &Reservation{Parts: parts, reserver: r, stop: stop, since: time.Now()}
	h.unused, h.sayUnused = context.WithCancel(ctx)
	h.log = r.log.WithFields(logrus.Fields{"request": request, "reservations": names(parts)})
	h.log.WithField("tokens_each", parts[0].Tokens).Info("memory reserved")
	r.pending.Go(func() { h.keep(keeping) })
	r.pending.Go(func() { h.watchUse(keeping) })
	return h
}

// names lists reservations for the log.
func names(parts []Part) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.Engine.Address + "/" + p.ID
	}
	return out
}

// keep renews the parts until ctx ends, then releases them. One goroutine does
// both: a renewal that overtakes the release would set the memory aside once more.
func (h *Reservation) keep(ctx context.Context) {
	h.renew(ctx)
	for _, p := range h.Parts {
		h.reserver.pending.Go(func() { h.reserver.release(p) })
	}
	used := h.used.Load()
	if !used {
		h.reserver.tally.neverUsed.Inc(1)
	}
	h.log.WithFields(logrus.Fields{"held_ms": time.Since(h.since).Milliseconds(), "used": used}).Info("memory released")
}

// renew renews the parts until ctx ends. A part that can't be renewed runs out, and
// the engine then cuts the request, which shows as a broken stream.
func (h *Reservation) renew(ctx context.Context) {
	for sleep.For(ctx, renewEvery) {
		// Side by side: engines that don't answer would else take longer, one after the
		// other, than the leases of the others last.
		var all sync.WaitGroup
		for i := range h.Parts {
			all.Go(func() { h.renewPart(ctx, &h.Parts[i]) })
		}
		all.Wait()
	}
}

func (h *Reservation) renewPart(ctx context.Context, p *Part) {
	err := h.reserver.order(ctx, func(ctx context.Context) error { return h.reserver.reserve(ctx, p) })
	if err != nil && ctx.Err() == nil {
		h.log.WithError(err).WithFields(logrus.Fields{"server": p.Engine.Address, "reservation": p.ID}).
			Warn("reservation not renewed")
	}
}

// FirstToken notes that the prompt uses the memory: its first token has come.
func (h *Reservation) FirstToken() {
	h.first.Do(func() {
		h.used.Store(true)
		h.reserver.tally.firstUse.Update(time.Since(h.since).Milliseconds())
	})
}

// Release ends the reservations, in the background. It may be called more than
// once.
func (h *Reservation) Release() { h.stop() }
