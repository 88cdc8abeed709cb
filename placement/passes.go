package placement

import (
	"math"
	"time"
)

const (
	// longPart is the reading that counts as long: one such part alone makes a
	// pass that is too long for a stream with pauses of a quarter second.
	longPart = 120 * time.Millisecond
	// longMemory is how fast the share of long reading is forgotten.
	longMemory = 3 * time.Second
)

// writers returns how many streams the server writes, and their contexts together.
func (s *serverState) writers() (n, context int) {
	for _, a := range s.works {
		if a.Writing {
			n++
			context += a.Memory
		}
	}
	return n, context
}

// writePass is the writing part of a pass.
func (s *serverState) writePass(e *Engine) time.Duration {
	n, context := s.writers()
	return e.WritePass(n, context)
}

// advance lets the passes end that should have ended by now.
func (s *serverState) advance(e *Engine, now time.Time) {
	for s.next > 0 && !now.Before(s.passEnd) {
		s.passEnd = s.passEnd.Add(s.writePass(e) + s.next)
		s.next, s.nextTokens = 0, 0
	}
}

// read adds a part to the pass that can take it, and returns how long until it is
// read.
func (s *serverState) read(w Work, e *Engine, now time.Time) time.Duration {
	s.advance(e, now)
	s.noteLong(w.Part, now)
	f := s.forecast(e, w.Part, now)
	s.delay(w.ID, f)
	if now.Before(s.passEnd) {
		s.next += w.Part
		s.nextTokens += w.PartTokens
		return f.ready
	}
	s.passEnd = now.Add(f.ready)
	return f.ready
}

// delay notes what a part does to the others on the server: streams whose pause it
// makes too long have nothing more to lose, and prompts that wait are read later.
func (s *serverState) delay(id WorkID, f forecast) {
	for other, a := range s.works {
		switch {
		case other == id:
		case a.Writing:
			a.late = a.late || a.Pause > 0 && f.pass > a.Pause
		default:
			a.ready = a.ready.Add(f.delay)
		}
	}
}

// begins is how long the pass in progress still takes on average where it only
// writes: half of it.
func (s *serverState) begins(e *Engine) time.Duration { return s.writePass(e) / 2 }

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
	ready time.Duration // from now until the part is read
	pass  time.Duration // length of the pass that reads it, which is a pause for its writers
	delay time.Duration // for those whose prompts wait to be read
}

// forecast of a part of so much reading. Call advance first.
func (s *serverState) forecast(e *Engine, part time.Duration, now time.Time) forecast {
	writing := s.writePass(e)
	if now.Before(s.passEnd) {
		pass := writing + s.next + part
		return forecast{ready: s.passEnd.Sub(now) + pass, pass: pass, delay: part}
	}
	pass := writing + part
	return forecast{ready: s.begins(e) + pass, pass: pass, delay: part}
}
