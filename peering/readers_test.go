package peering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newView returns the Exchange of one of the peers, to which those in live are live.
func newView(own uint64, zone string, peers []Peer, live map[uint64]bool) *Exchange {
	x := &Exchange{cfg: Config{Incarnation: own, Zone: zone, RPCAddress: "own"}, lastSeen: map[uint64]time.Time{}}
	peers = slices.Clone(peers)
	slices.SortFunc(peers, compareRank)
	for _, p := range peers {
		if p.Incarnation == own {
			x.cfg.LinkMbps = p.LinkMbps
			continue
		}
		x.peers = append(x.peers, p)
		if live[p.Incarnation] {
			x.lastSeen[p.Incarnation] = time.Now().Add(time.Hour) // however long the test is paused
		}
	}
	return x
}

func makeZone(n int, zone string) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{Incarnation: uint64(i) + 1, Zone: zone, RPCAddress: fmt.Sprintf("%s-%d", zone, i+1)})
	}
	return out
}

// Guards against a zone that stops serving some seconds after any number of its entries died
// or were cut off, because all live entries leave the object API to dead ones.
func TestEnoughLiveEntriesAreReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := makeZone(rapid.IntRange(1, 12).Draw(t, "entries"), "a")
		alive := map[uint64]bool{}
		for _, p := range peers {
			alive[p.Incarnation] = rapid.Bool().Draw(t, "alive")
		}
		live, reading := 0, 0
		for _, p := range peers {
			if !alive[p.Incarnation] {
				continue
			}
			live++
			if newView(p.Incarnation, "a", peers, alive).Readers().Self {
				reading++
			}
		}
		if want := min(live, MinReaders); reading != want {
			t.Fatalf("%d of %d live entries read, want %d", reading, live, want)
		}
	})
}

// fiveZones returns the entries of five zones, all of them live.
func fiveZones(each int) (peers []Peer, live map[uint64]bool) {
	live = map[uint64]bool{}
	for z, zone := range []string{"a", "b", "c", "d", "e"} {
		for _, p := range makeZone(each, zone) {
			p.Incarnation += uint64(100 * z)
			live[p.Incarnation] = true
			peers = append(peers, p)
		}
	}
	return peers, live
}

// Guards against zones with many entries in which every entry reads the object API, three
// times a second each.
func TestOneEntryOfEachZoneReads(t *testing.T) {
	peers, live := fiveZones(14)
	reading := map[string]int{}
	addresses := map[string]bool{}
	for _, p := range peers {
		if newView(p.Incarnation, p.Zone, peers, live).Readers().Self {
			reading[p.Zone]++
			addresses[p.RPCAddress] = true
		}
	}
	if len(reading) != 5 || len(addresses) != 5 {
		t.Fatalf("readers by zone: %v, want one in each of five", reading)
	}
	for _, p := range peers {
		r := newView(p.Incarnation, p.Zone, peers, live).Readers()
		if r.Self {
			continue
		}
		if len(r.SameZone) != 1 || len(r.OtherZones) != 4 || len(r.Others) != len(peers)-6 {
			t.Fatalf("entry %s: %d readers in its zone, %d in other zones and %d others", p.RPCAddress, len(r.SameZone), len(r.OtherZones), len(r.Others))
		}
		for _, address := range slices.Concat(r.SameZone, r.OtherZones) {
			if !addresses[address] {
				t.Errorf("entry %s lists %s as a reader, but it isn't one", p.RPCAddress, address)
			}
		}
	}
}

// Guards against entries that refuse requests because their configuration is stale: the
// reader of a zone sends a configuration of 350 kB to a dozen others at once, which takes
// 1.7 s if the reader has the slowest link of the zone.
func TestReadersHaveFastLinks(t *testing.T) {
	peers, live := fiveZones(14)
	fast := map[string]bool{}
	for i := range peers {
		peers[i].LinkMbps = 20
		if i%5 == 0 {
			peers[i].LinkMbps = 200
			fast[peers[i].RPCAddress] = true
		}
	}
	for _, p := range peers {
		if newView(p.Incarnation, p.Zone, peers, live).Readers().Self && !fast[p.RPCAddress] {
			t.Errorf("entry %s reads for its zone over a slow link", p.RPCAddress)
		}
	}
}

// Guards against an entry that is cut off from its peers and refuses requests although the
// object API answers, because it still leaves the reads to its peers.
func TestIsolatedEntryReadsForItself(t *testing.T) {
	r := newView(3, "a", makeZone(6, "a"), nil).Readers()
	if !r.Self || len(r.SameZone)+len(r.OtherZones)+len(r.Others) != 0 {
		t.Errorf("readers: %+v", r)
	}
}
