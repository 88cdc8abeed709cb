package lease

import (
	"testing"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// Symptom: an engine that doesn't check fences carries out an order of a leader
// that was replaced. Sequence: first holder, second holder, the agent restarts
// and so forgets, the first holder wakes and sends. Cause: a floor kept in
// memory only.
func TestGateRelearnsFloorAfterRestart(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		first := acquire(t, manager(store, "a"))
		if err := first.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		second := acquire(t, manager(store, "b"))
		restarted := NewFenceChecker(store)
		if err := restarted.Admit(t.Context(), testName, first.Fence()); !errors.Is(err, ErrStaleFence) {
			t.Errorf("old fence: %v, want ErrStaleFence", err)
		}
		if err := restarted.Admit(t.Context(), testName, second.Fence()); err != nil {
			t.Errorf("new fence: %v", err)
		}
		_ = second.Release(t.Context())
	})
}

// Symptom: as above, in a store outage. Cause: a gate that lets the first order
// through because it can't learn its floor.
func TestGateRefusesWithoutFloor(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	store.SetFaults(standin.Faults{Down: true})
	err := NewFenceChecker(store).Admit(t.Context(), testName, 7)
	if !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// Symptom: the invariant on fences never fires, whatever happens. Sequence: one
// fencing number is given to two terms.
func TestRepeatedFenceIsSeen(t *testing.T) {
	m := NewManager(Config{Logger: quiet.Logger()})
	m.checkFence(testName, 5)
	defer func() {
		if recover() == nil {
			t.Error("a repeated fence went unseen")
		}
	}()
	m.checkFence(testName, 5)
}
