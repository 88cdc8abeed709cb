package eligible

import (
	"time"

	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/upstream"
	"github.com/briarturn/briarturn/warmup"
)

// ColdLimit admits servers that are warm, and cold ones as long as this entry may send them
// more.
type ColdLimit struct {
	Limiter   *warmup.Limiter
	PerSecond float64 // that a cold server bears; 0: not declared, all are admitted
	Zones     evacuation.View
	Now       time.Time
}

// Cause implements Stage.
func (ColdLimit) Cause() Cause { return ColdLimitReached }

// Admits implements Stage.
func (w ColdLimit) Admits(s upstream.Server) bool {
	return w.PerSecond <= 0 || !w.IsCold(s) || w.Limiter.CanSend(s.Instance, w.PerSecond, w.Now)
}

// IsCold reports whether a server is cold, or may have become so without its word.
func (w ColdLimit) IsCold(s upstream.Server) bool {
	return w.Now.Before(s.ColdUntil) || w.Zones.RecentlyRestored(s.Zone)
}
