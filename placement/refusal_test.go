package placement

import (
	"slices"
	"testing"
	"time"
)

// Symptom: of prompts that several servers read, half are refused twice within
// milliseconds while one server is down, though the rest have time.
// Sequence: a helper crashed; the answering server refuses and names it; the next
// attempt has the same helper.
// Cause: the refusal was laid to the server that answered, and helpers were chosen
// without a look at refusals.
func TestHelperAtFaultIsLeftOut(t *testing.T) {
	f := newFleet(6)
	p := f.place(t, review(60_000))
	if len(p.Helpers) == 0 {
		t.Fatal("no helpers")
	}
	down := p.Helpers[0]
	p.Refused(down.Address)
	p.End()
	for range 20 {
		f.now = f.now.Add(refusedMemory / 100)
		next := f.place(t, review(60_000))
		if slices.Contains(instances(next), down.Instance) {
			t.Fatalf("%v has the helper that was at fault", instances(next))
		}
		next.End()
	}
}

// Symptom: a server that was down is not used again.
// Sequence: it refused; time passes. Cause: refusals did not fade.
func TestRefusalFades(t *testing.T) {
	f := newFleet(1)
	p := f.place(t, notice())
	p.Refused("somebody else")
	s := f.ledger.servers[p.key]
	if s.refusal(f.now) != refusedPrice || s.refusal(f.now.Add(refusedMemory+time.Millisecond)) != 0 {
		t.Errorf("price %v at once, %v later", s.refusal(f.now), s.refusal(f.now.Add(refusedMemory+time.Millisecond)))
	}
}
