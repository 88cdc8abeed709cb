package invariant_test

import (
	"fmt"

	"github.com/briarturn/briarturn/invariant"
)

var balanced = invariant.New("example.balanced", "what was taken was given back")

// In production a violation is counted and reported; in tests it panics.
func Example() {
	invariant.SetPanic(false)
	defer invariant.SetPanic(true)
	invariant.SetViolationHandler(func(name, detail string) { fmt.Println(name+":", detail) })
	defer invariant.SetViolationHandler(nil)

	for _, left := range []int{0, 2} {
		balanced.Check(left == 0, "%d left", left)
	}
	for _, c := range invariant.Counts() {
		fmt.Println(c.Checked, "checked,", c.Violated, "violated")
	}
	// Output:
	// example.balanced: 2 left
	// 2 checked, 1 violated
}
