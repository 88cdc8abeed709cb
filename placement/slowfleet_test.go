package placement

import (
	"math"
	"slices"
	"testing"
	"time"
)

// unevenEngine is typical of a fleet with short passes and little time for short prompts.
var unevenEngine = &EngineProfile{
	Capacity: 12, MemoryTokens: 267_750, Stride: 57, Chunk: 2048,
	StepTime: 850 * time.Microsecond, SequenceTime: 4250 * time.Nanosecond, ContextTime: 2850 * time.Nanosecond,
	PrefillRate: 177_000, PairsTime: 184 * time.Microsecond, HopTime: 50 * time.Microsecond,
}

// The workloads of such a fleet.
var (
	unevenNotices = workload{
		perSecond: 65.2, median: 3_300, sigma: 0.8, minTokens: 300, maxTokens: 23_800, events: 31,
		objective: 250 * time.Millisecond, pause: 250 * time.Millisecond, timeout: 10 * time.Second,
	}
	unevenSummaries = workload{
		perSecond: 7.2, median: 40_000, sigma: 0.47, minTokens: 5_000, maxTokens: 110_000, events: 19,
		objective: 1500 * time.Millisecond, pause: 600 * time.Millisecond, timeout: 10 * time.Second,
	}
	unevenReviews = workload{
		perSecond: 1.77, median: 190_000, sigma: 0.51, minTokens: 50_000, maxTokens: 700_000, events: 16,
		objective: 8 * time.Second, pause: time.Second, timeout: 15 * time.Second,
	}
)

// simulateSlowThird simulates 30 entries before 54 servers of which a third takes four times as
// long for a time, while the rate of arrivals is x times the usual one. It returns the callers and the
// ratio of the busiest server's placements to the mean.
func simulateSlowThird(seed uint64, x float64, share bool) (callers []*simCaller, busiest float64) {
	const lasts, slowFrom, slowUntil, factor = 9 * time.Second, time.Second, 8 * time.Second, 4.0
	f := newSimFleet(unevenEngine, seed, 30, 54)
	if share {
		f.sharePaces()
	}
	for i, c := range f.options {
		if i%3 == 0 {
			f.servers[c.Instance].slowdown = func(now time.Time) float64 {
				if at := now.Sub(start); at < slowFrom || at > slowUntil {
					return 1
				}
				return factor
			}
		}
	}
	f.addTraffic(unevenNotices.scaleRate(x), 0, lasts)
	f.addTraffic(unevenSummaries.scaleRate(x), 0, lasts)
	f.addTraffic(unevenReviews.scaleRate(x), 0, lasts)
	f.run(lasts + 20*time.Second)
	placed := map[string]int{}
	total := 0
	for _, c := range f.callers {
		if c.placed.planner != nil {
			placed[c.placed.Server.Instance]++
			total++
		}
	}
	most := 0
	for _, n := range placed {
		most = max(most, n)
	}
	return f.callers, float64(most) * float64(len(f.options)) / float64(total)
}

func TestExperimentSlowThird(t *testing.T) {
	for _, share := range []bool{false, true} {
		for _, x := range []float64{1, 1.8} {
			var all []*simCaller
			var ratios []float64
			for seed := range uint64(6) {
				callers, busiest := simulateSlowThird(seed, x, share)
				all = append(all, callers...)
				ratios = append(ratios, busiest)
			}
			slices.Sort(ratios)
			t.Logf("x %.1f: busiest/mean median %.2f", x, ratios[len(ratios)/2])
			t.Logf("to 24,000:  %v", summarize(all, 0, 24_000))
			t.Logf("earned %.4f", logResults(t, all))
		}
	}
	_ = math.Pi
}
