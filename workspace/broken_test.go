package workspace

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/invariant/invarianttest"
	"github.com/briarturn/briarturn/request"
)

// Checks that the package's invariant detects a request that is released twice.
func TestInvariantsDetectBrokenStates(t *testing.T) {
	invarianttest.ExpectViolation(t, "workspace.scheduler.counts", func() {
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{Slots: 8})
		ticket, f := s.Submit(t.Context(), item("w", 100, time.Second))
		if f != nil {
			t.Error(f)
		}
		ticket.Release(100)
		ticket.grant.released = false
		ticket.Release(100)
	})
}
