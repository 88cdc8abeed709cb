package eligible

import (
	"time"

	"github.com/briarturn/briarturn/allowance"
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/upstream"
)

// ColdLimit admits warm servers, and cold ones as long as this entry may send them more
// requests.
type ColdLimit struct {
	Limiter   *allowance.Limiter
	PerSecond float64 // requests/s that a cold server can take; 0: not declared, all servers are admitted
	Zones     evacuation.View
	Now       time.Time
}

// Cause implements Condition.
func (ColdLimit) Cause() Cause { return ColdLimitReached }

// Admits implements Condition.
func (w ColdLimit) Admits(s upstream.Server) bool {
	return w.PerSecond <= 0 || !w.IsCold(s) || w.Limiter.CanSend(s.Instance, allowance.PerSecond(w.PerSecond), w.Now)
}

// IsCold reports whether a server is cold, or may be because its zone was just restored and its
// registration has not been read since.
func (w ColdLimit) IsCold(s upstream.Server) bool {
	return w.Now.Before(s.ColdUntil) || w.Zones.RecentlyRestored(s.Zone)
}
