package rollout

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
)

var zones = []string{"burnie", "hobart", "launceston"}

func model(name, version string, mixed int, adapters ...declared.Adapter) declared.Model {
	return declared.Model{Name: name, Version: version, Source: name, Replicas: declared.Replicas{Mixed: mixed}, Adapters: adapters}
}

func pool(models ...declared.Model) *declared.ModelPool {
	return &declared.ModelPool{Models: models, Zones: zones, MaxWeightLoads: 2}
}

func engines(n int) []Replica {
	out := make([]Replica, n)
	for i := range out {
		out[i] = Replica{Name: fmt.Sprintf("e%02d", i), Zone: zones[i%len(zones)], Role: backend.RoleMixed}
	}
	return out
}

// converge carries out plans until all engines match their targets, and returns the
// number of orders. In each round it checks the number of loads and calls check
// with the state while the orders are in progress.
func converge(t fataler, p *declared.ModelPool, replicas []Replica, check func(during []Replica)) int {
	orders := 0
	for range 10_000 {
		plan := Plan(p, replicas, DefaultMinServing)
		loads := 0
		during := slices.Clone(replicas)
		for i := range plan.Actions {
			a := &plan.Actions[i]
			at := slices.IndexFunc(replicas, func(r Replica) bool { return r.Name == a.Server })
			if during[at].Busy {
				t.Fatalf("two concurrent orders for %s", a.Server)
			}
			a.applyStarted(&during[at])
			a.applyCompleted(&replicas[at])
			if a.Verb == VerbLoad {
				loads++
			}
		}
		if loads > p.MaxWeightLoads {
			t.Fatalf("%d concurrent loads, %d allowed", loads, p.MaxWeightLoads)
		}
		check(during)
		orders += len(plan.Actions)
		if plan.Outdated == 0 {
			return orders
		}
		if len(plan.Actions) == 0 {
			t.Fatalf("no orders while %d engines are outdated: %+v", plan.Outdated, replicas)
		}
	}
	t.Fatalf("not converged after %d orders", orders)
	return orders
}

type fataler interface{ Fatalf(string, ...any) }

func serving(replicas []Replica, name string) int {
	n := 0
	for i := range replicas {
		if replicas[i].serves(name) {
			n++
		}
	}
	return n
}

// Guards against replacing all engines at once when a new version is rolled out or
// the pool is split into roles: requests for the model would find no engine.
func TestRolloutKeepsMinServing(t *testing.T) {
	replicas := engines(16)
	converge(t, pool(model("m", "1", 16)), replicas, func([]Replica) {})
	checkServing := func(during []Replica) {
		t.Helper()
		if n := serving(during, "m"); n < 12 {
			t.Fatalf("%d of 16 engines serve, want at least 12", n)
		}
	}
	next := pool(model("m", "2", 16))
	next.MaxWeightLoads = 16
	if orders := converge(t, next, replicas, checkServing); orders != 16 {
		t.Errorf("%d orders, want 16", orders)
	}
	next.Models[0].Replicas = declared.Replicas{Mixed: 8, Prefill: 4, Decode: 4}
	maxDifference := 0
	converge(t, next, replicas, func(during []Replica) {
		checkServing(during)
		roles := map[backend.Role]int{}
		for i := range during {
			roles[during[i].Role]++
		}
		maxDifference = max(maxDifference, max(roles[backend.RolePrefill], roles[backend.RoleDecode])-min(roles[backend.RolePrefill], roles[backend.RoleDecode]))
	})
	if maxDifference > 1 {
		t.Errorf("one role was %d engines ahead of the other", maxDifference)
	}
}

// Guards against a pool that never gets its new model: with a single replica, the
// fraction that must keep serving would round up to all replicas.
func TestSingleReplicaIsReplaced(t *testing.T) {
	replicas := engines(1)
	converge(t, pool(model("m", "1", 1)), replicas, func([]Replica) {})
	converge(t, pool(model("m", "2", 1)), replicas, func([]Replica) {})
	converge(t, pool(model("other", "1", 1)), replicas, func([]Replica) {})
	if diff := cmp.Diff([]string{"other"}, replicas[0].Serving); diff != "" {
		t.Error(diff)
	}
}

