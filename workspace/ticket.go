package workspace

// Ticket is the permission to dispatch one request. Its methods do nothing on the zero
// value.
type Ticket struct {
	grant *grant
}

// grant is the state shared by all copies of a Ticket.
type grant struct {
	scheduler *Scheduler
	waiter    *waiter
	released  bool // guarded by scheduler.mu
}

// Release frees the request's capacity in its pool and corrects the charge of its
// workspace from the estimate to usedTokens, which is zero if it didn't run. Further
// calls do nothing.
func (t Ticket) Release(usedTokens int64) {
	g := t.grant
	if g == nil {
		return
	}
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	f := g.waiter.flow
	usedTokens = max(0, usedTokens)
	f.finish(g.waiter, usedTokens)
	f.ws.rateLimiter.balance += float64(g.waiter.Cost - usedTokens)
	q := f.queue
	invariantCounts.Check(q.running >= 0 && q.tokens >= 0 && q.prefillTokens >= 0,
		"pool %s: running %d, tokens %d, prefill %d", g.waiter.Pool, q.running, q.tokens, q.prefillTokens)
	if f.ws.policy.Concurrency > 0 {
		s.dispatchAll() // the workspace may have requests waiting in other pools too
		return
	}
	s.dispatch(q)
}

// PrefillDone records that the request has its first output token, so that another
// request may start its prefill. Calls after the first, or after Release, do nothing.
func (t Ticket) PrefillDone() {
	g := t.grant
	if g == nil {
		return
	}
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	q := g.waiter.flow.queue
	if g.released || g.waiter.PrefillTokens == 0 {
		return
	}
	q.prefillDone(g.waiter)
	g.scheduler.dispatch(q)
}
