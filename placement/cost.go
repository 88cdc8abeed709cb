package placement

import (
	"time"
)

const (
	// pauseFrom and pauseTo bound the passes, as shares of a stream's limit, between
	// which a pause grows from harmless to late: forecasts are off by about a
	// tenth.
	pauseFrom, pauseTo = 0.8, 1.1
	// pausePressure is the price of a pass that stays under the limit, as a share of
	// what being late costs, for the square of the share of the limit that it takes.
	pausePressure = 0.03
	// waitFirst and waitSlope bound what a long prompt may cost the others beyond its
	// own gain, as shares of what being late costs it: at once, and with all of its
	// caller's time waited.
	waitFirst, waitSlope = 0.05, 0.5
	// waitLeft is what must be left of a caller's time for a prompt to wait.
	waitLeft = 5 * time.Second
	// latePressure is the price of a pass for a stream that is late already, as a
	// share of its weight for a pass as long as its limit: its caller still waits.
	latePressure = 0.05
	// leaveFrom and leaveTo are the passes, as multiples of the limit, between which
	// callers leave a stream for good.
	leaveFrom, leaveTo = 5.0, 8.0
	// readingShare is the part of a pause's loss that is charged for a stream whose
	// prompt is still read there: it may be in time to be read in the same pass.
	readingShare = 0.6
	// othersFactor is what the others' expected loss counts beside the query's own: a pass
	// that stops their streams for too long also keeps their slots and their memory for
	// as long, and more come while it lasts than are known.
	othersFactor = 1.5
	// helperPrice is the price of one more server for a prompt: every server that
	// reads a part has its other work wait for it.
	helperPrice = 0.02
	// leastPart is the shortest part that a helper is given: below it nothing is
	// gained, and the first token waits for the slowest of more servers.
	leastPart = 30 * time.Millisecond
	// companyGain is what a short stream gains by a server that writes others like
	// it: long parts keep away from there.
	companyGain = 0.4
	// companyEnough is how many such streams give all of that gain.
	companyEnough = 6
	// crowdPrice is the price of a server whose slots are all taken. It rises with the
	// share that is to crowdPower, so that only the last slots have a price: they are
	// wanted when a burst begins. With a price that half full servers have too, short
	// streams spread over more servers than need be, and each long prompt stops some.
	crowdPrice = 0.6
	crowdPower = 12
	// longPrice is what a short stream loses by a server whose time goes into long
	// parts, for all of its time.
	longPrice = 0.5
	// shortPause is the limit up to which a stream counts as short.
	shortPause = 400 * time.Millisecond
	// fullPrice is the price of a server without free memory: the request
	// waits there for as long as a whole other request takes.
	fullPrice = 3.0
	// delayPrice is the price of a second of reading for the square of the requests
	// on the server: each keeps its slot for so much longer, and the more slots are
	// taken the sooner none is left.
	delayPrice = 0.01
	// slotTime is how long a request keeps its slot: some thirty passes of 60 ms.
	slotTime = 2 * time.Second
	// refusedPrice is the price of a server that refused an attempt just now, could not
	// be connected to, or was named by the one that refused: each attempt lost on it is
	// one of the few that a route allows.
	refusedPrice = 4.0
	// refusedMemory is how long that counts, fading: crashed servers are back after
	// seconds.
	refusedMemory = 1200 * time.Millisecond
	// coldPrice is the price of a server that isn't warm yet, as a share of the
	// weight.
	coldPrice = 0.3
)

// scale multiplies a duration.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// pauseLoss is what a pass of a length costs a stream.
func pauseLoss(pass, limit time.Duration, weight float64) float64 {
	if limit <= 0 {
		return 0
	}
	share := float64(pass) / float64(limit)
	return weight * LateLoss * (ramp(pass, scale(limit, pauseFrom), scale(limit, pauseTo)) + pausePressure*share*share)
}

// harm is what a part costs the others on a server.
func (s *serverState) harm(f forecast, now time.Time) float64 {
	total := delayPrice * f.delay.Seconds() * float64(len(s.works)) * float64(len(s.works))
	for _, a := range s.works {
		switch {
		case a.Decoding && a.late:
			total += a.Weight * (latePressure*float64(f.pass)/float64(a.PauseObjective) + (1-LateLoss)*ramp(f.pass, scale(a.PauseObjective, leaveFrom), scale(a.PauseObjective, leaveTo)))
		case a.Decoding:
			total += pauseLoss(f.pass, a.PauseObjective, a.Weight)
		case f.behind:
			// It will write when the part is read.
			total += readingShare * pauseLoss(f.pass, a.PauseObjective, a.Weight)
		}
	}
	return total + s.harmWaiting(f, now)
}

// harmWaiting is what a part costs the prompts that wait to be read there, each of
// which may have several parts, and those of which it isn't certain that they are read.
//
// Without the latter a server costs nothing from the moment on at which the last of a
// part should be read, and everybody who waits for a server takes it then, a moment too
// early: the last of the part is read behind a dozen younger ones.
func (s *serverState) harmWaiting(f forecast, now time.Time) float64 {
	total := 0.0
	for _, parts := range [][]*part{s.queue, s.unconfirmed} {
		for _, p := range parts {
			total += p.harm(f, now)
		}
	}
	return total
}

// harm is what a part that is read later by a forecast's delay costs its prompt.
func (p *part) harm(f forecast, now time.Time) float64 {
	left := p.work.FirstTokenDeadline.Sub(now)
	if left <= 0 {
		return 0 // late already
	}
	ready := max(p.work.ready.Sub(now), 0)
	d := due{objective: left}
	return d.loss(ready+f.delay, p.work.Weight) - d.loss(ready, p.work.Weight)
}

// company is how many short streams the server answers.
func (s *serverState) company() int {
	n := 0
	for _, a := range s.works {
		if a.PauseObjective > 0 && a.PauseObjective <= shortPause && !a.late {
			n++
		}
	}
	return n
}

// memory is how many tokens are kept.
func (s *serverState) memory() int {
	sum := s.held
	for _, a := range s.works {
		sum += a.MemoryTokens
	}
	return sum
}
