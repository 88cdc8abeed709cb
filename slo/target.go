package slo

import (
	"time"

	"github.com/briarturn/briarturn/request"
)

// LatencyTarget is a declared service level as a process judges requests by it.
type LatencyTarget struct {
	Name       string // of the ServiceLevel
	Workspace  string
	Class      request.Class
	TTFT       time.Duration // target; 0 is none
	InterToken time.Duration // target of the mean gap between tokens; 0 is none
}

// Observation is what became of one request. A request that the system failed
// misses every target; one that was refused for the caller's own fault should
// not be observed at all.
type Observation struct {
	Workspace  string
	Class      request.Class
	Failed     bool
	TTFT       time.Duration
	InterToken time.Duration // mean gap; negative if there was none
}

// Observe counts a request under each promise that concerns it, for each
// measure that has a target, under the names that ObjectiveName gives.
func (t *Tracker) Observe(promises []LatencyTarget, o Observation, now time.Time) {
	for i := range promises {
		p := &promises[i]
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
		value = -1 // it has no latency to go into the distribution
	}
	k := Key{Workspace: p.Workspace, Class: p.Class, Objective: ObjectiveName(p.Name, measure)}
	t.Record(k, !failed && value <= target, value, now)
}
