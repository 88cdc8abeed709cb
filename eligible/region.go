package eligible

import (
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// InRegions admits servers in the regions that the request's route and its workspace allow;
// where both name regions both bind.
type InRegions struct {
	Route     routetable.Regions
	Workspace routetable.Regions
}

// Cause implements Stage.
func (InRegions) Cause() Cause { return OutOfRegion }

// Admits implements Stage.
func (h InRegions) Admits(s upstream.Server) bool {
	return h.Route.Allows(s.Region) && h.Workspace.Allows(s.Region)
}
