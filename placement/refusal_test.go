package placement

import (
	"slices"
	"testing"
	"time"
)

// Half of the prompts that several servers prefill were refused twice within milliseconds
// while one server was down, although the rest had time. A helper has crashed; the primary
// refuses the attempt and names it, and the next attempt used the same helper. The refusal
// was attributed to the primary, and refusals were ignored in the choice of helpers.
func TestHelperAtFaultIsAvoided(t *testing.T) {
	f := newFleet(6)
	p := f.place(t, review(60_000))
	if len(p.Helpers) == 0 {
		t.Fatal("no helpers")
	}
	down := p.Helpers[0]
	p.Refused(down.Address)
	p.End()
	for range 20 {
		f.now = f.now.Add(refusalDecay / 100)
		next := f.place(t, review(60_000))
		if slices.Contains(instances(next), down.Instance) {
			t.Fatalf("%v includes the helper that was at fault", instances(next))
		}
		next.End()
	}
}

// A server that had been down was never used again after its refusal, because the cost of a
// refusal didn't decay.
func TestRefusalCostDecays(t *testing.T) {
	f := newFleet(1)
	p := f.place(t, notice())
	p.Refused("somebody else")
	s := f.ledger.servers[p.key]
	if s.refusalCost(f.now) != recentRefusalCost || s.refusalCost(f.now.Add(refusalDecay+time.Millisecond)) != 0 {
		t.Errorf("cost %v at once, %v later", s.refusalCost(f.now), s.refusalCost(f.now.Add(refusalDecay+time.Millisecond)))
	}
}
