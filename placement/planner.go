package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Planner places requests by what they and all others on the servers lose: first
// tokens that come late and pauses that grow too long. It is safe for concurrent
// use.
type Planner struct {
	ledger *Ledger
	owner  uint64
	seq    atomic.Uint64
	clock  func() time.Time
	tell   AttemptPublisher
	policy Policy
	// shuffle orders the servers before a choice, so that entries that choose at the
	// same moment don't all take the first of those that are alike. Tests seed it.
	shuffle func(n int, swap func(i, j int))
}

// AttemptPublisher passes on to other entries what becomes of this entry's attempts. Its
// methods must not block.
type AttemptPublisher interface {
	Began(w Attempt)
	FirstToken(id AttemptID)
	Ended(id AttemptID)
}

// NewPlanner returns a Planner with policy LeastLoss over a Ledger for the entry's
// incarnation owner. tell may be nil.
func NewPlanner(l *Ledger, owner uint64, clock func() time.Time, tell AttemptPublisher) *Planner {
	return &Planner{ledger: l, owner: owner, clock: clock, tell: tell, policy: LeastLoss, shuffle: rand.Shuffle}
}

// SetPolicy has the Planner choose by another policy. Call it before the first Place.
func (p *Planner) SetPolicy(policy Policy) *Planner {
	p.policy = policy
	return p
}

// option is one server as a choice for a query.
type option struct {
	candidate Candidate
	key       uint64
	state     *serverState
	forecast  forecast
	harm      float64
	cost      float64 // for an answering server: harm, and its own burdens
}

// Decision says what became of a query.
type Decision uint8

// Answers.
const (
	Placed             Decision = iota
	NoCapacity                  // no candidate, or not enough memory on all of them together
	Deferred                    // it would cost the others more than it gains; ask again soon
	DeadlineUnmeetable          // its answer would come after its caller's time; Forecast says when
)

// Place chooses the servers of a query and, if it is Placed, notes the attempt in
// the ledger.
func (p *Planner) Place(q Query, candidates []Candidate) (Placement, Decision) {
	if len(candidates) == 0 {
		return Placement{}, NoCapacity
	}
	now := p.clock()
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.judgeWaiting(now)
	options := make([]option, len(candidates))
	for i, c := range candidates {
		key := ServerKey(c.Instance)
		options[i] = option{candidate: c, key: key, state: p.ledger.serverLocked(key)}
	}
	p.shuffle(len(options), func(i, j int) { options[i], options[j] = options[j], options[i] })
	if p.policy.plain(q) {
		return p.place(q, choice{first: pickPlain(options, now)}, now), Placed
	}
	best := p.best(q, options, p.ledger.others.alike(now), now)
	switch {
	case math.IsInf(best.loss, 1):
		return Placement{}, NoCapacity
	case q.tooLate(best.ready):
		return Placement{Forecast: best.ready}, DeadlineUnmeetable
	case best.waits(q, readingPrice(q, options, now)):
		return Placement{}, Deferred
	}
	return p.place(q, best, now), Placed
}

// best returns the way with the least loss. alike is the difference of cost under which
// servers count as alike for a prompt that one reads alone.
func (p *Planner) best(q Query, options []option, alike float64, now time.Time) choice {
	for i := range options {
		options[i].state.advance(q.Engine, now)
		options[i].state.decayLong(now)
	}
	if !q.Engine.joins() || fitsOne(q, options) {
		return pickEngines(q, options, alike, now)
	}
	return pickApart(q, options, now)
}

// pickPlain chooses among servers of a plain service: the least requests.
func pickPlain(options []option, now time.Time) option {
	for i := range options {
		s := options[i].state
		options[i].cost = float64(len(s.works)) / float64(max(1, options[i].candidate.Capacity))
		options[i].cost += s.refusal(now)
	}
	return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
}

// refusal is the price of a refusal that is remembered.
func (s *serverState) refusal(now time.Time) float64 {
	return refusedPrice * (1 - ramp(now.Sub(s.refusedAt), 0, refusedMemory))
}

// memory is what the query keeps at the answering server.
func (q Query) memory() int { return q.InputTokens + q.MaxOutputTokens }

// place notes the attempt and tells the other entries.
func (p *Planner) place(q Query, c choice, now time.Time) Placement {
	first := c.first
	w := Attempt{
		ID:                 AttemptID{Owner: p.owner, Seq: p.seq.Add(1)},
		Server:             first.key,
		PauseObjective:     q.PauseObjective,
		FirstTokenDeadline: now.Add(q.FirstTokenObjective),
		Weight:             WeightOf(q.InputTokens),
	}
	out := Placement{Server: first.candidate, QueuePriority: q.urgencyLevel(), planner: p, work: w.ID, key: first.key}
	if q.Engine != nil && q.InputTokens > 0 {
		n := 1 + len(c.helpers)
		w.PartTokens = q.InputTokens / n
		w.PartTime = q.Engine.PrefillTime(w.PartTokens, q.InputTokens)
		w.MemoryTokens = q.memory()
		out.PartTime = w.PartTime
		out.Forecast, out.Interference = c.ready, c.harm
		for _, h := range c.helpers {
			w.Helpers = append(w.Helpers, h.key)
			out.Helpers = append(out.Helpers, h.candidate)
		}
	}
	if len(c.holders) > 0 {
		w.HolderTokens = q.holderTokens(len(c.holders))
		w.MemoryTokens = 0
		out.HolderTokens = w.HolderTokens
		for _, h := range c.holders {
			w.Holders = append(w.Holders, h.key)
			out.Holders = append(out.Holders, h.candidate)
		}
	}
	p.ledger.beginLocked(w, q.Engine, now)
	if p.tell != nil {
		p.tell.Began(w)
	}
	return out
}
