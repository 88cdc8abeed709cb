package warmup

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/upstream"
)

// sendWindow is the period in which an entry sends at most its share. It exceeds the second of
// the allowance by the time that a send may wait for its connection: otherwise a delayed send
// and a later one could reach the server within the same second.
const sendWindow = time.Second + upstream.DefaultDialTimeout

// Limiter computes and enforces an entry's share of the allowances of cold servers. It is safe
// for concurrent use; mu guards all fields below it and is a leaf lock.
type Limiter struct {
	self      string
	startedAt time.Time

	mu      sync.Mutex
	entries entrySet
	listed  bool                   // the complete list of entries was received
	servers map[string]*coldServer // by instance
}

// coldServer holds the sends to one cold server and the entry's share of its allowance.
type coldServer struct {
	sends   []time.Time // within sendWindow, oldest first
	share   int
	rate    float64 // the allowance that share was computed from, requests/s
	version uint64  // the version of the entries that share was computed from; 0: never computed
}

// NewLimiter returns the Limiter of the entry self, whose process started at startedAt.
func NewLimiter(self string, startedAt time.Time) *Limiter {
	return &Limiter{self: self, startedAt: startedAt, entries: newEntrySet(self), servers: map[string]*coldServer{}}
}

// SetEntries replaces the list of the other entries' names.
func (l *Limiter) SetEntries(others []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = true
	l.entries.set(append([]string{l.self}, others...), now)
}

// CanSend reports whether this entry may send one more request to a cold server that can
// take perSecond requests per second. It records nothing.
func (l *Limiter) CanSend(instance string, perSecond float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.canSendLocked(l.serverLocked(instance), instance, perSecond, now)
}

// TryAcquire is like CanSend, but records the request as sent now if it is allowed.
func (l *Limiter) TryAcquire(instance string, perSecond float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverLocked(instance)
	if !l.canSendLocked(s, instance, perSecond, now) {
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

func (l *Limiter) serverLocked(instance string) *coldServer {
	s := l.servers[instance]
	if s == nil {
		s = &coldServer{}
		l.servers[instance] = s
	}
	return s
}

func (l *Limiter) canSendLocked(s *coldServer, instance string, perSecond float64, now time.Time) bool {
	if !l.listed || now.Sub(l.startedAt) < sendWindow {
		return false
	}
	l.entries.expire(now)
	if s.version != l.entries.version || s.rate != perSecond {
		s.share = l.shareLocked(instance, int(math.Floor(perSecond)))
		s.rate, s.version = perSecond, l.entries.version
	}
	for len(s.sends) > 0 && now.Sub(s.sends[0]) >= sendWindow {
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
