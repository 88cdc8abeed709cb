package lease

import (
	"testing"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// Guards against an engine that does not check fences carrying out an order of
// a replaced leader. The agent restarts after the second holder has acquired
// the lease, then the first holder resumes and sends an order. A minimum fence
// kept only in memory is lost in the restart.
func TestFenceCheckerReloadsFloorAfterRestart(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		first := acquire(t, newTestManager(store, "a"))
		if err := first.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		second := acquire(t, newTestManager(store, "b"))
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

// The same order in a store outage: a checker must not admit the first order
// when it cannot read its minimum fence.
func TestFenceCheckerRejectsWithoutFloor(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	store.SetFaults(standin.Faults{Down: true})
	err := NewFenceChecker(store).Admit(t.Context(), testName, 7)
	if !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// Checks that the fencing invariant fires when two terms get the same fencing
// number.
func TestRepeatedFenceIsDetected(t *testing.T) {
	m := NewManager(Config{Logger: quiet.Logger()})
	m.checkFence(testName, 5)
	defer func() {
		if recover() == nil {
			t.Error("a repeated fence was not detected")
		}
	}()
	m.checkFence(testName, 5)
}
