package quarantine_test

import (
	"fmt"
	"time"

	"github.com/briarturn/briarturn/quarantine"
)

// Two engines die, and one fingerprint ran on both. A second entry receives the records
// that the first one shares.
func ExampleTracker() {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	const crashing, neighbour = 7, 8
	here := quarantine.NewTracker(quarantine.DefaultOptions)
	there := quarantine.NewTracker(quarantine.DefaultOptions)
	for _, ran := range []struct{ fingerprint, death uint64 }{{crashing, 1}, {neighbour, 1}, {crashing, 2}} {
		if record, isNew := here.RecordDeath(ran.fingerprint, ran.death, now); isNew {
			there.Merge(record, now)
		}
	}
	fmt.Println("refused:", there.Verdict(crashing, now) == quarantine.Refuse)
	fmt.Println("runs alone:", there.Verdict(neighbour, now) == quarantine.RunAlone)

	there.RecordCompletion(neighbour, now)
	fmt.Println("cleared:", there.Verdict(neighbour, now) == quarantine.Allow)
	// Output:
	// refused: true
	// runs alone: true
	// cleared: true
}
