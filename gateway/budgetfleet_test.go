package gateway

import (
	"slices"
	"testing"
	"time"
)

// Bounds that all entries together keep: in any span of fleetWindow, at most fleetRatio × requests
// + fleetSlack retries. The requests are those of the span, of the one before or of the one half
// a window before.
const (
	fleetService = "s"
	fleetRatio   = 0.2
	fleetSlack   = 134
	fleetWindow  = 10 * time.Second
	fleetStep    = 50 * time.Millisecond
)

// budgetDay is a day on which a fleet's entries retry whenever their budgets let them.
type budgetDay struct {
	entries   int
	perSecond int // requests of all entries
	// pressure reports whether attempts fail at a time.
	pressure func(at time.Duration) bool
	// clockOffset is added to an entry's time of day.
	clockOffset func(entry int, at time.Duration) time.Duration
	// restarts are the times at which each entry starts again; empty: never.
	restarts func(entry int) []time.Duration
	// listedAfter is the time after a restart at which an entry knows the others; 0: at once.
	listedAfter time.Duration
}

// budgetFleet plays a budgetDay.
type budgetFleet struct {
	day      budgetDay
	entries  []*budgetEntry
	requests []time.Duration // times of all requests
	retries  []time.Duration // times of all retries
}

type budgetEntry struct {
	budget   *RetryBudget
	starts   []time.Duration // times of further restarts
	listedAt time.Duration   // when the process knows the others
	listed   bool
}

const budgetDayLength = 60 * time.Second

func (d budgetDay) play() *budgetFleet {
	f := &budgetFleet{day: d}
	for i := range d.entries {
		e := &budgetEntry{}
		if d.restarts != nil {
			e.starts = d.restarts(i)
		}
		e.start(-time.Minute, 0)
		f.entries = append(f.entries, e)
	}
	sent := 0
	for at := time.Duration(0); at < budgetDayLength; at += fleetStep {
		for ; sent < int(float64(d.perSecond)*at.Seconds()); sent++ {
			i := sent % d.entries
			f.entries[i].budget.RecordRequest(fleetService, f.clock(i, at))
			f.requests = append(f.requests, at)
		}
		for i, e := range f.entries {
			f.stepEntry(i, e, at)
		}
	}
	return f
}

// start replaces the process of an entry.
func (e *budgetEntry) start(at, listedAfter time.Duration) {
	e.budget = NewRetryBudget(fleetRatio, fleetSlack, fleetWindow, 6)
	e.listedAt, e.listed = at+listedAfter, false
}

func (f *budgetFleet) stepEntry(i int, e *budgetEntry, at time.Duration) {
	if len(e.starts) > 0 && at >= e.starts[0] {
		e.starts = e.starts[1:]
		e.start(at, f.day.listedAfter)
	}
	if !e.listed && at >= e.listedAt {
		e.listed = true
		e.budget.SetEntries(f.day.entries)
	}
	if !f.day.pressure(at) {
		return
	}
	for e.budget.TryWithdraw(fleetService, f.clock(i, at)) {
		f.retries = append(f.retries, at)
	}
}

// clock returns an entry's time of day.
func (f *budgetFleet) clock(entry int, at time.Duration) time.Time {
	if f.day.clockOffset != nil {
		at += f.day.clockOffset(entry, at)
	}
	return time.Unix(1_700_000_000, 0).Add(at)
}

// excess returns by how many retries the worst window is over its bound.
func (f *budgetFleet) excess() float64 {
	worst := -float64(fleetSlack)
	for _, from := range f.retries {
		until := from + fleetWindow
		requests := max(countBetween(f.requests, from, until),
			countBetween(f.requests, from-fleetWindow/2, until-fleetWindow/2),
			countBetween(f.requests, from-fleetWindow, from))
		worst = max(worst, float64(countBetween(f.retries, from, until))-fleetRatio*float64(requests)-fleetSlack)
	}
	return worst
}

// countBetween returns how many of the sorted times are in [from, until).
func countBetween(times []time.Duration, from, until time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, until)
	return last - first
}

func always(time.Duration) bool { return true }

// between returns a pressure that lasts for each span of seconds.
func between(spans ...[2]float64) func(time.Duration) bool {
	return func(at time.Duration) bool {
		return slices.ContainsFunc(spans, func(s [2]float64) bool { return at.Seconds() >= s[0] && at.Seconds() < s[1] })
	}
}

// restartAt returns restarts of all entries at one time, each later than the one before by gap.
func restartAt(at, gap time.Duration) func(int) []time.Duration {
	return func(entry int) []time.Duration { return []time.Duration{at + time.Duration(entry)*gap} }
}

// Guards against retries of all entries together beyond the budget that they share.
func TestEntriesTogetherKeepRetryBudget(t *testing.T) {
	spread := func(entry int, _ time.Duration) time.Duration { return time.Duration(entry) * 5 * time.Second / 29 }
	stepped := func(entry int, at time.Duration) time.Duration {
		if entry%3 == 0 && at > 20*time.Second && at < 25*time.Second {
			return 12 * time.Second
		}
		return 0
	}
	bursts := between([2]float64{24.8, 25}, [2]float64{34, 34.3})
	cases := map[string]budgetDay{
		"constant pressure":                    {entries: 29, perSecond: 60, pressure: always},
		"bursts nine seconds apart":            {entries: 29, perSecond: 60, pressure: bursts},
		"bursts, clocks apart":                 {entries: 29, perSecond: 60, pressure: bursts, clockOffset: spread},
		"bursts, few entries, few requests":    {entries: 6, perSecond: 5, pressure: bursts},
		"clock steps ahead and back":           {entries: 29, perSecond: 60, pressure: always, clockOffset: stepped},
		"all restart, others known at once":    {entries: 29, perSecond: 60, pressure: always, restarts: restartAt(26*time.Second, 0)},
		"all restart, others known after 2 s":  {entries: 29, perSecond: 60, pressure: always, restarts: restartAt(26*time.Second, 0), listedAfter: 2 * time.Second},
		"all restart, others never known":      {entries: 29, perSecond: 60, pressure: always, restarts: restartAt(26*time.Second, 0), listedAfter: time.Hour},
		"restarts in turn, known after 1 s":    {entries: 29, perSecond: 60, pressure: always, restarts: restartAt(20*time.Second, 600*time.Millisecond), listedAfter: time.Second},
		"few entries restart, few requests":    {entries: 6, perSecond: 5, pressure: always, restarts: restartAt(26*time.Second, 0), listedAfter: time.Second},
		"restart of all after requests ceased": {entries: 29, perSecond: 0, pressure: always, restarts: restartAt(26*time.Second, 100*time.Millisecond)},
	}
	for name, day := range cases {
		t.Run(name, func(t *testing.T) {
			f := day.play()
			if over := f.excess(); over > 0 {
				t.Errorf("%.1f retries over the bound, of %d", over, len(f.retries))
			}
			if len(f.retries) == 0 {
				t.Error("nothing is retried")
			}
		})
	}
}
