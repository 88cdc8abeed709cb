package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/reservation"
)

// memoryPause is the wait before memory is looked for again. Streams end, and free
// theirs, several times a second.
const memoryPause = 60 * time.Millisecond

// placeWithMemory places an attempt, and where the prompt is kept on several
// servers reserves their memory first. It waits for memory for a bounded time, and
// for a moment at which it costs the others less for as long as the placer says. A request
// whose answer can't come in its caller's time, or that operators have left no server, is
// given up at once.
func (e *exchange) placeWithMemory(ctx context.Context) (*run, bool) {
	until := time.Now().Add(e.gateway.cfg.Options.MemoryWait)
	for {
		r, place, answer := e.placeOnce(ctx)
		switch {
		case r != nil:
			return r, true
		case e.keptOut.ByOperator():
			return nil, false
		case answer == placement.DeadlineUnmeetable:
			e.tooLate = place.Forecast
			return nil, false
		case answer != placement.Deferred && time.Now().After(until):
			return nil, false
		case e.env.Prompt.InputTokens == 0 || !sleep.For(ctx, memoryPause):
			return nil, false
		}
	}
}

// placeOnce places an attempt and reserves its memory, without a wait. Where it may not be
// sent there any more by then it is placed anew.
func (e *exchange) placeOnce(ctx context.Context) (*run, placement.Placement, placement.Decision) {
	for range clearTries {
		place, answer := e.place()
		if answer != placement.Placed {
			return nil, place, answer
		}
		held, err := e.reserve(ctx, place)
		if err != nil {
			place.End()
			return nil, place, placement.NoCapacity
		}
		r := &run{Placement: place, memory: held}
		if e.clear(place) {
			return r, place, answer
		}
		r.end()
	}
	return nil, placement.Placement{}, placement.NoCapacity
}

// reserve sets the memory of a placement aside; most need none.
func (e *exchange) reserve(ctx context.Context, place placement.Placement) (*reservation.Reservation, error) {
	if len(place.Holders) == 0 {
		return nil, nil
	}
	parts := make([]reservation.Part, len(place.Holders))
	for i, h := range place.Holders {
		parts[i] = reservation.Part{
			Engine: reservation.Engine{Address: h.Address, Instance: h.Instance},
			Tokens: place.HolderTokens,
		}
	}
	held, failed, err := e.gateway.cfg.Reserver.Acquire(ctx, e.env.ID, parts)
	if err != nil {
		place.HolderRefused(failed)
		e.gateway.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"request": e.env.ID, "holders": len(parts), "tokens_each": place.HolderTokens,
		}).Info("memory not reserved")
		return nil, err
	}
	return held, nil
}

// helpersOf lists the servers that help the answering one. Where memory is
// reserved the holders go first, the answering server before all: reservations are
// filled in turn.
func helpersOf(place placement.Placement, held *reservation.Reservation) []Helper {
	var out []Helper
	listed := map[string]bool{}
	if held != nil {
		for _, p := range held.Parts {
			out = append(out, Helper{Address: p.Engine.Address, ReservationID: p.ID})
			listed[p.Engine.Address] = true
		}
	}
	for _, h := range place.Helpers {
		if !listed[h.Address] {
			out = append(out, Helper{Address: h.Address})
		}
	}
	return out
}
