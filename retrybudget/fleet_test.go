package retrybudget

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
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

// fleetArrivalDelay is the longest time from a send to its arrival.
const fleetArrivalDelay = 400 * time.Millisecond

// budgetDay is a day on which a fleet's entries retry whenever their budgets let them.
type budgetDay struct {
	entries   int
	perSecond int // requests of all entries
	// receiving is the number of entries that receive requests and retry; 0: all.
	receiving int
	// shiftAt is when all requests move from the first half of the entries to the second; 0: never.
	shiftAt time.Duration
	// pressure reports whether attempts fail at a time.
	pressure func(at time.Duration) bool
	// clockOffset is added to an entry's clock.
	clockOffset func(entry int, at time.Duration) time.Duration
	// restarts are the times at which each entry starts again; empty: never.
	restarts func(entry int) []time.Duration
	// listedAfter is the time after a restart at which an entry knows the others; 0: at once.
	listedAfter time.Duration
	// maxWait is the longest time that a retry waits for a server before it is sent.
	maxWait time.Duration
	// lends is set if the entries lend each other retries, with messages that are lost, late and
	// repeated.
	lends bool
}

// budgetFleet plays a budgetDay.
type budgetFleet struct {
	day      budgetDay
	random   *rand.Rand
	entries  []*budgetEntry
	messages []budgetMessage
	requests []time.Duration // times of all requests
	retries  []time.Duration // arrivals of all retries
}

type budgetEntry struct {
	fleet    *budgetFleet
	number   int
	process  uint64 // number of the process
	budget   *Budget
	starts   []time.Duration // times of further restarts
	listedAt time.Duration   // when the process knows the others
	listed   bool
	at       time.Duration // of the current step
	waiting  []waitingRetry
}

// waitingRetry is a retry that waits for a server.
type waitingRetry struct {
	withdrawal *Withdrawal
	sendAt     time.Duration
}

// budgetMessage is a function to run at an entry when a message arrives there.
type budgetMessage struct {
	at    time.Duration
	apply func()
}

const budgetDayLength = 60 * time.Second

func (d budgetDay) play() *budgetFleet {
	f := &budgetFleet{day: d, random: rand.New(rand.NewPCG(55, 1))}
	for i := range d.entries {
		e := &budgetEntry{fleet: f, number: i}
		if d.restarts != nil {
			e.starts = d.restarts(i)
		}
		e.start(-time.Minute, 0)
		f.entries = append(f.entries, e)
	}
	sent := 0
	for at := time.Duration(0); at < budgetDayLength; at += fleetStep {
		f.deliver(at)
		for ; sent < int(float64(d.perSecond)*at.Seconds()); sent++ {
			i := f.receiver(sent, at)
			f.entries[i].budget.RecordRequest(fleetService, f.clock(i, at))
			f.requests = append(f.requests, at)
		}
		for i, e := range f.entries {
			e.step(at, i < cmp.Or(d.receiving, d.entries))
		}
	}
	slices.Sort(f.retries)
	return f
}

// receiver returns the entry that receives a request.
func (f *budgetFleet) receiver(request int, at time.Duration) int {
	half := f.day.entries / 2
	switch {
	case f.day.shiftAt == 0:
		return request % cmp.Or(f.day.receiving, f.day.entries)
	case at < f.day.shiftAt:
		return request % half
	default:
		return half + request%half
	}
}

// start replaces the process of an entry. What waited in the old one is not sent.
func (e *budgetEntry) start(at, listedAfter time.Duration) {
	options := Options{Ratio: fleetRatio, Slack: fleetSlack, Window: fleetWindow, ArrivalDelay: fleetArrivalDelay}
	e.process++
	e.budget = New(options, e.fleet.clock(e.number, at))
	if e.fleet.day.lends {
		e.budget.SetAsker(e)
	}
	e.listedAt, e.listed, e.waiting = at+listedAfter, false, nil
}

func (e *budgetEntry) step(at time.Duration, receives bool) {
	e.at = at
	if len(e.starts) > 0 && at >= e.starts[0] {
		e.starts = e.starts[1:]
		e.start(at, e.fleet.day.listedAfter)
	}
	if !e.listed && at >= e.listedAt {
		e.listed = true
		e.budget.SetEntries(e.fleet.day.entries, e.fleet.clock(e.number, at))
	}
	if receives && e.fleet.day.pressure(at) {
		e.withdrawAll()
	}
	e.sendWaiting()
}

// withdrawAll takes all retries that the budget allows.
func (e *budgetEntry) withdrawAll() {
	for {
		w := e.budget.TryWithdraw(fleetService, e.fleet.clock(e.number, e.at))
		if w == nil {
			return
		}
		wait := e.fleet.below(e.fleet.day.maxWait)
		e.waiting = append(e.waiting, waitingRetry{w, e.at + wait})
	}
}

