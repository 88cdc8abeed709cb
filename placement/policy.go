package placement

import "time"

// Candidate is a server that may take an attempt.
type Candidate struct {
	Instance string
	Address  string
	Zone     string
	Capacity int
	Cold     bool
}

// Query is a request to be placed.
type Query struct {
	Request        string
	Service        string
	Engine         *Engine // nil: a plain service
	InputTokens    int
	OutputTokens   int
	Hint           int
	Objective      time.Duration // what is left of it
	PauseObjective time.Duration
	Left           time.Duration // of the caller's time
	Waited         time.Duration // since it came
	Urgency        int
	Stream         bool
}

// urgencyLevel is the level for the engine's own queue: shorter objectives first.
func (q Query) urgencyLevel() int {
	if q.Engine == nil {
		return -1
	}
	switch {
	case q.PauseObjective > 0 && q.PauseObjective <= shortPause:
		return 2
	case q.InputTokens > 0:
		return 4
	}
	return -1
}

// Placement is where an attempt runs.
type Placement struct {
	Server  Candidate
	Helpers []Candidate
	// Holders keep the prompt, HolderTokens each, where no server has room for it
	// alone; the first of them is Server. The others are among Helpers too.
	Holders      []Candidate
	HolderTokens int
	Urgency      int // for the engine; negative: not said
	// What the choice was made on, for the log.
	Part     time.Duration // reading on each server
	Forecast time.Duration // until the first token
	Harm     float64       // what the others there were expected to lose
	planner  *Planner
	work     WorkID
	key      uint64
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

// Refused tells that the server did not take the attempt.
func (p Placement) Refused() { p.planner.ledger.Refused(p.key, p.planner.clock()) }

// Observe takes what the server says of its load.
func (p Placement) Observe(running, waiting int) {}

// NoMemory tells that the i-th holder had no room.
func (p Placement) NoMemory(i int) {
	p.planner.ledger.Refused(ServerKey(p.Holders[i].Instance), p.planner.clock())
}
