package rollout

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that each run has the same
// result. The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
