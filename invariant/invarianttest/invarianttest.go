// Package invarianttest shows that checks of package invariant can fail.
package invarianttest

import (
	"fmt"
	"strings"
	"testing"
)

// ExpectViolation calls f, which breaks what an invariant checks, and fails the test
// unless that invariant noticed. Violations must panic, as they do in tests.
func ExpectViolation(t testing.TB, name string, f func()) {
	t.Helper()
	defer func() {
		t.Helper()
		got := fmt.Sprint(recover())
		if !strings.HasPrefix(got, "invariant "+name+": ") {
			t.Errorf("invariant %s did not notice: %s", name, got)
		}
	}()
	f()
}
