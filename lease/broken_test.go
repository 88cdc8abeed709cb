package lease

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// The invariant of the package notices a fence that does not rise.
func TestBrokenStatesAreNoticed(t *testing.T) {
	invarianttest.ExpectViolation(t, "lease.fence_rises", func() {
		m := NewManager(Config{})
		m.checkFence("orders", 3)
		m.checkFence("orders", 3)
	})
}
