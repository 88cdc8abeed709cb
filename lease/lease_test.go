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

func newTestManager(store *standin.Memory, holder string) *Manager {
	return NewManager(Config{Store: store, Holder: holder, Term: testTerm, Logger: quiet.Logger()})
}

// withStore runs a test in virtual time with an in-memory store.
func withStore(t *testing.T, test func(t *testing.T, store *standin.Memory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, standin.NewMemory(standin.Config{})) })
}

// acquire waits for the lease. The first acquisition of a name takes a full
// term.
func acquire(t *testing.T, m *Manager) *Lease {
	t.Helper()
	l, err := m.Acquire(t.Context(), testName)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestReleaseAllowsImmediateTakeover(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		first := acquire(t, newTestManager(store, "a"))
		other := newTestManager(store, "b")
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
		l := acquire(t, newTestManager(store, "a"))
		ctx, cancel := context.WithTimeout(t.Context(), 20*testTerm)
		defer cancel()
		if _, err := newTestManager(store, "b").Acquire(ctx, testName); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want a timeout: the lease was renewed", err)
		}
		if !l.Held() {
			t.Error("lease expired with a healthy store")
		}
		_ = l.Release(t.Context())
	})
}

// Guards against a leader that gives orders in a store outage after another
// process could have acquired its lease. The store is down or each call takes
// an hour, so that no renewal succeeds; the lease must still end within its
// term.
func TestStoreFaultEndsLeaseWithinTerm(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"down": {Down: true},
		"hung": {LatencyMS: time.Hour.Milliseconds()},
	} {
		t.Run(name, func(t *testing.T) {
			withStore(t, func(t *testing.T, store *standin.Memory) {
				l := acquire(t, newTestManager(store, "a"))
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

// Guards against a lease that is lost, or not held by anybody for a term,
// because the responses of its writes are lost. Every write takes effect here,
// so the mark in the object must decide the outcome.
func TestLostResponsesAreResolvedByMark(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		store.SetFaults(standin.Faults{LoseProbability: 1})
		l := acquire(t, newTestManager(store, "a"))
		time.Sleep(10 * testTerm)
		if !l.Held() {
			t.Error("lease lost though every write took effect")
		}
		_ = l.Release(t.Context())
	})
}

// Guards against a process that acts as leader after a pause. The holder is
// paused for longer than its term, another process acquires the lease, and the
// first resumes before any of its timers fires, so Held must not depend on a
// timer.
func TestPausedHolderDetectsExpiryOnResume(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	clock := time.Unix(0, 0)
	paused, other := newTestManager(store, "a"), newTestManager(store, "b")
	paused.now = func() time.Time { return clock }
	other.now = func() time.Time { return clock }
	lease := acquireWithClock(t, paused, &clock)
	_, _ = other.tryAcquire(t.Context(), testName)
	clock = clock.Add(2 * testTerm)
	if lease.Held() {
		t.Error("held after the pause")
	}
	taken := acquireWithClock(t, other, &clock)
	if taken.Fence() <= lease.Fence() {
		t.Errorf("fence %d does not stop orders under %d", taken.Fence(), lease.Fence())
	}
	if err := lease.renew(t.Context()); !errors.Is(err, ErrNotHeld) {
		t.Errorf("renew after expiry: %v, want ErrNotHeld", err)
	}
}

func acquireWithClock(t *testing.T, m *Manager, clock *time.Time) *Lease {
	t.Helper()
	for range 10 {
		l, err := m.tryAcquire(t.Context(), testName)
		if err == nil {
			return l
		}
		*clock = clock.Add(testTerm)
	}
	t.Fatal("not acquired in ten terms")
	return nil
}

// Guards against two leaders, and against agents that reject the new leader's
// orders as stale, after an operator deleted the lease object during a term.
// An absent object must not count as free, and fences must not restart at one.
func TestDeletionKeepsTermAndFence(t *testing.T) {
	withStore(t, func(t *testing.T, store *standin.Memory) {
		first := acquire(t, newTestManager(store, "a"))
		o, err := store.Get(t.Context(), Kind, testName)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Delete(t.Context(), Kind, testName, o.Version); err != nil {
			t.Fatal(err)
		}
		second := acquire(t, newTestManager(store, "b"))
		if first.Held() {
			t.Error("two holders")
		}
		if second.Fence() <= first.Fence() {
			t.Errorf("fence %d after %d", second.Fence(), first.Fence())
		}
		_ = second.Release(t.Context())
	})
}
