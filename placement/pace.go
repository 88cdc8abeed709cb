package placement

import (
	"maps"
	"math"
	"time"
)

const (
	// paceNormal is the factor up to which a server counts as being on its declared
	// pace: passes of healthy servers are within a quarter of the model, first tokens
	// within a third.
	paceNormal = 1.4
	// paceBlame is the factor from which a late first token is laid to a server.
	paceBlame = 1.7
	// paceMost bounds what is believed of a server's slowness: a whole pass lost to
	// something else would else keep it idle for long.
	paceMost = 10.0
	// paceMemory is how fast a factor is forgotten without news. A server that is
	// avoided shows nothing, so that it must be tried again.
	paceMemory = 8 * time.Second
	// pacePasses is how many passes make a sample: the reading that falls into one
	// pass is known only roughly, into three well enough.
	pacePasses = 3
	// paceSlack is how much later than expected a first token must be to tell of a
	// slow server: the network and other entries' news take some of it.
	paceSlack = 60 * time.Millisecond
	// paceTrust is the longest forecast by which a server is judged: into a longer
	// wait falls work that wasn't known when it began, most of it in bursts.
	paceTrust = time.Second
	// paceShare bounds the servers that count as slow at a time. Where more seem so it
	// is something else, such as more work than all of them can do, and there is
	// nowhere better to go.
	paceShare = 0.35
	// judgeEvery paces the look at prompts that wait.
	judgeEvery = 20 * time.Millisecond
)

// pace is how many times as long as declared a server takes for everything. Servers
// get slow without failing; work goes on being placed there, because what is known
// of their work says that they are free, and every prompt that has a part read there
// waits for that part. The first tokens of prompts tell it, and the passes that
// streams show.
type pace struct {
	factor  float64 // when last told; 0 stands for 1
	at      time.Time
	cleared time.Time // when it last proved to be on its declared pace
}

// now returns the factor at a time, 1 or more.
func (p *pace) now(now time.Time) float64 {
	if p.factor <= 1 {
		return 1
	}
	left := math.Exp(-float64(now.Sub(p.at)) / float64(paceMemory))
	return math.Pow(p.factor, left)
}

// clear notes that the server is on its declared pace.
func (p *pace) clear(now time.Time) { p.factor, p.at, p.cleared = 1, now, now }

// atMost notes that the server is no slower than that.
func (p *pace) atMost(bound float64, now time.Time) {
	if bound <= paceNormal {
		p.clear(now)
		return
	}
	if bound < p.now(now) {
		p.factor, p.at = bound, now
	}
}

// atLeast notes that the server is no faster than that.
func (p *pace) atLeast(bound float64, now time.Time) {
	bound = min(bound, paceMost)
	if bound > p.now(now) {
		p.factor, p.at = bound, now
	}
}

// stretch returns how long the server takes for what is declared to take d.
func (s *serverState) stretch(d time.Duration) time.Duration {
	if s.factor <= 1 {
		return d
	}
	return scale(d, s.factor)
}

// passMark is where a sample of a stream's passes begins.
type passMark struct {
	at      time.Time
	passes  int
	writing time.Duration // declared, of these passes
	read    time.Duration // of the server when the mark was set
}

// notePass takes the end of a pass that a stream of the server shows, its events
// come together.
func (s *serverState) notePass(m *passMark, e *EngineProfile, now time.Time) {
	s.advance(e, now)
	if m.at.IsZero() {
		*m = passMark{at: now, read: s.read}
		return
	}
	n, context := s.writers()
	m.writing += e.DecodePassTime(n, context)
	if m.passes++; m.passes < pacePasses {
		return
	}
	if declared := m.writing + s.read - m.read; now.Sub(m.at) <= scale(declared, paceNormal) {
		s.pace.clear(now)
	}
	*m = passMark{at: now, read: s.read}
}

// judgeWaiting learns from the prompts that should have been read by now.
func (l *Ledger) judgeWaiting(now time.Time) {
	if now.Sub(l.judged) < judgeEvery {
		return
	}
	l.judged = now
	for _, a := range l.reading {
		if now.After(a.ready.Add(paceSlack)) {
			l.blame(a, now)
		}
	}
}

// judgeFirst learns from the first token of a work: all its parts are read by then,
// and none of its servers is slower than that says.
func (l *Ledger) judgeFirst(a *activeWork, now time.Time) {
	if l.blame(a, now) {
		return
	}
	for _, p := range a.parts {
		if expected := p.ready.Sub(a.begun); expected > 0 {
			p.server.pace.atMost(p.factor*float64(now.Sub(a.begun))/float64(expected), now)
		}
	}
}

// blame lays it to a server if a work's first token is late, and reports whether it
// is. One of its servers is as slow as that says; it is laid to the one that longest
// didn't prove to be on its pace.
func (l *Ledger) blame(a *activeWork, now time.Time) bool {
	took := now.Sub(a.begun)
	var suspect *part
	for _, p := range a.parts {
		expected := p.ready.Sub(a.begun)
		if took <= scale(expected, paceBlame) || took < expected+paceSlack || expected > paceTrust {
			return false
		}
		if suspect == nil || p.server.pace.cleared.Before(suspect.server.pace.cleared) {
			suspect = p
		}
	}
	if suspect == nil {
		return false
	}
	if l.manySlow(now) {
		return true
	}
	if expected := suspect.ready.Sub(a.begun); expected > 0 {
		suspect.server.pace.atLeast(suspect.factor*float64(took)/float64(expected), now)
		l.slow[suspect.server] = struct{}{}
	}
	return true
}

// manySlow reports whether as many servers count as slow as may. It forgets those
// that don't any more.
func (l *Ledger) manySlow(now time.Time) bool {
	maps.DeleteFunc(l.slow, func(s *serverState, _ struct{}) bool { return s.pace.now(now) <= paceNormal })
	return float64(len(l.slow)) >= paceShare*float64(len(l.servers))
}
