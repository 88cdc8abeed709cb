package workspace

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the time after which an observation counts half: short against the seconds
	// that callers wait, long against the time between two starts.
	rateHalfLife = 2 * time.Second
	// minBacklog is the time with waiting requests below which the rate counts as unknown.
	minBacklog = 250 * time.Millisecond
)

// startKind is what a start counts as.
type startKind uint8

const (
	ownOnTime startKind = iota
	ownLate
	byPeer
	startKinds
)

// startRate measures how fast a queue gets room while requests wait in it. Otherwise the starts
// show the demand, not the room.
type startRate struct {
	updated time.Time
	backlog float64 // seconds in which requests waited, weighted by age
	starts  [startKinds]float64
	waiting bool
}

// advance updates the weights. waiting reports whether requests have waited since the last call.
func (r *startRate) advance(now time.Time, waiting bool) {
	passed := max(0, now.Sub(r.updated).Seconds())
	r.updated, r.waiting = now, waiting
	decay := math.Exp2(-passed / rateHalfLife.Seconds())
	r.backlog *= decay
	for i := range r.starts {
		r.starts[i] *= decay
	}
	if waiting {
		r.backlog += (1 - decay) * rateHalfLife.Seconds() / math.Ln2
	}
}

// record counts a start at the time of the last advance.
func (r *startRate) record(k startKind) {
	if r.waiting {
		r.starts[k]++
	}
}

// perSecond returns the starts per second to expect at this one of a number of entries, or 0 if
// the rate isn't known. One start more than was seen is assumed, so that a short time without
// any doesn't count as no room at all. An entry that had few of the starts gets an equal share.
func (r *startRate) perSecond(entries int) float64 {
	if r.backlog < minBacklog.Seconds() {
		return 0
	}
	own := r.starts[ownOnTime] + r.starts[ownLate]
	all := own + r.starts[byPeer]
	return (max(own, all/float64(max(1, entries))) + 1) / r.backlog
}

// latePerSecond returns the same for late requests: their observed rate, and at least their least
// part of the room.
func (r *startRate) latePerSecond(entries int) float64 {
	least := r.perSecond(entries) / lateStartInterval
	if least == 0 {
		return 0
	}
	return max(least, r.starts[ownLate]/r.backlog)
}
