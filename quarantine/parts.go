package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Part identifies a part of prompts, or another property that requests share.
type Part struct {
	Scope Scope
	ID    uint64
}

// Scope is where part IDs are unique: a service and one of its models.
type Scope struct{ Service, Model string }

// MaxScopeNameBytes bounds the names of a Scope.
const MaxScopeNameBytes = 64

// NewScope returns the scope of a service and a model. Callers choose the name of the model, so
// one that is too long or not UTF-8 is replaced by its hash.
func NewScope(service, model string) Scope {
	return Scope{Service: boundName(service), Model: boundName(model)}
}

func boundName(name string) string {
	if len(name) <= MaxScopeNameBytes && utf8.ValidString(name) {
		return strings.Clone(name)
	}
	var digest [8]byte
	hash := xxhash.Sum64String(name)
	for i := range digest {
		digest[i] = "0123456789abcdef"[hash>>(4*i)&0xf]
	}
	return "hash-" + string(digest[:])
}

// Parts returns the distinct parts of a scope.
func (s Scope) Parts(ids []uint64) []Part {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	out := make([]Part, len(ids))
	for i, id := range ids {
		out[i] = Part{Scope: s, ID: id}
	}
	return out
}

// PartDeath is the death of an engine under a request that had not begun to respond.
type PartDeath struct {
	Death
	// Silent means that the connection to the engine didn't break, so that the engine died at
	// an unknown time between Began and Ended.
	Silent bool
	// Server identifies the engine regardless of its start, which entries may know differently;
	// 0: unknown. Then only Death.ID tells whether two reports are about one death.
	Server uint64
	Parts  []Part
}

// sameDeathWindow is the time within which the reports of one death by several entries end. An
// engine that crashed takes longer to be back.
const sameDeathWindow = 500 * time.Millisecond

// PartOptions configures a PartTracker.
type PartOptions struct {
	// HoldThreshold is the number of independent deaths from which requests with a part run
	// one at a time, and RefuseThreshold the number from which they are refused.
	HoldThreshold, RefuseThreshold int
	// Burst is the time within which the deaths of one outage end runs that overlap.
	Burst time.Duration
	// MinRefusal is how long a part is refused before one request may try it again. It doubles
	// with each trial that fails, up to MaxRefusal.
	MinRefusal, MaxRefusal time.Duration
	// TTL is how long a death counts. It exceeds MaxRefusal, so that a part that still
	// crashes engines has enough deaths when it is tried again.
	TTL time.Duration
	// MaxDeaths and MaxParts bound the deaths that are kept, and their parts altogether.
	MaxDeaths, MaxParts int
	// MaxCleared bounds the parts whose last success is kept after their deaths are cleared.
	MaxCleared int
	// TrialDelay, from 0 to 1, is the fraction of trialSpread by which this process begins its
	// trials later than the first of all may, so that not all processes try a part at once.
	TrialDelay float64
}

// DefaultPartOptions keeps 512 deaths and 8,192 parts, which take 2 MB at most.
var DefaultPartOptions = PartOptions{
	HoldThreshold:   3,
	RefuseThreshold: 5,
	Burst:           250 * time.Millisecond,
	MinRefusal:      time.Minute,
	MaxRefusal:      time.Hour,
	TTL:             24 * time.Hour,
	MaxDeaths:       512,
	MaxParts:        8192,
	MaxCleared:      4096,
}

// trackedDeath is a death with the parts that it counts against. A part is removed when a later
// request with it begins to respond.
type trackedDeath struct {
	id     uint64
	server uint64 // PartDeath.Server
	ended  time.Time
	silent bool
	began  map[Part]time.Time // when the last request with the part was sent to the engine
}

// isReportedBy reports whether a report is about this death. The IDs of one death differ if the
// registrations of the engine that the entries hold do.
func (d *trackedDeath) isReportedBy(r PartDeath) bool {
	if d.id == r.ID {
		return true
	}
	if d.server == 0 || d.server != r.Server || d.silent || r.Silent {
		return false
	}
	return d.ended.Sub(r.Ended).Abs() <= sameDeathWindow
}

