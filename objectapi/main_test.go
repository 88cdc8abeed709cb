package objectapi_test

import (
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/internal/seedtest"
)

func TestMain(m *testing.M) { seedtest.Main(m, 1) }

// checkInVirtualTime runs one property check in virtual time. A failed check
// is a panic that rapid must receive in its own goroutine.
func checkInVirtualTime(t *testing.T, rt *rapid.T, check func(*rapid.T)) {
	t.Helper()
	var caught any
	synctest.Test(t, func(*testing.T) {
		defer func() { caught = recover() }()
		check(rt)
	})
	if caught != nil {
		panic(caught)
	}
}
