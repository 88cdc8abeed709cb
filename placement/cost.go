package placement

import (
	"time"
)

// The unit of losses and costs is a missed promise of a request with weight 1; see promises.
const (
	// pauseRampStart and pauseRampEnd are the pass lengths, as fractions of a stream's
	// pause limit, between which the loss rises from none to that of a late stream. The
	// ramp allows for forecast errors of about a tenth.
	pauseRampStart, pauseRampEnd = 0.8, 1.1
	// onTimePauseCost is the cost of a pass as long as the limit, as a fraction of the loss
	// of a late stream. It grows with the square of the pass length.
	onTimePauseCost = 0.03
	// deferMargin and deferMarginSlope limit how much a long prompt may cost other requests
	// beyond its own gain, as fractions of its loss from being late. The margin starts at
	// deferMargin and grows by deferMarginSlope over the caller's whole time.
	deferMargin, deferMarginSlope = 0.05, 0.5
	// lateStreamCost is the cost of a pass as long as the limit for a stream that is
	// already late, as a fraction of its weight. Its caller still waits for the rest.
	lateStreamCost = 0.06
	// abandonRampStart and abandonRampEnd are the pass lengths, as multiples of the pause
	// limit, between which callers abandon a stream.
	abandonRampStart, abandonRampEnd = 5.0, 8.0
	// prefillingPauseShare is the fraction of a pause's loss that is charged for a stream
	// whose prompt isn't prefilled yet. Its prompt may still be prefilled in the same pass.
	prefillingPauseShare = 0.6
	// interferenceFactor weights the expected loss of the other requests against that of
	// the query. A pass that stops their streams for too long also keeps their slots and
	// memory occupied, and more requests arrive meanwhile than are known.
	interferenceFactor = 1.5
	// helperCost is the cost of one more server for a prompt: all other work of a server
	// that prefills a part waits for it.
	helperCost = 0.024
	// minPartTime is the shortest part that is given to a helper. Shorter parts gain
	// nothing, and the first token waits for the slowest of more servers.
	minPartTime = 30 * time.Millisecond
	// colocationBonus is the benefit for a short prompt of a server that decodes streams of
	// other short prompts. It is a cost for long prompts, which keeps them away from such servers.
	colocationBonus = 0.48
	// fullBonusStreams is the number of short streams that gives the full bonus.
	fullBonusStreams = 6
	// occupancyCost is the cost of a server whose slots are all occupied. It is
	// proportional to the occupied fraction to the power of occupancyExponent, so that only
	// the last slots have a noticeable cost: they are needed when a burst begins. If
	// half-full servers had a cost too, short streams would use more servers than
	// necessary, and each long prompt would stop some of them.
	occupancyCost     = 0.72
	occupancyExponent = 12
	// longPrefillCost is the cost for a short prompt of a server that spends all of its
	// time on long parts.
	longPrefillCost = 0.6
	// noMemoryCost is the cost, as a multiple of the weight, of a server without free
	// memory. The request waits there for as long as another whole request takes.
	noMemoryCost = 3.6
	// delayCost is the cost of a second of added prefill, multiplied by the square of the
	// number of requests on the server. Each of them keeps its slot for that much longer,
	// and the server runs out of slots sooner the more of them are occupied.
	delayCost = 0.012
	// meanSlotTime is how long a request occupies its slot: some thirty passes of 60 ms.
	meanSlotTime = 2 * time.Second
	// recentRefusalCost is the cost of a server that has just refused an attempt, could not
	// be connected to, or was named as the cause of a refusal. Each attempt lost on it is
	// one of the few that a route allows.
	recentRefusalCost = 4.8
	// refusalDecay is the time over which that cost falls to zero. Crashed servers return
	// within seconds.
	refusalDecay = 1200 * time.Millisecond
	// coldServerCost is the cost of a server that isn't warm, as a fraction of the weight.
	coldServerCost = 0.36
)

// scale multiplies a duration by a factor.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// pauseLoss returns the loss of a stream from a pass of the given length.
func pauseLoss(pass, limit time.Duration, weight float64) float64 {
	if limit <= 0 {
		return 0
	}
	share := float64(pass) / float64(limit)
	return weight * (ramp(pass, scale(limit, pauseRampStart), scale(limit, pauseRampEnd)) + onTimePauseCost*share*share)
}

// interference returns the expected loss of the server's other attempts from one more part.
func (s *serverState) interference(f forecast, now time.Time) float64 {
	total := delayCost * f.delay.Seconds() * float64(len(s.attempts)) * float64(len(s.attempts))
	for _, a := range s.attempts {
		switch {
		case a.Decoding && a.pauseExceeded:
			total += a.Weight * (lateStreamCost*float64(f.longestPass)/float64(a.PauseObjective) + ramp(f.longestPass, scale(a.PauseObjective, abandonRampStart), scale(a.PauseObjective, abandonRampEnd)))
		case a.Decoding:
			total += pauseLoss(f.longestPass, a.PauseObjective, a.Weight)
		case f.queuedLast:
			// The stream will be decoding by the time the part is prefilled.
			total += prefillingPauseShare * pauseLoss(f.longestPass, a.PauseObjective, a.Weight)
		}
	}
	return total + s.queueInterference(f, now)
}

// queueInterference returns the expected loss of the prompts that are queued there, or
// whose prefill isn't confirmed, from one more part. A prompt may have several parts.
//
// Without the unconfirmed parts a server would look free as soon as the last of a part
// should be prefilled. Every entry waiting for a server would choose it then, slightly too
// early, and the rest of that part would be prefilled after a dozen newer ones.
func (s *serverState) queueInterference(f forecast, now time.Time) float64 {
	total := 0.0
	for _, parts := range [][]*part{s.queue, s.unconfirmed} {
		for _, p := range parts {
			total += p.delayLoss(f, now)
		}
	}
	return total
}

// delayLoss returns the loss of the part's prompt if the part is delayed by the forecast.
func (p *part) delayLoss(f forecast, now time.Time) float64 {
	left := p.attempt.FirstTokenDeadline.Sub(now)
	if left <= 0 {
		return 0 // late already
	}
	ready := max(p.attempt.expectedReady.Sub(now), 0)
	d := timeBudget{objective: left}
	return d.loss(ready+f.delay, p.attempt.Weight) - d.loss(ready, p.attempt.Weight)
}

// shortStreams returns the number of streams of short prompts that the server answers on time.
func (s *serverState) shortStreams(e *EngineProfile) int {
	n := 0
	for _, a := range s.attempts {
		if a.PauseObjective > 0 && !e.isLong(a.prefillTime) && !a.pauseExceeded {
			n++
		}
	}
	return n
}

// usedTokens returns the number of tokens that the server holds.
func (s *serverState) usedTokens() int {
	sum := s.heldTokens
	for _, a := range s.attempts {
		sum += a.MemoryTokens
	}
	return sum
}