// PartTracker finds parts of prompts that crash engines. It is safe for concurrent use; mu guards
// its fields.
//
// A part that crashes engines is in a request under each death that it causes, and no request with
// it begins to respond. Other parts of such requests, and of those that the same engine ran,
// are cleared as soon as one request with them begins to respond after the death. The part to
// blame is the one that remains and is in most deaths.
type PartTracker struct {
	options PartOptions

	mu       sync.Mutex
	deaths   []*trackedDeath // in the order of ended
	parts    map[Part]int    // number of deaths that count against a part
	cleared  *simplelru.LRU[Part, time.Time]
	suspects []Suspicion   // parts to blame, the surest first
	running  map[Part]int  // requests of this process that have been admitted and have not begun
	changed  chan struct{} // closed when suspects change or a suspect's request ends or begins
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker(opt PartOptions) *PartTracker {
	cleared, err := simplelru.NewLRU[Part, time.Time](max(1, opt.MaxCleared), nil)
	if err != nil {
		panic(err) // only for a size under one
	}
	return &PartTracker{
		options: opt, parts: map[Part]int{}, cleared: cleared, running: map[Part]int{}, changed: make(chan struct{}),
	}
}

// Record adds a death and reports whether it counts against a part that it didn't count against
// before. Several requests and processes may report one death, each with its own parts.
func (t *PartTracker) Record(d PartDeath, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(d.Ended) > t.options.TTL || len(d.Parts) > t.options.MaxParts {
		return false
	}
	var counted []Part
	known := t.deathLocked(d)
	for _, part := range d.Parts {
		if began, ok := t.cleared.Peek(part); ok && !began.Before(d.Ended) {
			continue
		}
		counted = append(counted, part)
	}
	if len(counted) == 0 {
		return false
	}
	if known == nil {
		known = &trackedDeath{id: d.ID, server: d.Server, ended: d.Ended, silent: d.Silent, began: map[Part]time.Time{}}
		t.insertLocked(known)
	}
	if known.silent && !d.Silent {
		known.ended, known.silent = d.Ended, false
	}
	isNew := false
	for _, part := range counted {
		began, ok := known.began[part]
		if !ok {
			t.parts[part]++
			isNew = true
		}
		known.began[part] = laterOf(began, d.Began)
	}
	if isNew {
		t.evictLocked()
		t.updateLocked(now)
	}
	return isNew
}

// deathLocked returns the death that a report is about, or nil if it isn't known.
func (t *PartTracker) deathLocked(r PartDeath) *trackedDeath {
	i := slices.IndexFunc(t.deaths, func(d *trackedDeath) bool { return d.isReportedBy(r) })
	if i < 0 {
		return nil
	}
	return t.deaths[i]
}

func (t *PartTracker) insertLocked(d *trackedDeath) {
	i, _ := slices.BinarySearchFunc(t.deaths, d, func(a, b *trackedDeath) int { return a.ended.Compare(b.ended) })
	t.deaths = slices.Insert(t.deaths, i, d)
}

// evictLocked drops the oldest deaths over the bounds. Those of a refused part are dropped last:
// otherwise a caller that makes up parts could have it forgotten.
func (t *PartTracker) evictLocked() {
	total := 0
	for _, d := range t.deaths {
		total += len(d.began)
	}
	for len(t.deaths) > 1 && (len(t.deaths) > t.options.MaxDeaths || total > t.options.MaxParts) {
		victim := max(slices.IndexFunc(t.deaths, func(d *trackedDeath) bool { return !t.refusedLocked(d) }), 0)
		total -= len(t.deaths[victim].began)
		t.dropLocked(victim)
	}
}

// refusedLocked reports whether a death counts against a refused part.
func (t *PartTracker) refusedLocked(d *trackedDeath) bool {
	return slices.ContainsFunc(t.suspects, func(s Suspicion) bool {
		_, counts := d.began[s.Parts[0]]
		return s.Refused && counts
	})
}

func (t *PartTracker) dropLocked(i int) {
	for part := range t.deaths[i].began {
		t.discountLocked(part)
	}
	t.deaths = slices.Delete(t.deaths, i, i+1)
}

// discountLocked takes one death off a part.
func (t *PartTracker) discountLocked(part Part) {
	if t.parts[part]--; t.parts[part] <= 0 {
		delete(t.parts, part)
	}
}

// Clear records that a request with parts began to respond, or that an operator ended the
// refusal of the parts. Earlier deaths no longer count against them. It returns the parts that
// deaths had counted against, so that other processes clear them, too.
func (t *PartTracker) Clear(parts []Part, at time.Time) []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Part
	for _, part := range parts {
		if t.parts[part] > 0 && t.clearLocked(part, at) {
			out = append(out, part)
		}
	}
	if len(out) > 0 {
		t.deaths = slices.DeleteFunc(t.deaths, func(d *trackedDeath) bool { return len(d.began) == 0 })
		t.updateLocked(at)
	}
	return out
}

// clearLocked takes the deaths up to at off a part and reports whether there were any.
func (t *PartTracker) clearLocked(part Part, at time.Time) bool {
	found := false
	for _, d := range t.deaths {
		if _, counts := d.began[part]; counts && !d.ended.After(at) {
			delete(d.began, part)
			t.discountLocked(part)
			found = true
		}
	}
	if last, ok := t.cleared.Peek(part); found && (!ok || last.Before(at)) {
		t.cleared.Add(part, at)
	}
	return found
}

// Deaths returns every death with the parts that it counts against, for another process that starts
// without any, the newest last.
func (t *PartTracker) Deaths(now time.Time) []PartDeath {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	var out []PartDeath
	for _, d := range t.deaths {
		// One list for each scope and time at which requests were sent.
		runs := map[partRun][]Part{}
		for part, began := range d.began {
			run := partRun{part.Scope, began}
			runs[run] = append(runs[run], part)
		}
		for run, parts := range runs {
			out = append(out, PartDeath{Death: Death{ID: d.id, Began: run.began, Ended: d.ended}, Silent: d.silent, Server: d.server, Parts: parts})
		}
	}
	return out
}

// partRun groups the parts of a death that are reported together.
type partRun struct {
	scope Scope
	began time.Time
}

// expireLocked drops the deaths that no longer count.
func (t *PartTracker) expireLocked(now time.Time) {
	for len(t.deaths) > 0 && now.Sub(t.deaths[0].ended) > t.options.TTL {
		t.dropLocked(0)
	}
}

// updateLocked computes the suspects again after a change of the deaths.
func (t *PartTracker) updateLocked(now time.Time) {
	t.expireLocked(now)
	t.suspects = blame(t.deaths, t.parts, t.options)
	t.notifyLocked()
}

// notifyLocked wakes the requests that wait until they may run.
func (t *PartTracker) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Suspicions returns the parts that are held or refused now, the surest first.
func (t *PartTracker) Suspicions() []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.suspects)
}
