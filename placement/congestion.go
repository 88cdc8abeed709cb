package placement

import "time"

// The constants below handle a burst of long prompts that needs more prefill than all
// servers can do. Prefill time grows with the square of the prompt length: 133,000 tokens
// take a server 1.9 s and 440,000 tokens take 13 s, as long as seven of the shorter
// prompts, for a weight of only three. If all prompts start on arrival, they are prefilled
// side by side and all of them are late. They occupy memory meanwhile, and later prompts
// find none. With a cost on prefill time the largest prompts wait until the backlog is
// shorter or their time is nearly over.
const (
	// prefillCostPerSecond is the cost of a second of prefill under full congestion. It is
	// close to what long prompts gain per second of prefill: where the usual prompt has 12,300
	// tokens, one of 133,000 gains 11.8 by being on time and takes 1.9 s.
	prefillCostPerSecond = 6.0
	// backlogRampStart and backlogRampEnd are the mean prefill backlogs per server between
	// which the cost of prefill rises from zero to prefillCostPerSecond. Below the former a
	// new prompt is on time on any server. At the latter a prompt of 133,000 tokens that is
	// spread over four servers waits as long as its own prefill takes.
	backlogRampStart = 150 * time.Millisecond
	backlogRampEnd   = 800 * time.Millisecond
	// maxServerBacklog caps the backlog that one server adds to the mean: a single slow
	// server doesn't mean that prefill is scarce on the others.
	maxServerBacklog = 3 * time.Second
)

// congestionCost returns the cost of the query's prefill for requests that wait now or
// arrive meanwhile.
func congestionCost(q Query, options []serverOption, now time.Time) float64 {
	var sum time.Duration
	for i := range options {
		sum += min(options[i].state.prefillBusyTime(now), maxServerBacklog)
	}
	mean := sum / time.Duration(len(options))
	prefill := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	return prefillCostPerSecond * ramp(mean, backlogRampStart, backlogRampEnd) * prefill.Seconds()
}

// prefillBusyTime returns how long the server will be busy with prefill: the rest of the
// current pass and the queued parts. Call advance first.
func (s *serverState) prefillBusyTime(now time.Time) time.Duration {
	waiting, _ := s.backlog()
	return s.expectedTime(waiting) + max(s.passEnd.Sub(now), 0)
}
