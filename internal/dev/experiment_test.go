package dev

import (
	"io"
	"testing"
	"time"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
)

func TestDeploymentOfEachMix(t *testing.T) {
	for name, engines := range map[string]int{"derwent": 16, "atlas": 21, "derwent-flood": 16} {
		mix, err := load.LoadMix(name)
		if err != nil {
			t.Fatal(err)
		}
		objects, err := Deployment(mix, ExperimentEngine())
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		servers, policies := map[bool]int{}, 0
		for _, o := range objects {
			switch spec := o.Spec.(type) {
			case *declared.BackendServerSet:
				servers[spec.PlainService] += len(spec.Members())
			case *declared.WorkspacePolicy:
				policies++
			}
		}
		if servers[false] != engines || servers[true] != 3 || policies != len(mix.Workspaces) {
			t.Errorf("%s: %v servers by service, %d policies", name, servers, policies)
		}
	}
}

// The arrivals that a policy gets must not depend on it, and each way of
// running must bring answers.
func TestCasesGetTheSameArrivals(t *testing.T) {
	if testing.Short() {
		t.Skip("starts two fleets")
	}
	e := DefaultExperiment()
	e.Policies = []string{"cost", PolicyDirect}
	e.Mixes, e.Factors = []string{"derwent"}, []float64{0.1}
	e.For = time.Second
	e.Engine.PrefillRate = 400_000
	cases, err := e.Run(t.Context(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	inside, direct := cases[0].Mixed, cases[1].Mixed
	if inside.Rate != direct.Rate || !inside.Whole() {
		t.Fatalf("rates %v and %v, counts %+v", inside.Rate, direct.Rate, inside.All().Counts)
	}
	if a, b := inside.Class(0).Sent, direct.Class(0).Sent; a != b || a == 0 || cases[1].Slowdown.Matched == 0 {
		t.Errorf("short requests sent: %d and %d, %d matched", a, b, cases[1].Slowdown.Matched)
	}
}
