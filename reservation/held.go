package reservation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
)

// unusedCheck is when the engines are asked whether a prompt has begun to use what is
// reserved for it. Half of all prompts that need several engines have their first token
// within 1.5 s, and nine tenths within 2.4 s.
const unusedCheck = 3 * time.Second

// Held is memory on several engines. Release it.
type Held struct {
	Parts    []Part
	reserver *Reserver
	stop     context.CancelFunc
	log      logrus.FieldLogger
	since    time.Time
	used     atomic.Bool
}

// hold keeps what was reserved until Release.
func (r *Reserver) hold(ctx context.Context, request string, parts []Part) *Held {
	renewing, stop := context.WithCancel(ctx)
	h := &Held{Parts: parts, reserver: r, stop: stop, since: time.Now()}
	h.log = r.log.WithFields(logrus.Fields{"request": request, "reservations": names(parts)})
	h.log.WithField("tokens_each", parts[0].Tokens).Info("memory reserved")
	r.pending.Go(func() { h.keep(renewing) })
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
func (h *Held) keep(ctx context.Context) {
	h.renew(ctx)
	for _, p := range h.Parts {
		h.reserver.pending.Go(func() { h.reserver.release(p) })
	}
	if !h.used.Load() {
		h.reserver.tally.neverUsed.Inc(1)
	}
	h.log.WithFields(logrus.Fields{"held_ms": time.Since(h.since).Milliseconds(), "used": h.used.Load()}).Info("memory released")
}

// renew renews the parts until ctx ends. A part that can't be renewed runs out, and
// the engine then cuts the request, which shows as a broken stream.
func (h *Held) renew(ctx context.Context) {
	asked := false
	for sleep.For(ctx, renewEvery) {
		if !asked && !h.used.Load() && time.Since(h.since) >= unusedCheck {
			asked = true
			h.reserver.pending.Go(func() { h.logUses(ctx) })
		}
		for i := range h.Parts {
			p := &h.Parts[i]
			err := h.reserver.order(ctx, func(ctx context.Context) error { return h.reserver.reserve(ctx, p) })
			if err != nil && ctx.Err() == nil {
				h.log.WithError(err).WithFields(logrus.Fields{"server": p.Engine.Address, "reservation": p.ID}).
					Warn("reservation not renewed")
			}
		}
	}
}

// logUses writes what the engines say of reservations that show no sign of use: a
// prompt that waits at a silent engine looks like one that is being read.
func (h *Held) logUses(ctx context.Context) {
	uses := make([]Use, len(h.Parts))
	for i, p := range h.Parts {
		err := h.reserver.order(ctx, func(ctx context.Context) (err error) {
			uses[i], err = h.reserver.engines.Use(ctx, p.Engine, p.ID)
			return err
		})
		if err != nil && ctx.Err() == nil {
			h.log.WithError(err).WithField("server", p.Engine.Address).Info("use of a reservation not told")
		}
	}
	h.log.WithFields(logrus.Fields{"held_ms": time.Since(h.since).Milliseconds(), "uses": uses}).Info("memory without a sign of use")
}

// Used notes that the prompt uses the memory: its first token has come.
func (h *Held) Used() {
	if h.used.CompareAndSwap(false, true) {
		h.reserver.tally.firstUse.Update(time.Since(h.since).Milliseconds())
	}
}

// Release ends the reservations, in the background. It may be called more than
// once.
func (h *Held) Release() { h.stop() }
