package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Planner places requests so that the expected loss of the request and of the others on the
// same servers is least. Losses come from late first tokens and long pauses. It is safe for
// concurrent use.
type Planner struct {
	ledger    *Ledger
	owner     uint64
	seq       atomic.Uint64
	clock     func() time.Time
	publisher AttemptPublisher
	policy    Policy
	// shuffle randomizes the order of the servers before a choice, so that entries that
	// choose at the same time don't all pick the first of several equal servers. Tests seed
	// it.
	shuffle func(n int, swap func(i, j int))
}

// AttemptPublisher announces the attempts of this entry to other entries. Its methods must
// not block.
type AttemptPublisher interface {
	Began(w Attempt)
	FirstToken(id AttemptID)
	Ended(id AttemptID)
}

// NewPlanner returns a Planner with policy LeastLoss that uses the ledger l. owner is the
// incarnation of this entry. publisher may be nil.
func NewPlanner(l *Ledger, owner uint64, clock func() time.Time, publisher AttemptPublisher) *Planner {
	return &Planner{ledger: l, owner: owner, clock: clock, publisher: publisher, policy: LeastLoss, shuffle: rand.Shuffle}
}

// SetPolicy sets the policy and returns the Planner. Call it before the first Place.
func (p *Planner) SetPolicy(policy Policy) *Planner {
	p.policy = policy
	return p
}

// serverOption is a server under consideration for a query.
type serverOption struct {
	candidate    Candidate
	key          uint64
	state        *serverState
	forecast     forecast
	interference float64
	cost         float64 // for a primary server: interference plus its other costs
}

// Decision is the outcome of Place.
type Decision uint8

// The outcomes of Place.
const (
	Placed             Decision = iota
	NoCapacity                  // no candidate, or too little free memory on all of them together
	Deferred                    // the cost for other requests exceeds the gain for now; retry soon
	DeadlineUnmeetable          // the answer would come after the deadline; Forecast is the time to the first token
	NoRoom                      // the query may wait, and the servers have no room for it now; retry when a slot is free
	NeverFits                   // all memory of the candidates together holds no such prompt
)

// Place chooses the servers of a query and, if the decision is Placed, records the attempt
// in the ledger.
func (p *Planner) Place(q Query, candidates []Candidate) (Placement, Decision) {
	if len(candidates) == 0 {
		return Placement{}, NoCapacity
	}
	now := p.clock()
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.checkOverdueLocked(now)
	options := p.optionsLocked(candidates)
	p.shuffle(len(options), func(i, j int) { options[i], options[j] = options[j], options[i] })
	if p.policy.byRequestCount(q) {
		return p.commit(q, choice{primary: leastRequests(options, now)}, now), Placed
	}
	if q.MayWait && !anySlot(options, q) {
		return Placement{}, NoRoom
	}
	best := p.bestChoice(q, options, p.ledger.peerChoices.costTolerance(now), now)
	switch {
	case math.IsInf(best.loss, 1) && q.exceedsMemoryOf(len(options)):
		return Placement{}, NeverFits
	case math.IsInf(best.loss, 1):
		return Placement{}, NoCapacity
	case !q.MayWait && q.missesDeadline(best.firstToken):
		return Placement{Forecast: best.firstToken}, DeadlineUnmeetable
	case best.shouldDefer(q, congestionCost(q, options), len(options)):
		return Placement{}, Deferred
	}
	if decision := p.decideRoom(q, best, options, now); decision != Placed {
		return Placement{Forecast: best.firstToken}, decision
	}
	return p.commit(q, best, now), Placed
}

// optionsLocked returns the options for candidates.
func (p *Planner) optionsLocked(candidates []Candidate) []serverOption {
	options := make([]serverOption, len(candidates))
	for i, c := range candidates {
		key := ServerKey(c.Instance)
		options[i] = serverOption{candidate: c, key: key, state: p.ledger.serverLocked(key)}
	}
	return options
}

// bestChoice returns the choice with the least loss. tolerance is the cost difference up to
// which servers count as equal for a prompt that one server prefills alone.
func (p *Planner) bestChoice(q Query, options []serverOption, tolerance float64, now time.Time) choice {
	for i := range options {
		options[i].state.advance(q.Engine, now)
		options[i].state.decayLongLoad(now)
	}
	if !q.Engine.supportsHelpers() || fitsOneServer(q, options) {
		return chooseSpread(q, options, tolerance, now)
	}
	return chooseHolders(q, options, now)
}

// leastRequests returns the server with the fewest requests relative to its capacity, with
// a cost for recent refusals.
func leastRequests(options []serverOption, now time.Time) serverOption {
	for i := range options {
		s := options[i].state
		options[i].cost = float64(len(s.attempts)) / float64(max(1, options[i].candidate.Capacity))
		options[i].cost += s.refusalCost(now)
	}
	return slices.MinFunc(options, func(a, b serverOption) int { return cmp.Compare(a.cost, b.cost) })
}

// refusalCost returns the cost of the server's last refusal, which decays with time.
func (s *serverState) refusalCost(now time.Time) float64 {
	return recentRefusalCost * (1 - ramp(now.Sub(s.refusedAt), 0, refusalDecay))
}

// totalTokens returns the memory that the query needs in tokens: the prompt and the longest
// possible answer.
func (q Query) totalTokens() int { return q.InputTokens + q.MaxOutputTokens }

// commit records the attempt and announces it to the other entries.
func (p *Planner) commit(q Query, c choice, now time.Time) Placement {
	primary := c.primary
	attempt := Attempt{
		ID:                 AttemptID{Owner: p.owner, Seq: p.seq.Add(1)},
		Server:             primary.key,
		PauseObjective:     q.PauseObjective,
		FirstTokenDeadline: now.Add(q.FirstTokenObjective),
		Weight:             q.weight(),
		Workspace:          q.Workspace,
	}
	out := Placement{Server: primary.candidate, QueuePriority: q.queuePriority(), planner: p, attemptID: attempt.ID, key: primary.key}
	if q.Engine != nil && q.InputTokens > 0 {
		n := 1 + len(c.helpers)
		attempt.PartTokens = q.InputTokens / n
		attempt.PartTime = q.Engine.PrefillTime(attempt.PartTokens, q.InputTokens)
		attempt.MemoryTokens = q.totalTokens()
		out.PartTime = attempt.PartTime
		out.Forecast, out.Interference = c.firstToken, c.interference
		for _, h := range c.helpers {
			attempt.Helpers = append(attempt.Helpers, h.key)
			out.Helpers = append(out.Helpers, h.candidate)
		}
	}
	if len(c.holders) > 0 {
		attempt.HolderTokens = q.holderTokens(len(c.holders))
		attempt.MemoryTokens = 0
		out.HolderTokens = attempt.HolderTokens
		for _, h := range c.holders {
			attempt.Holders = append(attempt.Holders, h.key)
			out.Holders = append(out.Holders, h.candidate)
		}
	}
	p.ledger.ownChoices.add(now)
	p.ledger.recentChoices.add(now)
	p.ledger.beginLocked(attempt, q.Engine, now)
	if p.publisher != nil {
		p.publisher.Began(attempt)
	}
	return out
}
