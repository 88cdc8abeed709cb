package eligible

import (
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
