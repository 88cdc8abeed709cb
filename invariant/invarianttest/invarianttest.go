// Package invarianttest tests that invariant checks detect violations.
package invarianttest

import (
	"fmt"
	"strings"
	"testing"
)

// ExpectViolation calls f, which violates the named invariant, and fails the test
// unless the check detects it. Violations must panic, as they do in tests.
func ExpectViolation(t testing.TB, name string, f func()) {
	t.Helper()
	defer func() {
		t.Helper()
		got := fmt.Sprint(recover())
		if !strings.HasPrefix(got, "invariant "+name+": ") {
			t.Errorf("invariant %s did not detect the violation: %s", name, got)
		}
	}()
	f()
}
