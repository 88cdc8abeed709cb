package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/eligible"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/reservation"
)

// memoryRetryInterval is the pause before the gateway looks for free memory again.
// Streams end and free their memory several times a second.
const memoryRetryInterval = 60 * time.Millisecond

// placeAndReserve places an attempt and reserves memory first if several servers hold the
// prompt. It waits for free memory, or until the request delays others less, for as long as
// the work that is left fits into the caller's time. It returns false at once if the response
// can't come before the deadline, or if no server is known that could take the request. A
// request without a prompt does not wait.
func (e *exchange) placeAndReserve(ctx context.Context) (*placedAttempt, bool) {
	if e.waitsForRoom() {
		return e.placeInTurn(ctx)
	}
	for {
		r, placed, decision := e.tryPlaceAndReserve(ctx)
		switch {
		case r != nil:
			return r, true
		case e.hasNoServer():
			return nil, false
		case decision == placement.NeverFits:
			return nil, false
		case decision == placement.DeadlineUnmeetable:
			e.lateForecast = placed.Forecast
			return nil, false
		case time.Now().After(e.latestStart()):
			return nil, false
		case e.info.Prompt.InputTokens == 0 || !sleep.For(ctx, memoryRetryInterval):
			return nil, false
		}
	}
}

// hasNoServer reports whether the last placement had no server to choose from and waiting a moment
// can't help.
func (e *exchange) hasNoServer() bool {
	return e.exclusionCause.Lasts() || e.candidateCount == 0 && e.exclusionCause == eligible.None
}

// tryPlaceAndReserve places an attempt and reserves its memory without waiting. It places
// the attempt again if the servers have become ineligible in the meantime.
func (e *exchange) tryPlaceAndReserve(ctx context.Context) (*placedAttempt, placement.Placement, placement.Decision) {
	for range maxPlacementTries {
		placed, decision := e.place()
		if decision != placement.Placed {
			return nil, placed, decision
		}
		reserved, err := e.reserveMemory(ctx, placed)
		if err != nil {
			placed.End()
			return nil, placed, placement.NoCapacity
		}
		r := &placedAttempt{Placement: placed, reservation: reserved}
		if e.stillEligible(placed) {
			return r, placed, decision
		}
		r.release()
	}
	return nil, placement.Placement{}, placement.NoCapacity
}

// reserveMemory reserves the memory of a placement. It returns nil if the placement needs
// none, as most do.
func (e *exchange) reserveMemory(ctx context.Context, placed placement.Placement) (*reservation.Reservation, error) {
	if len(placed.Holders) == 0 {
		return nil, nil
	}
	parts := make([]reservation.Part, len(placed.Holders))
	for i, h := range placed.Holders {
		parts[i] = reservation.Part{
			Engine: reservation.Engine{Address: h.Address, Instance: h.Instance},
			Tokens: placed.HolderTokens,
		}
	}
	reserved, failed, err := e.gateway.cfg.Reserver.Acquire(ctx, e.info.ID, parts)
	if err != nil {
		placed.HolderRefused(failed)
		e.observeDialFailure(ctx, placed.Holders[failed], err)
		e.gateway.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"request": e.info.ID, "holders": len(parts), "tokens_each": placed.HolderTokens,
		}).Info("memory not reserved")
		return nil, err
	}
	return reserved, nil
}

// helpersOf lists the servers that help the answering server. If memory is reserved, the
// holders come first, beginning with the answering server, because reservations are
// filled in this order.
func helpersOf(placed placement.Placement, reserved *reservation.Reservation) []Helper {
	var out []Helper
	listed := map[string]bool{}
	if reserved != nil {
		for _, p := range reserved.Parts {
			out = append(out, Helper{Address: p.Engine.Address, ReservationID: p.ID})
			listed[p.Engine.Address] = true
		}
	}
	for _, h := range placed.Helpers {
		if !listed[h.Address] {
			out = append(out, Helper{Address: h.Address})
		}
	}
	return out
}
