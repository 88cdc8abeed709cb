package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A prompt that fits on no single server is held by several. They reserve memory for it
// before the prompt is sent.
const (
	// memoryMargin is the fraction of an engine's memory that is left free. Allocations are
	// rounded up to whole blocks, and the latest attempts of other entries may not be known
	// yet.
	memoryMargin = 0.03
	// minSplitServers is the minimum number of servers that prefill such a prompt. Its
	// prefill takes seconds, and its servers decode other streams meanwhile.
	minSplitServers = 4
	// maxHolders is the maximum number of servers that hold one prompt. All of them must
	// have room at the same time, and each costs one renewal request per second.
	maxHolders = 8
)

// freeTokens returns the number of tokens that the server has room for, according to the
// ledger.
func (o *serverOption) freeTokens(q Query) int {
	return int(float64(q.Engine.MemoryTokens)*(1-memoryMargin)) - o.state.usedTokens()
}

// fitsOneServer reports whether some server has room for the prompt, or could have once its
// current attempts have ended.
func fitsOneServer(q Query, options []serverOption) bool {
	if float64(q.totalTokens()) <= float64(q.Engine.MemoryTokens)*maxSingleServerShare {
		return true
	}
	return slices.ContainsFunc(options, func(o serverOption) bool { return o.freeTokens(q) >= q.totalTokens() })
}

// maxSingleServerShare is the fraction of an engine's memory up to which a prompt waits for
// room on one engine. A larger one would wait until nearly all other attempts there have
// ended.
const maxSingleServerShare = 0.5

// holderTokens returns the number of tokens that each of n holders keeps.
func (q Query) holderTokens(n int) int { return int(math.Ceil(float64(q.totalTokens()) / float64(n))) }

// exceedsMemoryOf reports whether so many servers hold the prompt not even while nothing else is on
// them.
func (q Query) exceedsMemoryOf(servers int) bool {
	holders := min(servers, maxHolders)
	return float64(q.holderTokens(holders)) > float64(q.Engine.MemoryTokens)*(1-memoryMargin)
}

// chooseHolders chooses servers that hold a prompt together, and possibly more servers that
// only prefill. It returns the choice with the least loss over all numbers of both. The
// loss is infinite if the servers together have no room now.
func chooseHolders(q Query, options []serverOption, now time.Time) choice {
	whole := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	best := choice{loss: math.Inf(1)}
	for _, spread := range spreadSizes {
		if spread < min(minSplitServers, len(options)) || spread > len(options) {
			continue
		}
		part := whole / time.Duration(spread)
		ranked := rankByPrefillCost(q, options, spread, part, now)
		for n := 2; n <= min(spread, maxHolders); n++ {
			if c := selectHolders(q, ranked, n, spread, part, now); c.loss < best.loss {
				best = c
			}
		}
	}
	return best
}

// rankByPrefillCost sorts the servers by the cost of prefilling one of the given number of
// parts there.
func rankByPrefillCost(q Query, options []serverOption, spread int, part time.Duration, now time.Time) []serverOption {
	weight := q.weight()
	ranked := slices.Clone(options)
	for i := range ranked {
		o := &ranked[i]
		o.evaluate(q, part, q.InputTokens/spread, true, now)
		o.cost = o.interference + o.state.refusalCost(now) + q.timeBudget().loss(o.forecast.ready, weight)/float64(spread)
	}
	slices.SortFunc(ranked, func(a, b serverOption) int { return cmp.Compare(a.cost, b.cost) })
	return ranked
}

// selectHolders takes the n cheapest servers with room for their share as holders, and adds
// the cheapest of the others until there are enough readers.
func selectHolders(q Query, ranked []serverOption, n, spread int, part time.Duration, now time.Time) choice {
	weight := q.weight()
	share := q.holderTokens(n)
	var c choice
	var others []serverOption
	refusals := 0.0
	for i := range ranked {
		if len(c.holders) == n && len(others) == spread-n {
			break
		}
		o := ranked[i]
		switch {
		case len(c.holders) < n && o.freeTokens(q) >= share:
			c.holders = append(c.holders, o)
		case len(others) < spread-n:
			others = append(others, o)
		default:
			continue
		}
		c.interference += o.interference
		refusals += o.state.refusalCost(now)
		c.firstToken = max(c.firstToken, o.forecast.ready)
	}
	if len(c.holders) < n {
		return choice{loss: math.Inf(1)}
	}
	c.primary = c.holders[0]
	c.primary.evaluate(q, part, q.InputTokens/spread, false, now)
	c.firstToken = max(c.firstToken, c.primary.forecast.ready)
	c.helpers = slices.Concat(c.holders[1:], others)
	c.setLoss(refusals + helperCost*float64(spread) + q.timeBudget().loss(c.firstToken, weight))
	return c
}

// evaluate sets the forecast of a part on the server and its cost for the attempts there.
func (o *serverOption) evaluate(q Query, length time.Duration, tokens int, helper bool, now time.Time) {
	o.forecast = o.state.forecast(q.Engine, length, tokens, helper, now)
	o.interference = o.state.interference(o.forecast, now)
}
