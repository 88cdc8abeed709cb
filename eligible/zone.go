package eligible

import (
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/upstream"
)

// InUse admits servers of zones that operators have not evacuated.
type InUse struct{ Zones evacuation.View }

// Cause implements Stage.
func (InUse) Cause() Cause { return ZoneEvacuated }

// Admits implements Stage.
func (z InUse) Admits(s upstream.Server) bool { return !z.Zones.Evacuated(s.Zone) }
