package placement

import "time"

// congestionCost returns the cost of the query's prefill for requests that arrive meanwhile, in a
// burst of long prompts that needs more prefill than all servers can do.
//
// Prefill time grows with the square of the prompt length: 133,000 tokens take a server 1.9 s and
// 440,000 tokens take 13 s, as long as seven of the shorter prompts. If all prompts start on
// arrival, they are prefilled side by side and all of them are late. They occupy memory
// meanwhile, and later prompts find none. With this cost the largest prompts wait until the
// backlog is shorter or their time is nearly over.
func congestionCost(q Query, options []serverOption) float64 {
	prefill := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	return prefill.Seconds() * prefillPrice(q, options)
}

// prefillPrice returns what requests lose for each second of their prefill. Those that arrive are
// expected to be like those that the servers prefill now, and as many of them to be late. Requests
// that the engines rank before the query don't wait for it.
func prefillPrice(q Query, options []serverOption) float64 {
	late, prefill := 0.0, time.Duration(0)
	for i := range options {
		s := options[i].state
		for _, parts := range [][]*part{s.queue, s.unconfirmed} {
			for _, p := range parts {
				a := p.attempt
				if rankOf(a.PromptTokens()) < rankOf(q.InputTokens) {
					continue
				}
				prefill += a.PartTime
				if a.expectedReady.After(a.FirstTokenDeadline) {
					late += a.Weight / float64(1+len(a.Helpers))
				}
			}
		}
	}
	if prefill <= 0 {
		return 0
	}
	return late / prefill.Seconds()
}
