package warmup

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/upstream"
)

// sendWindow is the time in which an entry sends no more than its part. It is longer
// than the second of the allowance by what a send may wait for its connection: of two
// sends a second apart the first may be held up and meet the second.
const sendWindow = time.Second + upstream.DefaultDialTimeout

// Limiter is an entry's part of the allowances of cold servers. It is safe for
// concurrent use; mu guards all fields below it and is a leaf lock.
type Limiter struct {
	self  string
	begun time.Time

	mu      sync.Mutex
	entries names
	known   bool               // the others were listed
	servers map[string]*server // by instance
}

// server is what the limiter keeps of one cold server.
type server struct {
	sends   []time.Time // in the window, oldest first
	part    int
	rate    float64 // that part was worked out for
	version uint64  // of the names that it was worked out from; 0: never
}

// NewLimiter returns the Limiter of an entry, by its name, whose process began at a time.
func NewLimiter(self string, begun time.Time) *Limiter {
	return &Limiter{self: self, begun: begun, entries: newNames(self), servers: map[string]*server{}}
}

// SetEntries takes the names of all other entries that are listed.
func (l *Limiter) SetEntries(others []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = true
	l.entries.set(append([]string{l.self}, others...), now)
}

// CanSend reports whether this entry may send one more request to a cold server that
// bears so many a second.
func (l *Limiter) CanSend(instance string, perSecond float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowsLocked(l.serverLocked(instance), instance, perSecond, now)
}

// TryAcquire is Allows for a request that is sent now, and notes it.
func (l *Limiter) TryAcquire(instance string, perSecond float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverLocked(instance)
	if !l.allowsLocked(s, instance, perSecond, now) {
		return false
	}
	s.sends = append(s.sends, now)
	return true
}

// Retain drops the servers that keep does not name.
func (l *Limiter) Retain(keep func(instance string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for instance := range l.servers {
		if !keep(instance) {
			delete(l.servers, instance)
		}
	}
}

func (l *Limiter) serverLocked(instance string) *server {
	s := l.servers[instance]
	if s == nil {
		s = &server{}
		l.servers[instance] = s
	}
	return s
}

func (l *Limiter) allowsLocked(s *server, instance string, perSecond float64, now time.Time) bool {
	if !l.known || now.Sub(l.begun) < sendWindow {
		return false
	}
	l.entries.forget(now)
	if s.version != l.entries.version || s.rate != perSecond {
		s.part = l.partLocked(instance, int(math.Floor(perSecond)))
		s.rate, s.version = perSecond, l.entries.version
	}
	for len(s.sends) > 0 && now.Sub(s.sends[0]) >= sendWindow {
		s.sends = s.sends[1:]
	}
	return len(s.sends) < s.part
}

// partLocked is this entry's part of an allowance of whole sends.
func (l *Limiter) partLocked(instance string, allowance int) int {
	n := len(l.entries.gone)
	part, rest := allowance/n, allowance%n
	own := rank(instance, l.self)
	before := 0
	for name := range l.entries.gone {
		if name != l.self && rank(instance, name) < own {
			before++
		}
	}
	if before < rest {
		part++
	}
	return part
}

// rank orders entries for a server, for each server differently.
func rank(instance, entry string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + entry)
}
