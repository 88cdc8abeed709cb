package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// spreads lists over how many servers a prompt may be read, the answering one
// included; maxSpread is the most that engines take.
var spreads = []int{1, 2, 3, 4, 6, 8, 12, 16}

// Planner places requests by what they and all others on the servers lose: first
// tokens that come late and pauses that grow too long. It is safe for concurrent
// use.
type Planner struct {
	ledger *Ledger
	owner  uint64
	seq    atomic.Uint64
	clock  func() time.Time
	tell   Teller
}

// Teller passes on to other entries what becomes of this entry's attempts. Its
// methods must not block.
type Teller interface {
	Began(w Work)
	FirstToken(id WorkID)
	Ended(id WorkID)
}

// NewPlanner returns a Planner over a Ledger for the entry's incarnation owner.
// tell may be nil.
func NewPlanner(l *Ledger, owner uint64, clock func() time.Time, tell Teller) *Planner {
	return &Planner{ledger: l, owner: owner, clock: clock, tell: tell}
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

// Place chooses the servers of a query and notes the attempt in the ledger. ok is
// false if there is no candidate.
func (p *Planner) Place(q Query, candidates []Candidate) (Placement, bool) {
	if len(candidates) == 0 {
		return Placement{}, false
	}
	now := p.clock()
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	options := make([]option, len(candidates))
	for i, c := range candidates {
		key := ServerKey(c.Instance)
		options[i] = option{candidate: c, key: key, state: p.ledger.serverLocked(key)}
	}
	rand.Shuffle(len(options), func(i, j int) { options[i], options[j] = options[j], options[i] })
	if q.Engine == nil || q.InputTokens == 0 {
		return p.place(q, pickPlain(options, now), nil, nil, now), true
	}
	if !fitsOne(q, options) {
		return p.placeApart(q, options, now)
	}
	first, helpers := pickEngines(q, options, now)
	return p.place(q, first, helpers, nil, now), true
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

// pickEngines tries all spreads and takes the one with the least loss.
func pickEngines(q Query, options []option, now time.Time) (first option, helpers []option) {
	for i := range options {
		options[i].state.advance(q.Engine, now)
		options[i].state.decayLong(now)
	}
	whole := q.Engine.ReadTime(q.InputTokens, q.InputTokens)
	best := math.Inf(1)
	for _, n := range spreads {
		if n > len(options) || n > 1 && (q.Engine.HopTime <= 0 || whole/time.Duration(n) < leastPart) {
			break
		}
		f, h, loss := pickSpread(q, options, whole/time.Duration(n), n, now)
		if loss < best {
			best, first, helpers = loss, f, h
		}
	}
	return first, helpers
}

// pickSpread chooses n servers for a prompt of which each reads a part.
func pickSpread(q Query, options []option, part time.Duration, n int, now time.Time) (option, []option, float64) {
	weight := weightOf(q.InputTokens)
	tokens := q.InputTokens / n
	first := cheapestFirst(q, options, part, tokens, n, now)
	rest := make([]option, 0, len(options)-1)
	for _, o := range options {
		if o.key == first.key {
			continue
		}
		o.look(q, part, tokens, true, now)
		o.cost = o.harm + firstLoss(o.forecast.ready, q.Objective, weight)/float64(n)
		rest = append(rest, o)
	}
	slices.SortFunc(rest, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	helpers := rest[:n-1]
	ready, loss := first.forecast.ready, first.harm+first.burden(q, weight, now)
	for _, h := range helpers {
		ready = max(ready, h.forecast.ready)
		loss += h.harm + helperPrice
	}
	return first, helpers, loss + firstLoss(ready, q.Objective, weight)
}

// cheapestFirst chooses the server that answers.
func cheapestFirst(q Query, options []option, part time.Duration, tokens, n int, now time.Time) option {
	weight := weightOf(q.InputTokens)
	for i := range options {
		o := &options[i]
		o.look(q, part, tokens, false, now)
		o.forecast.ready += o.slotWait()
		o.cost = o.harm + o.burden(q, weight, now) + firstLoss(o.forecast.ready, q.Objective, weight)/float64(n)
	}
	return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
}

// slotWait is how long a request waits for one of the server's slots.
func (o *option) slotWait() time.Duration {
	slots := max(1, o.candidate.Capacity)
	before := len(o.state.works) - slots + 1
	if before <= 0 {
		return 0
	}
	return slotTime * time.Duration(before) / time.Duration(slots)
}

// burden is what answering the query there costs it beside the reading.
func (o *option) burden(q Query, weight float64, now time.Time) float64 {
	s := o.state
	total := s.refusal(now)
	if s.memory()+q.memory() > q.Engine.MemoryTokens {
		total += fullPrice * weight
	}
	if o.candidate.Cold {
		total += coldPrice * weight
	}
	if q.PauseObjective > 0 && q.PauseObjective <= shortPause {
		total += longPrice * s.longLoad
		total -= companyGain * float64(min(s.company(), companyEnough)) / companyEnough
	} else {
		total += companyGain * float64(min(s.company(), companyEnough)) / companyEnough
	}
	return total
}

// memory is what the query keeps at the answering server.
func (q Query) memory() int { return q.InputTokens + q.OutputTokens }

// place notes the attempt and tells the other entries.
func (p *Planner) place(q Query, first option, helpers, holders []option, now time.Time) Placement {
	w := Work{
		ID:      WorkID{Owner: p.owner, Seq: p.seq.Add(1)},
		Server:  first.key,
		Pause:   q.PauseObjective,
		FirstBy: now.Add(q.Objective),
		Weight:  weightOf(q.InputTokens),
	}
	out := Placement{Server: first.candidate, Urgency: q.urgencyLevel(), planner: p, work: w.ID, key: first.key}
	if q.Engine != nil && q.InputTokens > 0 {
		n := 1 + len(helpers)
		w.PartTokens = q.InputTokens / n
		w.Part = q.Engine.ReadTime(w.PartTokens, q.InputTokens)
		w.Memory = q.memory()
		out.Part = w.Part
		for i, o := range append([]option{first}, helpers...) {
			o.look(q, w.Part, w.PartTokens, i > 0, now)
			out.Forecast = max(out.Forecast, o.forecast.ready)
			out.Harm += o.harm
		}
		for _, h := range helpers {
			w.Helpers = append(w.Helpers, h.key)
			out.Helpers = append(out.Helpers, h.candidate)
		}
	}
	if len(holders) > 0 {
		w.HolderMemory = q.holderTokens(len(holders))
		w.Memory = 0
		out.HolderTokens = w.HolderMemory
		for _, h := range holders {
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
