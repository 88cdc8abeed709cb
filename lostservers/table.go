package lostservers

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/servernotice"
)

// Table holds the evidence that this entry and others have of lost servers. It is safe for
// concurrent use; mu guards the fields below it and is a leaf lock.
type Table struct {
	self uint64 // incarnation of this entry

	mu          sync.Mutex
	servers     map[uint64]*record          // servers with evidence, by servernotice.Server.Key
	life        map[uint64]boottime.Instant // when something was last received from a server
	lastCall    boottime.Instant
	ignoreUntil boottime.Instant // until then messages may be older than they say, and time limits have passed early
}

// NewTable returns an empty Table of the entry with an incarnation.
func NewTable(incarnation uint64) *Table {
	return &Table{self: incarnation, servers: map[uint64]*record{}, life: map[uint64]boottime.Instant{}}
}

// Observe records evidence that this entry has seen, and reports whether to report it to the others.
// Silence right after this process was stopped is no evidence: time limits passed meanwhile.
func (t *Table) Observe(e Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCallLocked(e.SeenAt)
	if e.SeenAt < t.ignoreUntil && !e.Kind.conclusive() {
		return false
	}
	r := t.recordLocked(e.Server.Key)
	if r == nil {
		return false
	}
	r.put(Source{Entry: t.self}, e)
	r.trialUntil = 0
	reported := r.reportedAt != 0 && e.SeenAt.Sub(r.reportedAt) < reportInterval
	if reported || e.Kind.conclusive() && r.othersReported(t.self, e) || !t.maySendLocked(e, e.SeenAt) {
		return false
	}
	r.reportedAt = e.SeenAt
	return true
}

// Merge records evidence that another entry has seen.
func (t *Table) Merge(source Source, e Evidence, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCallLocked(now)
	if now < t.ignoreUntil || now.Sub(e.SeenAt) >= retention || source.Entry == t.self {
		return
	}
	if r := t.recordLocked(e.Server.Key); r != nil {
		r.put(source, e)
	}
}

// Alive records that this entry received something from a server, or that the server accepted a
// connection.
func (t *Table) Alive(s servernotice.Server, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCallLocked(now)
	if _, known := t.life[s.Key]; known || len(t.life) < maxServers {
		t.life[s.Key] = now
	}
	if r := t.servers[s.Key]; r != nil {
		r.trialUntil = 0
	}
}

// PeerAlive records that another entry received something from a server. It is only needed while
// HasEvidence.
func (t *Table) PeerAlive(server uint64, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCallLocked(now)
	if r := t.servers[server]; r != nil && now >= t.ignoreUntil {
		r.peerLifeAt = now
	}
}

// StartTrial records that this entry is about to send a request to a server. If there is
// evidence against it, other requests stay away until the outcome is known.
func (t *Table) StartTrial(s servernotice.Server, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[s.Key]; r != nil && t.judgeLocked(r, s, now).lost {
		r.trialUntil = now.Add(trialTime)
	}
}

// HasEvidence reports whether there is evidence against any server. Without it Exclude returns nil.
func (t *Table) HasEvidence() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers) > 0
}

// Exclude returns the keys of the servers, among those of one service, that get no request now. It
// never returns all of them. If hasFailed is set, the request has met a failed attempt to connect, and
// isn't used to try whether a server is back.
func (t *Table) Exclude(servers []servernotice.Server, hasFailed bool, now boottime.Instant) map[uint64]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCallLocked(now)
	if len(t.servers) == 0 {
		return nil
	}
	if hasFailed {
		if out := t.excludeLocked(servers, holdAll, now); out != nil {
			return out
		}
	}
	return t.excludeLocked(servers, t.hold, now)
}

// holdTimes returns how long evidence of a kind excludes a server.
type holdTimes func(key uint64, kind Kind) time.Duration

// holdAll excludes servers as long as evidence against them is kept.
func holdAll(uint64, Kind) time.Duration { return retention }

// excludeLocked returns the servers that are lost, where evidence excludes a server for the time that
// hold returns. If most servers are lost, what only one other entry says is set aside.
func (t *Table) excludeLocked(servers []servernotice.Server, hold holdTimes, now boottime.Instant) map[uint64]bool {
	var lost, confirmed map[uint64]bool
	for _, s := range servers {
		r := t.servers[s.Key]
		if r == nil {
			continue
		}
		v := t.judgeLocked(r, s, now)
		if !v.holds(r, hold(s.Key, v.kind), now) {
			continue
		}
		lost = add(lost, s.Key)
		if v.confirmed {
			confirmed = add(confirmed, s.Key)
		}
	}
	if 2*len(lost) > len(servers) {
		lost = confirmed
	}
	if len(lost) >= len(servers) {
		return nil
	}
	return lost
}

