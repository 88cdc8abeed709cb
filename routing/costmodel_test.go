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

func TestUnknownPoolUsesDefaultRates(t *testing.T) {
	m := NewCostModel(nil)
	if got := m.TTFT("x", defaultPrefillRate, 0); got != time.Second {
		t.Errorf("TTFT %v, want 1s", got)
	}
}

// An engine reports almost no time for its prefills and describes itself as a thousand
// times faster than it is. Without bounds, it would attract all requests, or the pool's
// waits would be underestimated and requests admitted that can't finish in time.
func TestFalseRateReportsAreBounded(t *testing.T) {
	m := NewCostModel(nil)
	honest := Observation{PromptTokens: 10_000, Prefill: time.Second, PrefillRate: 10_000}
	falseReport := Observation{PromptTokens: 10_000, Prefill: time.Microsecond, PrefillRate: 10_000_000}
	rnd := rand.New(rand.NewPCG(4, 4))
	for range 500 {
		m.Record("p", honest)
		if rnd.IntN(20) == 0 {
			falseReport.PrefillRate = honest.PrefillRate
			m.Record("p", falseReport)
		}
	}
	if r := m.Rates("p").Prefill; r < 9_000 || r > 15_000 {
		t.Errorf("rate %.0f with one false report in twenty, want about 10000", r)
	}
	if got, honest := m.Rates("p").prefill(10_000_000), m.Rates("p").Prefill; got > 2*honest {
		t.Errorf("a described rate of 10M tokens/s counts as %.0f, want at most twice the pool's", got)
	}
	falseReport.Elapsed, falseReport.Prefill = time.Second, 2*time.Second
	before := m.Rates("p")
	m.Record("p", falseReport)
	if m.Rates("p") != before || m.rejected.Count() != 1 {
		t.Error("recorded a prefill that took longer than the whole request")
	}
}
