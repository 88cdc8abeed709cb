package gateway

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/eligible"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/upstream"
)

// clearTries is how often a request is placed again because other requests of this entry
// took what it was placed on, or operators evacuated its zone meanwhile.
const clearTries = 3

// place chooses the server among those that had no attempt yet, or among all if
// every one had.
func (e *exchange) place() (placement.Placement, placement.Decision) {
	g := e.gateway
	now := time.Now()
	warm := e.warm(now)
	var servers []upstream.Server
	servers, e.keptOut = eligible.Filter(g.cfg.Directory.AvailableServers(e.service.Name, now),
		e.inRegions(), eligible.NotEvacuated{Zones: warm.Zones}, warm)
	var candidates, had []placement.Candidate
	for _, s := range servers {
		c := placement.Candidate{Instance: s.Instance, Address: s.Address, Zone: s.Zone, Capacity: s.Capacity, Cold: warm.IsCold(s)}
		if e.tried[s.Instance] {
			had = append(had, c)
			continue
		}
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 {
		candidates = had
	}
	return g.cfg.Placer.Place(e.query(), candidates)
}

func (e *exchange) inRegions() eligible.InRegions {
	in := eligible.InRegions{Route: e.route.Regions}
	if e.workspace != nil {
		in.Workspace = e.workspace.Regions
	}
	return in
}

func (e *exchange) warm(now time.Time) eligible.ColdLimit {
	g := e.gateway
	return eligible.ColdLimit{
		Limiter:   g.cfg.Warmup,
		PerSecond: e.service.ColdPerSecond,
		Zones:     g.cfg.Zones.View(g.cfg.Directory.CurrentAsOf()),
		Now:       now,
	}
}

// clear reports whether a request may be sent where it was placed, right before it is: an
// operator may have evacuated a zone while memory was reserved, and of the requests of this
// entry that were placed on a cold server at the same moment only its share may go there.
func (e *exchange) clear(place placement.Placement) bool {
	warm := e.warm(time.Now())
	servers := slices.Concat([]placement.Candidate{place.Server}, place.Helpers)
	if slices.ContainsFunc(servers, func(c placement.Candidate) bool { return warm.Zones.Evacuated(c.Zone) }) {
		return false
	}
	if warm.PerSecond <= 0 {
		return true
	}
	for _, c := range servers {
		if c.Cold && !warm.Limiter.TryAcquire(c.Instance, warm.PerSecond, warm.Now) {
			return false
		}
	}
	return true
}

// reasonOf translates why no server was left; empty if some was.
func reasonOf(c eligible.Cause) Reason {
	switch c {
	case eligible.OutOfRegion:
		return ReasonOutOfRegion
	case eligible.ZoneEvacuated:
		return ReasonZoneEvacuated
	case eligible.ColdLimitReached:
		return ReasonServersCold
	}
	return ""
}
