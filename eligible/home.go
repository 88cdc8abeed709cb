package eligible

import (
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// AtHome admits servers in regions that are homes of the request's route and of its
// workspace; where both have homes both bind.
type AtHome struct {
	Route     routetable.Homes
	Workspace routetable.Homes
}

// Cause implements Stage.
func (AtHome) Cause() Cause { return NotHome }

// Admits implements Stage.
func (h AtHome) Admits(s upstream.Server) bool {
	return h.Route.Allow(s.Region) && h.Workspace.Allow(s.Region)
}
