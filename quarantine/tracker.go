// Package quarantine finds requests that crash engines. When an engine dies, every
// request that it ran is suspect: one of them may crash each engine that runs it, and its
// caller will send it again. A suspect is next run alone, so that a second death is
// attributed to it and affects no other request; two deaths quarantine its fingerprint. A
// suspect that ends alone without a death is cleared.
//
// An outage may end several engines that run the same content for several callers. So only
// deaths whose runs follow each other count: a request that crashes engines is sent again
// after the engine died, while the runs that an outage ends overlap.
//
// Requests that share a part of their prompts may crash engines though no two are alike. A
// PartTracker finds such parts.
//
// Invariants: the table is bounded and its records expire; a death counts once, however
// often and from whichever process it is reported, and not again once it is cleared; when
// a fingerprint runs to its end, the process that saw it clears a suspect, and reports that
// to the others if it shares records.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Verdict is how a fingerprint may run.
type Verdict uint8

// Verdicts.
const (
	Allow    Verdict = iota // like any other
	RunAlone                // only on an engine that runs nothing else
	Refuse                  // not at all
)

// Options configures a Tracker.
type Options struct {
	MaxFingerprints int           // fingerprints kept
	SuspicionTTL    time.Duration // how long a single death is remembered
	QuarantineTTL   time.Duration // how long a quarantine lasts
	DeathThreshold  int           // deaths that quarantine a fingerprint, 1 to 4
}

// DefaultOptions keeps 10,000 fingerprints, which take 1 MB at most.
var DefaultOptions = Options{
	MaxFingerprints: 10_000,
	SuspicionTTL:    10 * time.Minute,
	QuarantineTTL:   time.Hour,
	DeathThreshold:  2,
}

// maxTrackedDeaths is how many distinct deaths are kept per fingerprint. It is the
// maximum of Options.DeathThreshold.
const maxTrackedDeaths = 4

// transitTolerance is the overlap of two runs that is ignored if one of them was reported by
// another process: reports take unequal times, and a caller sends its request again within
// milliseconds of a death.
const transitTolerance = 25 * time.Millisecond

// Death is the death of an engine under a run of a request.
type Death struct {
	ID           uint64    // identifies the engine's death: xxhash of server and boot
	Began, Ended time.Time // of the run; equal if its length is unknown
}

// overlaps reports whether the runs of two deaths overlap by more than tolerance.
func (d Death) overlaps(other Death, tolerance time.Duration) bool {
	return d.Began.Add(tolerance).Before(other.Ended) && other.Began.Add(tolerance).Before(d.Ended)
}

// Record describes one death of a fingerprint, as processes exchange it.
type Record struct {
	Fingerprint uint64
	DeathID     uint64        // Death.ID
	Ran         time.Duration // length of the run
	Age         time.Duration // time since the run ended
	DeathCount  int
	Quarantined bool
	TTL         time.Duration // time left of the verdict; 0: unknown
}

// death returns the death of a record that arrived now.
func (r Record) death(now time.Time) Death {
	ended := now.Add(-r.Age)
	return Death{ID: r.DeathID, Began: ended.Add(-r.Ran), Ended: ended}
}

// deathHistory holds the distinct deaths of one fingerprint.
type deathHistory struct {
	deaths  [maxTrackedDeaths]Death
	count   int
	cleared []uint64 // Death.ID of the latest deaths before a completion, maxTrackedDeaths at most
	expires time.Time
}

// Tracker keeps the suspect and quarantined fingerprints of one process. It is safe for
// concurrent use; mu guards histories.
type Tracker struct {
	mu        sync.Mutex
	options   Options
	histories *simplelru.LRU[uint64, *deathHistory]
}

// NewTracker returns an empty Tracker.
func NewTracker(opt Options) *Tracker {
	lru, err := simplelru.NewLRU[uint64, *deathHistory](max(1, opt.MaxFingerprints), nil)
	if err != nil {
		panic(err) // only for a size under one
	}
	// At most maxTrackedDeaths deaths are distinguished, so a higher threshold would never be
	// reached.
	opt.DeathThreshold = min(max(1, opt.DeathThreshold), maxTrackedDeaths)
	return &Tracker{options: opt, histories: lru}
}

// RecordDeath records that the fingerprint was running when an engine died now. death
// identifies that death; a death that is already recorded changes nothing. It returns the
// record to share with other processes and whether the death is new.
func (t *Tracker) RecordDeath(fingerprint, death uint64, now time.Time) (Record, bool) {
	return t.RecordRunDeath(fingerprint, Death{ID: death, Began: now, Ended: now}, now)
}

// RecordRunDeath is RecordDeath for a run whose length is known. A death changes nothing if
// its run overlapped that of a recorded death.
func (t *Tracker) RecordRunDeath(fingerprint uint64, death Death, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, isNew := t.addDeath(fingerprint, death, 0, now)
	if isNew {
		e.expires = now.Add(t.ttl(e))
	}
	return t.record(fingerprint, death, e, now), isNew
}

