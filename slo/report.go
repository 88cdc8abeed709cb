package slo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/table"
)

// Point is the burn rate of one slice of time.
type Point struct {
	At   time.Time `json:"at"` // its start
	Burn float64   `json:"burn"`
}

// LevelReport is what the report says of one level.
type LevelReport struct {
	Level
	Result
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
	History []Point       `json:"history"` // over the longest window
}

// Report is the burn of all levels at one time.
type Report struct {
	At      time.Time     `json:"at"`
	Sources []string      `json:"sources"`
	Levels  []LevelReport `json:"levels"`
}

// NewReport works out all levels. Errors match ErrInvalidLevel.
func NewReport(levels []Level, snaps []Snapshot, now time.Time) (*Report, error) {
	merged := Merge(snaps...)
	rep := &Report{At: now, Sources: merged.Sources}
	for _, l := range levels {
		res, err := Burn(l, []Snapshot{merged}, now)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lr := LevelReport{Level: l, Result: res, History: history(&l, merged, now)}
		latency := latencyOf(&l, merged)
		lr.P50, lr.P99 = latency.Quantile(0.5), latency.Quantile(0.99)
		rep.Levels = append(rep.Levels, lr)
	}
	return rep, nil
}

func latencyOf(l *Level, snap Snapshot) *Histogram {
	h := NewHistogram()
	for i := range snap.Series {
		s := &snap.Series[i]
		if l.covers(s.Key) && s.Latency != nil {
			h.Merge(s.Latency)
		}
	}
	return h
}

func history(l *Level, snap Snapshot, now time.Time) []Point {
	windows := Windows(l.pairs())
	longest := windows[len(windows)-1]
	width := widthOf(longest)
	last := epochOf(now, width)
	var sums [ringCells + 1]Cell
	eachCell(l, []Snapshot{snap}, longest, func(c Cell) {
		if i := c.Epoch - (last - ringCells); i >= 0 && i <= ringCells {
			sums[i].Good += c.Good
			sums[i].Bad += c.Bad
		}
	})
	out := make([]Point, len(sums))
	for i, c := range sums {
		at := time.Unix(0, (last-ringCells+int64(i))*int64(width)).UTC()
		out[i] = Point{At: at, Burn: rate(c.Good, c.Bad, l.Target)}
	}
	return out
}

// State returns the most urgent state of all levels.
func (r *Report) State() State {
	state := StateOK
	for _, l := range r.Levels {
		if l.State.rank() > state.rank() {
			state = l.State
		}
	}
	return state
}

func (l *LevelReport) scope() string {
	var classes []string
	for _, c := range l.Classes {
		classes = append(classes, c.Name())
	}
	if len(classes) == 0 {
		classes = []string{"all classes"}
	}
	space := l.Workspace
	if space == "" {
		space = "all workspaces"
	}
	return space + ", " + strings.Join(classes, " ")
}

// windowText prints each window's burn, with the counts behind it.
func (l *LevelReport) windowText() string {
	var parts []string
	for _, w := range l.Windows {
		if w.Untracked {
			parts = append(parts, short(w.Window)+" not tracked")
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.2f (%d/%d)", short(w.Window), w.Burn, w.Bad, w.Good+w.Bad))
	}
	return strings.Join(parts, "  ")
}

// short prints 6h rather than 6h0m0s.
func short(d time.Duration) string {
	s := d.String()
	s = strings.TrimSuffix(s, "m0s")
	if s != d.String() {
		s += "m"
	}
	if h, ok := strings.CutSuffix(s, "h0m"); ok {
		s = h + "h"
	}
	return s
}

// WriteTable prints one line a level.
func (r *Report) WriteTable(w io.Writer) error {
	header := []string{"level", "scope", "objective", "target", "state", "burn by window (bad/all)", "p50", "p99"}
	var rows [][]string
	for i := range r.Levels {
		l := &r.Levels[i]
		rows = append(rows, []string{l.Name, l.scope(), l.Objective, fmt.Sprint(l.Target), string(l.State),
			l.windowText(), l.P50.Round(time.Millisecond).String(), l.P99.Round(time.Millisecond).String()})
	}
	return table.Write(w, header, rows)
}
