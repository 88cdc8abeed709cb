package eligible

import (
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// InRegions admits servers in the regions that both the request's route and its workspace
// allow. An empty list allows all regions.
type InRegions struct {
	Route     routetable.Regions
	Workspace routetable.Regions
}

// Cause implements Condition.
func (InRegions) Cause() Cause { return OutOfRegion }

// Admits implements Condition.
func (h InRegions) Admits(s upstream.Server) bool {
	return h.Route.Allows(s.Region) && h.Workspace.Allows(s.Region)
}
