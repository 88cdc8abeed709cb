package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/placement"
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
	byKey   map[uint64]*limitedServer // by placement.ServerKey
	contact contacts
}

// contacts are the entries whose sends this entry receives.
type contacts struct {
	names   map[string]bool
	at      time.Time // when they were last determined
	version uint64    // incremented when names change
}

// contactTTL is the age up to which contacts count. A process that was suspended for longer has
// not received the sends of that time, and begins with its own share.
const contactTTL = time.Second

// limitedServer holds the sends to one server and what this entry may use of its allowance.
type limitedServer struct {
	own    []time.Time // sends of this entry within the allowance's window, oldest first
	others []time.Time // those of the other entries, by the time at which they became known
	share  int         // of this entry
	pooled int         // the shares of this entry and of all contacts
	basis  shareBasis  // that share and pooled were computed from
}

// shareBasis is what shares are computed from. The zero value means never.
type shareBasis struct {
	allowance      Allowance
	entries, peers uint64 // versions
}

// NewLimiter returns the Limiter of the entry self, whose process started at startedAt.
func NewLimiter(self string, startedAt time.Time) *Limiter {
	return &Limiter{self: self, startedAt: startedAt, entries: newEntrySet(self), servers: map[string]*limitedServer{}, byKey: map[uint64]*limitedServer{}}
}

// SetContacts sets the names of the entries from which this entry has received messages lately, so
// that it knows what they send. Call it at least every contactTTL.
func (l *Limiter) SetContacts(names []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.at = now
	current := make(map[string]bool, len(names))
	for _, name := range names {
		current[name] = true
	}
	if !maps.Equal(current, l.contact.names) {
		l.contact.names = current
		l.contact.version++
	}
}

// RecordSend records that another entry sends a request to a server now.
func (l *Limiter) RecordSend(server uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byKey[server]; s != nil {
		s.others = append(s.others, now)
	}
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
	sends, most := s.own, s.share
	if l.knowsSendsLocked(now) {
		sends, most = slices.SortedFunc(slices.Values(slices.Concat(s.own, s.others)), time.Time.Compare), s.pooled
	}
	if most == 0 || len(sends) < most {
		return 0, false
	}
	return sends[len(sends)-most].Add(a.Window).Sub(now), true
}

// TryAcquire is like CanSend, but records the request as sent now if it is allowed.
func (l *Limiter) TryAcquire(instance string, a Allowance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverLocked(instance)
	if !l.canSendLocked(s, instance, a, now) {
		return false
	}
	s.own = append(s.own, now)
	return true
}

// Retain drops all servers for which keep returns false.
func (l *Limiter) Retain(keep func(instance string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for instance := range l.servers {
		if !keep(instance) {
			delete(l.servers, instance)
			delete(l.byKey, placement.ServerKey(instance))
		}
	}
}

func (l *Limiter) serverLocked(instance string) *limitedServer {
	s := l.servers[instance]
	if s == nil {
		s = &limitedServer{}
		l.servers[instance] = s
		l.byKey[placement.ServerKey(instance)] = s
	}
	return s
}

func (l *Limiter) canSendLocked(s *limitedServer, instance string, a Allowance, now time.Time) bool {
	if !l.listed || now.Sub(l.startedAt) < a.Window {
		return false
	}
	l.entries.expire(now)
	if basis := (shareBasis{a, l.entries.version, l.contact.version}); s.basis != basis {
		s.basis = basis
		s.share, s.pooled = l.sharesLocked(instance, a.Sends)
	}
	s.own, s.others = within(s.own, a.Window, now), within(s.others, a.Window, now)
	if l.knowsSendsLocked(now) {
		return len(s.own)+len(s.others) < s.pooled
	}
	return len(s.own) < s.share
}

// within drops the times that are older than a window.
func within(times []time.Time, window time.Duration, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= window {
		times = times[1:]
	}
	return times
}

// knowsSendsLocked reports whether this entry receives what its contacts send.
func (l *Limiter) knowsSendsLocked(now time.Time) bool {
	return !l.contact.at.IsZero() && now.Sub(l.contact.at) <= contactTTL
}

// sharesLocked returns this entry's share of an allowance of whole sends, and the sum of its share
// and those of its contacts.
func (l *Limiter) sharesLocked(instance string, allowance int) (own, pooled int) {
	n := len(l.entries.delistedAt)
	share, remainder := allowance/n, allowance%n
	names := slices.SortedFunc(maps.Keys(l.entries.delistedAt), func(a, b string) int {
		return cmp.Or(cmp.Compare(entryRank(instance, a), entryRank(instance, b)), cmp.Compare(a, b))
	})
	for rank, name := range names {
		whole := share
		if rank < remainder {
			whole++
		}
		if name == l.self {
			own = whole
		}
		if name == l.self || l.contact.names[name] {
			pooled += whole
		}
	}
	return own, pooled
}

// entryRank orders the entries for a server; the order differs between servers.
func entryRank(instance, entry string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + entry)
}
