package retrybudget

import (
	"math"
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

const (
	// bucketsPerWindow is the resolution of the counts. A retry counts for up to one bucket longer
	// than it has to, a request for up to one bucket less.
	bucketsPerWindow = 100
	// ratioFraction is the fraction of Options.Ratio that an entry uses (see the package comment).
	ratioFraction = 0.5
	// entriesRetention is how long an entry that is no longer listed keeps its part of the slack: its
	// last retries may be in flight, or the list may lack it for a moment.
	entriesRetention = time.Minute
)

// Options are the bound that all entries keep together.
type Options struct {
	Ratio  float64       // retries per request
	Slack  float64       // further retries in each window
	Window time.Duration // any span of this length
	// ArrivalDelay is the longest time from a send to its arrival at the server.
	ArrivalDelay time.Duration
}

// Budget counts the requests and retries of one entry and decides which retries it may send. It is
// safe for concurrent use.
type Budget struct {
	options Options
	width   time.Duration // of a bucket
	// slackFrom is when the retries of a predecessor of this process no longer count.
	slackFrom boottime.Instant

	mu         sync.Mutex // guards the fields below
	entries    int        // listed entries; 0: not listed yet
	retained   int        // entries that were listed at a time before retainedTo
	retainedTo boottime.Instant
	services   map[string]*serviceCounts
	asker      Asker // nil: no other entry is asked
}

// serviceCounts are the requests and retries of one service.
type serviceCounts struct {
	requests *slidingCount
	retries  *slidingCount // sent ones and lent ones
	pending  int           // withdrawn from the own share and not sent yet
	loans    loans
}

// New returns the Budget of a process that started at startedAt.
func New(o Options, startedAt boottime.Instant) *Budget {
	return &Budget{
		options: o, width: o.Window / bucketsPerWindow, services: map[string]*serviceCounts{},
		slackFrom: startedAt.Add(o.Window + o.ArrivalDelay + loanTerm),
	}
}

// SetAsker sets what asks other entries for a part of their shares.
func (b *Budget) SetAsker(a Asker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asker = a
}

// SetEntries sets the number of entries that share the slack, this one included, as the store lists
// them.
func (b *Budget) SetEntries(n int, now boottime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < b.entries {
		b.retained = b.sharersLocked(now)
		b.retainedTo = now.Add(entriesRetention)
	}
	b.entries = n
}

// sharersLocked returns the number of entries that share the slack.
func (b *Budget) sharersLocked(now boottime.Instant) int {
	if now < b.retainedTo {
		return max(b.entries, b.retained)
	}
	return b.entries
}

// RecordRequest counts the first send of a request.
func (b *Budget) RecordRequest(service string, now boottime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceLocked(service).requests.add(b.bucket(now), 1)
}

// Usage is what an entry has used of the budget of a service, and what its share is computed from.
type Usage struct {
	Requests int     // first sends of this entry
	Retries  int     // of this entry, and those that it has lent
	Allowed  float64 // retries that this entry may send
	Entries  int     // entries that share the slack; 0: not listed yet
	Borrowed int     // retries that other entries have lent this one
}

// Usage returns the use of a service's budget.
func (b *Budget) Usage(service string, now boottime.Instant) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usageLocked(b.serviceLocked(service), now)
}

func (b *Budget) usageLocked(s *serviceCounts, now boottime.Instant) Usage {
	requestsFrom := now.Add(b.options.ArrivalDelay - b.options.Window)
	retriesFrom := now.Add(-b.options.Window - b.options.ArrivalDelay)
	u := Usage{
		Requests: s.requests.since(b.bucket(requestsFrom) + 1),
		Retries:  s.retries.since(b.bucket(retriesFrom)) + s.pending,
		Entries:  b.sharersLocked(now),
		Borrowed: s.loans.available(now),
	}
	u.Allowed = ratioFraction * b.options.Ratio * float64(u.Requests)
	if u.Entries > 0 && now >= b.slackFrom {
		u.Allowed += b.options.Slack / float64(u.Entries)
	}
	return u
}

// remaining returns the number of retries that are left of the entry's own share.
func (u Usage) remaining() int { return max(int(math.Floor(u.Allowed))-u.Retries, 0) }

// serviceLocked returns the counts of a service.
func (b *Budget) serviceLocked(service string) *serviceCounts {
	s := b.services[service]
	if s == nil {
		span := b.options.Window + b.options.ArrivalDelay + loanTerm
		s = &serviceCounts{requests: newSlidingCount(span, b.width), retries: newSlidingCount(span, b.width)}
		b.services[service] = s
	}
	return s
}

// bucket returns the bucket of an instant.
func (b *Budget) bucket(at boottime.Instant) int64 { return int64(at) / int64(b.width) }
