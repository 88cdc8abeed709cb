package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/eligible"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/serverlimit"
)

// maxLimitRetryAfter bounds the delay after which a caller that was refused because of the
// servers' limits may retry. Its retry reaches another entry, which may have a share left.
const maxLimitRetryAfter = 2 * time.Second

// LimitReporter reports to other entries which request rate a server names. ReportLimit must
// not block.
type LimitReporter interface {
	ReportLimit(o serverlimit.Observation)
}

func (e *exchange) rateLimit(now time.Time) eligible.RateLimit {
	return eligible.RateLimit{Rates: e.gateway.cfg.Limits.Rates(now), Limiter: e.gateway.cfg.LimitedSends, Now: now}
}

// acquireRates takes one request out of this entry's share of each server that names a rate,
// and reports whether all shares had one left. Helpers count too: they read a part of the
// prompt.
func (e *exchange) acquireRates(servers []placement.Candidate, now time.Time) bool {
	limit := e.rateLimit(now)
	for _, c := range servers {
		a, limited := limit.Allowance(c.Instance)
		if limited && !limit.Limiter.TryAcquire(c.Instance, a, now) {
			return false
		}
	}
	return true
}

// limitRetryAfter returns when a caller may retry that found the shares of all servers used
// up: when the first of this entry's shares allows a send, at least shortest. Callers that are
// refused together are spread.
func (e *exchange) limitRetryAfter(shortest time.Duration) time.Duration {
	now := time.Now()
	limit := e.rateLimit(now)
	next := maxLimitRetryAfter
	for _, s := range e.gateway.cfg.Directory.AvailableServers(e.service.Name, now) {
		a, limited := limit.Allowance(s.Instance)
		if !limited {
			continue
		}
		if after, ok := limit.Limiter.NextSend(s.Instance, a, now); ok {
			next = min(next, after)
		}
	}
	next = max(next, shortest)
	return min(next+rand.N(next/2), maxLimitRetryAfter)
}
