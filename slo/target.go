package slo

import (
	"time"

	"github.com/briarturn/briarturn/request"
)

// LatencyTarget holds the latency targets of a declared service level, for checking requests.
type LatencyTarget struct {
	Name       string // of the ServiceLevel
	Workspace  string
	Class      request.Class
	TTFT       time.Duration // target; 0: none
	InterToken time.Duration // target of the mean time between tokens; 0: none
}

// Observation is the outcome of one request. A failure of the system counts as bad for every
// target. A request that was rejected because of an error of the caller must not be observed.
type Observation struct {
	Workspace  string
	Class      request.Class
	Failed     bool
	TTFT       time.Duration
	InterToken time.Duration // mean time between tokens; negative: none
}

// Observe counts a request for each matching target and each measure with a limit, under the
// objective that ObjectiveName returns.
func (t *Tracker) Observe(targets []LatencyTarget, o Observation, now time.Time) {
	for i := range targets {
		p := &targets[i]
		if p.Workspace != o.Workspace || p.Class != o.Class {
			continue
		}
		t.observe(p, MeasureTTFT, p.TTFT, o.TTFT, o.Failed, now)
		t.observe(p, MeasureInterToken, p.InterToken, o.InterToken, o.Failed, now)
	}
}

func (t *Tracker) observe(p *LatencyTarget, measure string, target, value time.Duration, failed bool, now time.Time) {
	if target <= 0 || (value < 0 && !failed) {
		return
	}
	if failed {
		value = -1 // excluded from the latency distribution
	}
	k := Key{Workspace: p.Workspace, Class: p.Class, Objective: ObjectiveName(p.Name, measure)}
	t.Record(k, !failed && value <= target, value, now)
}
