package placement

import "time"

// choice is one way to serve a query.
type choice struct {
	first   option
	helpers []option // in no order, but holders first
	holders []option // keep the prompt, first among them; empty if first alone does
	ready   time.Duration
	harm    float64 // expected loss of the others
	loss    float64 // and of the query; infinite: not possible
}

// weigh sets the loss of a choice, with what the query loses by it besides.
func (c *choice) weigh(own float64) {
	c.harm *= othersFactor
	c.loss = c.harm + own
}

// waits reports whether a long prompt had better be placed later: now the others,
// and those that come while its reading keeps servers busy (price), would lose more
// than it gains by being on time. A prompt of 400,000 tokens stops every writer of its
// engines for a second or more; in a burst of such prompts those that come last can't
// be on time, and what they stop could. The longer it has waited, the more it may cost.
func (c *choice) waits(q Query, price float64) bool {
	if q.PauseObjective <= shortPause || q.TimeLeft < waitLeft {
		return false
	}
	weight := WeightOf(q.InputTokens)
	gain := q.due().gain(c.ready, weight)
	waited := float64(q.Waited) / float64(q.Waited+q.TimeLeft)
	return c.harm+price > gain+weight*LateLoss*(waitFirst+waitSlope*waited)
}
