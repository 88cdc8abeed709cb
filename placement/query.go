package placement

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/request"
)

// Candidate is a server that may receive an attempt.
type Candidate struct {
	Instance      string
	StartedUnixMs int64 // start time, Unix ms; distinguishes restarts under one name; 0: unknown
	Address       string
	Zone          string
	Capacity      int
	Cold          bool // cold, or not known to be warm
}

// Query is a request to be placed.
type Query struct {
	Engine              *EngineProfile // nil for a plain service
	InputTokens         int
	MaxOutputTokens     int           // upper bound of the answer's length
	FirstTokenObjective time.Duration // remaining time until the first token is late
	PauseObjective      time.Duration
	TimeLeft            time.Duration // remaining time of the caller; 0 if unknown
	Waited              time.Duration // time since the request arrived
	Priority            int           // priority of its workspace or route; 0 is the highest
	Stream              bool
	Workspace           uint32 // WorkspaceKey of its workspace
	MayWait             bool   // it waits at its entry while the servers have no room
	// FirstTokenLimit is the time after which the caller abandons a stream without a first token;
	// 0 if unknown. Only queries that may wait have one.
	FirstTokenLimit time.Duration
}

// meanOutputShare is the mean length of an answer as a fraction of its upper bound.
const meanOutputShare = 0.5

// timeBudget returns the time that the query has left. After the first token the rest of
// the answer must still be decoded. Its expected length is half of the upper bound, and no
// other streams are assumed beside it.
func (q Query) timeBudget() timeBudget {
	if q.TimeLeft == 0 {
		return timeBudget{objective: q.FirstTokenObjective}
	}
	return timeBudget{objective: q.FirstTokenObjective, cutoff: q.TimeLeft - scale(q.Engine.decodeTime(q.MaxOutputTokens), meanOutputShare)}
}

// missesDeadline reports whether a first token that is forecast after the given time comes
// after the caller's deadline, even if the forecast is inaccurate. The time to decode the
// rest isn't counted, because an answer may have only a few tokens.
func (q Query) missesDeadline(after time.Duration) bool {
	return q.TimeLeft > 0 && after > scale(q.TimeLeft, unmeetableFactor)
}

// mustStart reports whether the query can't wait any more: its own work on that many servers just
// fits into the time within which its first token must come, if its time is forecast as inaccurately
// as it may be. The work of others doesn't count: it is done while the query waits, so that a
// forecast that includes it would let the query start when it does most harm.
func (q Query) mustStart(servers int) bool {
	limit, limited := q.firstTokenLimit()
	return limited && scale(q.leastPrefill(servers), unmeetableFactor) >= limit
}

// leastPrefill returns how long the prompt is prefilled if so many servers are idle.
func (q Query) leastPrefill(servers int) time.Duration {
	whole := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	if !q.Engine.supportsHelpers() {
		return whole
	}
	parts := time.Duration(1)
	for _, n := range spreadSizes {
		if n <= servers {
			parts = time.Duration(n)
		}
	}
	return max(whole/parts, min(whole, minPartTime))
}

// Priorities in the queues of the engines, where 0 is the highest and 9 the lowest. Short
// prompts precede long ones, which hardly wait for them.
const (
	priorityShort     = 1
	priorityLong      = 4
	maxPriorityOffset = 3  // maximum number of levels that a workspace or route priority adds
	noPriority        = -1 // no priority is sent
)

// queuePriority returns the priority of the query in the engine's queue.
func (q Query) queuePriority() int {
	if q.Engine == nil || q.InputTokens == 0 {
		return noPriority
	}
	return rankOf(q.InputTokens) + min(max(q.Priority, 0), maxPriorityOffset)
}

// rankOf returns the priority of a prompt by its length.
func rankOf(promptTokens int) int {
	if promptTokens < request.LargeTokens {
		return priorityShort
	}
	return priorityLong
}

// Placement is the set of servers chosen for an attempt.
type Placement struct {
	Server  Candidate
	Helpers []Candidate
	// Holders hold the prompt, HolderTokens tokens each, if no single server has room for
	// it. The first of them is Server; the others are among Helpers too.
	Holders       []Candidate
	HolderTokens  int
	QueuePriority int // priority in the engine's queue; negative if none is sent
	// The estimates behind the choice, for the log.
	PartTime     time.Duration // prefill time on each server
	Forecast     time.Duration // time until the first token
	Interference float64       // expected loss of the other requests, times interferenceFactor
	planner      *Planner
	attemptID    AttemptID
	key          uint64
}

// End records that the attempt has ended.
func (p Placement) End() {
	p.planner.ledger.End(p.attemptID)
	if p.planner.publisher != nil {
		p.planner.publisher.Ended(p.attemptID)
	}
}

// FirstToken records that the prompt is prefilled and the first token has arrived.
func (p Placement) FirstToken() {
	p.planner.ledger.FirstToken(p.attemptID, p.planner.clock())
	if p.planner.publisher != nil {
		p.planner.publisher.FirstToken(p.attemptID)
	}
}

// Event records that an event of the stream has arrived.
func (p Placement) Event() { p.planner.ledger.Event(p.attemptID, p.key, p.planner.clock()) }

// Refused records that the attempt was refused. atFault is the address or instance of the
// server that the primary blames in its response; it may be a helper.
func (p Placement) Refused(atFault string) {
	p.planner.ledger.Refused(p.keyOf(atFault), p.planner.clock())
}

// keyOf returns the key of the helper or holder with the given address or instance, or the
// key of the primary server if there is none.
func (p Placement) keyOf(name string) uint64 {
	for _, c := range slices.Concat(p.Helpers, p.Holders) {
		if name == c.Address || name == c.Instance {
			return ServerKey(c.Instance)
		}
	}
	return p.key
}

// HolderRefused records that the i-th holder had no free memory.
func (p Placement) HolderRefused(i int) {
	p.planner.ledger.Refused(ServerKey(p.Holders[i].Instance), p.planner.clock())
}
