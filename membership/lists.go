package membership

import (
	"time"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// listSpread is the time over which agents pull a changed list of entries, for
// each entry past allHomes. A home's share of the agents is the same in a region
// of any size, its list is not: at 86 entries 28 agents pull 6 KB each, which in
// one report period takes ten times the budget. A changed list is not urgent: a
// home that drains says so in its answers, one that died is missed by them, and a
// new entry knows the backend servers from the others meanwhile.
const listSpread = 7 * time.Second

// listOffered takes the version of a home's list of entries, and pulls the list
// where it is new here.
func (r *Reporter) listOffered(now time.Time, h *home, version uint64, out *Effects) {
	if version == 0 || version == h.pulled {
		return
	}
	if list := r.listOf(version); list != nil {
		due := r.listAt // a pull of a still newer list stays due
		r.SetPeers(h.name, list)
		r.listAt = due
		return
	}
	if h.pulled != 0 && r.listAt.IsZero() {
		r.listAt = now.Add(r.spread(listSpread * time.Duration(max(len(r.ranked)-allHomes, 0))))
	}
	if h.pulled == 0 || r.homeSuspect() || !now.Before(r.listAt) {
		out.PullPeersFrom = h.rpc
	}
}

// listOf returns the list of a version if an entry gave it, else nil.
func (r *Reporter) listOf(version uint64) []*wirepb.Peer {
	for _, list := range r.sources {
		if PeersVersion(list) == version {
			return list
		}
	}
	return nil
}

// homeSuspect tells whether one of the homes doesn't answer.
func (r *Reporter) homeSuspect() bool {
	for _, h := range r.active {
		if h.suspect {
			return true
		}
	}
	return false
}
