package eligible

import (
	"time"

	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/upstream"
	"github.com/briarturn/briarturn/warmup"
)

// Warm admits servers that are warm, and cold ones as long as this entry may send them
// more.
type Warm struct {
	Limiter   *warmup.Limiter
	PerSecond float64 // that a cold server bears; 0: not declared, all are admitted
	Zones     evacuation.View
	Now       time.Time
}

// Cause implements Stage.
func (Warm) Cause() Cause { return AllCold }

// Admits implements Stage.
func (w Warm) Admits(s upstream.Server) bool {
	return w.PerSecond <= 0 || !w.Cold(s) || w.Limiter.Allows(s.Instance, w.PerSecond, w.Now)
}

// Cold reports whether a server is cold, or may have become so without its word.
func (w Warm) Cold(s upstream.Server) bool {
	return w.Now.Before(s.ColdUntil) || w.Zones.Restored(s.Zone)
}
