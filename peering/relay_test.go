package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// zones returns an entry of zone a that has heard all entries of the zones, which all know
// how to pass on.
func zones(each int, names ...string) *Exchange {
	x := &Exchange{cfg: Config{Incarnation: 1, Zone: "a"}, last: map[uint64]time.Time{}}
	for z, zone := range names {
		for i := range each {
			p := Peer{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Incarnation: uint64(100*z + i + 2), Relays: true}
			x.peers = append(x.peers, p)
			x.last[p.Incarnation] = time.Now().Add(time.Hour) // however long the test is paused
		}
	}
	return x
}

// Each piece of news goes to every entry of every other zone over the dear links.
func TestOtherZonesAreToldOnce(t *testing.T) {
	for _, each := range []int{relayLeast, 14, 84, 170} {
		direct, relays := zones(each, "a", "b", "c", "d", "e").ways()
		if len(direct) != each || len(relays) != 4 {
			t.Errorf("zones of %d: %d told themselves, %d pass on; want %d and 4", each, len(direct), len(relays), each)
		}
	}
	if direct, relays := zones(relayLeast-1, "a", "b", "c").ways(); len(direct) != 3*(relayLeast-1) || len(relays) != 0 {
		t.Errorf("small zones: %d told themselves, %d pass on", len(direct), len(relays))
	}
}

// A zone hears nothing because the entry that was to pass on is dead, or of a version that
// doesn't know how to.
func TestOnlyThoseThatLiveAndKnowHowPassOn(t *testing.T) {
	x := zones(4, "a", "b", "c")
	for i := range x.peers {
		p := &x.peers[i]
		switch p.Zone {
		case "b": // one of them lives and knows how
			p.Relays = p.Name == "b-2"
		case "c": // none of them is heard
			delete(x.last, p.Incarnation)
		}
	}
	for range 50 {
		direct, relays := x.ways()
		if len(relays) != 1 || relays[0].Name != "b-2" || len(direct) != 8 {
			t.Fatalf("%d told themselves, %v pass on", len(direct), relays)
		}
	}
}

// What an entry passes on doesn't reach the others of its zone, or goes round for ever.
func TestNewsReachAllEntriesOfAnotherZone(t *testing.T) {
	store := objectapi.NewMemory(objectapi.Config{})
	teller := startEntryIn(t, store, "a", 1, "za")
	var zone []*entry
	for i := range relayLeast {
		zone = append(zone, startEntryIn(t, store, fmt.Sprintf("b%d", i), uint64(i)+2, "zb"))
	}
	all := append([]*entry{teller}, zone...)
	for _, e := range all {
		await(t, "all found each other", func() bool { return <-e.entries == len(all) })
	}
	// Of an owner that sends no beats, which would tell of the end too.
	const silent = 99
	ids := []uint64{1, 2, 3}
	for _, e := range zone {
		for _, seq := range ids {
			e.ledger.Begin(placement.Attempt{ID: placement.AttemptID{Owner: silent, Seq: seq}, Server: 7}, time.Now())
		}
	}
	teller.exchange.tell(&wirepb.WorkNews{Owner: silent, Ended: ids})
	for _, e := range zone {
		await(t, "all hear of the ends", func() bool { return e.knows(silent) == 0 })
	}
	for _, e := range all {
		if n := e.exchange.dropped.Count(); n > 0 {
			t.Errorf("%d messages dropped", n)
		}
	}
}

// A prompt is placed beside one that began a moment before at an entry of a small fleet, since
// its news went a longer way than it had to; or the news of a large one take an entry longer to
// send than a prompt waits.
func TestWhatBeginsGoesTheQuickerWay(t *testing.T) {
	began := &wirepb.WorkNews{Began: []*wirepb.WorkBegan{{Seq: 1}}}
	for _, c := range []struct {
		each  int
		news  *wirepb.WorkNews
		wants bool
	}{
		{relayAllLeast/5 - 1, began, true},
		{relayAllLeast / 5, began, false},
		{84, began, false},
		{84, &wirepb.WorkNews{Hello: &wirepb.Peer{}}, true},
		{84, &wirepb.WorkNews{Evidence: []*wirepb.Evidence{{}}}, true},
		{3, &wirepb.WorkNews{Beat: true}, false},
	} {
		if got := zones(c.each, "a", "b", "c", "d", "e").goesStraight(c.news); got != c.wants {
			t.Errorf("zones of %d, %v: straight %v", c.each, c.news, got)
		}
	}
}
