package placement

import (
	"math"
	"slices"
	"time"
)

// spreadSizes lists the numbers of servers that may prefill a prompt together, the primary
// included. Engines support at most 16.
var spreadSizes = []int{1, 2, 3, 4, 6, 8, 12, 16}

// chooseSpread evaluates all spread sizes and returns the choice with the least loss.
func chooseSpread(q Query, options []serverOption, tolerance float64, now time.Time) choice {
	whole := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	best := choice{loss: math.Inf(1)}
	for _, n := range spreadSizes {
		if n > len(options) || n > 1 && (!q.Engine.supportsHelpers() || whole/time.Duration(n) < minPartTime) {
			break
		}
		if c := evaluateSpread(q, options, whole/time.Duration(n), n, tolerance, now); c.loss < best.loss {
			best = c
		}
	}
	return best
}

// evaluateSpread chooses n servers that each prefill a part of the prompt.
func evaluateSpread(q Query, options []serverOption, part time.Duration, n int, tolerance float64, now time.Time) choice {
	weight := q.weight()
	tokens := q.InputTokens / n
	if n > 1 {
		tolerance = 0 // long parts: compare servers by their exact costs
	}
	primary := choosePrimary(q, options, part, tokens, n, tolerance, now)
	c := choice{primary: primary, firstToken: primary.forecast.ready, interference: primary.interference}
	if n > 1 {
		for i := range options {
			o := &options[i]
			o.evaluate(q, part, tokens, true, now)
			o.cost = o.interference + o.state.refusalCost(now) + q.timeBudget().loss(o.forecast.ready, weight)/float64(n)
		}
		c.helpers = cheapest(options, n-1, primary.key)
	}
	refusals := 0.0
	for _, h := range c.helpers {
		c.firstToken = max(c.firstToken, h.forecast.ready)
		c.interference += h.interference
		refusals += h.state.refusalCost(now)
	}
	c.setLoss(refusals + primary.answeringCost(q, weight, now) + helperCost*float64(n-1) + q.timeBudget().loss(c.firstToken, weight))
	return c
}

// cheapest returns the n options with the least cost, except the server excluded, in order
// of cost. It uses an insertion sort over indexes and copies only the results: sorting all
// servers for each spread size would take most of the time of a placement.
func cheapest(options []serverOption, n int, excluded uint64) []serverOption {
	best := make([]int, 0, n)
	for i := range options {
		if options[i].key == excluded || len(best) == n && options[i].cost >= options[best[n-1]].cost {
			continue
		}
		if len(best) == n {
			best = best[:n-1]
		}
		at := len(best)
		for at > 0 && options[i].cost < options[best[at-1]].cost {
			at--
		}
		best = slices.Insert(best, at, i)
	}
	out := make([]serverOption, len(best))
	for i, at := range best {
		out[i] = options[at]
	}
	return out
}

// choosePrimary returns the server that answers the request. Options are shuffled, so the
// first one within tolerance of the least cost is a random choice among them.
func choosePrimary(q Query, options []serverOption, part time.Duration, tokens, n int, tolerance float64, now time.Time) serverOption {
	weight := q.weight()
	for i := range options {
		o := &options[i]
		o.evaluate(q, part, tokens, false, now)
		o.forecast.ready += o.slotWait()
		o.cost = o.interference + o.answeringCost(q, weight, now) + q.timeBudget().loss(o.forecast.ready, weight)/float64(n)
		if !o.hasSlotFor(q) {
			o.cost = math.Inf(1)
		}
	}
	least := math.Inf(1)
	for i := range options {
		least = min(least, options[i].cost)
	}
	for i := range options {
		if options[i].cost <= least+tolerance {
			return options[i]
		}
	}
	return options[0]
}

// slotWait returns how long a request waits for a free slot on the server.
func (o *serverOption) slotWait() time.Duration {
	slots := max(1, o.candidate.Capacity)
	before := len(o.state.attempts) - slots + 1
	if before <= 0 {
		return 0
	}
	return meanSlotTime * time.Duration(before) / time.Duration(slots)
}

// answeringCost returns the cost for the query of having this server as its primary, apart
// from prefill.
func (o *serverOption) answeringCost(q Query, weight float64, now time.Time) float64 {
	s := o.state
	total := s.refusalCost(now)
	if s.usedTokens()+q.totalTokens() > q.Engine.MemoryTokens {
		total += noMemoryCost * weight
	}
	occupancy := float64(len(s.attempts)) / float64(max(1, o.candidate.Capacity))
	total += occupancyCost * math.Pow(occupancy, occupancyExponent)
	if o.candidate.Cold {
		total += coldServerCost * weight
	}
	colocation := colocationBonus * float64(min(s.shortStreams(q.Engine), fullBonusStreams)) / fullBonusStreams
	if q.Engine.isLong(q.Engine.PrefillTime(q.InputTokens, q.InputTokens)) {
		return total + colocation
	}
	return total + longPrefillCost*s.longPrefillLoad - colocation
}
