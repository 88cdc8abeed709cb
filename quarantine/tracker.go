// Package quarantine finds the request that kills. When an engine dies,
// everything it ran is suspect: one of them may crash every engine it meets, and
// its caller will send it again. A suspect runs next alone, so that a second
// death convicts it and takes nobody with it; two deaths quarantine its
// fingerprint. A suspect that ends alone without a death is cleared.
//
// Rules kept here: the table is bounded and forgets; a death counts once however
// often and through whomever it is heard; a fingerprint that runs to its end is
// cleared by its own entry and stays convicted elsewhere only until expiry.
package quarantine

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Verdict is how a fingerprint may run.
type Verdict uint8

// Verdicts.
const (
	Allow    Verdict = iota // as any other
	RunAlone                // only on an engine that runs nothing else
	Refuse                  // not at all
)

// Options bounds a Tracker.
type Options struct {
	MaxFingerprints int           // fingerprints kept
	SuspicionTTL    time.Duration // how long one death is remembered
	QuarantineTTL   time.Duration // how long a quarantine lasts
	DeathThreshold  int           // deaths that quarantine, 1 to 4
}

// DefaultOptions keeps some 10,000 fingerprints, 1 MB at most.
var DefaultOptions = Options{
	MaxFingerprints: 10_000,
	SuspicionTTL:    10 * time.Minute,
	QuarantineTTL:   time.Hour,
	DeathThreshold:  2,
}

// maxDeaths is how many distinct deaths are kept a fingerprint; more than
// enough to convict.
const maxDeaths = 4

// Record is what is known of one fingerprint, as it is passed between entries.
type Record struct {
	Fingerprint uint64
	DeathID     uint64 // identifies one engine death: xxhash of server and boot
	DeathCount  int
	Quarantined bool
	TTL         time.Duration // what is left of the verdict; 0: not known
}

type entry struct {
	deaths  [maxDeaths]uint64
	count   int
	expires time.Time
}

// Tracker is one process's knowledge of suspects. mu guards seen.
type Tracker struct {
	mu   sync.Mutex
	opt  Options
	seen *simplelru.LRU[uint64, *entry]
}

// NewTracker returns an empty Tracker.
func NewTracker(opt Options) *Tracker {
	lru, err := simplelru.NewLRU[uint64, *entry](max(1, opt.MaxFingerprints), nil)
	if err != nil {
		panic(err) // only for a size under one
	}
	// No more than maxDeaths are told apart: a greater number would never
	// convict.
	opt.DeathThreshold = min(max(1, opt.DeathThreshold), maxDeaths)
	return &Tracker{opt: opt, seen: lru}
}

// RecordDeath records that the fingerprint was running when an engine died. death
// identifies that death; one that was already known changes nothing. It returns
// the record to pass on and whether it is news.
func (b *Tracker) RecordDeath(fingerprint, death uint64, now time.Time) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, news := b.add(fingerprint, death, now)
	if news {
		e.expires = now.Add(b.lifetime(e))
	}
	return b.record(fingerprint, death, e, now), news
}

// Merge takes a record heard from another process and reports whether it is
// news that should be passed on. A verdict that is heard late ends when it ends
// at its giver: else processes that learn of it from each other as they are
// replaced would keep a fingerprint refused for ever.
func (b *Tracker) Merge(r Record, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, news := b.add(r.Fingerprint, r.DeathID, now)
	if !news {
		return false
	}
	left := b.lifetime(e)
	if r.TTL > 0 && r.DeathCount >= e.count { // the giver's verdict is no milder
		left = min(left, r.TTL)
	}
	e.expires = latest(e.expires, now.Add(left))
	return true
}

// add notes a death of a fingerprint and reports whether it was new. Holds mu.
func (b *Tracker) add(fingerprint, death uint64, now time.Time) (*entry, bool) {
	e := b.live(fingerprint, now)
	if e == nil {
		e = &entry{}
		b.seen.Add(fingerprint, e)
	}
	return e, e.add(death)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordCompletion records that the fingerprint ran to its end without a death: alone, or where
// every run of it is known to the caller. It was an innocent neighbour of the one that
// killed. A quarantine isn't lifted by it.
func (b *Tracker) RecordCompletion(fingerprint uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.live(fingerprint, now)
	if e == nil || e.count >= b.opt.DeathThreshold {
		return
	}
	b.seen.Remove(fingerprint)
}

// Verdict returns how a fingerprint may run at present.
func (b *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.live(fingerprint, now)
	switch {
	case e == nil:
		return Allow
	case e.count >= b.opt.DeathThreshold:
		return Refuse
	}
	return RunAlone
}

// Remaining returns how long a fingerprint's present verdict lasts at most.
func (b *Tracker) Remaining(fingerprint uint64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.live(fingerprint, now)
	if e == nil {
		return 0
	}
	return e.expires.Sub(now)
}

// Records returns every death of every live fingerprint, for another process
// that starts with an empty memory.
func (b *Tracker) Records(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Record
	for _, fingerprint := range b.seen.Keys() {
		e, ok := b.seen.Peek(fingerprint)
		if !ok || !now.Before(e.expires) {
			continue
		}
		for i := range e.count {
			out = append(out, b.record(fingerprint, e.deaths[i], e, now))
		}
	}
	return out
}

// live returns the entry of a fingerprint unless it has expired. Holds mu.
func (b *Tracker) live(fingerprint uint64, now time.Time) *entry {
	e, ok := b.seen.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Before(e.expires) {
		return e
	}
	b.seen.Remove(fingerprint)
	return nil
}

func (b *Tracker) lifetime(e *entry) time.Duration {
	if e.count >= b.opt.DeathThreshold {
		return b.opt.QuarantineTTL
	}
	return b.opt.SuspicionTTL
}

func (b *Tracker) record(fingerprint, death uint64, e *entry, now time.Time) Record {
	return Record{
		Fingerprint: fingerprint,
		DeathID:     death,
		DeathCount:  e.count,
		Quarantined: e.count >= b.opt.DeathThreshold,
		TTL:         e.expires.Sub(now),
	}
}

// add notes a death and reports whether it was new.
func (e *entry) add(death uint64) bool {
	for i := range e.count {
		if e.deaths[i] == death {
			return false
		}
	}
	if e.count == maxDeaths {
		return false
	}
	e.deaths[e.count] = death
	e.count++
	return true
}
