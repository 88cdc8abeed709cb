package placement

import (
	"math"
	"time"
)

// The constants below handle hundreds of short prompts per second at dozens of entries. An
// entry learns of the choices of other entries with a delay, and all entries use the same
// rule. Entries that choose within that delay would therefore pick the same server: two
// take its last slot, or two prompts are prefilled in a pass for which one was expected.
// Instead, an entry chooses at random among servers whose costs differ by less than the
// expected cost of such collisions. The tolerance grows with the rate at which other
// entries place prompts.
const (
	// propagationDelay is the time until other entries know of a choice: two network links,
	// the batching delay of the sender and the processing delay of the receiver.
	propagationDelay = 5 * time.Millisecond
	// collisionCost is the expected loss for each choice that other entries make within
	// propagationDelay. A higher value spreads short streams over more servers, where long
	// prompts stop them.
	collisionCost = 0.12
	// maxCollisionCost caps the tolerance. It stays below the benefit of placing short
	// streams together; otherwise each long prompt would stop some of them.
	maxCollisionCost = 0.3
	// choiceRateDecay is the time constant with which the choice rate decays.
	choiceRateDecay = time.Second
)

// choiceRate is the rate of placements by other entries. The lock of its owner guards it.
type choiceRate struct {
	sum float64 // number of choices, decaying
	at  time.Time
}

// add counts a choice.
func (a *choiceRate) add(now time.Time) {
	a.decay(now)
	a.sum++
}

// perSecond returns the current rate.
func (a *choiceRate) perSecond(now time.Time) float64 {
	a.decay(now)
	return a.sum / choiceRateDecay.Seconds()
}

func (a *choiceRate) decay(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		a.sum *= math.Exp(-float64(passed) / float64(choiceRateDecay))
		a.at = now
	}
}

// costTolerance returns the cost difference up to which servers count as equal.
func (a *choiceRate) costTolerance(now time.Time) float64 {
	return min(collisionCost*a.perSecond(now)*propagationDelay.Seconds(), maxCollisionCost)
}
