package declared

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// Checks that each invariant of the package detects a deliberately broken
// state.
func TestInvariantsDetectBrokenState(t *testing.T) {
	fresh := func() *edit { return newEdit(NewCatalog(Config{}).State()) }
	invarianttest.ExpectViolation(t, "declared.never_back", func() {
		fresh().checkRecord(KindModelPool, &record{name: "p", version: 7, inForce: 7}, &record{name: "p", version: 6, inForce: 6})
	})
	invarianttest.ExpectViolation(t, "declared.no_revival", func() {
		e := fresh()
		e.old.completeThrough[KindModelPool] = 9
		e.checkRecord(KindModelPool, nil, &record{name: "p", version: 8})
	})
	invarianttest.ExpectViolation(t, "declared.through_rises", func() {
		e := fresh()
		e.old.completeThrough[KindModelPool] = 9
		e.next.completeThrough[KindModelPool] = 8
		e.finish()
	})
}
