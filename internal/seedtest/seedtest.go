// Package seedtest fixes the seed of property tests, so that every run gives the same
// result. Only test files import it.
package seedtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Flag is the name of rapid's command-line flag for the seed. At the flag's default
// value, rapid chooses a random seed.
const Flag = "rapid.seed"

// Main runs the tests with a fixed seed and exits; call it from TestMain. A seed given
// on the command line with -rapid.seed takes precedence, unless it is the flag's default
// value. The package under test must import rapid, which defines the flag.
func Main(m *testing.M, seed uint64) {
	flag.Parse()
	if f := flag.Lookup(Flag); f.Value.String() == f.DefValue {
		if err := f.Value.Set(strconv.FormatUint(seed, 10)); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
