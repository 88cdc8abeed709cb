package workspace

import (
	"math"
	"time"
)

// Policy holds the limits of one workspace. A zero limit means no limit.
type Policy struct {
	Weight          float64 // relative share of tokens among workspaces; zero means 1
	TokensPerSecond float64 // across all entries
	BurstTokens     float64 // across all entries; zero means ten seconds of TokensPerSecond
	Concurrency     int     // requests in progress, across all entries
	MaxQueue        int     // requests waiting at one entry; zero means DefaultMaxQueue
	RetryRatio      float64 // retries per request; zero means DefaultRetryRatio, NoRetries none
}

const (
	// DefaultMaxQueue is the default limit on the requests of one workspace that
	// wait at one entry.
	DefaultMaxQueue = 1_024
	// DefaultRetryRatio allows one retry per ten requests, so that retries during an
	// outage add at most a tenth to the load.
	DefaultRetryRatio = 0.1
	// NoRetries is the value of Policy.RetryRatio that disables retries.
	NoRetries = -1.0
	// ShareHeadroom is the factor by which an entry's share of a limit exceeds an
	// equal share, because the load balancer doesn't distribute the requests of a
	// workspace evenly. If all entries use their full shares, the limit is exceeded
	// by this factor.
	ShareHeadroom = 1.2

	defaultBurst = 10 * time.Second
	// retryBurst is the maximum number of retries that a workspace can accumulate. When
	// an engine dies, all its prompts fail, usually 16, and one entry may have sent all
	// of them; with a burst of 10, six of 16 prompts that had not caused the crash
	// failed. The value covers two engines that die at the same time.
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

// entryShare returns one entry's share of a limit that holds across all entries.
func entryShare(limit float64, entries int) float64 {
	if entries <= 1 {
		return limit
	}
	return limit * min(1, ShareHeadroom/float64(entries))
}

// entryConcurrency returns one entry's share of a concurrency limit, at least one.
func entryConcurrency(limit, entries int) int {
	if limit <= 0 {
		return math.MaxInt
	}
	return max(1, int(math.Ceil(entryShare(float64(limit), entries))))
}

// tokenBucket is a token bucket whose balance may become negative: a request passes
// while the balance is positive, and its full cost is then subtracted. A plain token
// bucket would never pass a request that is larger than its burst.
type tokenBucket struct {
	balance float64
	updated time.Time
}

// take subtracts cost if the balance is positive. Otherwise it returns the time until
// the balance is positive again.
func (b *tokenBucket) take(cost, rate, burst float64, now time.Time) (wait time.Duration, ok bool) {
	b.refill(rate, burst, now)
	if b.balance <= 0 {
		return time.Duration((1 - b.balance) / rate * float64(time.Second)), false
	}
	b.balance -= cost
	return 0, true
}

func (b *tokenBucket) refill(rate, burst float64, now time.Time) {
	if b.updated.IsZero() {
		b.balance = burst
		b.updated = now
		return
	}
	if now.After(b.updated) {
		b.balance = min(burst, b.balance+rate*now.Sub(b.updated).Seconds())
		b.updated = now
	}
}
