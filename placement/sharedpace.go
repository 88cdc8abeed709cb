package placement

import (
	"cmp"
	"slices"
	"time"
)

// The passes of a stream show the pace of its server exactly, but only to the entry that relays
// it. Entries share what they measure: with dozens of entries and a third of the servers slow,
// each entry would otherwise find each of them by its own late prompts.

const (
	// minCredibleRatio is the ratio of a sample's actual to its declared time below which its
	// events were not read as they came, for example after the process was stopped.
	minCredibleRatio = 0.6
	// minMeasuredSlowdown is the ratio from which a sample counts as slow. Samples of servers
	// at their declared speed stay below it also if some prefill is not known yet.
	minMeasuredSlowdown = 2.0
	// paceStep is the ratio of two factors from which a change is announced.
	paceStep = 1.5
	// maxLoneSlowdown caps the factor that the measurements of one other entry give. Its link
	// may lose packets, which delays all events from a server.
	maxLoneSlowdown = 2.5
	// maxPaceReports is the number of other entries whose latest measurements are kept for
	// each server.
	maxPaceReports = 4
	// paceReportAge is the age from which a measurement no longer counts.
	paceReportAge = slowdownDecay
)

// Pace is a server's pace as one entry measured it on the passes of its own streams.
type Pace struct {
	Server uint64        // ServerKey
	Factor float64       // actual time as a multiple of the declared one
	Age    time.Duration // since the measurement
}

// PacePublisher announces the paces that this entry measures to other entries. Its method must
// not block.
type PacePublisher interface {
	Pace(p Pace)
}

// paceReport is a measurement of a server's pace.
type paceReport struct {
	owner  uint64 // entry that measured it; 0 for this one
	factor float64
	at     time.Time // when it was measured; zero: never
}

// fresh reports whether a measurement still counts.
func (r paceReport) fresh(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= paceReportAge
}

// serverPace holds the measurements of one server's pace.
type serverPace struct {
	own       paceReport
	announced paceReport   // what other entries were last told
	reports   []paceReport // of other entries, at most one each
	startedAt time.Time    // when the server last restarted; older measurements don't apply
}

