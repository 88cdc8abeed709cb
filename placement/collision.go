package placement

import (
	"math"
	"time"
)

// The load that this answers: hundreds of short prompts a second at dozens of entries.
// Each entry knows of the others' choices a little late, and all choose by the same rule,
// so that those that choose meanwhile take the same server: its last slot twice, or two
// prompts read in one pass where one was weighed. So a choice is left to chance among
// servers that are alike but for less than what such collisions cost, and the more
// prompts others place the more servers count as alike.
const (
	// sightDelay is how long after a choice other entries know of it: two links, the
	// batch that it waits for and the receiver's turn.
	sightDelay = 5 * time.Millisecond
	// collisionPrice is what a choice loses for each other that was made in that time. A
	// higher one has short prompts stand on more servers, where long ones stop them.
	collisionPrice = 0.1
	// collisionMost bounds it: it stays below what a short stream gains by others like it,
	// or each long prompt would stop some of them.
	collisionMost = 0.25
	// arrivalMemory is how fast the rate of choices is forgotten.
	arrivalMemory = time.Second
)

// arrivals is the rate of other entries' choices. Its owner's lock guards it.
type arrivals struct {
	sum float64 // of choices, decaying
	at  time.Time
}

// note counts a choice.
func (a *arrivals) note(now time.Time) {
	a.decay(now)
	a.sum++
}

// perSecond returns the rate.
func (a *arrivals) perSecond(now time.Time) float64 {
	a.decay(now)
	return a.sum / arrivalMemory.Seconds()
}

func (a *arrivals) decay(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		a.sum *= math.Exp(-float64(passed) / float64(arrivalMemory))
		a.at = now
	}
}

// alike returns the difference of cost under which servers count as alike.
func (a *arrivals) alike(now time.Time) float64 {
	return min(collisionPrice*a.perSecond(now)*sightDelay.Seconds(), collisionMost)
}
