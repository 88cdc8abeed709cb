package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/upstream"
)

// Allowance is how much all entries together may send to one server: at most Sends requests
// in each Window.
type Allowance struct {
	Sends  int
	Window time.Duration
}

// Over returns the allowance of a rate in requests per second over a period, and at least one
// request. The window exceeds the period by the time that a send may wait for its connection:
// otherwise a delayed send and a later one could reach the server within the same period.
func Over(perSecond float64, period time.Duration) Allowance {
	if perSecond*period.Seconds() < 1 {
		period = time.Duration(float64(time.Second) / perSecond)
	}
	sends := max(int(math.Floor(perSecond*period.Seconds())), 1)
	return Allowance{Sends: sends, Window: period + upstream.DefaultDialTimeout}
}

// PerSecond returns the allowance of a rate in which no second may have more requests than the
// rate, rounded down.
func PerSecond(rate float64) Allowance {
	return Allowance{Sends: int(math.Floor(rate)), Window: time.Second + upstream.DefaultDialTimeout}
}

// Limiter computes and enforces an entry's share of the allowances of servers. It is safe for
// concurrent use; mu guards all fields below it and is a leaf lock.
type Limiter struct {
	self      string
	startedAt time.Time

	mu      sync.Mutex
	entries entrySet
	listed  bool                      // the complete list of entries was received
	servers map[string]*limitedServer // by instance
}

// limitedServer holds the sends to one server and the entry's share of its allowance.
type limitedServer struct {
	sends     []time.Time // within the allowance's window, oldest first
	share     int
	allowance Allowance // that share was computed from
	version   uint64    // the version of the entries that share was computed from; 0: never computed
}

// NewLimiter returns the Limiter of the entry self, whose process started at startedAt.
func NewLimiter(self string, startedAt time.Time) *Limiter {
	return &Limiter{self: self, startedAt: startedAt, entries: newEntrySet(self), servers: map[string]*limitedServer{}}
}

// SetEntries replaces the list of the other entries' names.
func (l *Limiter) SetEntries(others []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = true
	l.entries.set(append([]string{l.self}, others...), now)
}

// CanSend reports whether this entry may send one more request to a server with an allowance.
// It records nothing.
func (l *Limiter) CanSend(instance string, a Allowance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.canSendLocked(l.serverLocked(instance), instance, a, now)
}

// NextSend returns how long it takes until this entry may send one more request to a server
// with an allowance. ok is false if that depends on other entries.
func (l *Limiter) NextSend(instance string, a Allowance, now time.Time) (after time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverLocked(instance)
	if l.canSendLocked(s, instance, a, now) {
		return 0, true
	}
	if s.share == 0 || len(s.sends) < s.share {
		return 0, false
	}
	return s.sends[len(s.sends)-s.share].Add(a.Window).Sub(now), true
}

// TryAcquire is like CanSend, but records the request as sent now if it is allowed.
func (l *Limiter) TryAcquire(instance string, a Allowance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverLocked(instance)
	if !l.canSendLocked(s, instance, a, now) {
		return false
	}
	s.sends = append(s.sends, now)
	return true
}

// Retain drops all servers for which keep returns false.
func (l *Limiter) Retain(keep func(instance string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for instance := range l.servers {
		if !keep(instance) {
			delete(l.servers, instance)
		}
	}
}

func (l *Limiter) serverLocked(instance string) *limitedServer {
	s := l.servers[instance]
	if s == nil {
		s = &limitedServer{}
		l.servers[instance] = s
	}
	return s
}

func (l *Limiter) canSendLocked(s *limitedServer, instance string, a Allowance, now time.Time) bool {
	if !l.listed || now.Sub(l.startedAt) < a.Window {
		return false
	}
	l.entries.expire(now)
	if s.version != l.entries.version || s.allowance != a {
		s.share = l.shareLocked(instance, a.Sends)
		s.allowance, s.version = a, l.entries.version
	}
	for len(s.sends) > 0 && now.Sub(s.sends[0]) >= a.Window {
		s.sends = s.sends[1:]
	}
	return len(s.sends) < s.share
}

// shareLocked returns this entry's share of an allowance of whole sends.
func (l *Limiter) shareLocked(instance string, allowance int) int {
	n := len(l.entries.delistedAt)
	share, remainder := allowance/n, allowance%n
	own := entryRank(instance, l.self)
	higherRanked := 0
	for name := range l.entries.delistedAt {
		if name != l.self && entryRank(instance, name) < own {
			higherRanked++
		}
	}
	if higherRanked < remainder {
		share++
	}
	return share
}

// entryRank orders the entries for a server; the order differs between servers.
func entryRank(instance, entry string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + entry)
}
