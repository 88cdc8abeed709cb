package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestRatesAreLearned(t *testing.T) {
	m := NewCostModel(nil)
	for range 200 {
		m.Record("p", Observation{
			PromptTokens: 6_000, CachedTokens: 2_000, Prefill: 2 * time.Second,
			OutputTokens: 101, Decode: time.Second, Running: 5,
		})
	}
	r := m.Rates("p")
	if r.Prefill < 1_900 || r.Prefill > 2_100 || r.Decode < 490 || r.Decode > 510 {
		t.Errorf("rates %+v, want 2000 and 500", r)
	}
	if got := m.TTFT("p", 4_000, 0); got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("TTFT %v, want 2s", got)
	}
	if got := m.ServiceTime("p", 0, 0, 500, 1); got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("service time %v, want 2s", got)
	}
}

func TestUnknownPoolHasDefaults(t *testing.T) {
	m := NewCostModel(nil)
	if got := m.TTFT("x", defaultPrefillRate, 0); got != time.Second {
		t.Errorf("TTFT %v, want 1s", got)
	}
}

// Symptom: all requests go to one engine, or a pool's waits are underestimated
// and requests are admitted that can't end in time.
// Sequence: an engine reports next to no time for its prefills, and describes
// itself as a thousand times as fast as it is.
// Cause: reports that are believed without bounds.
func TestLyingEngineIsBounded(t *testing.T) {
	m := NewCostModel(nil)
	honest := Observation{PromptTokens: 10_000, Prefill: time.Second, PrefillRate: 10_000}
	lie := Observation{PromptTokens: 10_000, Prefill: time.Microsecond, PrefillRate: 10_000_000}
	rnd := rand.New(rand.NewPCG(4, 4))
	for range 500 {
		m.Record("p", honest)
		if rnd.IntN(20) == 0 {
			lie.PrefillRate = honest.PrefillRate
			m.Record("p", lie)
		}
	}
	if r := m.Rates("p").Prefill; r < 9_000 || r > 15_000 {
		t.Errorf("rate %.0f with one liar in twenty, want about 10000", r)
	}
	if got, honest := m.Rates("p").prefill(10_000_000), m.Rates("p").Prefill; got > 2*honest {
		t.Errorf("a boast of 10M tokens/s counts as %.0f, want at most twice the pool's", got)
	}
	lie.Elapsed, lie.Prefill = time.Second, 2*time.Second
	before := m.Rates("p")
	m.Record("p", lie)
	if m.Rates("p") != before || m.rejected.Count() != 1 {
		t.Error("learned a prefill that took longer than the whole request")
	}
}