// SharePaces makes the ledger measure the pace of the servers for which enabled returns true,
// announce it, and take the measurements of other entries into account. enabled must not call
// the ledger.
func (l *Ledger) SharePaces(publisher PacePublisher, enabled func(server uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacePublisher, l.sharesPace = publisher, enabled
}

// measurePaceLocked takes a sample of a server's passes, whose time was the given multiple of
// the declared one.
func (l *Ledger) measurePaceLocked(key uint64, s *serverState, ratio float64, now time.Time) {
	if l.pacePublisher == nil || ratio < minCredibleRatio || !l.sharesPace(key) {
		return
	}
	switch {
	case ratio <= maxNormalSlowdown:
		ratio = 1
	case ratio < minMeasuredSlowdown:
		return // neither: some prefill of the passes may not be known
	}
	wasSlow := s.pace.measuredSlow(now)
	s.pace.own = paceReport{factor: min(ratio, maxSlowdown), at: now}
	if ratio == 1 && !wasSlow {
		return
	}
	l.applyPaceLocked(s, now)
	l.announcePaceLocked(key, s, wasSlow, now)
}

// announcePaceLocked announces an own measurement if it differs noticeably from what this entry
// last announced, or shows that a server is well which an entry had measured as slow.
func (l *Ledger) announcePaceLocked(key uint64, s *serverState, wasSlow bool, now time.Time) {
	own, last := s.pace.own, 1.0
	if s.pace.announced.fresh(now) {
		last = s.pace.announced.factor
	}
	wellAgain := own.factor == 1 && wasSlow
	changed := max(own.factor, last) >= paceStep*min(own.factor, last)
	if changed || wellAgain || own.factor > 1 {
		s.pace.announced = own // heartbeats repeat it
	}
	if changed || wellAgain {
		l.pacePublisher.Pace(Pace{Server: key, Factor: own.factor})
	}
}

// MergePace records a measurement of another entry and reports whether it counts.
func (l *Ledger) MergePace(owner uint64, p Pace, now time.Time) bool {
	if l.profileOf(p.Server) == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := paceReport{owner: owner, factor: min(p.Factor, maxSlowdown), at: now.Add(-p.Age)}
	if l.pacePublisher == nil || !r.fresh(now) || !l.sharesPace(p.Server) {
		return false
	}
	s := l.serverLocked(p.Server)
	wasSlow := s.pace.measuredSlow(now)
	if !s.pace.add(r, now) {
		return false
	}
	if wasSlow || s.pace.measuredSlow(now) { // else it says nothing of late first tokens
		l.applyPaceLocked(s, now)
	}
	return true
}

// add keeps a report unless a newer one of the same entry is known.
func (p *serverPace) add(r paceReport, now time.Time) bool {
	if r.at.Before(p.startedAt) {
		return false
	}
	for _, known := range p.reports {
		if known.owner == r.owner && !r.at.After(known.at) {
			return false
		}
	}
	p.reports = slices.DeleteFunc(p.reports, func(k paceReport) bool { return k.owner == r.owner || !k.fresh(now) })
	p.reports = append(p.reports, r)
	slices.SortStableFunc(p.reports, func(a, b paceReport) int { return b.at.Compare(a.at) })
	p.reports = p.reports[:min(len(p.reports), maxPaceReports)]
	return true
}

// applyPaceLocked updates the slowdown of a server from its measurements: the newest one lowers
// it, and the slow ones that are newer than the last one at the declared speed raise it.
func (l *Ledger) applyPaceLocked(s *serverState, now time.Time) {
	newest, wellAt := paceReport{}, time.Time{}
	all := append([]paceReport{s.pace.own}, s.pace.reports...)
	for _, r := range all {
		if !r.fresh(now) {
			continue
		}
		if r.at.After(newest.at) {
			newest = r
		}
		if r.factor <= maxNormalSlowdown && r.at.After(wellAt) {
			wellAt = r.at
		}
	}
	if newest.factor <= maxNormalSlowdown {
		s.slowdown.reset(now)
		delete(l.slow, s)
		return
	}
	if bound := slowBound(all, wellAt, now); l.mayMeasureSlowLocked(s, now) {
		s.slowdown.setTo(bound, now)
		l.slow[s] = struct{}{}
	}
}

// slowBound returns the factor that the slow measurements after wellAt give: the own one, the
// second of the others, or the highest of the others up to maxLoneSlowdown.
func slowBound(all []paceReport, wellAt, now time.Time) float64 {
	own, first, second := 1.0, 1.0, 1.0
	for _, r := range all {
		switch {
		case !r.fresh(now) || !r.at.After(wellAt):
		case r.owner == 0:
			own = r.factor
		case r.factor > first:
			first, second = r.factor, first
		case r.factor > second:
			second = r.factor
		}
	}
	return max(own, second, min(first, maxLoneSlowdown))
}

// setTo sets the factor.
func (s *slowdown) setTo(factor float64, now time.Time) {
	s.factor, s.updatedAt = min(factor, maxSlowdown), now
}

// mayMeasureSlowLocked reports whether a server may count as slow by its measured pace: the
// others that do are fewer than maxSlowShare.
func (l *Ledger) mayMeasureSlowLocked(s *serverState, now time.Time) bool {
	n := 0
	for o := range l.slow {
		if o != s && o.pace.measuredSlow(now) {
			n++
		}
	}
	return float64(n) < maxSlowShare*float64(len(l.servers))
}

// measuredSlow reports whether an entry has measured the server as slow lately.
func (p *serverPace) measuredSlow(now time.Time) bool {
	slow := func(r paceReport) bool { return r.fresh(now) && r.factor > maxNormalSlowdown }
	return slow(p.own) || slices.ContainsFunc(p.reports, slow)
}

// OwnPaces returns what this entry announced and measured within maxAge, the newest first and at
// most limit, for heartbeats: messages get lost.
func (l *Ledger) OwnPaces(maxAge time.Duration, limit int, now time.Time) []Pace {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Pace
	for key, s := range l.servers {
		if r := s.pace.announced; !r.at.IsZero() && now.Sub(r.at) <= maxAge {
			out = append(out, Pace{Server: key, Factor: r.factor, Age: now.Sub(r.at)})
		}
	}
	slices.SortFunc(out, func(a, b Pace) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server)) })
	return out[:min(len(out), limit)]
}

// SlowServer is a server that counts as slow.
type SlowServer struct {
	Factor    float64  // actual time as a multiple of the declared one
	Own       bool     // by a measurement of this entry
	Reporters []uint64 // incarnations of the other entries that measured it as slow
}

// SlowServers returns the servers that count as slow, by ServerKey. Without Own and Reporters a
// server is slow by late first tokens.
func (l *Ledger) SlowServers(now time.Time) map[uint64]SlowServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[uint64]SlowServer{}
	for key, s := range l.servers {
		factor := s.slowdown.factorAt(now)
		if factor <= maxNormalSlowdown {
			continue
		}
		slow := SlowServer{Factor: factor, Own: s.pace.own.fresh(now) && s.pace.own.factor > maxNormalSlowdown}
		for _, r := range s.pace.reports {
			if r.fresh(now) && r.factor > maxNormalSlowdown {
				slow.Reporters = append(slow.Reporters, r.owner)
			}
		}
		out[key] = slow
	}
	return out
}

// forgetPace removes all measurements of a server that restarted.
func (s *serverState) forgetPace(now time.Time) { s.pace = serverPace{startedAt: now} }
