package membership

import (
	"time"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// peerListSpread is the time over which agents pull a changed list of entries,
// for each entry above maxEntriesAllHomes. A home's number of agents is the same
// in a region of any size, but the list grows with the region: at 86 entries 28
// agents pull 6 KB each, which takes ten times the budget if it happens within
// one report period. A changed list isn't urgent. A home that drains says so in
// its answers, agents detect a home that died by themselves, and a new entry
// gets the backend servers from other entries in the meantime.
const peerListSpread = 7 * time.Second

// handlePeersVersion processes the version of a home's list of entries. If this
// agent doesn't have that list, it is pulled, at once or when the pull is due.
func (r *Reporter) handlePeersVersion(now time.Time, h *entryState, version uint64, out *Effects) {
	if version == 0 || version == h.peersVersion {
		return
	}
	if list := r.findPeerList(version); list != nil {
		due := r.peersPullAt // a pending pull of a newer list stays due
		r.SetPeers(h.name, list)
		r.peersPullAt = due
		return
	}
	if h.peersVersion != 0 && r.peersPullAt.IsZero() {
		r.peersPullAt = now.Add(r.randomPart(peerListSpread * time.Duration(max(len(r.ranked)-maxEntriesAllHomes, 0))))
	}
	if h.peersVersion == 0 || r.anyHomeSuspect() || !now.Before(r.peersPullAt) {
		out.PullPeersFrom = h.rpcAddr
	}
}

// findPeerList returns the list with a version if an entry has sent it, and nil
// otherwise.
func (r *Reporter) findPeerList(version uint64) []*wirepb.Peer {
	for _, list := range r.peerLists {
		if PeersVersion(list) == version {
			return list
		}
	}
	return nil
}

// anyHomeSuspect reports whether a home is suspect.
func (r *Reporter) anyHomeSuspect() bool {
	for _, h := range r.active {
		if h.suspect {
			return true
		}
	}
	return false
}
