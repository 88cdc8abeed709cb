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
	// ReadersPerZone is how many entries of an availability zone read the object API. The
	// other entries read through them. Each reader makes about two calls a second; 430
	// readers would take half of the 2,000 reads a second that the object API serves.
	ReadersPerZone = 1
	// MinReaders is the minimum number of entries of a region that read the object API.
	// With three, the object API can refuse one reader and a second one can die without an
	// interruption.
	MinReaders = 3
)

// Readers lists which entries read the object API for others, as seen by one entry.
type Readers struct {
	Self       bool     // this entry is a reader
	SameZone   []string // RPC addresses of the other readers in its zone
	OtherZones []string // RPC addresses of the readers in the other zones of its region
	Others     []string // RPC addresses of all other live entries, those of its region first
}

// Readers chooses the readers among the live entries of the region, including this one:
// the first ReadersPerZone of each zone, and more from any zone up to MinReaders. The
// entries need no agreement: if their views differ, one entry more or fewer reads for a
// moment, and an entry without live peers reads for itself.
func (x *Exchange) Readers() Readers {
	if x.cfg.RPCAddress == "" {
		return Readers{Self: true}
	}
	sameRegion, otherRegions := x.livePeers(time.Now())
	self := Peer{RPCAddress: x.cfg.RPCAddress, Zone: x.cfg.Zone, Region: x.cfg.Region, LinkMbps: x.cfg.LinkMbps, Incarnation: x.cfg.Incarnation}
	at, _ := slices.BinarySearchFunc(sameRegion, self, compareRank)
	readers, others := chooseReaders(slices.Insert(sameRegion, at, self))
	out := Readers{Others: slices.Concat(shuffledAddresses(others, self), shuffledAddresses(otherRegions, self))}
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

// shuffledAddresses returns the RPC addresses of peers except self, in random order.
func shuffledAddresses(peers []Peer, self Peer) []string {
	var out []string
	for _, p := range peers {
		if p.Incarnation != self.Incarnation {
			out = append(out, p.RPCAddress)
		}
	}
	shuffle(out)
	return out
}

// livePeers returns the peers that serve reads and haven't timed out, ordered by
// compareRank, split into those of the own region and those of other regions.
func (x *Exchange) livePeers(now time.Time) (sameRegion, otherRegions []Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		switch {
		case p.RPCAddress == "" || x.timedOutLocked(p.Incarnation, now):
		case p.Region == x.cfg.Region:
			sameRegion = append(sameRegion, p)
		default:
			otherRegions = append(otherRegions, p)
		}
	}
	return sameRegion, otherRegions
}

// chooseReaders splits the entries of a region, ordered by compareRank, into readers and
// others. The readers are the first ReadersPerZone entries of each zone, and the first of
// the rest until there are MinReaders.
func chooseReaders(entries []Peer) (readers, others []Peer) {
	perZone := map[string]int{}
	for _, p := range entries {
		if perZone[p.Zone] < ReadersPerZone {
			perZone[p.Zone]++
			readers = append(readers, p)
			continue
		}
		others = append(others, p)
	}
	more := min(max(MinReaders-len(readers), 0), len(others))
	return append(readers, others[:more]...), others[more:]
}

// compareRank orders entries identically on every entry. Entries with faster links come
// first, because a reader sends a large configuration to all others of its zone at once
// (350 kB to a dozen entries take 1.7 s at 20 Mbit/s and 0.17 s at 200 Mbit/s). Entries of
// the same link class are ordered by a hash, which spreads them evenly.
func compareRank(a, b Peer) int {
	return cmp.Or(
		cmp.Compare(linkClass(b.LinkMbps), linkClass(a.LinkMbps)),
		cmp.Compare(rankHash(a.Incarnation), rankHash(b.Incarnation)),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// linkClass groups link capacities by powers of two.
func linkClass(mbps int) int { return bits.Len(uint(max(mbps, 0))) }

// rankHash hashes an incarnation, for an even spread.
func rankHash(incarnation uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, incarnation))
}

func shuffle(s []string) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
