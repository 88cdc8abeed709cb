package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// newViewOfZones returns the Exchange of an entry of zone a to which all entries of the zones
// are live peers that can relay.
func newViewOfZones(each int, names ...string) *Exchange {
	x := &Exchange{cfg: Config{Incarnation: 1, Zone: "a"}, lastSeen: map[uint64]time.Time{}}
	for z, zone := range names {
		for i := range each {
			p := Peer{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Incarnation: uint64(100*z + i + 2), Relays: true}
			x.peers = append(x.peers, p)
			x.lastSeen[p.Incarnation] = time.Now().Add(time.Hour) // however long the test is paused
		}
	}
	return x
}

// Guards against sending each update to every entry of every other zone over expensive
// links.
func TestOneRelayPerOtherZone(t *testing.T) {
	for _, each := range []int{minZonePeersToRelay, 14, 84, 170} {
		direct, relays := newViewOfZones(each, "a", "b", "c", "d", "e").recipients()
		if len(direct) != each || len(relays) != 4 {
			t.Errorf("zones of %d: %d direct recipients, %d relays; want %d and 4", each, len(direct), len(relays), each)
		}
	}
	if direct, relays := newViewOfZones(minZonePeersToRelay-1, "a", "b", "c").recipients(); len(direct) != 3*(minZonePeersToRelay-1) || len(relays) != 0 {
		t.Errorf("small zones: %d direct recipients, %d relays", len(direct), len(relays))
	}
}

// Guards against a zone that receives nothing because the chosen relay is dead, or runs a
// version that can't relay.
func TestOnlyLiveCapablePeersRelay(t *testing.T) {
	x := newViewOfZones(4, "a", "b", "c")
	for i := range x.peers {
		p := &x.peers[i]
		switch p.Zone {
		case "b": // only one of them can relay
			p.Relays = p.Name == "b-2"
		case "c": // none of them is live
			delete(x.lastSeen, p.Incarnation)
		}
	}
	for range 50 {
		direct, relays := x.recipients()
		if len(relays) != 1 || relays[0].Name != "b-2" || len(direct) != 8 {
			t.Fatalf("%d direct recipients, relays %v", len(direct), relays)
		}
	}
}

// Guards against relayed messages that don't reach the other entries of the zone, or are
// relayed forever.
func TestRelayedUpdateReachesWholeZone(t *testing.T) {
	store := objectapi.NewMemory(objectapi.Config{})
	sender := startEntryInZone(t, store, "a", 1, "za")
	var zone []*entry
	for i := range minZonePeersToRelay {
		zone = append(zone, startEntryInZone(t, store, fmt.Sprintf("b%d", i), uint64(i)+2, "zb"))
	}
	all := append([]*entry{sender}, zone...)
	for _, e := range all {
		waitFor(t, "each entry found all others", func() bool { return <-e.entryCounts == len(all) })
	}
	// The owner sends no heartbeats, which would end the attempts too.
	const silent = 99
	ids := []uint64{1, 2, 3}
	for _, e := range zone {
		for _, seq := range ids {
			e.ledger.Begin(placement.Attempt{ID: placement.AttemptID{Owner: silent, Seq: seq}, Server: 7}, time.Now())
		}
	}
	sender.exchange.broadcast(&wirepb.WorkNews{Owner: silent, Ended: ids})
	for _, e := range zone {
		waitFor(t, "all entries receive the ends", func() bool { return e.attemptsOf(silent) == 0 })
	}
	for _, e := range all {
		if n := e.exchange.relaysDropped.Count(); n > 0 {
			t.Errorf("%d messages dropped", n)
		}
	}
}

// Guards against two failures: in a small fleet a prompt is placed on a server where another
// attempt started a moment before, because that start was relayed instead of sent directly;
// in a large fleet an entry needs longer to send a start to every peer than a prompt waits.
func TestBypassesRelays(t *testing.T) {
	began := &wirepb.WorkNews{Began: []*wirepb.WorkBegan{{Seq: 1}}}
	for _, c := range []struct {
		each   int
		update *wirepb.WorkNews
		want   bool
	}{
		{minPeersToRelayStarts/5 - 1, began, true},
		{minPeersToRelayStarts / 5, began, false},
		{84, began, false},
		{84, &wirepb.WorkNews{Hello: &wirepb.Peer{}}, true},
		{84, &wirepb.WorkNews{Evidence: []*wirepb.Evidence{{}}}, true},
		{84, &wirepb.WorkNews{Rates: []*wirepb.ServerRate{{}}}, true},
		{84, &wirepb.WorkNews{Drains: []*wirepb.ServerDrain{{}}}, true},
		{84, &wirepb.WorkNews{LostServers: []*wirepb.LostServer{{}}}, true},
		{84, &wirepb.WorkNews{PartDeaths: []*wirepb.PartDeath{{}}}, true},
		{3, &wirepb.WorkNews{Beat: true}, false},
	} {
		if got := newViewOfZones(c.each, "a", "b", "c", "d", "e").bypassesRelays(c.update); got != c.want {
			t.Errorf("zones of %d, %v: bypasses relays: %v", c.each, c.update, got)
		}
	}
}