func add(set map[uint64]bool, key uint64) map[uint64]bool {
	if set == nil {
		set = map[uint64]bool{}
	}
	set[key] = true
	return set
}

// OwnEvidence returns the evidence that this entry has seen and reported at most maxAge ago and that
// still stands, for the others.
func (t *Table) OwnEvidence(maxAge time.Duration, now boottime.Instant) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Evidence
	for _, r := range t.servers {
		e, ok := t.ownLocked(r, now)
		reported := r.reportedAt != 0 && now.Sub(r.reportedAt) <= maxAge
		if ok && reported && t.maySendLocked(e, now) {
			out = append(out, e)
		}
	}
	return out
}

// Status describes a server that counts as lost.
type Status struct {
	Server  servernotice.Server
	Kind    Kind          // of the newest evidence
	Sources []uint64      // incarnations of the entries that say so, in ascending order
	Age     time.Duration // of the newest evidence
}

// Lost returns which servers count as lost.
func (t *Table) Lost(servers []servernotice.Server, now boottime.Instant) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, s := range servers {
		r := t.servers[s.Key]
		if r == nil {
			continue
		}
		v := t.judgeLocked(r, s, now)
		if !v.lost {
			continue
		}
		sources := r.sources(t.self, s.StartedUnixMs, t.life[s.Key], now)
		out = append(out, Status{Server: s, Kind: v.kind, Sources: sources, Age: now.Sub(v.newest)})
	}
	return out
}

// Sweep drops what is too old to matter. Call it once a second.
func (t *Table) Sweep(now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCallLocked(now)
	for key, r := range t.servers {
		if r.expire(now) {
			delete(t.servers, key)
		}
	}
	for key, at := range t.life {
		if now.Sub(at) >= retention {
			delete(t.life, key)
		}
	}
}

// noteCallLocked notes the time of a call, and whether the process was stopped before it.
func (t *Table) noteCallLocked(now boottime.Instant) {
	if t.lastCall != 0 && now.Sub(t.lastCall) > maxGap {
		t.ignoreUntil = now.Add(settleTime)
	}
	t.lastCall = max(t.lastCall, now)
}

// recordLocked returns the record of a server, or nil if there is no room for it.
func (t *Table) recordLocked(key uint64) *record {
	r := t.servers[key]
	if r == nil && len(t.servers) < maxServers {
		r = &record{byEntry: map[uint64]testimony{}}
		t.servers[key] = r
	}
	return r
}

func (t *Table) judgeLocked(r *record, s servernotice.Server, now boottime.Instant) verdict {
	return r.judge(t.self, s.StartedUnixMs, t.life[s.Key], now)
}

// ownLocked returns the evidence of this entry, unless something was received from the server since.
func (t *Table) ownLocked(r *record, now boottime.Instant) (Evidence, bool) {
	e, ok := r.byEntry[t.self]
	return e.Evidence, ok && r.stands(t.self, t.self, e.Server.StartedUnixMs, t.life[e.Server.Key], now)
}

// maySendLocked reports whether own evidence says something to other entries. Silence doesn't if no
// more servers respond to this entry than are silent: its own links may be cut.
func (t *Table) maySendLocked(e Evidence, now boottime.Instant) bool {
	if e.Kind.conclusive() {
		return true
	}
	silent, responding := 0, 0
	for _, r := range t.servers {
		own, ok := t.ownLocked(r, now)
		if ok && !own.Kind.conclusive() {
			silent++
		}
	}
	for key, at := range t.life {
		if r := t.servers[key]; r != nil {
			if _, lost := t.ownLocked(r, now); lost {
				continue
			}
		}
		if now.Sub(at) < retention {
			responding++
		}
	}
	return responding > silent
}

// hold returns how long evidence excludes a server at this entry.
func (t *Table) hold(key uint64, kind Kind) time.Duration {
	least := silentHoldTime
	if kind.conclusive() {
		least = holdTime
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], t.self)
	share := float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
	return least + time.Duration(share*(maxHoldFactor-1)*float64(least))
}
