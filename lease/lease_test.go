package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

func manager(store *standin.Memory, holder string) *Manager {
	return NewManager(Config{Store: store, Holder: holder, Term: testTerm, Logger: quiet.Logger()})
}

// withStore runs a test in virtual time, with a store.
func withStore(t *testing.T, test func(t *testing.T, store *standin.Memory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, standin.NewMemory(standin.Config{})) })
}

// acquire waits for the lease; the first acquisition of a name takes a term.
func acquire(t *testing.T, m *Manager) *Lease {
	t.Helper()
	l, err := m.Acquire(t.Context(), testName)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		first := acquire(t, manager(store, "a"))
		other := manager(store, "b")
		if _, err := other.TryAcquire(t.Context(), testName); !errors.Is(err, ErrHeldByOther) {
			t.Fatalf("got %v, want ErrHeldByOther", err)
		}
		if err := first.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		second, err := other.TryAcquire(t.Context(), testName)
		if err != nil {
			t.Fatal(err)
		}
		if second.Fence() <= first.Fence() {
			t.Errorf("fence %d after %d", second.Fence(), first.Fence())
		}
		_ = second.Release(t.Context())
	})
}

func TestRenewalKeepsLease(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		l := acquire(t, manager(store, "a"))
		ctx, cancel := context.WithTimeout(t.Context(), 20*testTerm)
		defer cancel()
		if _, err := manager(store, "b").Acquire(ctx, testName); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want a timeout: the lease was renewed", err)
		}
		if !l.Held() {
			t.Error("lease lapsed with a healthy store")
		}
		_ = l.Release(t.Context())
	})
}

// Symptom: a leader goes on giving orders through a store outage after its
// lease could have gone to another. Sequence: lease held; then the store is
// down, or each call takes an hour, so that no renewal gets through. Cause: a
// holder that waits for the store's verdict, or a renewal that isn't bounded by
// the term.
func TestStoreFaultEndsLeaseInTime(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"down": {Down: true},
		"hung": {LatencyMS: time.Hour.Milliseconds()},
	} {
		t.Run(name, func(t *testing.T) {
			withStore(t, func(t *testing.T, store *standin.Memory) {
				l := acquire(t, manager(store, "a"))
				begun := time.Now()
				store.SetFaults(faults)
				<-l.Done()
				if took := time.Since(begun); took > testTerm {
					t.Errorf("gave up after %s, term %s", took, testTerm)
				}
				if err := l.Check(); !errors.Is(err, ErrNotHeld) {
					t.Errorf("Check: %v, want ErrNotHeld", err)
				}
			})
		})
	}
}

// Symptom: the lease is lost at each lost answer, or taken by nobody for a
// term. Sequence: every write takes effect and its answer is lost. Cause: a
// write settled by its answer instead of by the mark in the object.
func TestLostAnswersAreSettledByMark(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		store.SetFaults(standin.Faults{LoseProbability: 1})
		l := acquire(t, manager(store, "a"))
		time.Sleep(10 * testTerm)
		if !l.Held() {
			t.Error("lease lost though every write took effect")
		}
		_ = l.Release(t.Context())
	})
}

// Symptom: a process that was paused acts as leader on waking. Sequence: it
// acquires, is paused for longer than the term, another takes over, it wakes
// before any timer of its own fired. Cause: a lease judged by a timer.
func TestPausedHolderSeesLapseOnWake(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	clock := time.Unix(0, 0)
	paused, other := manager(store, "a"), manager(store, "b")
	paused.now = func() time.Time { return clock }
	other.now = func() time.Time { return clock }
	lease := tryUntil(t, paused, &clock)
	_, _ = other.try(t.Context(), testName)
	clock = clock.Add(2 * testTerm)
	if lease.Held() {
		t.Error("held on wake")
	}
	taken := tryUntil(t, other, &clock)
	if taken.Fence() <= lease.Fence() {
		t.Errorf("fence %d does not stop orders under %d", taken.Fence(), lease.Fence())
	}
	if err := lease.renew(t.Context()); !errors.Is(err, ErrNotHeld) {
		t.Errorf("renew after the lapse: %v, want ErrNotHeld", err)
	}
}

func tryUntil(t *testing.T, m *Manager, clock *time.Time) *Lease {
	t.Helper()
	for range 10 {
		l, err := m.try(t.Context(), testName)
		if err == nil {
			return l
		}
		*clock = clock.Add(testTerm)
	}
	t.Fatal("not acquired in ten terms")
	return nil
}

// Symptom: after an operator deleted the lease object, two leaders at once, and
// agents refuse the new one's orders as stale. Sequence: held, deleted, a
// contender arrives. Cause: an absent object taken for a free one, and fences
// that begin again at one.
func TestDeletionKeepsTermAndFence(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		first := acquire(t, manager(store, "a"))
		o, err := store.Get(t.Context(), Kind, testName)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Delete(t.Context(), Kind, testName, o.Version); err != nil {
			t.Fatal(err)
		}
		second := acquire(t, manager(store, "b"))
		if first.Held() {
			t.Error("two holders")
		}
		if second.Fence() <= first.Fence() {
			t.Errorf("fence %d after %d", second.Fence(), first.Fence())
		}
		_ = second.Release(t.Context())
	})
}
