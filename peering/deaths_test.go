package peering

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/quarantine"
)

const (
	poison   uint64 = 7
	firstEnd uint64 = 100 // identifies a server death
	lastEnd  uint64 = 200
)

// die records and reports the deaths of two servers under one request.
func (e *entry) die() {
	for _, death := range []uint64{firstEnd, lastEnd} {
		r, _ := e.quarantine.RecordDeath(poison, death, time.Now())
		e.exchange.DeathReporter().ReportDeath(r)
	}
}

func (e *entry) refuses() bool {
	return e.quarantine.Verdict(poison, time.Now()) == quarantine.Refuse
}

// Guards against an entry that counts deaths from zero because it started after they were
// reported.
func TestNewEntryReceivesDeaths(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a := startEntry(t, store, "a", 1)
	a.die()
	b := startEntry(t, store, "b", 2)
	waitFor(t, "b refuses the request", b.refuses)
}

// Guards against an entry that doesn't refuse a request because the datagrams about its
// deaths were lost.
func TestLostDeathReportIsRepeated(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b is listed", func() bool { return a.lists(1) })
	reachable := a.divertPeers()
	a.die()
	waitFor(t, "a has sent its reports", func() bool { return !a.exchange.outbox.urgent() })
	time.Sleep(2 * batchDelay) // the last report is on its way
	reachable()
	waitFor(t, "b refuses the request", b.refuses)
}

// Guards against an entry that was cut off for longer than reports are repeated, and counts
// the deaths of that time from zero.
func TestDeathsReachEntryThatWasCutOff(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b found a", func() bool { return <-b.entryCounts == 2 })
	waitFor(t, "both are listed", func() bool { return a.lists(1) && b.lists(1) })
	waitFor(t, "a receives a heartbeat of b", func() bool { return a.sees(2) })
	reachableA, reachableB := a.divertPeers(), b.divertPeers()
	a.die()
	waitFor(t, "b times out at a", func() bool { return !a.sees(2) })
	reachableA()
	reachableB()
	waitFor(t, "b refuses the request", b.refuses)
}

// Guards against refusing a call at one entry for deaths between which it ran to its end at
// others.
func TestCompletionClearsDeathsAtOtherEntries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	suspected := func(e *entry) bool { return e.quarantine.Verdict(poison, time.Now()) == quarantine.RunAlone }
	r, _ := a.quarantine.RecordDeath(poison, firstEnd, time.Now())
	a.exchange.DeathReporter().ReportDeath(r)
	waitFor(t, "b receives the death", func() bool { return suspected(b) })
	b.quarantine.Clear(poison, time.Now())
	b.exchange.DeathReporter().ReportCompletion(poison)
	waitFor(t, "a clears the request", func() bool { return !suspected(a) })
	time.Sleep(2 * heartbeatInterval) // a would repeat its report
	if suspected(a) || suspected(b) {
		t.Error("a repeated report made the request a suspect again")
	}
}

// sees reports whether an entry's last message is recent.
func (e *entry) sees(incarnation uint64) bool {
	e.exchange.mu.Lock()
	defer e.exchange.mu.Unlock()
	_, ok := e.exchange.lastSeen[incarnation]
	return ok
}

// lists reports whether the object API has listed n peers to the entry.
func (e *entry) lists(n int) bool {
	e.exchange.mu.Lock()
	defer e.exchange.mu.Unlock()
	return len(e.exchange.listedPeers) == n
}

// divertPeers makes the entry send its datagrams to an address that nobody reads, until the
// returned function is called. The entry must have found its peers.
func (e *entry) divertPeers() (restore func()) {
	x := e.exchange
	x.mu.Lock()
	defer x.mu.Unlock()
	listed, peers := x.listedPeers, x.peers
	x.listedPeers, x.peers = diverted(listed), diverted(peers)
	clear(x.hellos)
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.listedPeers, x.peers = listed, peers
	}
}

// diverted returns peers with the address of the discard port.
func diverted(peers []Peer) []Peer {
	out := slices.Clone(peers)
	for i := range out {
		out[i].DatagramAddress = netip.MustParseAddrPort("127.0.0.1:9")
	}
	return out
}
