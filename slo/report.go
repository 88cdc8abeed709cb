package slo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/table"
)

// Point is the burn rate of one cell of time.
type Point struct {
	At   time.Time `json:"at"` // start of the cell
	Burn float64   `json:"burn"`
}

// LevelReport is the part of a Report for one level.
type LevelReport struct {
	Level
	Result
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
	History []Point       `json:"history"` // over the longest window
}

// Report holds the burn rates of all levels at one time.
type Report struct {
	At      time.Time     `json:"at"`
	Sources []string      `json:"sources"`
	Levels  []LevelReport `json:"levels"`
}

// NewReport evaluates all levels. Errors match ErrInvalidLevel.
func NewReport(levels []Level, snaps []Snapshot, now time.Time) (*Report, error) {
	merged := Merge(snaps...)
	rep := &Report{At: now, Sources: merged.Sources}
	for _, l := range levels {
		res, err := Burn(l, []Snapshot{merged}, now)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lr := LevelReport{Level: l, Result: res, History: burnHistory(&l, merged, now)}
		latency := mergedLatency(&l, merged)
		lr.P50, lr.P99 = latency.Quantile(0.5), latency.Quantile(0.99)
		rep.Levels = append(rep.Levels, lr)
	}
	return rep, nil
}

func mergedLatency(l *Level, snap Snapshot) *Histogram {
	h := NewHistogram()
	for i := range snap.Series {
		s := &snap.Series[i]
		if l.matches(s.Key) && s.Latency != nil {
			h.Merge(s.Latency)
		}
	}
	return h
}

func burnHistory(l *Level, snap Snapshot, now time.Time) []Point {
	windows := Windows(l.alertRules())
	longest := windows[len(windows)-1]
	width := cellWidth(longest)
	last := epochOf(now, width)
	var sums [ringCells + 1]Cell
	forEachCell(l, []Snapshot{snap}, longest, func(c Cell) {
		if i := c.Epoch - (last - ringCells); i >= 0 && i <= ringCells {
			sums[i].Good += c.Good
			sums[i].Bad += c.Bad
		}
	})
	out := make([]Point, len(sums))
	for i, c := range sums {
		at := time.Unix(0, (last-ringCells+int64(i))*int64(width)).UTC()
		out[i] = Point{At: at, Burn: burnRate(c.Good, c.Bad, l.Target)}
	}
	return out
}

// State returns the most severe state of all levels.
func (r *Report) State() State {
	state := StateOK
	for _, l := range r.Levels {
		if l.State.severity() > state.severity() {
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
	workspace := l.Workspace
	if workspace == "" {
		workspace = "all workspaces"
	}
	return workspace + ", " + strings.Join(classes, " ")
}

// windowText formats the burn rate of each window with its counts.
func (l *LevelReport) windowText() string {
	var parts []string
	for _, w := range l.Windows {
		if w.Untracked {
			parts = append(parts, formatWindow(w.Window)+" not tracked")
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.2f (%d/%d)", formatWindow(w.Window), w.Burn, w.Bad, w.Good+w.Bad))
	}
	return strings.Join(parts, "  ")
}

// formatWindow formats a duration without zero units: 6h, not 6h0m0s.
func formatWindow(d time.Duration) string {
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

// WriteTable writes one line per level.
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
