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
	for _, p := range peers {
		if p.Incarnation == own {
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
			if own, _ := view(p.Incarnation, "a", peers, alive).Readers(); own {
				reading++
			}
		}
		if want := min(living, ReadersPerZone); reading != want {
			t.Fatalf("%d of %d living entries read, want %d", reading, living, want)
		}
	})
}

// Symptom: the object API is asked by every entry, three times a second each. Sequence:
// a zone has many entries. Cause: each reads for itself.
func TestEntriesAskTheReadersOfTheirZoneFirst(t *testing.T) {
	near, far := zoneOf(6, "a"), zoneOf(6, "b")
	for i := range far {
		far[i].Incarnation += 100
	}
	all := slices.Concat(near, far)
	heard := map[uint64]bool{}
	for _, p := range all {
		heard[p.Incarnation] = true
	}
	reads := map[string]bool{}
	for _, p := range near {
		if own, _ := view(p.Incarnation, "a", all, heard).Readers(); own {
			reads[p.RPC] = true
		}
	}
	for _, p := range near {
		own, addresses := view(p.Incarnation, "a", all, heard).Readers()
		if own {
			continue
		}
		for _, address := range addresses[:ReadersPerZone] {
			if !reads[address] {
				t.Errorf("entry %s asks %s first, which doesn't read", p.RPC, address)
			}
		}
	}
}

// Symptom: an entry that is cut off from its peers refuses its callers though the object
// API answers. Sequence: it hears nobody. Cause: it goes on leaving the reads to others.
func TestEntryThatHearsNobodyReadsForItself(t *testing.T) {
	if own, addresses := view(3, "a", zoneOf(6, "a"), nil).Readers(); !own || len(addresses) != 0 {
		t.Errorf("reads for itself: %v, asks %v", own, addresses)
	}
}
