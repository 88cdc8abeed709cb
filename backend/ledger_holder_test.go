package backend

import (
	"testing"
	"time"

	"github.com/juju/errors"
)

// Guards against a hold that outlives its owner. An entry obtains the first of
// two holds and dies before it requests the second, while another entry waits
// for both engines. Only the dead entry would have released its hold, so the
// hold must expire on its own; otherwise the long prompt never starts, although
// both engines have enough memory. The waiting entry has kept its place in the
// queue and gets the memory.
func TestDeadOwnersHoldExpires(t *testing.T) {
	const ttl, retry = 10 * time.Second, time.Second
	dead, alive := Owner{"en1", 1}, Owner{"en2", 1}
	engines := []*Ledger{NewLedger(LedgerConfig{Capacity: 1000}), NewLedger(LedgerConfig{Capacity: 1000})}
	now := time.Unix(0, 0)
	if _, err := engines[0].Hold(now, HoldSpec{ID: "dead", Owner: dead, Tokens: 800, TTL: ttl}); err != nil {
		t.Fatal(err)
	}
	var granted time.Time
	for step := now; granted.IsZero() && step.Sub(now) < 3*ttl; step = step.Add(retry) {
		for _, l := range engines {
			l.Sweep(step)
		}
		if holdBoth(t, engines, step, alive, ttl) {
			granted = step
		}
	}
	if granted.IsZero() || granted.Sub(now) > ttl+2*retry {
		t.Fatalf("both holds granted %v after the owner died, want shortly after the first hold expires at %v", granted.Sub(now), ttl)
	}
	for i, l := range engines {
		if s := l.State(); s.Held != 800 || s.Holds != 1 {
			t.Errorf("engine %d: %+v, want only the hold of the live entry", i, s)
		}
	}
}

// holdBoth requests both holds in order and reports whether both were granted.
func holdBoth(t *testing.T, engines []*Ledger, at time.Time, owner Owner, ttl time.Duration) bool {
	t.Helper()
	for i, l := range engines {
		// After a failed round the hold of the second engine is released, and a
		// released id can't be granted again.
		id := "alive"
		if i > 0 {
			id += at.String()
		}
		_, err := l.Hold(at, HoldSpec{ID: id, Owner: owner, Tokens: 800, TTL: ttl})
		switch {
		case err == nil:
		case errors.Is(err, ErrNoMemory):
			return false
		default:
			t.Fatal(err)
		}
	}
	return true
}
