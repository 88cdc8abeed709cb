package peering

import (
	"testing"
	"time"

	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/serverlimit"
)

const needyServer uint64 = 11

// observe records and reports a rate, as an entry's gateway does. A rate of 0 is its end.
func (e *entry) observe(rate float64) {
	now := time.Now()
	if e.limits.Observe(needyServer, rate, now, now) {
		e.exchange.LimitReporter().ReportLimit(serverlimit.Observation{Server: needyServer, PerSecond: rate})
	}
}

func (e *entry) knowsRate(rate float64) func() bool {
	return func() bool { return e.limits.Rates(time.Now())[needyServer] == rate }
}

// Guards against entries that send a server in need what they like until it has answered each
// of them.
func TestRateReachesOtherEntries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	a.observe(2.1)
	waitFor(t, "b knows the rate", b.knowsRate(2.1))
	a.observe(1.5)
	waitFor(t, "b knows the next rate", b.knowsRate(1.5))
	time.Sleep(reorderTolerance) // the end must be later than the rate as b dates it
	b.observe(0)
	waitFor(t, "a knows of the end", a.knowsRate(0))
	c := startEntry(t, store, "c", 3)
	b.observe(0.7)
	waitFor(t, "c, which has just started, knows the rate", c.knowsRate(0.7))
}

// Guards against an entry that never learns a rate because the datagram about it was lost.
func TestLostRateReportIsRepeated(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b is listed", func() bool { return a.lists(1) })
	reachable := a.divertPeers()
	a.observe(2.1)
	waitFor(t, "a has sent its report", func() bool { return !a.exchange.outbox.urgent() })
	time.Sleep(2 * batchDelay) // the last report is on its way
	reachable()
	waitFor(t, "b knows the rate", b.knowsRate(2.1))
}
