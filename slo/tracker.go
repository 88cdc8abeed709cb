package slo

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/briarturn/briarturn/request"
)

const defaultMaxSeries = 8192

// Key names what a request is counted under.
type Key struct {
	Workspace string        `json:"workspace"`
	Class     request.Class `json:"class"`
	Objective string        `json:"objective"`
}

func (k Key) compare(o Key) int {
	if c := strings.Compare(k.Workspace, o.Workspace); c != 0 {
		return c
	}
	if c := int(k.Class) - int(o.Class); c != 0 {
		return c
	}
	return strings.Compare(k.Objective, o.Objective)
}

// Config configures a Tracker. The zero value is usable.
type Config struct {
	// Windows to keep counts for; those of DefaultAlertRules if empty. Each must be
	// at least a second.
	Windows []time.Duration
	// MaxSeries bounds the keys; 8192 if zero.
	MaxSeries int
}

// Tracker counts requests. It is safe for concurrent use.
type Tracker struct {
	windows   []time.Duration // ascending
	maxSeries int

	mu      sync.Mutex // guards series and refused
	series  map[Key]*series
	refused int64
}

type series struct {
	rings   []ring
	latency *Histogram
	last    time.Time
}

// NewTracker returns an empty tracker.
func NewTracker(c Config) *Tracker {
	windows := slices.Clone(c.Windows)
	if len(windows) == 0 {
		windows = Windows(DefaultAlertRules())
	}
	slices.Sort(windows)
	windows = slices.Compact(windows)
	for i := range windows {
		windows[i] = max(windows[i], minWindow)
	}
	t := &Tracker{windows: windows, maxSeries: c.MaxSeries, series: make(map[Key]*series)}
	if t.maxSeries <= 0 {
		t.maxSeries = defaultMaxSeries
	}
	return t
}

// Record counts one request that ended at now. A negative latency is left out
// of the distribution; a request that failed has none.
func (t *Tracker) Record(k Key, good bool, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(k, now)
	if s == nil {
		t.refused++
		return
	}
	for i := range s.rings {
		s.rings[i].add(good, now)
	}
	if latency >= 0 {
		s.latency.Record(latency)
	}
	if now.After(s.last) {
		s.last = now
	}
}

// find returns the series of a key, or nil where there is no room.
func (t *Tracker) find(k Key, now time.Time) *series {
	if s, ok := t.series[k]; ok {
		return s
	}
	if len(t.series) >= t.maxSeries {
		t.dropIdle(now)
	}
	if len(t.series) >= t.maxSeries {
		return nil
	}
	s := &series{rings: make([]ring, len(t.windows)), latency: NewHistogram(), last: now}
	for i, w := range t.windows {
		s.rings[i].width = widthOf(w)
		s.rings[i].head = epochOf(now, widthOf(w))
	}
	t.series[k] = s
	return s
}

// dropIdle forgets the series that have nothing left in any window.
func (t *Tracker) dropIdle(now time.Time) {
	longest := t.windows[len(t.windows)-1]
	for k, s := range t.series {
		if now.Sub(s.last) > longest+widthOf(longest) {
			delete(t.series, k)
		}
	}
}

// Uncounted returns how many requests were not counted for want of room.
func (t *Tracker) Uncounted() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// Snapshot returns a copy of all counts; source names the process.
func (t *Tracker) Snapshot(source string, now time.Time) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	snap := Snapshot{Sources: []string{source}, At: now}
	for k, s := range t.series {
		snap.Series = append(snap.Series, s.export(k))
	}
	slices.SortFunc(snap.Series, func(a, b Series) int { return a.Key.compare(b.Key) })
	return snap
}

func (s *series) export(k Key) Series {
	out := Series{Key: k, Latency: s.latency.Clone()}
	for i := range s.rings {
		out.Counts = append(out.Counts, s.rings[i].export())
	}
	return out
}

func (r *ring) export() Counts {
	out := Counts{Width: r.width}
	for e := r.head - ringCells; e <= r.head; e++ {
		if e < 0 {
			continue
		}
		if c := r.at(e); *c != (cell{}) {
			out.Cells = append(out.Cells, Cell{Epoch: e, Good: uint64(c.good), Bad: uint64(c.bad)})
		}
	}
	return out
}
