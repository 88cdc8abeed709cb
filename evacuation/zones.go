package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// Zones holds an entry's view of the evacuated zones. It is safe for concurrent use; mu guards
// all fields below it and is a leaf lock.
type Zones struct {
	now boottime.Clock

	mu          sync.Mutex
	evacuated   map[string]bool
	restored    map[string]boottime.Instant // when the end of an evacuation was read, by zone
	ended       map[string]boottime.Instant // the same, kept for good: there are few zones
	currentAsOf boottime.Instant
	listed      bool // a complete list was received
}

// endRetention is how long the end of an evacuation outweighs an older list: longer than the store's
// older copies go back.
const endRetention = time.Minute

// NewZones returns Zones without any list yet.
func NewZones(now boottime.Clock) *Zones {
	return &Zones{now: now, evacuated: map[string]bool{}, restored: map[string]boottime.Instant{}, ended: map[string]boottime.Instant{}}
}

// Replace sets the complete list of evacuated zones, from a store call that started at
// requestedAt. It returns the zones whose evacuation began and those whose evacuation ended.
func (z *Zones) Replace(zones []string, requestedAt boottime.Instant) (began, ended []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.listed = true
	z.markCurrentLocked(requestedAt)
	for _, zone := range zones {
		if z.beginLocked(zone) {
			began = append(began, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(z.evacuated)) {
		if !slices.Contains(zones, zone) {
			z.endLocked(zone)
			ended = append(ended, zone)
		}
	}
	return began, ended
}

// Merge adds the zones of a list that may be older than what is known, from a store that came back from
// an older copy: a zone whose evacuation has ended of late stays restored, and one that isn't listed
// stays evacuated. It returns the zones whose evacuation began.
func (z *Zones) Merge(zones []string) (began []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.listed = true
	for _, zone := range zones {
		ended, ok := z.ended[zone]
		if ok && z.now().Sub(ended) < endRetention {
			continue
		}
		if z.beginLocked(zone) {
			began = append(began, zone)
		}
	}
	return began
}

// Begin marks a zone as evacuated and reports whether that is a change.
func (z *Zones) Begin(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.beginLocked(zone)
}

// End marks a zone as restored and reports whether that is a change.
func (z *Zones) End(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.evacuated[zone] {
		return false
	}
	z.endLocked(zone)
	return true
}

// MarkCurrent records that a store call that started at requestedAt confirmed the known state.
func (z *Zones) MarkCurrent(requestedAt boottime.Instant) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.markCurrentLocked(requestedAt)
}

func (z *Zones) beginLocked(zone string) bool {
	if z.evacuated[zone] {
		return false
	}
	z.evacuated[zone] = true
	delete(z.restored, zone)
	return true
}

func (z *Zones) endLocked(zone string) {
	delete(z.evacuated, zone)
	z.restored[zone] = z.now()
	z.ended[zone] = z.now()
}

func (z *Zones) markCurrentLocked(requestedAt boottime.Instant) {
	z.currentAsOf = max(z.currentAsOf, requestedAt)
}

// Evacuated reports whether a zone is evacuated.
func (z *Zones) Evacuated(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.evacuated[zone]
}

// View is an immutable copy of the state at one moment.
type View struct {
	evacuated map[string]bool
	restored  map[string]bool
}

// View returns the current state. Servers of a zone that was restored after serversCurrentAsOf,
// the time as of which the list of backend servers was last confirmed, may have become cold
// without the entry having read it. Zones restored earlier are dropped from the record.
func (z *Zones) View(serversCurrentAsOf boottime.Instant) View {
	z.mu.Lock()
	defer z.mu.Unlock()
	v := View{}
	if len(z.evacuated) > 0 {
		v.evacuated = maps.Clone(z.evacuated)
	}
	for zone, at := range z.restored {
		if at <= serversCurrentAsOf {
			delete(z.restored, zone)
			continue
		}
		if v.restored == nil {
			v.restored = map[string]bool{}
		}
		v.restored[zone] = true
	}
	return v
}

// Evacuated reports whether a zone takes no new requests.
func (v View) Evacuated(zone string) bool { return v.evacuated[zone] }

// RecentlyRestored reports whether a zone was restored so recently that the entry may not have
// read yet which of its servers are cold.
func (v View) RecentlyRestored(zone string) bool { return v.restored[zone] }

// Zones returns the evacuated zones, sorted by name.
func (v View) Zones() []string { return slices.Sorted(maps.Keys(v.evacuated)) }

// Age returns the time since the state was last confirmed to be current; ok is false before the
// first complete list.
func (z *Zones) Age() (age time.Duration, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.listed {
		return 0, false
	}
	return z.now().Sub(z.currentAsOf), true
}