// sendWaiting sends the retries whose wait is over.
func (e *budgetEntry) sendWaiting() {
	e.waiting = slices.DeleteFunc(e.waiting, func(r waitingRetry) bool {
		if r.sendAt > e.at {
			return false
		}
		if r.withdrawal.Sent(e.fleet.clock(e.number, e.at)) {
			e.fleet.retries = append(e.fleet.retries, e.at+e.fleet.below(e.fleet.day.maxWait/8))
		}
		return true
	})
}

// Ask implements Asker. Three entries receive the question.
func (e *budgetEntry) Ask(a Ask) {
	f, process := e.fleet, e.process
	for range 3 {
		lender := f.entries[f.random.IntN(len(f.entries))]
		f.send(e.at, func() {
			tokens := lender.budget.Lend(a, f.clock(lender.number, lender.at))
			if tokens == 0 || lender == e {
				return
			}
			answer := a
			answer.Tokens = tokens
			f.send(lender.at, func() {
				if e.process == process {
					e.budget.Borrow(answer, uint64(lender.number)<<32|lender.process, f.clock(e.number, e.at))
				}
			})
		})
	}
}

// send delivers a message later, not at all, or twice.
func (f *budgetFleet) send(at time.Duration, apply func()) {
	copies := []int{0, 1, 1, 1, 1, 1, 1, 1, 2, 2}[f.random.IntN(10)]
	for range copies {
		delay := 20 * time.Millisecond
		if f.random.IntN(5) == 0 {
			delay = 600 * time.Millisecond
		}
		f.messages = append(f.messages, budgetMessage{at + f.below(delay), apply})
	}
}

func (f *budgetFleet) deliver(at time.Duration) {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at > at {
			f.messages = append(f.messages, m)
			continue
		}
		m.apply()
	}
}

// below returns a random duration below limit, or 0.
func (f *budgetFleet) below(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(f.random.Int64N(int64(limit)))
}

// clock returns an entry's clock.
func (f *budgetFleet) clock(entry int, at time.Duration) boottime.Instant {
	if f.day.clockOffset != nil {
		at += f.day.clockOffset(entry, at)
	}
	return boottime.Instant(time.Hour).Add(at)
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
	bursts := between([2]float64{24.8, 25}, [2]float64{34, 34.3})
	cases := map[string]budgetDay{
		"constant pressure":                    {entries: 29, perSecond: 60, pressure: always},
		"bursts nine seconds apart":            {entries: 29, perSecond: 60, pressure: bursts},
		"bursts, clocks apart":                 {entries: 29, perSecond: 60, pressure: bursts, clockOffset: spread},
		"bursts, few entries, few requests":    {entries: 6, perSecond: 5, pressure: bursts},
		"retries wait for servers":             {entries: 29, perSecond: 60, pressure: always, maxWait: 3 * time.Second},
		"bursts, retries wait for servers":     {entries: 29, perSecond: 60, pressure: bursts, maxWait: 3 * time.Second},
		"entries lend":                         {entries: 29, perSecond: 60, pressure: always, lends: true, maxWait: 3 * time.Second},
		"entries lend, bursts":                 {entries: 29, perSecond: 60, pressure: bursts, lends: true},
		"entries lend, one has all callers":    {entries: 29, perSecond: 60, pressure: always, lends: true, receiving: 1},
		"entries lend, restarts in turn":       {entries: 29, perSecond: 60, pressure: always, lends: true, restarts: restartAt(20*time.Second, 600*time.Millisecond), listedAfter: time.Second, maxWait: 2 * time.Second},
		"entries lend, all restart":            {entries: 29, perSecond: 60, pressure: always, lends: true, restarts: restartAt(26*time.Second, 0), listedAfter: 2 * time.Second},
		"few entries have all requests":        {entries: 29, perSecond: 600, receiving: 3, pressure: between([2]float64{20, 60}), lends: true},
		"requests move to other entries":       {entries: 4, perSecond: 200, shiftAt: 20 * time.Second, pressure: between([2]float64{19.9, 20}, [2]float64{29.7, 29.85})},
		"no requests":                          {entries: 2, pressure: always},
		"no requests, retries wait":            {entries: 2, pressure: always, maxWait: 3 * time.Second},
		"no requests, one lends":               {entries: 2, pressure: always, receiving: 1, lends: true},
		"no requests, one lends, retries wait": {entries: 2, pressure: always, receiving: 1, lends: true, maxWait: 3 * time.Second},
		"no requests, one lends late":          {entries: 2, pressure: between([2]float64{20, 21}, [2]float64{30, 31.5}), receiving: 1, lends: true, maxWait: 3 * time.Second},
		"no requests, one of two restarts":     {entries: 2, pressure: always, lends: true, maxWait: 3 * time.Second, restarts: restartAt(20*time.Second, 600*time.Millisecond)},
		"no requests, a lender restarts":       {entries: 2, pressure: always, receiving: 1, lends: true, restarts: restartAt(20*time.Second, 600*time.Millisecond)},
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
