package serverlimit

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/allowance"
)

const (
	// TTL is how long a rate applies after it was last observed.
	TTL = 30 * time.Second
	// allowancePeriod is the period in which all entries together send a server at most what
	// its rate allows. A rate is often below one request per second and entry; over a longer
	// period more of the entries have a share.
	allowancePeriod = 4 * time.Second
)

// Allowance returns what all entries together may send to a server that names a rate.
func Allowance(perSecond float64) allowance.Allowance {
	return allowance.Over(perSecond, allowancePeriod)
}

// Observation is what a response of a server showed, as entries exchange it.
type Observation struct {
	Server    uint64        // placement.ServerKey of the instance
	PerSecond float64       // requests/s of all entries together; 0: the server names none any more
	Age       time.Duration // time since the response
}

// observed is the newest observation of one server.
type observed struct {
	perSecond float64
	at        time.Time
	own       bool // observed by this entry
}

// Table holds the newest observation of each server. It is safe for concurrent use; mu guards
// servers and is a leaf lock.
type Table struct {
	mu      sync.Mutex
	servers map[uint64]observed
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{servers: map[uint64]observed{}} }

// Rates maps servers to the rates in requests/s that they name.
type Rates map[uint64]float64

// Rates returns the rates that apply now; it is nil if no server names one, as is usual.
func (t *Table) Rates(now time.Time) Rates {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Rates
	for server, s := range t.servers {
		if s.perSecond == 0 || now.Sub(s.at) >= TTL {
			continue
		}
		if out == nil {
			out = Rates{}
		}
		out[server] = s.perSecond
	}
	return out
}

// Observe records the rate in a response, 0 if it named none, and reports whether the rate
// changed. The end of a rate only counts if the request was sent after the rate was last
// observed: an earlier response may have been on its way.
func (t *Table) Observe(server uint64, perSecond float64, sentAt, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.unexpiredLocked(server, now)
	if perSecond == 0 && (old.perSecond == 0 || !old.at.Before(sentAt)) {
		return false
	}
	t.servers[server] = observed{perSecond: perSecond, at: now, own: true}
	return perSecond != old.perSecond
}

// Merge records an observation of another entry that arrived now, and reports whether it is
// newer than the own one.
func (t *Table) Merge(o Observation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-o.Age)
	old, known := t.servers[o.Server]
	if known && !at.After(old.at) || now.Sub(at) >= TTL {
		return false
	}
	t.servers[o.Server] = observed{perSecond: o.PerSecond, at: at}
	return true
}

// Observations returns the unexpired observations, ends included, for another entry.
func (t *Table) Observations(now time.Time) []Observation {
	return t.observations(now, func(s observed) bool { return now.Sub(s.at) < TTL })
}

// OwnObservations returns this entry's own observations that are not older than maxAge.
func (t *Table) OwnObservations(maxAge time.Duration, now time.Time) []Observation {
	return t.observations(now, func(s observed) bool { return s.own && now.Sub(s.at) <= maxAge })
}

func (t *Table) observations(now time.Time, include func(observed) bool) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Observation
	for server, s := range t.servers {
		if include(s) {
			out = append(out, Observation{Server: server, PerSecond: s.perSecond, Age: now.Sub(s.at)})
		}
	}
	return out
}

// Sweep drops expired observations and those of servers for which keep returns false.
func (t *Table) Sweep(keep func(server uint64) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, s := range t.servers {
		if now.Sub(s.at) >= TTL || !keep(server) {
			delete(t.servers, server)
		}
	}
}

func (t *Table) unexpiredLocked(server uint64, now time.Time) observed {
	s := t.servers[server]
	if now.Sub(s.at) >= TTL {
		return observed{}
	}
	return s
}
