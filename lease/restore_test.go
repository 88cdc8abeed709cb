package lease

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

// Guards against two holders after the store came back from a copy in which the lease was released, or
// held by an earlier holder, and against a fencing number that is given twice.
func TestOneHolderAfterStoreCameBackFromOlderCopy(t *testing.T) {
	for name, released := range map[string]bool{"released in the copy": true, "held by another in the copy": false} {
		withStore(t, func(t *testing.T, store *standin.Memory) {
			first := acquire(t, newTestManager(store, "a"))
			held := store.Copy()
			_ = first.Release(t.Context())
			older := store.Copy()
			if !released {
				older = held
			}
			second, err := newTestManager(store, "b").TryAcquire(t.Context(), testName)
			if err != nil {
				t.Fatal(err)
			}
			store.Restore(older)
			contender := newTestManager(store, "c")
			for second.Held() {
				if l, err := contender.TryAcquire(t.Context(), testName); err == nil && second.Held() {
					t.Fatalf("%s: two holders, fences %d and %d", name, second.Fence(), l.Fence())
				}
				time.Sleep(testTerm / 50)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*testTerm)
			defer cancel()
			third, err := contender.Acquire(ctx, testName)
			if err != nil {
				t.Fatalf("%s: %v; a term after the return nobody can hold it", name, err)
			}
			if third.Fence() <= second.Fence() {
				t.Errorf("%s: fence %d after %d", name, third.Fence(), second.Fence())
			}
			_ = third.Release(t.Context())
		})
	}
}

// Guards against orders of a holder whose successor the store has lost, at a server that has restarted
// and reads its floor from an older copy.
func TestFloorOfAnOlderCopyRefusesEarlierHolders(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		first := acquire(t, newTestManager(store, "a"))
		older := store.Copy()
		_ = first.Release(t.Context())
		second, err := newTestManager(store, "b").TryAcquire(t.Context(), testName)
		if err != nil {
			t.Fatal(err)
		}
		if err := NewFenceChecker(store).Admit(t.Context(), testName, first.Fence()); !errors.Is(err, ErrStaleFence) {
			t.Fatalf("before: %v", err)
		}
		store.Restore(older)
		if err := NewFenceChecker(store).Admit(t.Context(), testName, first.Fence()); !errors.Is(err, ErrStaleFence) {
			t.Errorf("after: %v, want ErrStaleFence", err)
		}
		_ = second.Release(t.Context())
	})
}
