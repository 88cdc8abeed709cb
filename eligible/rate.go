package eligible

import (
	"time"

	"github.com/briarturn/briarturn/allowance"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/upstream"
)

// RateLimit admits servers that name no request rate, and others as long as this entry may
// send them more requests.
type RateLimit struct {
	Rates   serverlimit.Rates
	Limiter *allowance.Limiter
	Now     time.Time
}

// Cause implements Condition.
func (RateLimit) Cause() Cause { return RateLimitReached }

// Admits implements Condition.
func (r RateLimit) Admits(s upstream.Server) bool {
	a, limited := r.Allowance(s.Instance)
	return !limited || r.Limiter.CanSend(s.Instance, a, r.Now)
}

// Allowance returns what all entries together may send to a server; limited is false if the
// server names no rate.
func (r RateLimit) Allowance(instance string) (a allowance.Allowance, limited bool) {
	if len(r.Rates) == 0 {
		return a, false
	}
	rate, limited := r.Rates[placement.ServerKey(instance)]
	if !limited {
		return a, false
	}
	return serverlimit.Allowance(rate), true
}
