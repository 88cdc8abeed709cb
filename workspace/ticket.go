package workspace

// Ticket is the right to dispatch one request. The zero value holds none.
type Ticket struct {
	grant *grant
}

type grant struct {
	s        *Scheduler
	w        *waiter
	released bool // guarded by s.mu
}

// Release ends the request's use of its pool and corrects its workspace's
// charge from the estimate to the tokens used: zero if it didn't run. Later
// calls do nothing.
func (t Ticket) Release(usedTokens int64) {
	g := t.grant
	if g == nil {
		return
	}
	s := g.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	f := g.w.flow
	usedTokens = max(0, usedTokens)
	f.end(g.w, usedTokens)
	f.ws.tokens.balance += float64(g.w.Cost - usedTokens)
	q := f.queue
	schedulerCounts.Check(q.running >= 0 && q.tokens >= 0 && q.prefill >= 0,
		"pool %s: running %d, tokens %d, prefill %d", g.w.Pool, q.running, q.tokens, q.prefill)
	if f.ws.policy.Concurrency > 0 {
		s.dispatchAll() // the workspace may wait in other pools too
		return
	}
	s.dispatch(q)
}

// PrefillDone tells that the request has its first output token, so that the next
// may begin its prefill. Calls after the first, or after Release, do nothing.
func (t Ticket) PrefillDone() {
	g := t.grant
	if g == nil {
		return
	}
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	q := g.w.flow.queue
	if g.released || g.w.PrefillTokens == 0 {
		return
	}
	q.prefilled(g.w)
	g.s.dispatch(q)
}
