package lease

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// Checks that the invariant detects a fencing number that does not increase.
func TestInvariantsDetectBrokenState(t *testing.T) {
	invarianttest.ExpectViolation(t, "lease.fence_rises", func() {
		m := NewManager(Config{})
		m.checkFence("orders", 3)
		m.checkFence("orders", 3)
	})
}
