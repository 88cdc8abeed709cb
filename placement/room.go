package placement

import (
	"slices"
	"time"
)

// The constants below handle times in which more requests arrive than the servers have slots
// for, for example 1.8 times the usual traffic on three fifths of the servers. If all requests
// wait in the queues of the servers, each one is late by the same few tenths of a second.
// Instead, requests without room wait at their entries, and room that comes free is given to
// those that can still be on time; the others get what is spare.
//
// The ledger knows the attempts of all entries, so that they act alike without a message.
const (
	// onTimeForecastShare is the forecast, as a fraction of the remaining objective, up to
	// which a request counts as on time. The rest is for errors of the forecast.
	onTimeForecastShare = 0.8
	// reserveTime is the time for whose placements by all entries late requests leave free
	// slots: the shortest objectives are as long, and requests that arrive within it find a
	// slot even if none comes free meanwhile.
	reserveTime = 300 * time.Millisecond
)

// room is the decision whether a query that may wait at its entry is placed now.
type room struct {
	query   Query
	options []serverOption
	rate    float64 // placements per second by all entries
	now     time.Time
}

// decideRoom returns whether a query is placed on the servers of its best choice. Queries that
// don't wait always are. It holds the ledger's lock.
func (p *Planner) decideRoom(q Query, best choice, options []serverOption, now time.Time) Decision {
	if !q.MayWait {
		return Placed
	}
	own, peers := p.ledger.ownChoices.perSecond(now), p.ledger.peerChoices.perSecond(now)
	r := room{query: q, options: options, rate: own + peers, now: now}
	if q.cannotFinish(r.earliestFirstToken(best)) {
		return DeadlineUnmeetable
	}
	if r.exceedsShare(p.ledger.recentChoices.count(now), own/max(own+peers, 1)) {
		return NoRoom
	}
	return r.decide(best)
}

// decide returns Placed if the query has room on the servers of the choice, and NoRoom if it
// waits. A short stream that is on time there has room. One that would be on time if a slot were
// free waits for the slot. One that is late in any case gets spare room only, and so does a long
// prompt, whose prefill takes the time of many short ones.
func (r room) decide(c choice) Decision {
	objective := scale(r.query.FirstTokenObjective, onTimeForecastShare)
	onTime := c.firstToken <= objective
	switch {
	case !c.primary.hasSlotFor(r.query) || r.query.cannotFinish(c.firstToken):
		return NoRoom
	case onTime && IsShortStream(r.query.PauseObjective):
		return Placed
	case !onTime && r.earliestFirstToken(c) <= objective:
		return NoRoom
	case float64(r.freeSlots()) <= r.reserve():
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

// IsShortStream reports whether a stream whose pauses may have the given length counts as short:
// its first token is owed soon, and the pass of a long prompt stops it for too long.
func IsShortStream(pauseObjective time.Duration) bool {
	return pauseObjective > 0 && pauseObjective <= shortStreamPause
}

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

// reserve returns the number of free slots that a late query leaves to queries that can be on
// time. It falls to zero while the query's time runs out.
func (r room) reserve() float64 {
	return r.rate * reserveTime.Seconds() * r.query.timeLeftShare()
}

// timeLeftShare returns the fraction of the time for a first token that is left; 1 if the query
// has no deadline.
func (q Query) timeLeftShare() float64 {
	left, limited := q.firstTokenLimit()
	if !limited {
		return 1
	}
	return float64(max(left, 0)) / float64(max(left, 0)+max(q.Waited, 1))
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
