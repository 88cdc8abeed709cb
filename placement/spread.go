package placement

import (
	"math"
	"slices"
	"time"
)

// spreads lists over how many servers a prompt may be read, the answering one
// included; engines take no more.
var spreads = []int{1, 2, 3, 4, 6, 8, 12, 16}

// pickEngines tries all spreads and takes the one with the least loss.
func pickEngines(q Query, options []option, alike float64, now time.Time) choice {
	whole := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	best := choice{loss: math.Inf(1)}
	for _, n := range spreads {
		if n > len(options) || n > 1 && (!q.Engine.joins() || whole/time.Duration(n) < leastPart) {
			break
		}
		if c := pickSpread(q, options, whole/time.Duration(n), n, alike, now); c.loss < best.loss {
			best = c
		}
	}
	return best
}

// pickSpread chooses n servers for a prompt of which each reads a part.
func pickSpread(q Query, options []option, part time.Duration, n int, alike float64, now time.Time) choice {
	weight := WeightOf(q.InputTokens)
	tokens := q.InputTokens / n
	if n > 1 {
		alike = 0 // what they read takes long: each is weighed
	}
	first := cheapestFirst(q, options, part, tokens, n, alike, now)
	c := choice{first: first, ready: first.forecast.ready, harm: first.harm}
	if n > 1 {
		for i := range options {
			o := &options[i]
			o.look(q, part, tokens, true, now)
			o.cost = o.harm + o.state.refusal(now) + q.due().loss(o.forecast.ready, weight)/float64(n)
		}
		c.helpers = cheapest(options, n-1, first.key)
	}
	refusals := 0.0
	for _, h := range c.helpers {
		c.ready = max(c.ready, h.forecast.ready)
		c.harm += h.harm
		refusals += h.state.refusal(now)
	}
	c.weigh(refusals + first.burden(q, weight, now) + helperPrice*float64(n-1) + q.due().loss(c.ready, weight))
	return c
}

// cheapest returns the n options of the least cost but for the server without, the
// cheapest first. It keeps the few that it returns in order and copies nothing else: a
// choice sorts all servers for each spread otherwise, which is most of its time.
func cheapest(options []option, n int, without uint64) []option {
	best := make([]int, 0, n)
	for i := range options {
		if options[i].key == without || len(best) == n && options[i].cost >= options[best[n-1]].cost {
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
	out := make([]option, len(best))
	for i, at := range best {
		out[i] = options[at]
	}
	return out
}

// cheapestFirst chooses the server that answers: by chance among those that cost the
// least or alike, since options are in no order.
func cheapestFirst(q Query, options []option, part time.Duration, tokens, n int, alike float64, now time.Time) option {
	weight := WeightOf(q.InputTokens)
	for i := range options {
		o := &options[i]
		o.look(q, part, tokens, false, now)
		o.forecast.ready += o.slotWait()
		o.cost = o.harm + o.burden(q, weight, now) + q.due().loss(o.forecast.ready, weight)/float64(n)
	}
	least := math.Inf(1)
	for i := range options {
		least = min(least, options[i].cost)
	}
	for i := range options {
		if options[i].cost <= least+alike {
			return options[i]
		}
	}
	return options[0]
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
	crowd := float64(len(s.works)) / float64(max(1, o.candidate.Capacity))
	total += crowdPrice * math.Pow(crowd, crowdPower)
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
