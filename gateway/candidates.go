package gateway

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/allowance"
	"github.com/briarturn/briarturn/eligible"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/upstream"
)

// maxPlacementTries is how many times a request is placed if, before it is sent, other
// requests of this entry take what it was placed on or operators evacuate its zone.
const maxPlacementTries = 3

// place chooses a server among those that had no attempt yet, or among all if every one
// had.
func (e *exchange) place() (placement.Placement, placement.Decision) {
	candidates, alreadyTried, cause := e.candidates(time.Now())
	e.exclusionCause = cause
	if len(candidates) == 0 {
		candidates = alreadyTried
	}
	e.candidateCount = len(candidates)
	query := e.placementQuery()
	query.MayWait = e.waitsForRoom()
	placed, decision := e.gateway.cfg.Placer.Place(query, candidates)
	if decision == placement.Placed {
		e.startTrial(placed)
	}
	return placed, decision
}

// candidates returns the servers that the request may be sent to now, those that had an attempt
// apart, or the cause why there are none.
func (e *exchange) candidates(now time.Time) (untried, tried []placement.Candidate, cause eligible.Cause) {
	coldLimit := e.coldLimit(now)
	servers, cause := e.eligibleServers(coldLimit, now)
	for _, s := range servers {
		c := placement.Candidate{
			Instance: s.Instance, StartedUnixMs: s.StartedUnixMs, Address: s.Address, Zone: s.Zone, Capacity: s.Capacity,
			Cold: coldLimit.IsCold(s),
		}
		if e.triedInstances[s.Instance] {
			tried = append(tried, c)
			continue
		}
		untried = append(untried, c)
	}
	return untried, tried, cause
}

// eligibleServers returns the servers that the request may be sent to now, or the cause why there
// are none.
func (e *exchange) eligibleServers(coldLimit eligible.ColdLimit, now time.Time) ([]upstream.Server, eligible.Cause) {
	notices := e.gateway.cfg.Notices.View()
	servers, cause := eligible.Filter(e.gateway.cfg.Directory.AvailableServers(e.service.Name, now),
		e.regionCondition(), eligible.NotEvacuated{Zones: coldLimit.Zones},
		eligible.NotDraining{Notices: notices}, eligible.NotBackingOff{Notices: notices, Now: now},
		coldLimit, e.rateLimit(now))
	return e.withoutLost(servers), cause
}

// reasonAfterRefusals returns the reason for a refusal after servers have refused all attempts: why
// no server is left, if that is so. Its delay suits the caller better.
func (e *exchange) reasonAfterRefusals() Reason {
	now := time.Now()
	_, cause := e.eligibleServers(e.coldLimit(now), now)
	if reason := reasonFor(cause); reason != "" {
		return reason
	}
	return ReasonServersRefused
}

func (e *exchange) regionCondition() eligible.InRegions {
	in := eligible.InRegions{Route: e.route.Regions}
	if e.workspace != nil {
		in.Workspace = e.workspace.Regions
	}
	return in
}

func (e *exchange) coldLimit(now time.Time) eligible.ColdLimit {
	g := e.gateway
	return eligible.ColdLimit{
		Limiter:   g.cfg.ColdSends,
		PerSecond: e.service.ColdPerSecond,
		Zones:     g.cfg.Zones.View(g.cfg.Directory.CurrentAsOf()),
		Now:       now,
	}
}

// stillEligible reports whether a request may be sent where it was placed. It is called
// right before the send. Operators may have evacuated a zone, or a server may have announced that
// it takes no requests, while memory was reserved,
// and if several requests of this entry were placed on a cold server, or on one that names a
// rate, at the same moment, only its share of them may go there.
func (e *exchange) stillEligible(placed placement.Placement) bool {
	now := time.Now()
	coldLimit := e.coldLimit(now)
	servers := slices.Concat([]placement.Candidate{placed.Server}, placed.Helpers)
	if slices.ContainsFunc(servers, func(c placement.Candidate) bool { return coldLimit.Zones.Evacuated(c.Zone) }) {
		return false
	}
	notices := e.gateway.cfg.Notices.View()
	if slices.ContainsFunc(servers, func(c placement.Candidate) bool { return notices.Excluded(noticeServer(c), now) }) {
		return false
	}
	if !e.acquireRates(servers, now) {
		return false
	}
	if coldLimit.PerSecond <= 0 {
		return true
	}
	for _, c := range servers {
		if c.Cold && !coldLimit.Limiter.TryAcquire(c.Instance, allowance.PerSecond(coldLimit.PerSecond), coldLimit.Now) {
			return false
		}
	}
	return true
}

// reasonFor returns the refusal reason for the cause that left no server, or "" if some
// server was left.
func reasonFor(c eligible.Cause) Reason {
	switch c {
	case eligible.OutOfRegion:
		return ReasonOutOfRegion
	case eligible.ZoneEvacuated:
		return ReasonZoneEvacuated
	case eligible.ServersDraining:
		return ReasonServersDraining
	case eligible.ServersBackOff:
		return ReasonServersBackOff
	case eligible.ColdLimitReached:
		return ReasonServersCold
	case eligible.RateLimitReached:
		return ReasonServersLimited
	}
	return ""
}