func TestReplicaOfRemovedEngineMoves(t *testing.T) {
	replicas := engines(9)
	p := pool(model("m", "1", 6))
	converge(t, p, replicas, func([]Replica) {})
	gone := slices.IndexFunc(replicas, func(r Replica) bool { return r.serves("m") })
	replicas = slices.Delete(replicas, gone, gone+1)
	if orders := converge(t, p, replicas, func([]Replica) {}); orders != 1 {
		t.Errorf("%d orders, want 1", orders)
	}
	silent := slices.IndexFunc(replicas, func(r Replica) bool { return r.serves("m") })
	replicas[silent].Unresponsive = true
	if plan := Plan(p, replicas, DefaultMinServing); len(plan.Actions) > 0 {
		t.Errorf("orders although the engine is only unresponsive: %+v", plan.Actions)
	}
}

// Any pool converges from any state of its engines, with replicas even over the
// zones, and then does not change.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := engines(rapid.IntRange(1, 14).Draw(t, "engines"))
		for i := range replicas {
			drawWeights(t, &replicas[i])
		}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			p := drawPool(t)
			converge(t, p, replicas, func([]Replica) {})
			checkPlaced(t, p, replicas)
		}
	})
}

func drawWeights(t *rapid.T, r *Replica) {
	r.Role = rapid.SampledFrom([]backend.Role{"", backend.RoleMixed, backend.RoleDecode}).Draw(t, "role")
	for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"m0", "m1", "m2", "x", "a0"}), rapid.ID[string]).Draw(t, "weights") {
		version := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version")
		r.Weights = append(r.Weights, backend.Weights{Name: name, Version: backend.VersionKey(version), Adapter: name == "a0"})
		if rapid.Bool().Draw(t, "serves") {
			r.Serving = append(r.Serving, name)
		}
	}
}

func drawPool(t *rapid.T) *declared.ModelPool {
	p := pool()
	p.MaxWeightLoads = rapid.IntRange(1, 4).Draw(t, "slots")
	version := rapid.SampledFrom([]string{"1", "2", "3"})
	for i := range rapid.IntRange(1, 3).Draw(t, "models") {
		m := model(fmt.Sprintf("m%d", i), version.Draw(t, "version"), rapid.IntRange(0, 6).Draw(t, "mixed"))
		m.Replicas.Prefill = rapid.IntRange(0, 2).Draw(t, "prefill")
		m.Replicas.Decode = rapid.IntRange(0, 2).Draw(t, "decode")
		if i == 0 && rapid.Bool().Draw(t, "adapter") {
			m.Adapters = []declared.Adapter{{Name: "a0", Version: version.Draw(t, "version"), Source: "a0"}}
		}
		p.Models = append(p.Models, m)
	}
	return p
}

// checkPlaced checks the state of the engines, not only the counts that Plan
// returns.
func checkPlaced(t fataler, p *declared.ModelPool, replicas []Replica) {
	plan := Plan(p, replicas, DefaultMinServing)
	missing := 0
	for i := range p.Models {
		m := &p.Models[i]
		perZone := map[string]int{}
		for j := range replicas {
			if replicas[j].servesVersion(m.Name, m.Version) {
				perZone[replicas[j].Zone]++
			} else if replicas[j].serves(m.Name) {
				t.Fatalf("%s serves an outdated version of %s", replicas[j].Name, m.Name)
			}
		}
		placed := 0
		for _, n := range perZone {
			placed += n
		}
		missing += max(0, m.Replicas.Total()-placed)
	}
	if missing > plan.Unplaced {
		t.Fatalf("%d replicas are missing, the plan has %d", missing, plan.Unplaced)
	}
}

func TestReplicasAreEvenOverZones(t *testing.T) {
	replicas := engines(12)
	converge(t, pool(model("m", "1", 6), model("n", "1", 5)), replicas, func([]Replica) {})
	got := map[string]int{}
	for i := range replicas {
		for _, name := range replicas[i].Serving {
			got[name+" "+replicas[i].Zone]++
		}
		if len(replicas[i].Serving) > 1 {
			t.Errorf("%s serves %v while other engines serve nothing", replicas[i].Name, replicas[i].Serving)
		}
	}
	for _, zone := range zones {
		if got["m "+zone] != 2 || got["n "+zone] < 1 || got["n "+zone] > 2 {
			t.Errorf("zone %s: %v", zone, got)
		}
	}
}
