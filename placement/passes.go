package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// longLoadDecay is the time constant with which the long prefill load decays.
	longLoadDecay = 3 * time.Second
	// idlePassSteps is the number of steps in a pass that decodes no streams. It is small
	// so that new work waits only a few milliseconds.
	idlePassSteps = 2
	// confirmTimeout is how long a part counts as possibly not prefilled after its expected
	// time, unless the first token of its prompt arrives.
	//
	// An attempt reaches its servers some 10 ms after placement, and later if memory is
	// reserved first, and not every entry knows all the prefill on a server. A server can
	// therefore be several passes behind the ledger, or up to a second behind if a long
	// part is involved. A helper part that arrives in that time precedes the rest of the
	// old part, and so does every later one as long as the server looks free, so that the
	// old part is prefilled last.
	confirmTimeout = time.Second
)

// part is a prompt, or a part of one, that a server has yet to prefill.
type part struct {
	attempt        *activeAttempt
	helper         bool          // prefilled for another primary server
	timeLeft       time.Duration // declared prefill time left
	tokensLeft     int           // prompt tokens left
	server         *serverState
	key            uint64    // ServerKey of server
	expectedReady  time.Time // when it should be prefilled
	finalPassEnd   time.Time // end of the pass that should prefill its last tokens
	slowdownFactor float64   // slowdown of the server on which expectedReady is based
}

// take removes up to the given number of tokens from the part and returns their declared
// prefill time.
func (p *part) take(tokens int) time.Duration {
	if tokens >= p.tokensLeft {
		took := p.timeLeft
		p.timeLeft, p.tokensLeft = 0, 0
		return took
	}
	took := time.Duration(float64(p.timeLeft) * float64(tokens) / float64(p.tokensLeft))
	p.timeLeft -= took
	p.tokensLeft -= tokens
	return took
}

// decodingStreams returns the number of streams that the server decodes and the total
// length of their contexts in tokens.
func (s *serverState) decodingStreams() (n, context int) {
	for _, a := range s.attempts {
		if a.Decoding {
			n++
			context += a.MemoryTokens
		}
	}
	return n, context
}

// decodePassTime returns the time that a pass spends on decoding. Call advance first.
func (s *serverState) decodePassTime(e *EngineProfile) time.Duration {
	n, context := s.decodingStreams()
	return s.expectedTime(e.DecodePassTime(n, context))
}

// maxPassTokens returns the maximum number of tokens that one pass prefills.
func (s *serverState) maxPassTokens(e *EngineProfile, decoding time.Duration) int {
	if decoding > 0 {
		return max(1, e.Chunk) * max(1, e.Stride)
	}
	return max(1, e.Chunk) * idlePassSteps
}

// advance ends the passes that should have ended by now and starts the next ones. Parts for
// other servers precede the server's own, and of them the newest is first, so a long part
// waits for every helper part that arrives after it.
func (s *serverState) advance(e *EngineProfile, now time.Time) {
	s.slowdownFactor = s.slowdown.factorAt(now)
	for len(s.queue) > 0 && !now.Before(s.passEnd) {
		decoding := s.decodePassTime(e)
		length, room := decoding, s.maxPassTokens(e, decoding)
		for len(s.queue) > 0 && room > 0 {
			p := s.queue[0]
			tokens := min(room, p.tokensLeft)
			prefill := p.take(tokens)
			s.prefilled += prefill
			length += s.expectedTime(prefill)
			room -= tokens
			if p.tokensLeft > 0 {
				break
			}
			s.queue = s.queue[1:]
			s.unconfirmed = append(s.unconfirmed, p)
		}
		s.passEnd = s.passEnd.Add(length)
		s.setFinalPassEnd()
	}
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(p *part) bool { return now.Sub(p.finalPassEnd) > confirmTimeout })
}

