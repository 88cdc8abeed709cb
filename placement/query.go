package placement

import (
	"slices"
	"time"
)

// Candidate is a server that may take an attempt.
type Candidate struct {
	Instance string
	Address  string
	Zone     string
	Capacity int
	Cold     bool // or not known to be warm
}

// Query is a request to be placed.
type Query struct {
	Engine              *EngineProfile // nil: a plain service
	InputTokens         int
	MaxOutputTokens     int           // the most that its answer may hold
	FirstTokenObjective time.Duration // what is left of it
	PauseObjective      time.Duration
	TimeLeft            time.Duration // of the caller's time; 0: not known
	Waited              time.Duration // since it came
	Priority            int           // of its workspace or route; 0 is first
	Stream              bool
}

// writtenShare is the part of the most that an answer may hold that it holds in the mean.
const writtenShare = 0.5

// due is what is left of the query's time. When the first token has come the rest of the
// answer is still to be written: half of the most that it may hold, without other streams
// beside it.
func (q Query) due() due {
	if q.TimeLeft == 0 {
		return due{objective: q.FirstTokenObjective}
	}
	return due{objective: q.FirstTokenObjective, end: q.TimeLeft - scale(q.Engine.writeTime(q.MaxOutputTokens), writtenShare)}
}

// tooLate reports whether a first token that is forecast after so long will come after the
// caller's time, also if the forecast is off. What is written behind it doesn't count: an
// answer may be a few tokens long.
func (q Query) tooLate(after time.Duration) bool {
	return q.TimeLeft > 0 && after > scale(q.TimeLeft, surelyLate)
}

// Levels of urgency for the engines' own queues, where 0 is first and 9 last. Short
// streams go before long prompts: they are soon read, and late sooner.
const (
	levelShort = 1
	levelLong  = 4
	rankLevels = 3  // levels that the rank of a workspace or a route moves
	noUrgency  = -1 // nothing is said
)

// urgencyLevel is the level of the query for the engine's queue.
func (q Query) urgencyLevel() int {
	if q.Engine == nil || q.InputTokens == 0 {
		return noUrgency
	}
	level := levelLong
	if q.PauseObjective > 0 && q.PauseObjective <= shortPause {
		level = levelShort
	}
	return level + min(max(q.Priority, 0), rankLevels)
}

// Placement is where an attempt runs.
type Placement struct {
	Server  Candidate
	Helpers []Candidate
	// Holders keep the prompt, HolderTokens each, where no server has room for it
	// alone; the first of them is Server. The others are among Helpers too.
	Holders       []Candidate
	HolderTokens  int
	QueuePriority int // for the engine; negative: not said
	// What the choice was made on, for the log.
	PartTime     time.Duration // reading on each server
	Forecast     time.Duration // until the first token
	Interference float64       // what the others there were expected to lose
	planner      *Planner
	work         AttemptID
	key          uint64
}

// End tells that the attempt is over.
func (p Placement) End() {
	p.planner.ledger.End(p.work)
	if p.planner.tell != nil {
		p.planner.tell.Ended(p.work)
	}
}

// FirstToken tells that the prompt is read.
func (p Placement) FirstToken() {
	p.planner.ledger.FirstToken(p.work, p.planner.clock())
	if p.planner.tell != nil {
		p.planner.tell.FirstToken(p.work)
	}
}

// Event tells that an event of the stream came.
func (p Placement) Event() { p.planner.ledger.Event(p.work, p.key, p.planner.clock()) }

// Refused tells that the attempt was not taken. atFault is the address or instance
// of the server that the answering one names; it may be a helper.
func (p Placement) Refused(atFault string) {
	p.planner.ledger.Refused(p.keyOf(atFault), p.planner.clock())
}

// keyOf returns the key of the helper or holder that a name is of, else that of the
// answering server.
func (p Placement) keyOf(name string) uint64 {
	for _, c := range slices.Concat(p.Helpers, p.Holders) {
		if name == c.Address || name == c.Instance {
			return ServerKey(c.Instance)
		}
	}
	return p.key
}

// HolderRefused tells that the i-th holder had no room.
func (p Placement) HolderRefused(i int) {
	p.planner.ledger.Refused(ServerKey(p.Holders[i].Instance), p.planner.clock())
}
