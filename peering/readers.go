package peering

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReadersPerZone is how many entries of an availability zone read the object API; the
// others read through them. One may die or be turned away without a gap. Each entry
// asks some three times a second, which at 430 entries would be more than half of the
// 2,000 reads a second that the object API does.
const ReadersPerZone = 2

// Readers says which entries read the object API for the others, as one entry sees it:
// of those of its zone that it heard lately, itself included, the first by a hash. No
// entry has to agree: where views differ, one more or one less reads for a moment, and
// one that hears nobody reads for itself.
func (x *Exchange) Readers() (own bool, addresses []string) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	var near, far []Peer
	for _, p := range x.peers {
		at, heard := x.last[p.Incarnation]
		switch {
		case p.RPC == "" || !heard || now.Sub(at) > silentAfter:
		case p.Zone == x.cfg.Zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	slices.SortFunc(near, func(a, b Peer) int { return cmp.Compare(rankOf(a.Incarnation), rankOf(b.Incarnation)) })
	own = x.cfg.RPC == "" || firstOf(near, x.cfg.Incarnation)
	readers := near[:min(len(near), ReadersPerZone)]
	shuffle(readers)
	shuffle(far)
	// Those of other zones before the rest of the own one, which knows no more than the
	// readers that were asked before.
	for _, p := range slices.Concat(readers, far, near[len(readers):]) {
		addresses = append(addresses, p.RPC)
	}
	return own, addresses
}

func shuffle(peers []Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// firstOf reports whether an incarnation is among the first ReadersPerZone of a zone
// whose other entries are given in order.
func firstOf(near []Peer, own uint64) bool {
	if len(near) < ReadersPerZone {
		return true
	}
	return rankOf(own) < rankOf(near[ReadersPerZone-1].Incarnation)
}

// rankOf orders entries: evenly, and the same everywhere.
func rankOf(incarnation uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, incarnation))
}
