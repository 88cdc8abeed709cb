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

	mu       sync.Mutex
	emptied  map[string]bool
	returned map[string]boottime.Instant // when the end of an evacuation was read
	proved   boottime.Instant
	known    bool
}

// NewZones returns Zones that know of nothing yet.
func NewZones(now boottime.Clock) *Zones {
	return &Zones{now: now, emptied: map[string]bool{}, returned: map[string]boottime.Instant{}}
}

// Replace takes the complete list of emptied zones, read by a call begun at asked. It
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
	for _, zone := range slices.Sorted(maps.Keys(z.emptied)) {
		if !slices.Contains(zones, zone) {
			z.endLocked(zone)
			ended = append(ended, zone)
		}
	}
	return began, ended
}

// Begin notes that a zone is emptied, and reports whether that is news.
func (z *Zones) Begin(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.beginLocked(zone)
}

// End notes that a zone was given back, and reports whether that is news.
func (z *Zones) End(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.emptied[zone] {
		return false
	}
	z.endLocked(zone)
	return true
}

// Prove notes that a call begun at asked showed what is known to be current.
func (z *Zones) Prove(asked boottime.Instant) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.proveLocked(asked)
}

func (z *Zones) beginLocked(zone string) bool {
	if z.emptied[zone] {
		return false
	}
	z.emptied[zone] = true
	delete(z.returned, zone)
	return true
}

func (z *Zones) endLocked(zone string) {
	delete(z.emptied, zone)
	z.returned[zone] = z.now()
}

func (z *Zones) proveLocked(asked boottime.Instant) { z.proved = max(z.proved, asked) }

// Emptied reports whether a zone is.
func (z *Zones) Emptied(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.emptied[zone]
}

// View is what was known at one moment. It is immutable.
type View struct {
	emptied  map[string]bool
	returned map[string]bool
}

// View returns what is known now. listed is when the list of backend servers was last
// proved current: servers of a zone that was given back later may have become cold
// without its word.
func (z *Zones) View(listed boottime.Instant) View {
	z.mu.Lock()
	defer z.mu.Unlock()
	v := View{}
	if len(z.emptied) > 0 {
		v.emptied = maps.Clone(z.emptied)
	}
	for zone, at := range z.returned {
		if at <= listed {
			delete(z.returned, zone)
			continue
		}
		if v.returned == nil {
			v.returned = map[string]bool{}
		}
		v.returned[zone] = true
	}
	return v
}

// Emptied reports whether a zone takes nothing new.
func (v View) Emptied(zone string) bool { return v.emptied[zone] }

// Returned reports whether a zone was given back a moment ago, so that the coldness of
// its servers may not be known yet.
func (v View) Returned(zone string) bool { return v.returned[zone] }

// Zones returns the emptied zones in order of their names.
func (v View) Zones() []string { return slices.Sorted(maps.Keys(v.emptied)) }

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
