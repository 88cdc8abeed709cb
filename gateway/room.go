package gateway

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/workspace"
)

// roomPollInterval is the longest time until a request without room looks for some again. Room that
// comes free without the end of an attempt, such as when a server was added, is found then.
const roomPollInterval = 100 * time.Millisecond

// roomIsShort reports whether requests of this entry wait for room.
func (g *Gateway) roomIsShort() bool { return g.cfg.Room != nil && g.cfg.Room.Pending() }

// waitsForRoom reports whether the request waits in the queue of this entry while its service's
// servers have no room.
func (e *exchange) waitsForRoom() bool {
	return e.gateway.cfg.Room != nil && e.info.Prompt.InputTokens > 0 && e.queueEnabled()
}

// placeInTurn places an attempt like placeAndReserve, in the order of the queue. It waits for
// room for as long as the work that is left fits into the rest of the caller's time.
func (e *exchange) placeInTurn(ctx context.Context) (*placedAttempt, bool) {
	queuedAt := time.Now()
	defer func() { e.waitedForRoom += time.Since(queuedAt) }()
	room, item := e.gateway.cfg.Room, e.queueItem()
	turn, failure := room.awaitTurn(ctx, item)
	if failure != nil {
		e.queueFailure = failure
		return nil, false
	}
	defer room.leave(turn)
	for {
		e.turns++
		attempt, placed, decision := e.tryPlaceAndReserve(ctx)
		switch {
		case attempt != nil:
			attempt.ticket, attempt.cost = turn.Started(), item.Cost
			return attempt, true
		case e.hasNoServer():
			return nil, false
		case decision == placement.NeverFits:
			return nil, false
		case decision == placement.DeadlineUnmeetable:
			e.lateForecast = placed.Forecast
			return nil, false
		}
		if failure := turn.Wait(ctx, roomPollInterval); failure != nil {
			e.queueFailure = failure
			return nil, false
		}
	}
}

// queueItem describes the request to the queue.
func (e *exchange) queueItem() workspace.Item {
	prompt, engine := e.info.Prompt, e.service.Engine
	firstToken, rest := engine.ExpectedTimes(prompt.InputTokens, prompt.MaxOutputTokens)
	return workspace.Item{
		Workspace:        e.workspaceName(),
		Pool:             e.service.Name,
		Class:            classOf(prompt.InputTokens),
		Cost:             int64(prompt.InputTokens + prompt.MaxOutputTokens),
		PrefillTokens:    int64(prompt.InputTokens),
		ExpectedDuration: firstToken,
		Deadline:         e.firstTokenDeadline(rest),
		Priority:         int32(e.priority()),
		OnTimeUntil:      e.onTimeUntil(firstToken),
		Subject:          e.subject(),
		ArrivedAt:        e.startedAt,
	}
}

// patience returns how long the caller waits for the first event of a stream; 0 if it waits for
// its deadline.
func (e *exchange) patience() time.Duration {
	if e.route.Kind != routetable.Stream {
		return 0
	}
	return eventTimeout(e.route)
}

// leavesAt returns when the caller abandons the stream unless an event comes before; zero if it
// waits for its deadline.
func (e *exchange) leavesAt() time.Time {
	patience := e.patience()
	switch {
	case patience == 0:
		return time.Time{}
	case e.stream.hasEvents():
		return e.stream.lastEventAt.Add(patience)
	}
	return e.startedAt.Add(patience)
}

// firstTokenLimit returns the time left until the caller abandons the request; 0 if it doesn't
// before its deadline.
func (e *exchange) firstTokenLimit() time.Duration {
	leaves := e.leavesAt()
	if leaves.IsZero() {
		return 0
	}
	return time.Until(leaves)
}

// eventDue returns when the next event of the response is due by the objectives of its route: the
// first one after the request, a later one after the one before.
func (e *exchange) eventDue() time.Time {
	if e.stream.hasEvents() && e.route.PauseObjective > 0 {
		return e.stream.lastEventAt.Add(e.route.PauseObjective)
	}
	return e.startedAt.Add(e.route.Objective)
}

// firstTokenDeadline returns the time at which the first token must have arrived, so that the
// caller is still there and the rest of the answer, which takes the given time, is in time.
func (e *exchange) firstTokenDeadline(rest time.Duration) time.Time {
	end := e.deadline.Add(-rest)
	if leaves := e.leavesAt(); !leaves.IsZero() && leaves.Before(end) {
		return leaves
	}
	return end
}

// latestStart returns the latest time at which the request may start and still be served in time.
func (e *exchange) latestStart() time.Time {
	firstToken, rest := e.service.Engine.ExpectedTimes(e.info.Prompt.InputTokens, e.info.Prompt.MaxOutputTokens)
	return e.firstTokenDeadline(rest).Add(-firstToken)
}

// onTimeUntil returns the latest start with which the request is on time if its first token takes
// the given time; zero if its route has no objective.
func (e *exchange) onTimeUntil(firstToken time.Duration) time.Time {
	if e.route.Objective <= 0 {
		return time.Time{}
	}
	return e.eventDue().Add(-firstToken)
}

// queueReason returns the reason for which the queue refused a request.
func queueReason(f *request.Failure) Reason {
	switch f.Reason {
	case workspace.ReasonQueueFull:
		return ReasonQueueFull
	}
	return ReasonDeadlineUnmeetable
}

// maxRetryShare is the fraction of its remaining time up to which a caller honours Retry-After, as
// the protocol says.
const maxRetryShare = 1.0 / 3

// roomRetryAfter returns when a caller that was refused for lack of room may retry: when the queue
// expects room for it, at least shortest, and no later than the caller waits for.
func (e *exchange) roomRetryAfter(shortest time.Duration) time.Duration {
	if !e.waitsForRoom() {
		return shortest
	}
	longest := time.Duration(maxRetryShare * float64(time.Until(e.deadline)))
	return max(min(e.expectedRoom(), longest), shortest)
}

// expectedRoom returns the delay after which the queue expects room for the refused request.
func (e *exchange) expectedRoom() time.Duration {
	if e.queueFailure != nil {
		return e.queueFailure.RetryAfter
	}
	return e.gateway.cfg.Room.queue().RetryAfter(e.queueItem())
}

// classOf returns the class in which a request waits, by the length of its prompt alone: those whose
// work is alike wait together. Prompts of the two shortest classes are read within moments, so that
// one doesn't hold up the other.
func classOf(promptTokens int) request.Class {
	return max(request.ClassOf(int64(promptTokens)), request.ClassMedium)
}

// subject returns the last shared part of the prompt, which is what the request is about; 0 if it
// shares none.
func (e *exchange) subject() uint64 {
	if len(e.parts) == 0 {
		return 0
	}
	return e.parts[len(e.parts)-1].ID
}
