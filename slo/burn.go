package slo

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
)

// ErrInvalidLevel means that a service level fails validation.
const ErrInvalidLevel = errors.ConstError("invalid service level")

// State is the alert state of a service level.
type State string

// States in rising order of severity. StateUnknown means that a process keeps no counts for one
// of the level's windows, so that its burn rate would read as 0.
const (
	StateOK      State = "ok"
	StateUnknown State = "unknown"
	StateWarning State = "warning"
	StatePage    State = "page"
)

func (s State) severity() int {
	return slices.Index([]State{StateOK, StateUnknown, StateWarning, StatePage}, s)
}

// minWindow is the shortest window allowed.
const minWindow = time.Second

// AlertRule raises State if the burn rate is at least BurnThreshold over both windows.
type AlertRule struct {
	ShortWindow   time.Duration `json:"short_ns"`
	LongWindow    time.Duration `json:"long_ns"`
	BurnThreshold float64       `json:"burn"`
	State         State         `json:"state"`
}

// DefaultAlertRules returns 5m/1h at 14.4 (page) and 30m/6h at 6 (warning).
func DefaultAlertRules() []AlertRule {
	return []AlertRule{
		{ShortWindow: 5 * time.Minute, LongWindow: time.Hour, BurnThreshold: 14.4, State: StatePage},
		{ShortWindow: 30 * time.Minute, LongWindow: 6 * time.Hour, BurnThreshold: 6, State: StateWarning},
	}
}

// Windows returns the distinct windows of the rules in ascending order.
func Windows(rules []AlertRule) []time.Duration {
	var out []time.Duration
	for _, p := range rules {
		out = append(out, p.ShortWindow, p.LongWindow)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Level is a service level: the share of requests that must be good, and which requests count.
type Level struct {
	Name       string          `json:"name"`
	Workspace  string          `json:"workspace,omitempty"` // empty: all
	Classes    []request.Class `json:"classes,omitempty"`   // empty: all
	Objective  string          `json:"objective"`
	Target     float64         `json:"target"` // required share of good requests, below 1
	AlertRules []AlertRule     `json:"pairs,omitempty"`
}

func (l *Level) validate() error {
	if l.Objective == "" || !(l.Target > 0 && l.Target < 1) {
		return errors.Annotatef(ErrInvalidLevel, "level %q: objective, and target within 0 and 1, are required", l.Name)
	}
	for i, p := range l.AlertRules {
		if p.ShortWindow < minWindow || p.LongWindow < p.ShortWindow || !(p.BurnThreshold > 0) || p.State.severity() < 0 {
			return errors.Annotatef(ErrInvalidLevel, "level %q: pairs[%d] needs windows of %v or more, a burn above 0 and a state", l.Name, i, minWindow)
		}
	}
	return nil
}

func (l *Level) alertRules() []AlertRule {
	if len(l.AlertRules) == 0 {
		return DefaultAlertRules()
	}
	return l.AlertRules
}

func (l *Level) matches(k Key) bool {
	if l.Workspace != "" && l.Workspace != k.Workspace {
		return false
	}
	if len(l.Classes) > 0 && !slices.Contains(l.Classes, k.Class) {
		return false
	}
	return l.Objective == k.Objective
}

// WindowBurn is the burn rate over one window.
type WindowBurn struct {
	Window time.Duration `json:"window_ns"`
	Good   uint64        `json:"good"`
	Bad    uint64        `json:"bad"`
	Burn   float64       `json:"burn"`
	// Untracked means that some process keeps no counts for this window.
	Untracked bool `json:"untracked,omitempty"`
}

// Result holds the burn rates and the alert state of one level.
type Result struct {
	Windows []WindowBurn `json:"windows"` // by ascending window
	State   State        `json:"state"`
}

// Burn computes a level's burn rates at now from the snapshots of all entries. A window covers
// itself and the cell in progress, which is at most a thirtieth more. Errors match
// ErrInvalidLevel.
func Burn(level Level, snaps []Snapshot, now time.Time) (Result, error) {
	if err := level.validate(); err != nil {
		return Result{}, errors.Trace(err)
	}
	res := Result{State: StateOK}
	for _, w := range Windows(level.alertRules()) {
		res.Windows = append(res.Windows, windowBurn(&level, snaps, w, now))
	}
	for _, w := range res.Windows {
		if w.Untracked {
			res.State = StateUnknown
		}
	}
	for _, p := range level.alertRules() {
		if res.burnOver(p.ShortWindow) >= p.BurnThreshold && res.burnOver(p.LongWindow) >= p.BurnThreshold && p.State.severity() > res.State.severity() {
			res.State = p.State
		}
	}
	return res, nil
}

func (r *Result) burnOver(window time.Duration) float64 {
	for _, w := range r.Windows {
		if w.Window == window {
			return w.Burn
		}
	}
	return 0
}

func windowBurn(level *Level, snaps []Snapshot, window time.Duration, now time.Time) WindowBurn {
	out := WindowBurn{Window: window, Untracked: isUntracked(level, snaps, window)}
	last := epochOf(now, cellWidth(window))
	forEachCell(level, snaps, window, func(c Cell) {
		if c.Epoch >= last-ringCells && c.Epoch <= last {
			out.Good += c.Good
			out.Bad += c.Bad
		}
	})
	out.Burn = burnRate(out.Good, out.Bad, level.Target)
	return out
}

// isUntracked reports whether some snapshot has a series of the level without counts for the
// window.
func isUntracked(level *Level, snaps []Snapshot, window time.Duration) bool {
	for _, s := range snaps {
		for i := range s.Series {
			has := func(c Counts) bool { return c.Width == cellWidth(window) }
			if level.matches(s.Series[i].Key) && !slices.ContainsFunc(s.Series[i].Counts, has) {
				return true
			}
		}
	}
	return false
}

// forEachCell calls fn for each cell of a window in the series that the level matches.
func forEachCell(level *Level, snaps []Snapshot, window time.Duration, fn func(Cell)) {
	for _, s := range snaps {
		for i := range s.Series {
			if !level.matches(s.Series[i].Key) {
				continue
			}
			for _, counts := range s.Series[i].Counts {
				if counts.Width == cellWidth(window) {
					for _, c := range counts.Cells {
						fn(c)
					}
				}
			}
		}
	}
}

func burnRate(good, bad uint64, target float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - target)
}
