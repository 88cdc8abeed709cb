package servernotice

import (
	"maps"
	"sync"
	"time"

	"github.com/briarturn/briarturn/placement"
)

// retention is how long the notice of a server is kept after its registration has ended. A
// registration can expire while its server still shuts down, and come back.
const retention = time.Minute

// Server identifies one start of a backend server.
type Server struct {
	Key           uint64 // placement.ServerKey of the instance
	StartedUnixMs int64  // start time, Unix ms; 0: unknown
}

// ServerOf returns the start of a backend server that its registration describes.
func ServerOf(instance string, startedUnixMs int64) Server {
	return Server{Key: placement.ServerKey(instance), StartedUnixMs: startedUnixMs}
}

// record holds the notices of one server.
type record struct {
	startedUnixMs  int64
	draining       bool
	drainObserved  time.Time // when this entry saw the notice in a response; zero: another entry did
	backOffUntil   time.Time
	lastRegistered time.Time
}

// appliesTo reports whether a record is of this start of the server. An unknown start time
// counts as the same start.
func (r record) appliesTo(s Server) bool {
	return r.startedUnixMs == 0 || s.StartedUnixMs <= r.startedUnixMs
}

// Table holds the notices of servers. It is safe for concurrent use; mu guards servers and is
// a leaf lock.
type Table struct {
	mu      sync.Mutex
	servers map[uint64]record
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{servers: map[uint64]record{}} }

// SetDraining records that a response to this entry announced that a server drains, and reports
// whether this is new.
func (t *Table) SetDraining(s Server, now time.Time) bool {
	return t.setDraining(s, now, now)
}

// MergeDraining records that another entry has seen such a response.
func (t *Table) MergeDraining(s Server, now time.Time) { t.setDraining(s, time.Time{}, now) }

// setDraining marks a server as draining unless it is marked already.
func (t *Table) setDraining(s Server, observed, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.recordLocked(s, now)
	if !ok || r.draining {
		return false
	}
	r.draining, r.drainObserved = true, observed
	t.servers[s.Key] = r
	return true
}

// DrainingServers returns the servers that drain, for another entry.
func (t *Table) DrainingServers() []Server {
	return t.drainingServers(func(record) bool { return true })
}

// ObservedDrains returns the servers whose notice this entry saw itself, at most maxAge ago.
func (t *Table) ObservedDrains(maxAge time.Duration, now time.Time) []Server {
	return t.drainingServers(func(r record) bool { return !r.drainObserved.IsZero() && now.Sub(r.drainObserved) <= maxAge })
}

func (t *Table) drainingServers(include func(record) bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Server
	for key, r := range t.servers {
		if r.draining && include(r) {
			out = append(out, Server{Key: key, StartedUnixMs: r.startedUnixMs})
		}
	}
	return out
}

// BackOff records that a server wants no requests until a time, and reports whether this is
// later than what it wanted before. An earlier time doesn't replace a later one.
func (t *Table) BackOff(s Server, until, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.recordLocked(s, now)
	if !ok || !until.After(r.backOffUntil) {
		return false
	}
	r.backOffUntil = until
	t.servers[s.Key] = r
	return true
}

// View holds the notices at one moment. It is nil if there are none, as is usual.
type View map[uint64]record

// View returns the notices that apply now.
func (t *Table) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.servers) == 0 {
		return nil
	}
	return maps.Clone(View(t.servers))
}

// Draining reports whether a server has announced that it drains.
func (v View) Draining(s Server) bool {
	r, ok := v[s.Key]
	return ok && r.appliesTo(s) && r.draining
}

// Excluded reports whether a server takes no requests from this entry now.
func (v View) Excluded(s Server, now time.Time) bool {
	return v.Draining(s) || v.BackOffLeft(s, now) > 0
}

// BackOffLeft returns for how long a server wants no requests; 0 if it takes some now.
func (v View) BackOffLeft(s Server, now time.Time) time.Duration {
	r, ok := v[s.Key]
	if !ok || !r.appliesTo(s) {
		return 0
	}
	return max(r.backOffUntil.Sub(now), 0)
}

// Sweep drops the notices of servers that have not been registered for some time, and those
// that have ended.
func (t *Table) Sweep(registered func(key uint64) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.servers {
		if registered(key) {
			r.lastRegistered = now
			t.servers[key] = r
		}
		gone := now.Sub(r.lastRegistered) >= retention
		if !r.backOffUntil.After(now) && (gone || !r.draining) {
			delete(t.servers, key)
		}
	}
}

// recordLocked returns the record to update for a server: an empty one if there is none of
// this start. ok is false if a later start has announced something: the notice is of a process that
// has ended.
func (t *Table) recordLocked(s Server, now time.Time) (r record, ok bool) {
	r, known := t.servers[s.Key]
	if !known || !r.appliesTo(s) {
		return record{startedUnixMs: s.StartedUnixMs, lastRegistered: now}, true
	}
	if s.StartedUnixMs != 0 && s.StartedUnixMs < r.startedUnixMs {
		return record{}, false
	}
	r.startedUnixMs = max(r.startedUnixMs, s.StartedUnixMs)
	return r, true
}
