package declared

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// Each invariant of the package notices a deliberately broken state.
func TestBrokenStatesAreNoticed(t *testing.T) {
	fresh := func() *edit { return newEdit(NewCatalog(Config{}).State()) }
	invarianttest.ExpectViolation(t, "declared.never_back", func() {
		fresh().check(KindModelPool, &record{name: "p", seen: 7, inForce: 7}, &record{name: "p", seen: 6, inForce: 6})
	})
	invarianttest.ExpectViolation(t, "declared.no_revival", func() {
		e := fresh()
		e.old.through[KindModelPool] = 9
		e.check(KindModelPool, nil, &record{name: "p", seen: 8})
	})
	invarianttest.ExpectViolation(t, "declared.through_rises", func() {
		e := fresh()
		e.old.through[KindModelPool] = 9
		e.next.through[KindModelPool] = 8
		e.finish()
	})
}
