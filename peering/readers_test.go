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
	x := &Exchange{cfg: Config{Incarnation: own, Zone: zone, RPCAddress: "own"}, last: map[uint64]time.Time{}}
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
		out = append(out, Peer{Incarnation: uint64(i) + 1, Zone: zone, RPCAddress: fmt.Sprintf("%s-%d", zone, i+1)})
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
			if view(p.Incarnation, "a", peers, alive).Readers().Self {
				reading++
			}
		}
		if want := min(living, MinReaders); reading != want {
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
		if view(p.Incarnation, p.Zone, peers, heard).Readers().Self {
			reading[p.Zone]++
			addresses[p.RPCAddress] = true
		}
	}
	if len(reading) != 5 || len(addresses) != 5 {
		t.Fatalf("readers by zone: %v, want one of each of five", reading)
	}
	for _, p := range peers {
		r := view(p.Incarnation, p.Zone, peers, heard).Readers()
		if r.Self {
			continue
		}
		if len(r.SameZone) != 1 || len(r.OtherZones) != 4 || len(r.Others) != len(peers)-6 {
			t.Fatalf("entry %s knows %d readers near, %d far and %d others", p.RPCAddress, len(r.SameZone), len(r.OtherZones), len(r.Others))
		}
		for _, address := range slices.Concat(r.SameZone, r.OtherZones) {
			if !addresses[address] {
				t.Errorf("entry %s takes %s for a reader, which isn't", p.RPCAddress, address)
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
			fast[peers[i].RPCAddress] = true
		}
	}
	for _, p := range peers {
		if view(p.Incarnation, p.Zone, peers, heard).Readers().Self && !fast[p.RPCAddress] {
			t.Errorf("entry %s reads for its zone over a slow link", p.RPCAddress)
		}
	}
}

// Symptom: an entry that is cut off from its peers refuses its callers though the object
// API answers. Sequence: it hears nobody. Cause: it goes on leaving the reads to others.
func TestEntryThatHearsNobodyReadsForItself(t *testing.T) {
	r := view(3, "a", zoneOf(6, "a"), nil).Readers()
	if !r.Self || len(r.SameZone)+len(r.OtherZones)+len(r.Others) != 0 {
		t.Errorf("readers: %+v", r)
	}
}