// Merge adds a record from another process and reports whether it is new and should be
// passed on. The verdict ends when it ends at the sender. If it started again at each
// receiver, processes that copy records from each other as they are replaced would keep a
// fingerprint refused forever.
func (t *Tracker) Merge(r Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, isNew := t.addDeath(r.Fingerprint, r.death(now), transitTolerance, now)
	if !isNew {
		return false
	}
	remaining := t.ttl(e)
	if r.TTL > 0 && r.DeathCount >= e.count { // the sender's verdict is at least as strict
		remaining = min(remaining, r.TTL)
	}
	e.expires = laterOf(e.expires, now.Add(remaining))
	return true
}

// addDeath adds a death of a fingerprint and reports whether it is new. The caller holds mu.
func (t *Tracker) addDeath(fingerprint uint64, death Death, tolerance time.Duration, now time.Time) (*deathHistory, bool) {
	e := t.unexpired(fingerprint, now)
	if e == nil {
		e = &deathHistory{}
		t.histories.Add(fingerprint, e)
	}
	return e, e.add(death, tolerance)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordCompletion records that the fingerprint ran to its end without a death, either alone
// or where the caller knows of every run of it. It clears a suspect that only ran beside the
// request that crashed the engine. It doesn't lift a quarantine.
func (t *Tracker) RecordCompletion(fingerprint uint64, now time.Time) {
	t.Clear(fingerprint, now)
}

// Clear is RecordCompletion and reports whether the fingerprint was a suspect, so that other
// processes should clear it too.
func (t *Tracker) Clear(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(fingerprint, now)
	if e == nil || e.count == 0 || e.count >= t.options.DeathThreshold {
		return false
	}
	e.clear()
	return true
}

// Verdict returns how a fingerprint may run now.
func (t *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(fingerprint, now)
	switch {
	case e == nil || e.count == 0:
		return Allow
	case e.count >= t.options.DeathThreshold:
		return Refuse
	}
	return RunAlone
}

// DeathCount returns the number of deaths that are recorded for a fingerprint.
func (t *Tracker) DeathCount(fingerprint uint64, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(fingerprint, now)
	if e == nil {
		return 0
	}
	return e.count
}

// Remaining returns the time until a fingerprint's verdict expires; 0 if it has none.
func (t *Tracker) Remaining(fingerprint uint64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(fingerprint, now)
	if e == nil || e.count == 0 {
		return 0
	}
	return e.expires.Sub(now)
}

// Records returns every death of every unexpired fingerprint, for another process that
// starts with an empty Tracker.
func (t *Tracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, fingerprint := range t.histories.Keys() {
		e, ok := t.histories.Peek(fingerprint)
		if !ok || !now.Before(e.expires) {
			continue
		}
		for i := range e.count {
			out = append(out, t.record(fingerprint, e.deaths[i], e, now))
		}
	}
	return out
}

// unexpired returns the death history of a fingerprint, or nil if there is none or it has
// expired. The caller holds mu.
func (t *Tracker) unexpired(fingerprint uint64, now time.Time) *deathHistory {
	e, ok := t.histories.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Before(e.expires) {
		return e
	}
	t.histories.Remove(fingerprint)
	return nil
}

func (t *Tracker) ttl(e *deathHistory) time.Duration {
	if e.count >= t.options.DeathThreshold {
		return t.options.QuarantineTTL
	}
	return t.options.SuspicionTTL
}

func (t *Tracker) record(fingerprint uint64, death Death, e *deathHistory, now time.Time) Record {
	return Record{
		Fingerprint: fingerprint,
		DeathID:     death.ID,
		Ran:         death.Ended.Sub(death.Began),
		Age:         max(now.Sub(death.Ended), 0),
		DeathCount:  e.count,
		Quarantined: e.count >= t.options.DeathThreshold,
		TTL:         e.expires.Sub(now),
	}
}

// clear removes the deaths. Their IDs stay: a report that was sent before the completion may
// arrive after it.
func (h *deathHistory) clear() {
	for _, death := range h.deaths[:h.count] {
		h.cleared = append(h.cleared, death.ID)
	}
	h.cleared = h.cleared[max(len(h.cleared)-maxTrackedDeaths, 0):]
	h.count = 0
}

// add adds a death and reports whether it is new and its run overlapped that of no other.
func (h *deathHistory) add(death Death, tolerance time.Duration) bool {
	if slices.Contains(h.cleared, death.ID) {
		return false
	}
	for _, known := range h.deaths[:h.count] {
		if known.ID == death.ID || known.overlaps(death, tolerance) {
			return false
		}
	}
	if h.count == maxTrackedDeaths {
		return false
	}
	h.deaths[h.count] = death
	h.count++
	return true
}
