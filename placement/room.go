package placement

import (
	"slices"
	"time"
)

// In times in which more requests arrive than the servers have slots for, requests without room wait
// at their entries, which give the room that comes free in the order of their queues (package
// workspace). In the queues of the servers nobody would choose any more, and each request would be
// late by the same few tenths of a second.
//
// The ledger knows the attempts of all entries, so that they act alike without a message.

// room is the decision whether a query that may wait at its entry is placed now.
type room struct {
	query   Query
	options []serverOption
	now     time.Time
}

// decideRoom returns whether a query is placed on the servers of its best choice. Queries that
// don't wait always are. It holds the ledger's lock.
func (p *Planner) decideRoom(q Query, best choice, options []serverOption, now time.Time) Decision {
	if !q.MayWait {
		return Placed
	}
	own, peers := p.ledger.ownChoices.perSecond(now), p.ledger.peerChoices.perSecond(now)
	r := room{query: q, options: options, now: now}
	if q.cannotFinish(r.earliestFirstToken(best)) {
		return DeadlineUnmeetable
	}
	if r.exceedsShare(p.ledger.recentChoices.count(now), own/max(own+peers, 1)) {
		return NoRoom
	}
	return r.decide(best)
}

// decide returns Placed if the query has room on the servers of the choice, and NoRoom if it
// waits: for a slot, or for one on servers where its objective is still met, if it isn't here. Who
// looks for room first is up to the queue: neither lateness nor length keeps a query from a free slot.
func (r room) decide(c choice) Decision {
	switch {
	case !c.primary.hasSlotFor(r.query) || r.query.cannotFinish(c.firstToken):
		return NoRoom
	case c.firstToken > r.query.FirstTokenObjective && r.earliestFirstToken(c) <= r.query.FirstTokenObjective:
		return NoRoom
	}
	return Placed
}

// exceedsShare reports whether this entry has placed as many requests within propagationDelay as
// its share of the free slots allows, given as a fraction. The others don't know of them yet and
// may take the same slots. One request is always allowed.
func (r room) exceedsShare(recent int, share float64) bool {
	return recent > 0 && float64(recent) >= share*float64(r.freeSlots())
}

// earliestFirstToken returns the time until the first token if a slot were free on every server.
func (r room) earliestFirstToken(c choice) time.Duration {
	earliest := c.firstToken
	q := r.query
	whole := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	for i := range r.options {
		earliest = min(earliest, r.options[i].state.forecast(q.Engine, whole, q.InputTokens, false, r.now).ready)
	}
	return earliest
}

// anySlot reports whether any server may get the query.
func anySlot(options []serverOption, q Query) bool {
	return slices.ContainsFunc(options, func(o serverOption) bool { return o.hasSlotFor(q) })
}

// hasSlotFor reports whether the server may get the query. One that may wait at its entry doesn't
// wait in the server's queue.
func (o *serverOption) hasSlotFor(q Query) bool { return !q.MayWait || o.freeSlots() > 0 }

// freeSlots returns the number of free slots of the server; it is negative if requests wait there.
func (o *serverOption) freeSlots() int {
	return max(1, o.candidate.Capacity) - len(o.state.attempts)
}

// freeSlots returns the number of free slots of all servers.
func (r room) freeSlots() int {
	sum := 0
	for i := range r.options {
		sum += max(r.options[i].freeSlots(), 0)
	}
	return sum
}

// firstTokenLimit returns the time within which the first token must come: before the caller
// abandons the stream, and early enough for the answer to be complete by the deadline.
func (q Query) firstTokenLimit() (limit time.Duration, limited bool) {
	if q.TimeLeft > 0 {
		limit, limited = q.timeBudget().cutoff, true
	}
	if q.FirstTokenLimit != 0 && (!limited || q.FirstTokenLimit < limit) {
		limit, limited = q.FirstTokenLimit, true
	}
	return limit, limited
}

// cannotFinish reports whether a first token after the given time is too late for the caller.
func (q Query) cannotFinish(after time.Duration) bool {
	limit, limited := q.firstTokenLimit()
	return limited && after > limit
}

// recentChoices counts the placements of this entry that began within propagationDelay. The lock
// of its owner guards it.
type recentChoices struct {
	since time.Time // when the first one began
	n     int
}

// add counts a placement.
func (c *recentChoices) add(now time.Time) {
	c.expire(now)
	if c.n == 0 {
		c.since = now
	}
	c.n++
}

// count returns the number of placements.
func (c *recentChoices) count(now time.Time) int {
	c.expire(now)
	return c.n
}

func (c *recentChoices) expire(now time.Time) {
	if now.Sub(c.since) > propagationDelay {
		c.n = 0
	}
}
