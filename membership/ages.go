package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// A digest carries the age of the last sign of life of each entry of the region,
// one byte per entry, in the order of their keys. Sending one byte for every
// entry costs less than naming a few entries, and spreads signs of life within a
// few rounds. The ages refer to a set of entries, identified by its hash.
// Entries that have different sets skip each other's ages.
//
// An age is relative. However late it arrives, it can make a dead entry look
// alive only for as long as it was in transit. So a sign of life overrules a
// suspicion without a new incarnation, and an entry that resumes after a pause
// keeps its incarnation: its next digest is newer than any suspicion.
const (
	// ageUnit is the resolution of an age.
	ageUnit = 500 * time.Millisecond
	// ageSuspect marks an entry that the sender suspects.
	ageSuspect = 255
)

// encodeAges returns the hash of the member keys and the age of each member.
func (o *Observer) encodeAges(now time.Time) (uint64, []byte) {
	o.updateMemberKeys()
	list := make([]byte, 0, len(o.peers.memberKeys))
	for _, key := range o.peers.memberKeys {
		list = append(list, o.encodeAge(key, now))
	}
	return o.peers.memberKeysHash, list
}

// encodeAge returns the age byte of one entry.
func (o *Observer) encodeAge(key uint64, now time.Time) byte {
	if key == o.key {
		return 0
	}
	p := o.peers.all[key]
	if p.suspect {
		return ageSuspect
	}
	return byte(min(max(now.Sub(p.lastSeen), 0)/ageUnit, ageSuspect-1))
}

// updateMemberKeys sorts the keys of the region's entries, this one included,
// and hashes them.
func (o *Observer) updateMemberKeys() {
	if o.peers.memberKeys != nil {
		return
	}
	o.peers.memberKeys = append(slices.Clone(o.peers.keys), o.key)
	slices.Sort(o.peers.memberKeys)
	h := xxhash.New()
	for _, key := range o.peers.memberKeys {
		var buf [8]byte
		binary.BigEndian.PutUint64(buf[:], key)
		_, _ = h.Write(buf[:])
	}
	o.peers.memberKeysHash = h.Sum64()
}

// handleAges applies the ages that a peer sent about the other entries and this
// one.
func (o *Observer) handleAges(now time.Time, d *wirepb.Digest) {
	o.updateMemberKeys()
	if d.GetEntries() != o.peers.memberKeysHash || len(d.GetAges()) != len(o.peers.memberKeys) {
		return
	}
	// handleAge may invalidate the set, which clears memberKeys
	for i, key := range slices.Clone(o.peers.memberKeys) {
		o.handleAge(now, d.GetEntry(), key, d.GetAges()[i])
	}
}

func (o *Observer) handleAge(now time.Time, sender, key uint64, age byte) {
	p := o.peers.all[key]
	switch {
	case key == o.key:
		if age == ageSuspect {
			o.selfMissed.Inc(1)
		}
	case age == ageSuspect:
		p.suspectedBy[sender] = now
	default:
		// rounded up, so that relaying never makes an age smaller
		o.recordPeerAlive(now, key, p.incarnation, time.Duration(age+1)*ageUnit)
	}
}
