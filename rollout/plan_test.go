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

// carry carries out all that a plan wants, and returns how many orders it took.
// At each round it checks the slots and calls check before the round is done.
func carry(t require, p *declared.ModelPool, replicas []Replica, check func(during []Replica)) int {
	orders := 0
	for range 10_000 {
		plan := Plan(p, replicas, DefaultMinServing)
		loads := 0
		during := slices.Clone(replicas)
		for i := range plan.Actions {
			a := &plan.Actions[i]
			at := slices.IndexFunc(replicas, func(r Replica) bool { return r.Name == a.Server })
			if during[at].Busy {
				t.Fatalf("two orders at a time for %s", a.Server)
			}
			a.begun(&during[at])
			a.done(&replicas[at])
			if a.Verb == VerbLoad {
				loads++
			}
		}
		if loads > p.MaxWeightLoads {
			t.Fatalf("%d loads at a time, %d allowed", loads, p.MaxWeightLoads)
		}
		check(during)
		orders += len(plan.Actions)
		if plan.Outdated == 0 {
			return orders
		}
		if len(plan.Actions) == 0 {
			t.Fatalf("stuck with %d engines that differ: %+v", plan.Outdated, replicas)
		}
	}
	t.Fatalf("no end after %d orders", orders)
	return orders
}

type require interface{ Fatalf(string, ...any) }

func serving(replicas []Replica, name string) int {
	n := 0
	for i := range replicas {
		if replicas[i].serves(name) {
			n++
		}
	}
	return n
}

// Symptom: requests for a model find no engine while a new version is rolled out,
// or the pool is split into roles. Sequence: all engines serve version 1; version
// 2 is declared, then another split. Cause: all are replaced at once.
func TestCapacityIsKept(t *testing.T) {
	replicas := engines(16)
	carry(t, pool(model("m", "1", 16)), replicas, func([]Replica) {})
	enough := func(during []Replica) {
		t.Helper()
		if n := serving(during, "m"); n < 12 {
			t.Fatalf("%d of 16 serve, want 12", n)
		}
	}
	next := pool(model("m", "2", 16))
	next.MaxWeightLoads = 16
	if orders := carry(t, next, replicas, enough); orders != 16 {
		t.Errorf("%d orders, want 16", orders)
	}
	next.Models[0].Replicas = declared.Replicas{Mixed: 8, Prefill: 4, Decode: 4}
	least := 0
	carry(t, next, replicas, func(during []Replica) {
		enough(during)
		roles := map[backend.Role]int{}
		for i := range during {
			roles[during[i].Role]++
		}
		least = max(least, max(roles[backend.RolePrefill], roles[backend.RoleDecode])-min(roles[backend.RolePrefill], roles[backend.RoleDecode]))
	})
	if least > 1 {
		t.Errorf("one role was %d engines ahead of the other", least)
	}
}

// Symptom: a pool never gets its new model. Sequence: a model of one replica on
// the only engine is replaced by another. Cause: the share that has to go on
// serving rounds up to all.
func TestSingleReplicaCanChange(t *testing.T) {
	replicas := engines(1)
	carry(t, pool(model("m", "1", 1)), replicas, func([]Replica) {})
	carry(t, pool(model("m", "2", 1)), replicas, func([]Replica) {})
	carry(t, pool(model("other", "1", 1)), replicas, func([]Replica) {})
	if diff := cmp.Diff([]string{"other"}, replicas[0].Serving); diff != "" {
		t.Error(diff)
	}
}

func TestDeadEnginesReplicasMove(t *testing.T) {
	replicas := engines(9)
	p := pool(model("m", "1", 6))
	carry(t, p, replicas, func([]Replica) {})
	gone := slices.IndexFunc(replicas, func(r Replica) bool { return r.serves("m") })
	replicas = slices.Delete(replicas, gone, gone+1)
	if orders := carry(t, p, replicas, func([]Replica) {}); orders != 1 {
		t.Errorf("%d orders, want 1", orders)
	}
	silent := slices.IndexFunc(replicas, func(r Replica) bool { return r.serves("m") })
	replicas[silent].Unresponsive = true
	if plan := Plan(p, replicas, DefaultMinServing); len(plan.Actions) > 0 {
		t.Errorf("an engine that is silent for a moment loses its place: %+v", plan.Actions)
	}
}

// Any pool converges from any state of its engines, with zones even, and then
// stays as it is.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := engines(rapid.IntRange(1, 14).Draw(t, "engines"))
		for i := range replicas {
			drawWeights(t, &replicas[i])
		}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			p := drawPool(t)
			carry(t, p, replicas, func([]Replica) {})
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

// checkPlaced looks at the engines themselves, not at what Plan says of them.
func checkPlaced(t require, p *declared.ModelPool, replicas []Replica) {
	plan := Plan(p, replicas, DefaultMinServing)
	missing := 0
	for i := range p.Models {
		m := &p.Models[i]
		perZone := map[string]int{}
		for j := range replicas {
			if replicas[j].current(m.Name, m.Version) {
				perZone[replicas[j].Zone]++
			} else if replicas[j].serves(m.Name) {
				t.Fatalf("%s serves an old version of %s", replicas[j].Name, m.Name)
			}
		}
		there := 0
		for _, n := range perZone {
			there += n
		}
		missing += max(0, m.Replicas.Total()-there)
	}
	if missing > plan.Unplaced {
		t.Fatalf("%d replicas are missing, the plan says %d", missing, plan.Unplaced)
	}
}

func TestZonesAreEven(t *testing.T) {
	replicas := engines(12)
	carry(t, pool(model("m", "1", 6), model("n", "1", 5)), replicas, func([]Replica) {})
	got := map[string]int{}
	for i := range replicas {
		for _, name := range replicas[i].Serving {
			got[name+" "+replicas[i].Zone]++
		}
		if len(replicas[i].Serving) > 1 {
			t.Errorf("%s has %v while others are empty", replicas[i].Name, replicas[i].Serving)
		}
	}
	for _, zone := range zones {
		if got["m "+zone] != 2 || got["n "+zone] < 1 || got["n "+zone] > 2 {
			t.Errorf("zone %s: %v", zone, got)
		}
	}
}
