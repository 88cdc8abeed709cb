package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxSuspicions bounds the parts, or groups of parts, that are held or refused at a time.
const maxSuspicions = 64

// Suspicion is a part that is in more deaths than any other, or several parts that are in nearly the
// same deaths, so that only a request with some of them can tell which crashes engines.
type Suspicion struct {
	Parts   []Part
	Deaths  []uint64 // Death.ID of each
	Since   time.Time
	Last    time.Time // when the last engine died
	Refused bool      // false: requests run one at a time
	RetryAt time.Time // when one request may try the parts again, if they are refused
}

const (
	// maxRefusalDoublings bounds the shift that computes how long a part is refused.
	maxRefusalDoublings = 16
	// trialSpread is the fraction of MinRefusal over which processes spread their trials.
	trialSpread = 0.5
)

// history is the deaths that count against a part, in the order of ended.
type history struct {
	part        Part
	deaths      []*trackedDeath
	independent int // deaths that no single outage explains
}

// blame returns the parts that explain most deaths, then those that explain most of the
// others, and so on, down to the threshold from which requests are held.
// counts is the number of deaths that count against each part.
func blame(deaths []*trackedDeath, counts map[Part]int, opt PartOptions) []Suspicion {
	var out []Suspicion
	remaining := slices.Clone(deaths)
	for len(out) < maxSuspicions {
		histories := historiesOf(remaining, counts, opt)
		if len(histories) == 0 {
			return out
		}
		best := slices.MinFunc(histories, compareBlame)
		if best.independent < opt.HoldThreshold {
			return out
		}
		out = append(out, newSuspicion(histories, best, opt))
		remaining = slices.DeleteFunc(remaining, func(d *trackedDeath) bool {
			_, counts := d.began[best.part]
			return counts
		})
	}
	return out
}

// historiesOf returns the history of each part that has enough deaths to be held.
func historiesOf(deaths []*trackedDeath, counts map[Part]int, opt PartOptions) []history {
	byPart := map[Part][]*trackedDeath{}
	for _, d := range deaths {
		for part := range d.began {
			if counts[part] >= opt.HoldThreshold {
				byPart[part] = append(byPart[part], d)
			}
		}
	}
	out := make([]history, 0, len(byPart))
	for part, list := range byPart {
		h := history{part: part, deaths: list}
		h.independent = h.countIndependent(opt.Burst)
		out = append(out, h)
	}
	return out
}

// compareBlame orders histories by how much they explain, the most first.
func compareBlame(a, b history) int {
	return cmp.Or(
		cmp.Compare(b.independent, a.independent),
		cmp.Compare(len(b.deaths), len(a.deaths)),
		comparePart(a.part, b.part),
	)
}

func comparePart(a, b Part) int {
	return cmp.Or(
		cmp.Compare(a.Scope.Service, b.Scope.Service),
		cmp.Compare(a.Scope.Model, b.Scope.Model),
		cmp.Compare(a.ID, b.ID),
	)
}

// countIndependent returns the number of deaths that one outage can't explain together: their
// runs follow each other, or they came further apart than its deaths do.
func (h history) countIndependent(burst time.Duration) int {
	n := 0
	var last *trackedDeath
	for _, d := range h.deaths {
		if last == nil || h.follows(d, last) || !d.silent && !last.silent && d.ended.Sub(last.ended) >= burst {
			n++
			last = d
		}
	}
	return n
}

// follows reports whether a request with the part was sent after the earlier death.
func (h history) follows(d, earlier *trackedDeath) bool {
	return !d.began[h.part].Add(transitTolerance).Before(earlier.ended)
}

// hasSuccession reports whether some request with the part was sent after a death.
func (h history) hasSuccession() bool {
	return slices.ContainsFunc(h.deaths, func(d *trackedDeath) bool { return h.follows(d, h.deaths[0]) && d != h.deaths[0] })
}

// maxUnmatched is the number of deaths in which the histories of parts may differ that can't be told
// apart: one server may end for another reason.
const maxUnmatched = 1

// isMatchedBy reports whether the part of another history, which explains no more, is in all but
// maxUnmatched of the deaths.
func (h history) isMatchedBy(other history) bool {
	common := 0
	for _, d := range h.deaths {
		if _, counts := d.began[other.part]; counts {
			common++
		}
	}
	return common >= len(h.deaths)-maxUnmatched
}

// newSuspicion returns the suspicion of the part of a history and of those that can't be told from
// it.
func newSuspicion(all []history, h history, opt PartOptions) Suspicion {
	s := Suspicion{Since: h.deaths[0].ended, Last: h.deaths[len(h.deaths)-1].ended}
	for _, other := range all {
		if h.isMatchedBy(other) {
			s.Parts = append(s.Parts, other.part)
		}
	}
	slices.SortFunc(s.Parts, comparePart)
	for _, d := range h.deaths {
		s.Deaths = append(s.Deaths, d.id)
	}
	s.Refused = h.independent >= opt.RefuseThreshold && h.hasSuccession()
	if s.Refused {
		s.RetryAt = s.Last.Add(opt.refusal(h.independent - opt.RefuseThreshold))
	}
	return s
}

// refusal returns how long a part is refused after a number of failed trials.
func (o PartOptions) refusal(failedTrials int) time.Duration {
	length := min(o.MinRefusal<<min(failedTrials, maxRefusalDoublings), o.MaxRefusal)
	return length + time.Duration(o.TrialDelay*trialSpread*float64(o.MinRefusal))
}
