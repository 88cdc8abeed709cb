package placement

import "time"

// maxServerBacklog caps the backlog that one server adds to the mean: a single slow server
// doesn't mean that prefill is scarce on the others.
const maxServerBacklog = 3 * time.Second

// congestionCost returns the cost of the query's prefill for requests that arrive meanwhile, in a
// burst of long prompts that needs more prefill than all servers can do.
//
// Prefill time grows with the square of the prompt length: 133,000 tokens take a server 1.9 s and
// 440,000 tokens take 13 s, as long as seven of the shorter prompts. If all prompts start on
// arrival, they are prefilled side by side and all of them are late. They occupy memory
// meanwhile, and later prompts find none. With this cost the largest prompts wait until the
// backlog is shorter or their time is nearly over.
func congestionCost(q Query, options []serverOption, now time.Time) float64 {
	prefill := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	backlog := meanBacklog(options, now) + prefill/time.Duration(len(options))
	return prefill.Seconds() * prefillPrice(options, backlog)
}

// meanBacklog returns the mean time that a server will be busy with prefill.
func meanBacklog(options []serverOption, now time.Time) time.Duration {
	var sum time.Duration
	for i := range options {
		sum += min(options[i].state.prefillBusyTime(now), maxServerBacklog)
	}
	return sum / time.Duration(len(options))
}

// prefillPrice returns what requests lose for each second of their prefill if they come behind the
// given backlog. Those that come are expected to be like those that the servers prefill now.
func prefillPrice(options []serverOption, backlog time.Duration) float64 {
	loss, prefill := 0.0, time.Duration(0)
	for i := range options {
		s := options[i].state
		for _, parts := range [][]*part{s.queue, s.unconfirmed} {
			for _, p := range parts {
				a := p.attempt
				prefill += a.PartTime
				d := timeBudget{objective: a.FirstTokenDeadline.Sub(a.begunAt)}
				if d.objective > 0 {
					loss += d.lateLoss(backlog, a.Weight) / float64(1+len(a.Helpers))
				}
			}
		}
	}
	if prefill <= 0 {
		return 0
	}
	return loss / prefill.Seconds()
}

// prefillBusyTime returns how long the server will be busy with prefill: the rest of the
// current pass and the queued parts. Call advance first.
func (s *serverState) prefillBusyTime(now time.Time) time.Duration {
	waiting, _ := s.backlog()
	return s.expectedTime(waiting) + max(s.passEnd.Sub(now), 0)
}
