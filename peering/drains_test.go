package peering

import (
	"testing"
	"time"

	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/servernotice"
)

var leavingServer = servernotice.Server{Key: 12, StartedUnixMs: 1000}

// observeDrain records and reports that a server drains, as an entry's gateway does.
func (e *entry) observeDrain() {
	if e.notices.SetDraining(leavingServer, time.Now()) {
		e.exchange.DrainReporter().ReportDrain(leavingServer)
	}
}

func (e *entry) knowsDrain() bool { return e.notices.View().Draining(leavingServer) }

// Guards against entries that send requests to a server that drains until it has answered each of
// them.
func TestDrainReachesOtherEntries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	a.observeDrain()
	waitFor(t, "b knows that the server drains", b.knowsDrain)
	// An entry doesn't repeat what it has from others, so that c learns it at its start only.
	learned := servernotice.Server{Key: 13}
	b.notices.MergeDraining(learned, time.Now())
	c := startEntry(t, store, "c", 3)
	waitFor(t, "c, which has just started, knows what b knows", func() bool { return c.notices.View().Draining(learned) })
	waitFor(t, "c knows that the server drains", c.knowsDrain)
	next := leavingServer
	next.StartedUnixMs++
	if c.notices.View().Draining(next) {
		t.Error("the next start of the server counts as draining")
	}
}

// Guards against an entry that never learns that a server drains because the datagram about it
// was lost.
func TestLostDrainReportIsRepeated(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b is listed", func() bool { return a.lists(1) })
	reachable := a.divertPeers()
	a.observeDrain()
	waitFor(t, "a has sent its report", func() bool { return !a.exchange.outbox.urgent() })
	time.Sleep(2 * batchDelay) // the last report is on its way
	reachable()
	waitFor(t, "b knows that the server drains", b.knowsDrain)
}
