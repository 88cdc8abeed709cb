package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Prompts that no server has room for alone are kept on several, which set memory
// aside for them before the prompt is sent.
const (
	// memorySlack is the part of an engine's memory that is left free: blocks round
	// up, and other entries' newest work may not be known yet.
	memorySlack = 0.03
	// apartSpread is over how many servers such a prompt is read at least: reading
	// one takes seconds, and its servers write for others meanwhile.
	apartSpread = 4
	// maxHolders bounds the servers that keep one prompt: each is one more that must
	// have room at the same moment, and an order a second.
	maxHolders = 8
)

// free is how many tokens a server has room for, as far as the ledger knows.
func (o *option) free(q Query) int {
	return int(float64(q.Engine.MemoryTokens)*(1-memorySlack)) - o.state.memory()
}

// fitsOne reports whether some server has room for the prompt, or could have once
// its present work has ended.
func fitsOne(q Query, options []option) bool {
	if float64(q.memory()) <= float64(q.Engine.MemoryTokens)*apartShare {
		return true
	}
	return slices.ContainsFunc(options, func(o option) bool { return o.free(q) >= q.memory() })
}

// apartShare is the part of an engine's memory up to which a prompt waits for room
// on one engine; a larger one would wait until nearly all else there has ended.
const apartShare = 0.5

// holderTokens is what each of n servers keeps.
func (q Query) holderTokens(n int) int { return int(math.Ceil(float64(q.memory()) / float64(n))) }

// pickApart chooses servers that keep a prompt together, and perhaps more that only
// read. Of all numbers of both it takes those with the least loss, which is infinite
// if all servers together have no room now.
func pickApart(q Query, options []option, now time.Time) choice {
	whole := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	best := choice{loss: math.Inf(1)}
	for _, readers := range spreads {
		if readers < min(apartSpread, len(options)) || readers > len(options) {
			continue
		}
		part := whole / time.Duration(readers)
		ranked := rankReaders(q, options, readers, part, now)
		for n := 2; n <= min(readers, maxHolders); n++ {
			if c := pickHolders(q, ranked, n, readers, part, now); c.loss < best.loss {
				best = c
			}
		}
	}
	return best
}

// rankReaders orders the servers by what it costs to read one of so many parts there.
func rankReaders(q Query, options []option, readers int, part time.Duration, now time.Time) []option {
	weight := WeightOf(q.InputTokens)
	ranked := slices.Clone(options)
	for i := range ranked {
		o := &ranked[i]
		o.look(q, part, q.InputTokens/readers, true, now)
		o.cost = o.harm + o.state.refusal(now) + q.due().loss(o.forecast.ready, weight)/float64(readers)
	}
	slices.SortFunc(ranked, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	return ranked
}

// pickHolders takes the n cheapest servers that have room for their share as
// holders, and the cheapest of the others to make up the readers.
func pickHolders(q Query, ranked []option, n, readers int, part time.Duration, now time.Time) choice {
	weight := WeightOf(q.InputTokens)
	share := q.holderTokens(n)
	var c choice
	var others []option
	refusals := 0.0
	for i := range ranked {
		if len(c.holders) == n && len(others) == readers-n {
			break
		}
		o := ranked[i]
		switch {
		case len(c.holders) < n && o.free(q) >= share:
			c.holders = append(c.holders, o)
		case len(others) < readers-n:
			others = append(others, o)
		default:
			continue
		}
		c.harm += o.harm
		refusals += o.state.refusal(now)
		c.ready = max(c.ready, o.forecast.ready)
	}
	if len(c.holders) < n {
		return choice{loss: math.Inf(1)}
	}
	c.first = c.holders[0]
	c.first.look(q, part, q.InputTokens/readers, false, now)
	c.ready = max(c.ready, c.first.forecast.ready)
	c.helpers = slices.Concat(c.holders[1:], others)
	c.weigh(refusals + helperPrice*float64(readers) + q.due().loss(c.ready, weight))
	return c
}

// look forecasts a part on the server and what it costs the others there.
func (o *option) look(q Query, length time.Duration, tokens int, helper bool, now time.Time) {
	o.forecast = o.state.forecast(q.Engine, length, tokens, helper, now)
	o.harm = o.state.harm(o.forecast, now)
}
