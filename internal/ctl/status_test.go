package ctl

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
)

// Symptom: --wait ends before a revision is in force everywhere, or never does.
// Sequence: a server changes its home entry; the old home still lists it with
// what it last heard, and a third entry knows of it by digests only. Cause: old
// or second-hand revisions are counted as the server's own.
func TestServerCountsOnceAsTheFreshestTold(t *testing.T) {
	told := func(entry string, s admin.ServerStatus) processStatus {
		s.Name = "b1"
		return processStatus{Status: admin.Status{Name: entry, Role: "entry", ConfigRevision: 9, Servers: []admin.ServerStatus{s}}}
	}
	f := &fleetStatus{Wanted: 9, Processes: []processStatus{
		told("old", admin.ServerStatus{Direct: true, ConfigRevision: 7, LoadAgeMS: 20_000}),
		told("home", admin.ServerStatus{Direct: true, ConfigRevision: 9, LoadAgeMS: 400}),
		told("far", admin.ServerStatus{LoadAgeMS: 100}),
		{err: errors.New("unreachable")},
	}}
	f.count()
	if f.Known != 5 || f.InForce != 4 {
		t.Errorf("in force at %d of %d, want 4 of 5", f.InForce, f.Known)
	}
	want := []revisionShare{{0, 1, 0.2}, {9, 4, 0.8}}
	if diff := cmp.Diff(want, f.Revisions); diff != "" {
		t.Error(diff)
	}
	f = &fleetStatus{Wanted: 9, Processes: f.Processes[2:3]}
	f.count()
	if f.Known != 2 || f.InForce != 1 {
		t.Errorf("a server known by digests only: in force at %d of %d, want 1 of 2", f.InForce, f.Known)
	}
}

// Symptom: --wait never ends for an object of another pool. Sequence: an agent is
// asked itself; it has all that concerns its pool, which is older. Cause: agents
// aren't told of what doesn't concern them, and can't know that it doesn't.
func TestHomeSpeaksForTheAgent(t *testing.T) {
	entry := processStatus{Status: admin.Status{Name: "e", Role: roleEntry, ConfigRevision: 9,
		Servers: []admin.ServerStatus{{Name: "b1", Direct: true, ConfigRevision: 9}}}}
	agent := processStatus{Status: admin.Status{Name: "b1", Role: roleAgent, ConfigRevision: 4,
		Servers: []admin.ServerStatus{{Name: "b1", Direct: true, ConfigRevision: 4}}}}
	f := &fleetStatus{Wanted: 9, Processes: []processStatus{agent, entry}}
	if f.count(); f.InForce != 2 || f.Known != 2 {
		t.Errorf("in force at %d of %d, want 2 of 2", f.InForce, f.Known)
	}
	f = &fleetStatus{Wanted: 9, Processes: []processStatus{agent}}
	if f.count(); f.InForce != 0 || f.Known != 1 {
		t.Errorf("the agent alone: in force at %d of %d, want 0 of 1", f.InForce, f.Known)
	}
}

// Guards against an operator who can't see that a gateway sends a server nothing, and who said that it
// doesn't serve.
func TestStatusShowsLostServer(t *testing.T) {
	lost := admin.LostServer{Evidence: "refused", Entries: []string{"e1", "e2"}, AgeMS: 40}
	f := &fleetStatus{Processes: []processStatus{{Status: admin.Status{
		Name: "g1", Role: roleGateway, Servers: []admin.ServerStatus{{Name: "b1", State: "live", Lost: &lost}, {Name: "b2", State: "live"}},
	}}}}
	var out strings.Builder
	if err := f.writeTable(&out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "lost (refused 40 ms ago, by e1 e2)") || strings.Count(out.String(), "lost") != 1 {
		t.Error(out.String())
	}
}

// Guards against operators who can't see which servers an entry avoids.
func TestStatusNamesSlowServers(t *testing.T) {
	f := &fleetStatus{Processes: []processStatus{{Status: admin.Status{Name: "gw-1", Role: roleGateway, Servers: []admin.ServerStatus{
		{Name: "engine-1"},
		{Name: "engine-2", Slowdown: 4},
	}}}}}
	var out strings.Builder
	f.writeSlowServers(&out)
	if want := "slow for gw-1: engine-2, 4.0 times its declared times\n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}
