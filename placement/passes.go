package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// longPart is the reading that counts as long: one such part alone makes a
	// pass that is too long for a stream with pauses of a quarter second.
	longPart = 120 * time.Millisecond
	// longMemory is how fast the share of long reading is forgotten.
	longMemory = 3 * time.Second
	// idleSteps is how many steps a pass without writers takes: new work then waits
	// for a few milliseconds only.
	idleSteps = 2
	// confirmTime is how long a part counts as perhaps not read after it should be, unless
	// its prompt's first token comes. What is placed reaches its servers some 10 ms later,
	// and later still where memory is set aside first; what is read beside it isn't known to
	// every entry. So a server is passes behind what the ledger expects, and behind a long
	// part by up to a second. A new part that comes in that time for another server goes
	// before what is left of the old one, and so does each that follows while the server is
	// wanted, so that the old one is read last of all.
	confirmTime = time.Second
)

// part is a prompt, or a part of one, that a server has yet to read.
type part struct {
	work   *activeWork
	helper bool          // read for another server
	left   time.Duration // as declared
	tokens int           // of left
	server *serverState
	ready  time.Time // when it should be read
	passed time.Time // when the pass ends that should read the last of it
	factor float64   // the server's pace that ready was worked out with
}

// cut takes up to so many tokens off the part and returns the declared time to read
// them.
func (p *part) cut(tokens int) time.Duration {
	if tokens >= p.tokens {
		took := p.left
		p.left, p.tokens = 0, 0
		return took
	}
	took := time.Duration(float64(p.left) * float64(tokens) / float64(p.tokens))
	p.left -= took
	p.tokens -= tokens
	return took
}

// writers returns how many streams the server writes, and their contexts together.
func (s *serverState) writers() (n, context int) {
	for _, a := range s.works {
		if a.Decoding {
			n++
			context += a.MemoryTokens
		}
	}
	return n, context
}

// writePass is the writing part of a pass. Call advance before.
func (s *serverState) writePass(e *EngineProfile) time.Duration {
	n, context := s.writers()
	return s.stretch(e.DecodePassTime(n, context))
}

// passTokens is how many tokens one pass reads at most.
func (s *serverState) passTokens(e *EngineProfile, writing time.Duration) int {
	if writing > 0 {
		return max(1, e.Chunk) * max(1, e.Stride)
	}
	return max(1, e.Chunk) * idleSteps
}

// advance lets the passes end that should have ended by now, and begins the next
// ones. Parts that helpers read go before a server's own, and of them the newest
// goes first: a long part waits for every part that comes after it.
func (s *serverState) advance(e *EngineProfile, now time.Time) {
	s.factor = s.pace.now(now)
	for len(s.queue) > 0 && !now.Before(s.passEnd) {
		writing := s.writePass(e)
		length, room := writing, s.passTokens(e, writing)
		for len(s.queue) > 0 && room > 0 {
			p := s.queue[0]
			took := min(room, p.tokens)
			read := p.cut(took)
			s.read += read
			length += s.stretch(read)
			room -= took
			if p.tokens > 0 {
				break
			}
			s.queue = s.queue[1:]
			s.unconfirmed = append(s.unconfirmed, p)
		}
		s.passEnd = s.passEnd.Add(length)
		s.notePassed()
	}
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(p *part) bool { return now.Sub(p.passed) > confirmTime })
}

// notePassed notes when the pass ends that reads the last of the newest unconfirmed parts.
func (s *serverState) notePassed() {
	for _, p := range slices.Backward(s.unconfirmed) {
		if !p.passed.IsZero() {
			return
		}
		p.passed = s.passEnd
	}
}

// add queues a part. Call advance before.
func (s *serverState) add(p *part, e *EngineProfile, now time.Time) {
	s.noteLong(p.left, now)
	if !now.Before(s.passEnd) { // nothing is being read
		s.passEnd = now.Add(s.writePass(e) / 2)
	}
	if p.helper {
		s.queue = slices.Insert(s.queue, 0, p)
		return
	}
	s.queue = append(s.queue, p)
}

// drop removes the parts of a work, which is read or has ended.
func (s *serverState) drop(id AttemptID) {
	s.queue = slices.DeleteFunc(s.queue, func(p *part) bool { return p.work.ID == id })
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(p *part) bool { return p.work.ID == id })
}

func (s *serverState) noteLong(part time.Duration, now time.Time) {
	s.decayLong(now)
	if part >= longPart {
		s.longLoad += float64(part) / float64(longMemory)
	}
}

func (s *serverState) decayLong(now time.Time) {
	passed := now.Sub(s.longAt)
	if passed > 0 {
		s.longLoad *= math.Exp(-float64(passed) / float64(longMemory))
		s.longAt = now
	}
}

// forecast is what one more part would do on a server.
type forecast struct {
	ready  time.Duration // from now until the part is read
	pass   time.Duration // length of the longest pass until then, a pause for its writers
	delay  time.Duration // for those whose parts wait to be read
	behind bool          // it is read after what waits there
}

// forecast of a part of so much reading. Call advance first.
func (s *serverState) forecast(e *EngineProfile, length time.Duration, tokens int, helper bool, now time.Time) forecast {
	writing := s.writePass(e)
	wait := writing / 2
	if now.Before(s.passEnd) {
		wait = s.passEnd.Sub(now)
	}
	backlog, backlogTokens := s.backlog()
	room := s.passTokens(e, writing)
	ahead, aheadTokens := backlog, backlogTokens
	if helper {
		ahead, aheadTokens = 0, 0
	}
	passes := 1 + (aheadTokens+tokens-1)/room
	// The last pass reads on behind the part as far as it has room.
	behind := s.fill(backlog-ahead, backlogTokens-aheadTokens, passes*room-aheadTokens-tokens)
	reading := s.stretch(ahead + length + behind)
	perPass := reading / time.Duration(passes)
	if passes > 1 {
		// Full passes read alike; the first one is the longest by its tokens.
		perPass = time.Duration(float64(reading) * float64(room) / float64(aheadTokens+tokens))
		perPass = min(perPass, reading)
	}
	return forecast{
		ready:  wait + time.Duration(passes)*writing + reading,
		pass:   writing + perPass,
		delay:  s.stretch(length),
		behind: !helper,
	}
}

// backlog is what waits to be read.
func (s *serverState) backlog() (time.Duration, int) {
	var sum time.Duration
	tokens := 0
	for _, p := range s.queue {
		sum += p.left
		tokens += p.tokens
	}
	return sum, tokens
}

// fill is how long a pass reads of a backlog in a room of so many tokens.
func (s *serverState) fill(backlog time.Duration, tokens, room int) time.Duration {
	if tokens <= 0 || room <= 0 {
		return 0
	}
	if room >= tokens {
		return backlog
	}
	return time.Duration(float64(backlog) * float64(room) / float64(tokens))
}
