package eligible

import (
	"time"

	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
)

// NotDraining admits servers that have not announced in a response that they drain.
type NotDraining struct{ Notices servernotice.View }

// Cause implements Condition.
func (NotDraining) Cause() Cause { return ServersDraining }

// Admits implements Condition.
func (d NotDraining) Admits(s upstream.Server) bool {
	return len(d.Notices) == 0 || !d.Notices.Draining(servernotice.ServerOf(s.Instance, s.StartedUnixMs))
}

// NotBackingOff admits servers that take requests from this entry now. A server that refused one
// may have named a time for which it wants no others.
type NotBackingOff struct {
	Notices servernotice.View
	Now     time.Time
}

// Cause implements Condition.
func (NotBackingOff) Cause() Cause { return ServersBackOff }

// Admits implements Condition.
func (b NotBackingOff) Admits(s upstream.Server) bool {
	return len(b.Notices) == 0 || b.Notices.BackOffLeft(servernotice.ServerOf(s.Instance, s.StartedUnixMs), b.Now) == 0
}
