package eligible

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/allowance"
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

func instances(servers []upstream.Server) []string {
	var out []string
	for _, s := range servers {
		out = append(out, s.Instance)
	}
	return out
}

// A request must not leave its allowed regions, whether its route, its workspace or both
// restrict them, and must not reach a server whose region is unknown.
func TestRouteAndWorkspaceRegionsBothApply(t *testing.T) {
	for _, c := range []struct {
		name             string
		route, workspace routetable.Regions
		want             []string
		cause            Cause
	}{
		{name: "none", want: []string{"n", "s", "w", "unknown"}},
		{name: "route", route: routetable.Regions{"north"}, want: []string{"n"}},
		{name: "workspace", workspace: routetable.Regions{"south", "west"}, want: []string{"s", "w"}},
		{name: "both", route: routetable.Regions{"north", "south"}, workspace: routetable.Regions{"south", "west"}, want: []string{"s"}},
		{name: "disjoint", route: routetable.Regions{"north"}, workspace: routetable.Regions{"south"}, cause: OutOfRegion},
		{name: "no server there", route: routetable.Regions{"east"}, cause: OutOfRegion},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := []upstream.Server{{Instance: "n", Region: "north"}, {Instance: "s", Region: "south"}, {Instance: "w", Region: "west"}, {Instance: "unknown"}}
			left, cause := Filter(servers, InRegions{Route: c.route, Workspace: c.workspace})
			if diff := cmp.Diff(c.want, instances(left)); diff != "" || cause != c.cause {
				t.Errorf("cause %v, servers %s", cause, diff)
			}
		})
	}
}

// The cause is that of the condition that excluded the last servers. A service without servers
// has no cause.
func TestCauseNamesTheRejectingCondition(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() boottime.Instant { return boottime.Instant(time.Hour) }
	zones := evacuation.NewZones(clock)
	zones.Replace([]string{"a"}, clock())
	limiter := allowance.NewLimiter("e", now.Add(-time.Hour))
	limiter.SetEntries(nil, now)
	stages := func() []Condition {
		view := zones.View(clock().Add(time.Second))
		return []Condition{
			InRegions{Route: routetable.Regions{"north"}}, NotEvacuated{Zones: view},
			ColdLimit{Limiter: limiter, PerSecond: 1, Zones: view, Now: now},
		}
	}
	evacuated := upstream.Server{Instance: "evacuated", Region: "north", Zone: "a"}
	cold := upstream.Server{Instance: "cold", Region: "north", Zone: "b", ColdUntil: now.Add(time.Second)}
	abroad := upstream.Server{Instance: "abroad", Region: "south", Zone: "c"}
	if left, cause := Filter([]upstream.Server{evacuated, cold, abroad}, stages()...); cause != None || len(left) != 1 || left[0].Instance != "cold" {
		t.Errorf("cause %v, servers %v", cause, instances(left))
	}
	limiter.TryAcquire("cold", allowance.PerSecond(1), now)
	for _, c := range []struct {
		servers []upstream.Server
		want    Cause
	}{
		{servers: nil, want: None},
		{servers: []upstream.Server{abroad}, want: OutOfRegion},
		{servers: []upstream.Server{abroad, evacuated}, want: ZoneEvacuated},
		{servers: []upstream.Server{cold, evacuated}, want: ColdLimitReached},
	} {
		if left, cause := Filter(c.servers, stages()...); cause != c.want || len(left) != 0 {
			t.Errorf("%v: cause %v, want %v; left %v", instances(c.servers), cause, c.want, instances(left))
		}
	}
}

// Servers of a restored zone count as cold until their registrations are read again.
func TestServersOfRestoredZoneCountAsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := boottime.Instant(time.Hour)
	zones := evacuation.NewZones(func() boottime.Instant { return clock })
	zones.Replace([]string{"a"}, clock)
	zones.End("a")
	s := upstream.Server{Instance: "x", Zone: "a"}
	if !(ColdLimit{Zones: zones.View(clock - 1), Now: now}).IsCold(s) {
		t.Error("a server of a restored zone counts as warm")
	}
	if (ColdLimit{Zones: zones.View(clock + 1), Now: now}).IsCold(s) {
		t.Error("a server stays cold although its registration was read since")
	}
}
