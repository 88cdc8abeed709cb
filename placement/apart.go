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

// placeApart places a prompt on servers that keep it together: the fewest that have
// room now, the roomiest first. ok is false if all of them together have not.
func (p *Planner) placeApart(q Query, options []option, now time.Time) (Placement, bool) {
	for i := range options {
		options[i].state.advance(q.Engine, now)
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(b.free(q), a.free(q)) })
	n := holdersNeeded(q, options)
	if n == 0 {
		return Placement{}, false
	}
	holders := slices.Clone(options[:n])
	rest := options[n:]
	extra := p.readersBeside(q, holders, rest, now)
	helpers := append(slices.Clone(holders[1:]), extra...)
	return p.place(q, holders[0], helpers, holders, now), true
}

// holdersNeeded returns the least number of the roomiest servers that have room for
// equal shares, 0 if there is none.
func holdersNeeded(q Query, roomiest []option) int {
	most := min(len(roomiest), spreads[len(spreads)-1])
	for n := 2; n <= most; n++ {
		if roomiest[n-1].free(q) >= q.holderTokens(n) {
			return n
		}
	}
	return 0
}

// readersBeside adds servers that only read, as many as cost less than they gain.
func (p *Planner) readersBeside(q Query, holders, rest []option, now time.Time) []option {
	weight := weightOf(q.InputTokens)
	whole := q.Engine.ReadTime(q.InputTokens, q.InputTokens)
	best, bestLoss := 0, math.Inf(1)
	var order []option
	for n := max(apartSpread, len(holders)); n <= min(len(holders)+len(rest), spreads[len(spreads)-1]); n++ {
		loss, ranked := spreadLoss(q, holders, rest, whole/time.Duration(n), n-len(holders), weight, now)
		if loss < bestLoss {
			best, bestLoss, order = n-len(holders), loss, ranked
		}
	}
	if order == nil {
		return nil
	}
	return order[:best]
}

// spreadLoss is the loss of reading parts on the holders and on the cheapest more
// of the rest, which it returns by rising cost.
func spreadLoss(q Query, holders, rest []option, part time.Duration, more int, weight float64, now time.Time) (float64, []option) {
	ranked := slices.Clone(rest)
	for i := range ranked {
		ranked[i].look(q, part, now)
	}
	slices.SortFunc(ranked, func(a, b option) int { return cmp.Compare(a.harm, b.harm) })
	var ready time.Duration
	loss := 0.0
	for _, o := range slices.Concat(holders, ranked[:more]) {
		o.look(q, part, now)
		ready = max(ready, o.forecast.ready)
		loss += o.harm + helperPrice
	}
	return loss + firstLoss(ready, q.Objective, weight), ranked
}

// look forecasts a part on the server and what it costs the others there.
func (o *option) look(q Query, part time.Duration, now time.Time) {
	o.forecast = o.state.forecast(q.Engine, part, now)
	o.harm = o.state.harm(o.forecast, now)
}
