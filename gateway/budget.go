package gateway

import (
	"sync"
	"time"
)

// Retry budget: all entries together may send to a service, in a window, a share
// of its requests and a slack more than once.
const (
	// budgetBuckets divides the window, so that what is counted slides.
	budgetBuckets = 10
	// budgetShare is the part of its share that an entry uses: the windows of two
	// entries don't begin at the same time.
	budgetShare = 0.75
)

// RetryBudget bounds sends beyond the first of each request, a service at a time.
// Each entry takes an equal part of the slack, and the ratio of its own requests;
// the part stays the same when peers die, so that no message is needed for the sum
// to hold. It is safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex // guards what follows
	entries  int        // that share the slack
	services map[string]*retryCounts
}

type retryCounts struct {
	first, again [budgetBuckets]int
	slot         int64 // the newest bucket, in buckets since the epoch
}

// NewRetryBudget returns a budget of ratio × requests + slack in a window.
func NewRetryBudget(ratio, slack float64, window time.Duration, entries int) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, entries: max(1, entries), services: map[string]*retryCounts{}}
}

// SetEntries tells how many entries there are. The greatest number counts: an
// entry that is gone may have spent its part a moment ago.
func (b *RetryBudget) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(b.entries, n)
}

// RecordRequest notes the first send of a request.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsLocked(service, now)
	c.first[c.slot%budgetBuckets]++
}

// TryWithdraw takes one more send of a request and reports whether there was one.
func (b *RetryBudget) TryWithdraw(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsLocked(service, now)
	first, again := 0, 0
	for i := range budgetBuckets {
		first += c.first[i]
		again += c.again[i]
	}
	allowed := budgetShare * (b.ratio*float64(first) + b.slack/float64(b.entries))
	if float64(again+1) > allowed {
		return false
	}
	c.again[c.slot%budgetBuckets]++
	return true
}

// countsLocked returns a service's counts with the buckets behind now emptied.
func (b *RetryBudget) countsLocked(service string, now time.Time) *retryCounts {
	c := b.services[service]
	if c == nil {
		c = &retryCounts{}
		b.services[service] = c
	}
	slot := now.UnixNano() / int64(b.window/budgetBuckets)
	for empty := max(c.slot+1, slot-budgetBuckets+1); empty <= slot; empty++ {
		c.first[empty%budgetBuckets] = 0
		c.again[empty%budgetBuckets] = 0
	}
	c.slot = max(c.slot, slot)
	return c
}
