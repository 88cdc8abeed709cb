package peering

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/internal/boottime"
	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

var downServer = servernotice.Server{Key: 21, StartedUnixMs: 1000}

// observeLoss records and reports that a server doesn't serve, as an entry's gateway does.
func (e *entry) observeLoss(kind lostservers.Kind) {
	evidence := lostservers.Evidence{Server: downServer, Kind: kind, SeenAt: boottime.Now()}
	if e.lost.Observe(evidence) {
		e.exchange.LossReporter().ReportLoss(evidence)
	}
}

// knowsLoss reports whether the server counts as lost.
func (e *entry) knowsLoss() bool {
	return len(e.lost.Lost([]servernotice.Server{downServer}, boottime.Now())) > 0
}

// Guards against entries that each find a server that is down by failed attempts of their own.
func TestLossReachesOtherEntries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	a.observeLoss(lostservers.Refused)
	waitFor(t, "b knows that the server is lost", b.knowsLoss)
	next := downServer
	next.StartedUnixMs++
	if len(b.lost.Lost([]servernotice.Server{next}, boottime.Now())) != 0 {
		t.Error("the next start of the server counts as lost")
	}
}

// Guards against an entry that never learns of a loss because the datagram about it was lost.
func TestLostLossReportIsRepeated(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b is listed", func() bool { return a.lists(1) })
	waitFor(t, "b knows that the server is lost", func() bool {
		reachable := a.divertPeers()
		a.observeLoss(lostservers.Refused)
		waitFor(t, "a has sent its report", func() bool { return !a.exchange.outbox.urgent() })
		time.Sleep(2 * batchDelay) // the last report is on its way
		reachable()
		time.Sleep(lossRepeatPeriod) // on a slow machine the time for repetition can pass, so that another report is needed
		return b.knowsLoss()
	})
}

// Guards against entries that go on leaving out a server which has responded to another one since.
func TestFirstTokenOfPeerEndsEvidence(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	attempt := a.startAttempt(1, 1)
	waitFor(t, "b receives the start", func() bool { return b.attemptsOf(1) == 1 })
	server := servernotice.Server{Key: attempt.Server}
	now := boottime.Now()
	b.lost.Observe(lostservers.Evidence{Server: server, Kind: lostservers.Refused, SeenAt: now.Add(-time.Second)})
	lost := func() bool { return len(b.lost.Lost([]servernotice.Server{server}, now)) > 0 }
	if !lost() {
		t.Fatal("the evidence doesn't count")
	}
	waitFor(t, "b has no evidence left", func() bool {
		a.exchange.AttemptPublisher().FirstToken(attempt.ID) // again, since b ignores messages after a gap on a slow machine
		return !lost()
	})
}

// Guards against reports that wait for a batch while other entries send requests to the server.
func TestLossReportIsUrgent(t *testing.T) {
	o := newOutbox(1)
	o.ReportLoss(lostservers.Evidence{Server: downServer, Kind: lostservers.Refused})
	if !o.urgent() {
		t.Error("the report isn't urgent")
	}
	if m := o.drain(time.Now()); len(m) != 1 || len(m[0].GetLostServers()) != 1 || o.urgent() {
		t.Errorf("messages %v", m)
	}
}

// Guards against a cut link of one zone that takes servers out of use in the others.
func TestSilenceFromOneOtherZoneDoesNotCount(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntryInZone(t, store, "a", 1, "z1"), startEntryInZone(t, store, "b", 2, "z1")
	here, there := startEntryInZone(t, store, "c", 3, "z1"), startEntryInZone(t, store, "d", 4, "z2")
	for _, e := range []*entry{a, b, here, there} {
		waitFor(t, "all are listed", func() bool { return e.lists(3) })
	}
	now := boottime.Now()
	report := []*wirepb.LostServer{encodeLoss(lostservers.Evidence{Server: downServer, Kind: lostservers.Silent, SeenAt: now}, now)}
	for _, e := range []*entry{here, there} {
		e.exchange.handleLostServers(1, report, now)
		e.exchange.handleLostServers(2, report, now)
	}
	lost := func(e *entry) bool { return len(e.lost.Lost([]servernotice.Server{downServer}, now)) > 0 }
	if !lost(here) || lost(there) {
		t.Errorf("lost in the zone of the reports: %v, want true; in the other one: %v, want false", lost(here), lost(there))
	}
	there.exchange.handleLostServers(3, report, now)
	if lost(there) {
		t.Error("a third entry of the zone makes the server count as lost in the other one")
	}
	there.lost.Observe(lostservers.Evidence{Server: downServer, Kind: lostservers.Silent, SeenAt: now})
	if got := there.lost.Lost([]servernotice.Server{downServer}, now); len(got) != 1 || len(got[0].Sources) != 4 {
		t.Errorf("with its own evidence the other zone has %+v", got)
	}
}

// Guards against evidence that looks newer than it is, or of another kind, after its way to
// another entry, and against messages that don't fit a datagram.
func TestLossMessagesKeepEvidence(t *testing.T) {
	now := boottime.Instant(time.Hour)
	for kind := range lossKinds {
		want := lostservers.Evidence{Server: downServer, Kind: kind, SeenAt: now.Add(-700 * time.Millisecond)}
		got, ok := decodeLoss(encodeLoss(want, now), now)
		if diff := cmp.Diff(want, got); diff != "" || !ok {
			t.Errorf("%v: %s", kind, diff)
		}
	}
	if _, ok := decodeLoss(&wirepb.LostServer{Server: 1, Kind: 99}, now); ok {
		t.Error("an unknown kind counts")
	}
	var list []lostservers.Evidence
	for i := range uint64(2 * maxLostPerMessage) {
		s := servernotice.Server{Key: ^i, StartedUnixMs: 1 << 41}
		list = append(list, lostservers.Evidence{Server: s, Kind: lostservers.Silent, SeenAt: now.Add(-5 * time.Second)})
	}
	for _, m := range lostServerMessages(^uint64(0), list, now) {
		m.PassOn = true
		d := &wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: m}}
		if err := wire.Check(d); err != nil {
			t.Error(err)
		}
		if size := proto.Size(d); size > wire.MaxDatagramBytes {
			t.Errorf("%d bytes", size)
		}
	}
}
