package upstream

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// Server is one backend server as its registration shows it.
type Server struct {
	Instance      string // names the server; one that starts again may keep it
	StartedUnixMs int64  // tells its lives apart: when it started, Unix ms; 0: not known
	Service       string
	Address       string // IP:PORT
	Zone          string
	Region        string // of the zone; empty: not known
	Capacity      int    // requests that it runs at a time
	Draining      bool   // takes no new work
	// ColdUntil is when a freshly started server runs at its full speed.
	ColdUntil time.Time
	Revision  uint64 // of its registration; rises with each change
}

// DefaultAbsentGrace is how long a server that is missing after an outage of the
// store stays in use. Registrations lapse while the store is away; servers that
// live are registered again within about two seconds of its return.
const DefaultAbsentGrace = 2 * time.Second

// Directory holds the registered backend servers. It is safe for concurrent use;
// mu guards all fields and is a leaf lock.
type Directory struct {
	grace time.Duration

	mu       sync.Mutex
	servers  map[string]Server // by instance
	absent   map[string]time.Time
	outage   bool
	returned time.Time
	version  uint64
	proved   boottime.Instant
}

// NewDirectory returns an empty Directory; grace is how long servers that are
// missing after an outage stay in use.
func NewDirectory(grace time.Duration) *Directory {
	return &Directory{grace: grace, servers: map[string]Server{}, absent: map[string]time.Time{}}
}

// MarkStoreUnavailable notes that the store is out of reach: from now on a missing registration
// may have lapsed though its server lives.
func (d *Directory) MarkStoreUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = true
}

// Replace takes the complete list of registered servers.
func (d *Directory) Replace(servers []Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returnLocked(now)
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.Instance] = true
		d.putLocked(s)
	}
	for instance := range d.servers {
		if !listed[instance] {
			d.removeLocked(instance, now)
		}
	}
	d.sweepLocked(now)
}

// Put takes one new or changed registration.
func (d *Directory) Put(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putLocked(s)
}

// IsRestart reports whether a registration is of a later life of a server than the
// one held: it knows nothing of what was sent to it before.
func (d *Directory) IsRestart(s Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, ok := d.servers[s.Instance]
	return ok && s.StartedUnixMs > held.StartedUnixMs && held.StartedUnixMs != 0
}

// Remove takes the end of a registration.
func (d *Directory) Remove(instance string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLocked(instance, now)
}

// MarkStoreAvailable notes that the store answered.
func (d *Directory) MarkStoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returnLocked(now)
}

func (d *Directory) returnLocked(now time.Time) {
	if d.outage {
		d.outage = false
		d.returned = now
	}
}

// putLocked takes a registration. How long a server stays cold counts from when its
// registration was first read: read again, from another peer or after a gap, the same
// word would make it cold anew.
func (d *Directory) putLocked(s Server) {
	if held, ok := d.servers[s.Instance]; ok && s.Revision != 0 && held.Revision == s.Revision {
		s.ColdUntil = held.ColdUntil
	}
	d.servers[s.Instance] = s
	delete(d.absent, s.Instance)
	d.version++
}

// removeLocked drops a server, or after an outage gives it time to come back:
// without that, a store that returns with an empty list would leave no server
// though all of them live.
func (d *Directory) removeLocked(instance string, now time.Time) {
	if now.Sub(d.returned) < d.grace && !d.returned.IsZero() {
		if _, waiting := d.absent[instance]; !waiting {
			d.absent[instance] = d.returned.Add(d.grace)
		}
		return
	}
	delete(d.servers, instance)
	delete(d.absent, instance)
	d.version++
}

func (d *Directory) sweepLocked(now time.Time) {
	for instance, until := range d.absent {
		if now.Before(until) {
			continue
		}
		delete(d.servers, instance)
		delete(d.absent, instance)
		d.version++
	}
}

// MarkCurrent notes that a call begun at asked showed the content to be current.
func (d *Directory) MarkCurrent(asked boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proved = max(d.proved, asked)
}

// CurrentAsOf returns when the content was last proved current.
func (d *Directory) CurrentAsOf() boottime.Instant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.proved
}

// Version changes whenever the content does.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// AvailableServers returns the servers of a service that take new work, in no order. A server
// whose time to come back has passed is gone from then on, whether or not the store
// answers at that moment: waiting for its next word would send new work to a server
// that left long ago.
func (d *Directory) AvailableServers(service string, now time.Time) []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweepLocked(now)
	var out []Server
	for _, s := range d.servers {
		if s.Service == service && !s.Draining {
			out = append(out, s)
		}
	}
	return out
}

// All returns all servers, in no order.
func (d *Directory) All() []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, s)
	}
	return out
}
