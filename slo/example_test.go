package slo_test

import (
	"fmt"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/slo"
)

// Two entries count requests, and an operator merges the counts and reads the burn rate.
func Example() {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	key := slo.Key{Workspace: "appointments", Class: request.ClassShort, Objective: "ttft"}
	var snaps []slo.Snapshot
	for _, entry := range []string{"entry-1", "entry-2"} {
		tracker := slo.NewTracker(slo.Config{})
		for i := range 100 {
			tracker.Record(key, i%5 != 0, 40*time.Millisecond, now)
		}
		snaps = append(snaps, tracker.Snapshot(entry, now))
	}
	level := slo.Level{Name: "notices", Objective: "ttft", Target: 0.99}
	result, err := slo.Burn(level, snaps, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s: %.0f times the allowed rate over %v\n", result.State, result.Windows[0].Burn, result.Windows[0].Window)
	// Output: page: 20 times the allowed rate over 5m0s
}
