package slo

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

// Cell counts the requests of one interval of time. Its JSON form is [epoch, good, bad].
type Cell struct {
	Epoch int64 // number of the interval since the Unix epoch
	Good  uint64
	Bad   uint64
}

// MarshalJSON implements json.Marshaler.
func (c Cell) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]uint64{uint64(c.Epoch), c.Good, c.Bad})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Cell) UnmarshalJSON(data []byte) error {
	var v [3]uint64
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*c = Cell{Epoch: int64(v[0]), Good: v[1], Bad: v[2]}
	return nil
}

// Counts holds the non-empty cells of one window, oldest first.
type Counts struct {
	Width time.Duration `json:"width_ns"`
	Cells []Cell        `json:"cells"`
}

// Series holds the counts and the latencies of one key.
type Series struct {
	Key
	Counts  []Counts   `json:"counts"` // by ascending width
	Latency *Histogram `json:"latency"`
}

// Snapshot is the state of one tracker, or of several merged ones.
type Snapshot struct {
	Sources []string  `json:"sources"` // sorted
	At      time.Time `json:"at"`      // time of the newest snapshot merged
	Series  []Series  `json:"series"`  // sorted by key
}

// Merge adds up snapshots. It is associative and commutative and shares no memory with its
// arguments. It doesn't detect duplicates: the caller must include each process only once.
func Merge(snaps ...Snapshot) Snapshot {
	var out Snapshot
	byKey := make(map[Key]*mergedSeries)
	for _, s := range snaps {
		out.Sources = append(out.Sources, s.Sources...)
		if s.At.After(out.At) {
			out.At = s.At
		}
		for i := range s.Series {
			addSeries(byKey, &s.Series[i])
		}
	}
	slices.Sort(out.Sources)
	for k, m := range byKey {
		out.Series = append(out.Series, m.export(k))
	}
	slices.SortFunc(out.Series, func(a, b Series) int { return a.Key.compare(b.Key) })
	return out
}

type cellKey struct {
	width time.Duration
	epoch int64
}

// mergedSeries is a series while it is being merged. widths has an element for each tracked
// window, including those without requests.
type mergedSeries struct {
	cells   map[cellKey]Cell
	widths  map[time.Duration][]Cell
	latency *Histogram
}

func addSeries(byKey map[Key]*mergedSeries, s *Series) {
	m := byKey[s.Key]
	if m == nil {
		m = &mergedSeries{cells: make(map[cellKey]Cell), widths: make(map[time.Duration][]Cell), latency: NewHistogram()}
		byKey[s.Key] = m
	}
	for _, counts := range s.Counts {
		m.widths[counts.Width] = nil
		for _, c := range counts.Cells {
			at := cellKey{width: counts.Width, epoch: c.Epoch}
			sum := m.cells[at]
			m.cells[at] = Cell{Epoch: c.Epoch, Good: sum.Good + c.Good, Bad: sum.Bad + c.Bad}
		}
	}
	if s.Latency != nil {
		m.latency.Merge(s.Latency)
	}
}

func (m *mergedSeries) export(k Key) Series {
	for at, c := range m.cells {
		m.widths[at.width] = append(m.widths[at.width], c)
	}
	out := Series{Key: k, Latency: m.latency}
	for width, cells := range m.widths {
		slices.SortFunc(cells, func(a, b Cell) int { return cmp.Compare(a.Epoch, b.Epoch) })
		out.Counts = append(out.Counts, Counts{Width: width, Cells: cells})
	}
	slices.SortFunc(out.Counts, func(a, b Counts) int { return cmp.Compare(a.Width, b.Width) })
	return out
}
