package entry

import (
	"flag"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/workspace"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed on the command line
	// overrides it.
	if err := flag.Set("rapid.seed", "5"); err != nil {
		panic(err)
	}
}

// removeCapacityLimits lets a scheduler dispatch all requests immediately.
func removeCapacityLimits(s *workspace.Scheduler) {
	for class := range request.ClassCount {
		s.SetCapacity("briar-pool", class, workspace.Capacity{Slots: 1 << 20})
	}
}
