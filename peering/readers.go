package peering

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerZone is how many entries of an availability zone read the object API; the
	// others read through them. Each entry asks some two times a second, which at 430
	// entries would be half of the 2,000 reads a second that the object API does.
	ReadersPerZone = 1
	// MinReaders is how many entries of a region read it at least. The first may be
	// turned away and the second die without a gap.
	MinReaders = 3
)

// Readers says which entries read the object API for the others, as one entry sees it.
type Readers struct {
	Self       bool     // this entry is one
	SameZone   []string // RPC addresses of the readers of its zone, itself left out
	OtherZones []string // of those of the other zones of its region
	Others     []string // of all other entries that were heard lately, its own region first
}

// Readers chooses the readers among the entries of the region that were heard lately,
// itself included: of each zone the first, and more from anywhere up to LeastReaders. No
// entry has to agree: where views differ, one more or one less reads for a moment, and
// one that hears nobody reads for itself.
func (x *Exchange) Readers() Readers {
	if x.cfg.RPCAddress == "" {
		return Readers{Self: true}
	}
	near, abroad := x.heardLately(time.Now())
	self := Peer{RPCAddress: x.cfg.RPCAddress, Zone: x.cfg.Zone, Region: x.cfg.Region, LinkMbps: x.cfg.LinkMbps, Incarnation: x.cfg.Incarnation}
	at, _ := slices.BinarySearchFunc(near, self, compareRank)
	readers, others := chooseReaders(slices.Insert(near, at, self))
	out := Readers{Others: slices.Concat(addressesOf(others, self), addressesOf(abroad, self))}
	for _, p := range readers {
		switch {
		case p.Incarnation == self.Incarnation:
			out.Self = true
		case p.Zone == self.Zone:
			out.SameZone = append(out.SameZone, p.RPCAddress)
		default:
			out.OtherZones = append(out.OtherZones, p.RPCAddress)
		}
	}
	shuffle(out.SameZone)
	shuffle(out.OtherZones)
	return out
}

// addressesOf returns the addresses of peers, in no order, but for the entry itself.
func addressesOf(peers []Peer, self Peer) []string {
	var out []string
	for _, p := range peers {
		if p.Incarnation != self.Incarnation {
			out = append(out, p.RPCAddress)
		}
	}
	shuffle(out)
	return out
}

// heardLately returns the peers that answer reads and were heard lately, in order of
// rank: those of the own region and those of others.
func (x *Exchange) heardLately(now time.Time) (near, abroad []Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		switch {
		case p.RPCAddress == "" || x.silentLocked(p.Incarnation, now):
		case p.Region == x.cfg.Region:
			near = append(near, p)
		default:
			abroad = append(abroad, p)
		}
	}
	return near, abroad
}

// chooseReaders parts the entries of a region, given in order of rank, into readers and
// others: the first ReadersPerZone of each zone, and the first of the rest until there
// are LeastReaders.
func chooseReaders(entries []Peer) (readers, others []Peer) {
	ofZone := map[string]int{}
	for _, p := range entries {
		if ofZone[p.Zone] < ReadersPerZone {
			ofZone[p.Zone]++
			readers = append(readers, p)
			continue
		}
		others = append(others, p)
	}
	more := min(max(MinReaders-len(readers), 0), len(others))
	return append(readers, others[:more]...), others[more:]
}

// compareRank orders entries the same everywhere: those on faster links first, since a
// reader hands a large configuration to all others of its zone at once (350 kB to a
// dozen take 1.7 s on 20 Mbit/s and 0.17 s on 200), and alike ones evenly by a hash.
func compareRank(a, b Peer) int {
	return cmp.Or(
		cmp.Compare(linkClass(b.LinkMbps), linkClass(a.LinkMbps)),
		cmp.Compare(rankOf(a.Incarnation), rankOf(b.Incarnation)),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// linkClass is the same for links that differ by less than two times.
func linkClass(mbps int) int { return bits.Len(uint(max(mbps, 0))) }

// rankOf spreads incarnations evenly.
func rankOf(incarnation uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, incarnation))
}

func shuffle(s []string) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
