package slo

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/briarturn/briarturn/request"
)

const defaultMaxSeries = 8192

// Key identifies a series of counts.
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
	// Windows are the windows to keep counts for; those of DefaultAlertRules if empty. Windows
	// shorter than a second are extended to a second.
	Windows []time.Duration
	// MaxSeries is the maximum number of keys; 8192 if zero.
	MaxSeries int
}

// Tracker counts requests per key. It is safe for concurrent use.
type Tracker struct {
	windows   []time.Duration // ascending
	maxSeries int

	mu        sync.Mutex // guards series and uncounted
	series    map[Key]*series
	uncounted int64
}

type series struct {
	rings        []ring
	latency      *Histogram
	lastRecorded time.Time
}

// NewTracker returns an empty Tracker.
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

// Record counts one request that ended at now. A negative latency is excluded from the
// distribution, as for a request that failed.
func (t *Tracker) Record(k Key, good bool, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.findOrCreate(k, now)
	if s == nil {
		t.uncounted++
		return
	}
	for i := range s.rings {
		s.rings[i].add(good, now)
	}
	if latency >= 0 {
		s.latency.Record(latency)
	}
	if now.After(s.lastRecorded) {
		s.lastRecorded = now
	}
}

// findOrCreate returns the series of a key, or nil if MaxSeries is reached.
func (t *Tracker) findOrCreate(k Key, now time.Time) *series {
	if s, ok := t.series[k]; ok {
		return s
	}
	if len(t.series) >= t.maxSeries {
		t.dropIdle(now)
	}
	if len(t.series) >= t.maxSeries {
		return nil
	}
	s := &series{rings: make([]ring, len(t.windows)), latency: NewHistogram(), lastRecorded: now}
	for i, w := range t.windows {
		s.rings[i].width = cellWidth(w)
		s.rings[i].newest = epochOf(now, cellWidth(w))
	}
	t.series[k] = s
	return s
}

// dropIdle removes the series without requests in any window.
func (t *Tracker) dropIdle(now time.Time) {
	longest := t.windows[len(t.windows)-1]
	for k, s := range t.series {
		if now.Sub(s.lastRecorded) > longest+cellWidth(longest) {
			delete(t.series, k)
		}
	}
}

// Uncounted returns the number of requests that were not counted because MaxSeries was
// reached.
func (t *Tracker) Uncounted() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.uncounted
}

// Snapshot returns a copy of all counts; source is the name of the process.
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
	for e := r.newest - ringCells; e <= r.newest; e++ {
		if e < 0 {
			continue
		}
		if c := r.cellAt(e); *c != (cell{}) {
			out.Cells = append(out.Cells, Cell{Epoch: e, Good: uint64(c.good), Bad: uint64(c.bad)})
		}
	}
	return out
}
