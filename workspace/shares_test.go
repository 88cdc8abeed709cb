package workspace

import (
	"testing"
	"time"
)

const (
	flooder       = "w0"
	manyWorkspace = 40
)

// others returns the streams of 39 workspaces that together, with the flooder's usual traffic,
// ask for the given part of the room.
func others(f *fleet, load float64) []arrivals {
	return evenStreams(f, manyWorkspace, load*fleetRate)[1:]
}

// flooded plays some seconds in which one workspace of forty sends a multiple of its usual traffic
// to the given entries, and returns the counts of the others and of the flooder.
func flooded(f *fleet, load, times float64, entries []*fleetEntry) (quiet, flood tally) {
	usual := load * fleetRate / manyWorkspace
	streams := append(others(f, load), arrivals{flooder, times * usual, 4, entries})
	f.play(10*time.Second, streams)
	return f.sum(func(name string) bool { return name != flooder }), f.sum(func(name string) bool { return name == flooder })
}

func TestDbgFlood(t *testing.T) {
	for _, load := range []float64{0.8, 0.95, 1.2} {
		for _, entries := range []int{1, 4, 12} {
			f := newFleet(entries)
			q0, f0 := flooded(f, load, 1, f.entries)
			f = newFleet(entries)
			q1, f1 := flooded(f, load, 10, f.entries)
			f = newFleet(entries)
			q2, f2 := flooded(f, load, 10, f.entries[:1])
			f = newFleet(entries)
			f.deliver = func() []time.Duration { return nil }
			q3, f3 := flooded(f, load, 10, f.entries[:1])
			t.Logf("load %.2f entries %d: usual %.3f/%.3f, flood %.3f/%.3f (%d of %d), at one entry %.3f/%.3f (%d of %d), no news %.3f/%.3f (%d)", load, entries,
				q0.inTime(), f0.inTime(), q1.inTime(), f1.inTime(), f1.onTime+f1.late, f1.asked, q2.inTime(), f2.inTime(), f2.onTime+f2.late, f2.asked, q3.inTime(), f3.inTime(), f3.onTime+f3.late)
		}
	}
}
