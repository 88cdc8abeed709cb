package eligible

import (
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/upstream"
)

// InUse admits servers of zones that operators have not emptied.
type InUse struct{ Zones evacuation.View }

// Cause implements Stage.
func (InUse) Cause() Cause { return ZoneEmptied }

// Admits implements Stage.
func (z InUse) Admits(s upstream.Server) bool { return !z.Zones.Emptied(s.Zone) }
