package gateway

import (
	"sync"
	"time"
)

// Retry budget: in each window, all entries together may retry at most a fraction of a
// service's requests plus a fixed slack.
const (
	// budgetBuckets is the number of buckets in a window. The counts slide by one bucket.
	budgetBuckets = 10
	// budgetFraction is the fraction of its share that an entry uses, because the windows
	// of two entries don't begin at the same time.
	budgetFraction = 0.75
)

// RetryBudget bounds the retries, which are the sends of a request beyond its first, of
// each service. Each entry takes an equal part of the slack and the ratio of its own
// requests. The part stays the same when peers die, so the entries need no messages to
// keep the sum within the bound. It is safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex // guards the fields below
	entries  int        // number of entries that share the slack
	services map[string]*retryCounts
}

type retryCounts struct {
	requests, retries [budgetBuckets]int
	newestBucket      int64 // number of the newest bucket since the Unix epoch
}

// NewRetryBudget returns a budget of ratio × requests + slack retries in a window, where
// entries is the number of entries that share the slack.
func NewRetryBudget(ratio, slack float64, window time.Duration, entries int) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, entries: max(1, entries), services: map[string]*retryCounts{}}
}

// SetEntries sets the number of entries that share the slack. The greatest number so far
// counts, because an entry that is gone may just have spent its part.
func (b *RetryBudget) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(b.entries, n)
}

// RecordRequest counts the first send of a request.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsLocked(service, now)
	c.requests[c.newestBucket%budgetBuckets]++
}

// TryWithdraw takes one retry from the budget and reports whether the budget allowed it.
func (b *RetryBudget) TryWithdraw(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsLocked(service, now)
	usage := b.usageLocked(c)
	if float64(usage.Retries+1) > usage.Allowed {
		return false
	}
	c.retries[c.newestBucket%budgetBuckets]++
	return true
}

// BudgetUsage is what an entry has used of the retry budget of a service in the current window,
// and what its share is computed from.
type BudgetUsage struct {
	Requests int     // first sends of this entry
	Retries  int     // of this entry
	Allowed  float64 // retries that this entry may send
	Entries  int     // entries that share the slack
}

// Usage returns the use of a service's budget.
func (b *RetryBudget) Usage(service string, now time.Time) BudgetUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usageLocked(b.countsLocked(service, now))
}

func (b *RetryBudget) usageLocked(c *retryCounts) BudgetUsage {
	u := BudgetUsage{Entries: b.entries}
	for i := range budgetBuckets {
		u.Requests += c.requests[i]
		u.Retries += c.retries[i]
	}
	u.Allowed = budgetFraction * (b.ratio*float64(u.Requests) + b.slack/float64(b.entries))
	return u
}

// countsLocked returns the counts of a service and clears the buckets that have left the
// window. The caller holds mu.
func (b *RetryBudget) countsLocked(service string, now time.Time) *retryCounts {
	c := b.services[service]
	if c == nil {
		c = &retryCounts{}
		b.services[service] = c
	}
	bucket := now.UnixNano() / int64(b.window/budgetBuckets)
	for empty := max(c.newestBucket+1, bucket-budgetBuckets+1); empty <= bucket; empty++ {
		c.requests[empty%budgetBuckets] = 0
		c.retries[empty%budgetBuckets] = 0
	}
	c.newestBucket = max(c.newestBucket, bucket)
	return c
}
