package placement

import (
	"maps"
	"math"
	"time"
)

const (
	// maxNormalSlowdown is the factor up to which a server counts as running at its
	// declared speed. Passes of healthy servers are within a quarter of the model, first
	// tokens within a third.
	maxNormalSlowdown = 1.4
	// lateFirstTokenFactor is the ratio of actual to expected time above which a late first
	// token is attributed to a server.
	lateFirstTokenFactor = 1.7
	// maxSlowdown caps the factor. Otherwise one pass lost for another reason would keep
	// the server idle for a long time.
	maxSlowdown = 10.0
	// slowdownDecay is the time constant with which a factor decays without new
	// measurements. A server that is avoided yields no measurements, so it must be tried
	// again.
	slowdownDecay = 8 * time.Second
	// passesPerSample is the number of passes in a sample. The prefill that falls into a
	// single pass is known only roughly; over three passes it is accurate enough.
	passesPerSample = 3
	// firstTokenSlack is the minimum delay beyond the expected time before a first token
	// indicates a slow server. The network and late messages from other entries cause part
	// of the delay.
	firstTokenSlack = 60 * time.Millisecond
	// maxJudgedForecast is the longest forecast from which a server is judged. A longer
	// wait includes work that wasn't known when the attempt began, most of all in bursts.
	maxJudgedForecast = time.Second
	// maxSlowShare is the fraction of servers that may count as slow at the same time. If
	// more appear slow, the reason is a different one, such as overload of all servers, and
	// there is no better server to use.
	maxSlowShare = 0.35
	// overdueCheckInterval is the minimum time between checks of the attempts that wait for
	// their first token.
	overdueCheckInterval = 20 * time.Millisecond
)

// slowdown is the ratio of a server's actual times to its declared times.
//
// A server can become slow without failing. The recorded attempts alone make it look free,
// so it would keep receiving work, and every prompt with a part there would wait for that
// part. The factor is estimated from first tokens and from the passes that streams show.
type slowdown struct {
	factor    float64 // at updatedAt; 0 means 1
	updatedAt time.Time
	resetAt   time.Time // when the server was last seen at its declared speed
}

// factorAt returns the factor at the given time, which is 1 or more.
func (s *slowdown) factorAt(now time.Time) float64 {
	if s.factor <= 1 {
		return 1
	}
	left := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(slowdownDecay))
	return math.Pow(s.factor, left)
}

// reset records that the server runs at its declared speed.
func (s *slowdown) reset(now time.Time) { s.factor, s.updatedAt, s.resetAt = 1, now, now }

// lowerTo lowers the factor to bound if it is higher, and resets it if bound is within the
// normal range.
func (s *slowdown) lowerTo(bound float64, now time.Time) {
	if bound <= maxNormalSlowdown {
		s.reset(now)
		return
	}
	if bound < s.factorAt(now) {
		s.factor, s.updatedAt = bound, now
	}
}

// raiseTo raises the factor to bound, at most to maxSlowdown, if it is lower.
func (s *slowdown) raiseTo(bound float64, now time.Time) {
	bound = min(bound, maxSlowdown)
	if bound > s.factorAt(now) {
		s.factor, s.updatedAt = bound, now
	}
}

// expectedTime returns how long the server takes for work with a declared time of d.
func (s *serverState) expectedTime(d time.Duration) time.Duration {
	if s.slowdownFactor <= 1 {
		return d
	}
	return scale(d, s.slowdownFactor)
}

// passSample is the start of a sample of a stream's passes.
type passSample struct {
	begunAt         time.Time
	passes          int
	decodeTime      time.Duration // declared decode time of these passes
	prefilledBefore time.Duration // the server's prefilled when the sample began
}

// recordPass records the end of a pass, which the events of one stream show: the events of
// a pass arrive together.
func (s *serverState) recordPass(m *passSample, e *EngineProfile, now time.Time) {
	s.advance(e, now)
	if m.begunAt.IsZero() {
		*m = passSample{begunAt: now, prefilledBefore: s.prefilled}
		return
	}
	n, context := s.decodingStreams()
	m.decodeTime += e.DecodePassTime(n, context)
	if m.passes++; m.passes < passesPerSample {
		return
	}
	if declared := m.decodeTime + s.prefilled - m.prefilledBefore; now.Sub(m.begunAt) <= scale(declared, maxNormalSlowdown) {
		s.slowdown.reset(now)
	}
	*m = passSample{begunAt: now, prefilledBefore: s.prefilled}
}

// checkOverdueLocked updates the slowdown of servers from the prompts that should have been
// prefilled by now.
func (l *Ledger) checkOverdueLocked(now time.Time) {
	if now.Sub(l.lastOverdueCheck) < overdueCheckInterval {
		return
	}
	l.lastOverdueCheck = now
	for _, a := range l.prefilling {
		if now.After(a.expectedReady.Add(firstTokenSlack)) {
			l.attributeDelayLocked(a, now)
		}
	}
}

// observeFirstTokenLocked updates the slowdown of servers from the first token of an
// attempt. All parts are prefilled by then, so no server of the attempt is slower than the
// elapsed time implies.
func (l *Ledger) observeFirstTokenLocked(a *activeAttempt, now time.Time) {
	if l.attributeDelayLocked(a, now) {
		return
	}
	for _, p := range a.parts {
		if expected := p.expectedReady.Sub(a.begunAt); expected > 0 {
			p.server.slowdown.lowerTo(p.slowdownFactor*float64(now.Sub(a.begunAt))/float64(expected), now)
		}
	}
}

// attributeDelayLocked reports whether the first token of an attempt is late, and if so
// raises the slowdown of one of its servers. At least one of them must be slow. The one
// that has gone longest without running at its declared speed is chosen. No slowdown is
// raised while the maximum number of servers count as slow.
func (l *Ledger) attributeDelayLocked(a *activeAttempt, now time.Time) bool {
	took := now.Sub(a.begunAt)
	var suspect *part
	for _, p := range a.parts {
		expected := p.expectedReady.Sub(a.begunAt)
		if took <= scale(expected, lateFirstTokenFactor) || took < expected+firstTokenSlack || expected > maxJudgedForecast {
			return false
		}
		if suspect == nil || p.server.slowdown.resetAt.Before(suspect.server.slowdown.resetAt) {
			suspect = p
		}
	}
	if suspect == nil {
		return false
	}
	if l.slowLimitReachedLocked(now) {
		return true
	}
	if expected := suspect.expectedReady.Sub(a.begunAt); expected > 0 {
		suspect.server.slowdown.raiseTo(suspect.slowdownFactor*float64(took)/float64(expected), now)
		l.slow[suspect.server] = struct{}{}
	}
	return true
}

// slowLimitReachedLocked reports whether the maximum number of servers count as slow. It
// first removes servers that no longer do.
func (l *Ledger) slowLimitReachedLocked(now time.Time) bool {
	maps.DeleteFunc(l.slow, func(s *serverState, _ struct{}) bool { return s.slowdown.factorAt(now) <= maxNormalSlowdown })
	return float64(len(l.slow)) >= maxSlowShare*float64(len(l.servers))
}

// SlowServers returns the slowdown factors of the servers that count as slow, by ServerKey.
func (l *Ledger) SlowServers(now time.Time) map[uint64]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[uint64]float64{}
	for key, s := range l.servers {
		if factor := s.slowdown.factorAt(now); factor > maxNormalSlowdown {
			out[key] = factor
		}
	}
	return out
}
