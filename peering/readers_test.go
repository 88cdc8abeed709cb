package peering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// view is an entry that knows n others of its zone, of which it hears those that live.
func view(own uint64, zone string, peers []Peer, heard map[uint64]bool) *Exchange {
	x := &Exchange{cfg: Config{Incarnation: own, Zone: zone, RPC: "own"}, last: map[uint64]time.Time{}}
	peers = slices.Clone(peers)
	slices.SortFunc(peers, compareRank)
	for _, p := range peers {
		if p.Incarnation == own {
			x.cfg.LinkMbps = p.LinkMbps
			continue
		}
		x.peers = append(x.peers, p)
		if heard[p.Incarnation] {
			x.last[p.Incarnation] = time.Now().Add(time.Hour) // however long the test is paused
		}
	}
	return x
}

func zoneOf(n int, zone string) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{Incarnation: uint64(i) + 1, Zone: zone, RPC: fmt.Sprintf("%s-%d", zone, i+1)})
	}
	return out
}

// Symptom: a zone serves nobody some seconds after entries were lost.
// Sequence: entries of a zone die, in any number, or are not heard any more.
// Cause: all that live leave the object API to those that don't.
func TestSomeEntryOfAZoneAlwaysReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := zoneOf(rapid.IntRange(1, 12).Draw(t, "entries"), "a")
		alive := map[uint64]bool{}
		for _, p := range peers {
			alive[p.Incarnation] = rapid.Bool().Draw(t, "alive")
		}
		living, reading := 0, 0
		for _, p := range peers {
			if !alive[p.Incarnation] {
				continue
			}
			living++
			if view(p.Incarnation, "a", peers, alive).Readers().Own {
				reading++
			}
		}
		if want := min(living, LeastReaders); reading != want {
			t.Fatalf("%d of %d living entries read, want %d", reading, living, want)
		}
	})
}

// fleet is five zones of entries, all of them heard.
func fleet(each int) (peers []Peer, heard map[uint64]bool) {
	heard = map[uint64]bool{}
	for z, zone := range []string{"a", "b", "c", "d", "e"} {
		for _, p := range zoneOf(each, zone) {
			p.Incarnation += uint64(100 * z)
			heard[p.Incarnation] = true
			peers = append(peers, p)
		}
	}
	return peers, heard
}

// Symptom: the object API is asked by every entry, three times a second each. Sequence:
// zones have many entries. Cause: each reads for itself.
func TestOneEntryOfEachZoneReads(t *testing.T) {
	peers, heard := fleet(14)
	reading := map[string]int{}
	addresses := map[string]bool{}
	for _, p := range peers {
		if view(p.Incarnation, p.Zone, peers, heard).Readers().Own {
			reading[p.Zone]++
			addresses[p.RPC] = true
		}
	}
	if len(reading) != 5 || len(addresses) != 5 {
		t.Fatalf("readers by zone: %v, want one of each of five", reading)
	}
	for _, p := range peers {
		r := view(p.Incarnation, p.Zone, peers, heard).Readers()
		if r.Own {
			continue
		}
		if len(r.Near) != 1 || len(r.Far) != 4 || len(r.Rest) != len(peers)-6 {
			t.Fatalf("entry %s knows %d readers near, %d far and %d others", p.RPC, len(r.Near), len(r.Far), len(r.Rest))
		}
		for _, address := range slices.Concat(r.Near, r.Far) {
			if !addresses[address] {
				t.Errorf("entry %s takes %s for a reader, which isn't", p.RPC, address)
			}
		}
	}
}

// Symptom: after a large configuration entries of a zone refuse their callers as stale.
// Sequence: the configuration has 350 kB; the reader of a zone hands it to a dozen others
// at once. Cause: it is on the slowest link of the zone, where that takes 1.7 s.
func TestEntriesOnFastLinksRead(t *testing.T) {
	peers, heard := fleet(14)
	fast := map[string]bool{}
	for i := range peers {
		peers[i].LinkMbps = 20
		if i%5 == 0 {
			peers[i].LinkMbps = 200
			fast[peers[i].RPC] = true
		}
	}
	for _, p := range peers {
		if view(p.Incarnation, p.Zone, peers, heard).Readers().Own && !fast[p.RPC] {
			t.Errorf("entry %s reads for its zone over a slow link", p.RPC)
		}
	}
}

// Symptom: an entry that is cut off from its peers refuses its callers though the object
// API answers. Sequence: it hears nobody. Cause: it goes on leaving the reads to others.
func TestEntryThatHearsNobodyReadsForItself(t *testing.T) {
	r := view(3, "a", zoneOf(6, "a"), nil).Readers()
	if !r.Own || len(r.Near)+len(r.Far)+len(r.Rest) != 0 {
		t.Errorf("readers: %+v", r)
	}
}
