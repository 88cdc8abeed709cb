package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that each run has the same
// result. A seed given with -rapid.seed takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
