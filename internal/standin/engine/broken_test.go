package engine

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// The invariant of the package notices memory beyond the engine's. The scheduler has no
// server, whose loop would plan a step beside the test.
func TestBrokenStatesAreNoticed(t *testing.T) {
	invarianttest.ExpectViolation(t, "standin_engine_memory", func() {
		stepper(Config{MemoryTokens: 100}).take(101)
	})
}
