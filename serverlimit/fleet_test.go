package serverlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/allowance"
)

// Guards against entries that each keep to a limit and exceed it together.
func TestEntriesTogetherKeepToRate(t *testing.T) {
	const instance, window = "i-1", 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 20).Draw(t, "rate")
		entries := rapid.SampledFrom([]int{1, 2, 5, 30, 120}).Draw(t, "entries")
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprint("e", i))
		}
		limiters := make([]*allowance.Limiter, entries)
		for i, name := range names {
			limiters[i] = allowance.NewLimiter(name, t0.Add(-time.Hour))
			limiters[i].SetEntries(names, t0.Add(-time.Hour))
		}
		var sends []time.Time
		now := t0
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause_ms")) * time.Millisecond)
			entry := limiters[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			for entry.TryAcquire(instance, Allowance(rate), now) {
				sends = append(sends, now)
			}
		}
		allowed := 1.5*rate*window.Seconds() + 5
		for i, at := range sends {
			until, _ := slices.BinarySearchFunc(sends, at.Add(window), time.Time.Compare)
			if got := until - i; float64(got) > allowed {
				t.Fatalf("%d sends in %v at rate %v from %d entries, allowed %v", got, window, rate, entries, allowed)
			}
		}
	})
}
