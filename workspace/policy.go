package workspace

import (
	"math"
	"time"
)

// Policy is what one workspace may use. Zero limits mean no limit.
type Policy struct {
	Weight          float64 // share of tokens against other workspaces; zero means 1
	TokensPerSecond float64 // over all entries
	BurstTokens     float64 // over all entries; zero means ten seconds' worth
	Concurrency     int     // requests in progress, over all entries
	MaxQueue        int     // requests waiting at one entry; zero means DefaultMaxQueue
	RetryRatio      float64 // retries per request; zero means DefaultRetryRatio, NoRetries none
}

const (
	// DefaultMaxQueue bounds the requests of one workspace that wait at an
	// entry.
	DefaultMaxQueue = 1_024
	// DefaultRetryRatio lets one request in ten be retried, so that an outage
	// makes at most a tenth more load.
	DefaultRetryRatio = 0.1
	// NoRetries as Policy.RetryRatio allows no retry at all.
	NoRetries = -1.0
	// ShareHeadroom multiplies an entry's equal share of a limit, because the
	// balancer doesn't spread a workspace's requests evenly. The limit may be
	// exceeded by this factor when all entries use their shares up.
	ShareHeadroom = 1.2

	defaultBurst = 10 * time.Second
	// retryBurst is how many retries a workspace may save up. An engine that dies takes
	// all its prompts with it, 16 on a usual one, and an entry may have sent them all;
	// with 10, six of 16 innocent prompts failed. Two engines may die at a time.
	retryBurst = 32
)

func (p Policy) withDefaults() Policy {
	if p.Weight <= 0 {
		p.Weight = 1
	}
	if p.BurstTokens <= 0 {
		p.BurstTokens = p.TokensPerSecond * defaultBurst.Seconds()
	}
	if p.MaxQueue <= 0 {
		p.MaxQueue = DefaultMaxQueue
	}
	if p.RetryRatio == 0 {
		p.RetryRatio = DefaultRetryRatio
	}
	return p
}

// share returns an entry's part of a limit that holds over all entries.
func share(limit float64, entries int) float64 {
	if entries <= 1 {
		return limit
	}
	return limit * min(1, ShareHeadroom/float64(entries))
}

// concurrencyShare is share for whole requests, at least one.
func concurrencyShare(limit, entries int) int {
	if limit <= 0 {
		return math.MaxInt
	}
	return max(1, int(math.Ceil(share(float64(limit), entries))))
}

// bucket is a token bucket that may go into debt: a request is let through
// while the balance is positive and then paid for in full. A plain bucket could
// never pass a request that is larger than its burst.
type bucket struct {
	balance float64
	at      time.Time
}

// take pays cost if the balance is positive, else returns the time until it is.
func (b *bucket) take(cost, rate, burst float64, now time.Time) (wait time.Duration, ok bool) {
	b.refill(rate, burst, now)
	if b.balance <= 0 {
		return time.Duration((1 - b.balance) / rate * float64(time.Second)), false
	}
	b.balance -= cost
	return 0, true
}

func (b *bucket) refill(rate, burst float64, now time.Time) {
	if b.at.IsZero() {
		b.balance = burst
		b.at = now
		return
	}
	if now.After(b.at) {
		b.balance = min(burst, b.balance+rate*now.Sub(b.at).Seconds())
		b.at = now
	}
}
