package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

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
	Urgency        int
	Stream         bool
}

// Placement is where an attempt runs.
type Placement struct {
	Server  Candidate
	Helpers []Candidate
	Urgency int // for the engine; negative: not said
	ledger  *LeastWork
}

// LeastWork is the baseline policy: the server with the fewest requests of this
// entry, and for a long prompt helpers by its length.
type LeastWork struct {
	tokensPerHelper int
	maxHelpers      int

	mu      sync.Mutex // guards what follows
	running map[string]int
}

// NewLeastWork returns the baseline.
func NewLeastWork(tokensPerHelper, maxHelpers int) *LeastWork {
	return &LeastWork{tokensPerHelper: tokensPerHelper, maxHelpers: maxHelpers, running: map[string]int{}}
}

// Place implements the gateway's Placer.
func (l *LeastWork) Place(q Query, candidates []Candidate) (Placement, bool) {
	if len(candidates) == 0 {
		return Placement{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return l.running[a.Instance] - l.running[b.Instance] })
	p := Placement{Server: candidates[0], Urgency: -1, ledger: l}
	if q.Engine != nil && l.tokensPerHelper > 0 {
		n := min(q.InputTokens/l.tokensPerHelper, l.maxHelpers, len(candidates)-1)
		p.Helpers = slices.Clone(candidates[1 : 1+n])
	}
	l.count(p, 1)
	return p, true
}

func (l *LeastWork) count(p Placement, by int) {
	l.running[p.Server.Instance] += by
	for _, h := range p.Helpers {
		l.running[h.Instance] += by
	}
}

// End tells that the attempt is over.
func (p Placement) End() {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.count(p, -1)
}

// FirstToken tells that the prompt is read.
func (p Placement) FirstToken() {}

// Refused tells that the server did not take the attempt.
func (p Placement) Refused() {}

// Observe takes what the server says of its load.
func (p Placement) Observe(running, waiting int) {}
