package eligible

import (
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/upstream"
)

// NotEvacuated admits servers in zones that operators have not evacuated.
type NotEvacuated struct{ Zones evacuation.View }

// Cause implements Condition.
func (NotEvacuated) Cause() Cause { return ZoneEvacuated }

// Admits implements Condition.
func (z NotEvacuated) Admits(s upstream.Server) bool { return !z.Zones.Evacuated(s.Zone) }