// setFinalPassEnd sets finalPassEnd of the unconfirmed parts that the newest pass finishes.
func (s *serverState) setFinalPassEnd() {
	for _, p := range slices.Backward(s.unconfirmed) {
		if !p.finalPassEnd.IsZero() {
			return
		}
		p.finalPassEnd = s.passEnd
	}
}

// enqueue queues a part. Call advance first.
func (s *serverState) enqueue(p *part, e *EngineProfile, now time.Time) {
	s.recordLongPart(p.timeLeft, e, now)
	if !now.Before(s.passEnd) { // no prefill is in progress
		s.passEnd = now.Add(s.decodePassTime(e) / 2)
	}
	if p.helper {
		s.queue = slices.Insert(s.queue, 0, p)
		return
	}
	s.queue = append(s.queue, p)
}

// removeParts removes the parts of an attempt that is prefilled or has ended.
func (s *serverState) removeParts(id AttemptID) {
	s.queue = slices.DeleteFunc(s.queue, func(p *part) bool { return p.attempt.ID == id })
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(p *part) bool { return p.attempt.ID == id })
}

func (s *serverState) recordLongPart(part time.Duration, e *EngineProfile, now time.Time) {
	s.decayLongLoad(now)
	if e.isLong(part) {
		s.longPrefillLoad += float64(part) / float64(longLoadDecay)
	}
}

func (s *serverState) decayLongLoad(now time.Time) {
	passed := now.Sub(s.longLoadUpdated)
	if passed > 0 {
		s.longPrefillLoad *= math.Exp(-float64(passed) / float64(longLoadDecay))
		s.longLoadUpdated = now
	}
}

// forecast is the expected effect of one more part on a server.
type forecast struct {
	ready       time.Duration // from now until the part is prefilled
	longestPass time.Duration // longest pass until then, which is a pause for decoding streams
	delay       time.Duration // added wait of the queued parts
	queuedLast  bool          // the part is prefilled after those already queued
}

// forecast returns the expected effect of a part with the given prefill time and tokens.
// Call advance first.
func (s *serverState) forecast(e *EngineProfile, length time.Duration, tokens int, helper bool, now time.Time) forecast {
	decoding := s.decodePassTime(e)
	wait := decoding / 2
	if now.Before(s.passEnd) {
		wait = s.passEnd.Sub(now)
	}
	backlog, backlogTokens := s.backlog()
	room := s.maxPassTokens(e, decoding)
	ahead, aheadTokens := backlog, backlogTokens
	if helper {
		ahead, aheadTokens = 0, 0
	}
	passes := 1 + (aheadTokens+tokens-1)/room
	// The last pass also prefills parts behind this one, as far as it has room.
	behind := s.backlogTimeWithin(backlog-ahead, backlogTokens-aheadTokens, passes*room-aheadTokens-tokens)
	prefill := s.expectedTime(ahead + length + behind)
	perPass := prefill / time.Duration(passes)
	if passes > 1 {
		// Full passes take about the same time. The first one is the longest; its time is
		// proportional to its tokens.
		perPass = time.Duration(float64(prefill) * float64(room) / float64(aheadTokens+tokens))
		perPass = min(perPass, prefill)
	}
	return forecast{
		ready:       wait + time.Duration(passes)*decoding + prefill,
		longestPass: decoding + perPass,
		delay:       s.expectedTime(length),
		queuedLast:  !helper,
	}
}

// backlog returns the declared prefill time and the tokens of all queued parts.
func (s *serverState) backlog() (time.Duration, int) {
	var sum time.Duration
	tokens := 0
	for _, p := range s.queue {
		sum += p.timeLeft
		tokens += p.tokensLeft
	}
	return sum, tokens
}

// backlogTimeWithin returns the prefill time of the part of a backlog that fits into room
// tokens.
func (s *serverState) backlogTimeWithin(backlog time.Duration, tokens, room int) time.Duration {
	if tokens <= 0 || room <= 0 {
		return 0
	}
	if room >= tokens {
		return backlog
	}
	return time.Duration(float64(backlog) * float64(room) / float64(tokens))
}
