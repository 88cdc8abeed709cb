package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// Zones is what an entry knows of evacuations. It is safe for concurrent use; mu guards
// all fields and is a leaf lock.
type Zones struct {
	now boottime.Clock

	mu        sync.Mutex
	evacuated map[string]bool
	restored  map[string]boottime.Instant // when the end of an evacuation was read
	proved    boottime.Instant
	known     bool
}

// NewZones returns Zones that know of nothing yet.
func NewZones(now boottime.Clock) *Zones {
	return &Zones{now: now, evacuated: map[string]bool{}, restored: map[string]boottime.Instant{}}
}

// Replace takes the complete list of evacuated zones, read by a call begun at asked. It
// returns what began and what ended by it.
func (z *Zones) Replace(zones []string, asked boottime.Instant) (began, ended []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.known = true
	z.proveLocked(asked)
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

// Begin notes that a zone is evacuated, and reports whether that is news.
func (z *Zones) Begin(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.beginLocked(zone)
}

// End notes that a zone was restored, and reports whether that is news.
func (z *Zones) End(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.evacuated[zone] {
		return false
	}
	z.endLocked(zone)
	return true
}

// MarkCurrent notes that a call begun at asked showed what is known to be current.
func (z *Zones) MarkCurrent(asked boottime.Instant) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.proveLocked(asked)
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
}

func (z *Zones) proveLocked(asked boottime.Instant) { z.proved = max(z.proved, asked) }

// Evacuated reports whether a zone is.
func (z *Zones) Evacuated(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.evacuated[zone]
}

// View is what was known at one moment. It is immutable.
type View struct {
	evacuated map[string]bool
	restored  map[string]bool
}

// View returns what is known now. listed is when the list of backend servers was last
// proved current: servers of a zone that was restored later may have become cold
// without its word.
func (z *Zones) View(listed boottime.Instant) View {
	z.mu.Lock()
	defer z.mu.Unlock()
	v := View{}
	if len(z.evacuated) > 0 {
		v.evacuated = maps.Clone(z.evacuated)
	}
	for zone, at := range z.restored {
		if at <= listed {
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

// Evacuated reports whether a zone takes nothing new.
func (v View) Evacuated(zone string) bool { return v.evacuated[zone] }

// RecentlyRestored reports whether a zone was restored a moment ago, so that the coldness of
// its servers may not be known yet.
func (v View) RecentlyRestored(zone string) bool { return v.restored[zone] }

// Zones returns the evacuated zones in order of their names.
func (v View) Zones() []string { return slices.Sorted(maps.Keys(v.evacuated)) }

// Age returns how long ago what is known was last proved current; ok is false before
// the first complete list.
func (z *Zones) Age() (age time.Duration, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.known {
		return 0, false
	}
	return z.now().Sub(z.proved), true
}
