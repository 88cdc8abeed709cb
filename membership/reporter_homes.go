package membership

import (
	"net/netip"
	"time"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// entryState is the state of one entry, whether or not it is a entryState at present.
type entryState struct {
	name          string
	key           uint64
	addr          netip.AddrPort
	rpcAddr       string
	incarnation   uint64
	draining      bool
	hasDescriptor bool // it has the descriptor of this incarnation
	unacked       int
	ackedSequence uint64 // sequence of the newest acknowledged report
	suspect       bool
	period        time.Duration // report period that it requests
	peersVersion  uint64        // version of the list that it sent
}

// Homes returns the names of the entries that receive reports.
func (r *Reporter) Homes() []string {
	names := make([]string, 0, len(r.active))
	for _, h := range r.active {
		names = append(names, h.name)
	}
	return names
}

// HomeAddresses returns the drpc addresses of the entries that receive reports.
func (r *Reporter) HomeAddresses() []string {
	addresses := make([]string, 0, len(r.active))
	for _, h := range r.active {
		addresses = append(addresses, h.rpcAddr)
	}
	return addresses
}

// SetPeers stores the list of entries that the entry source sent. The union of
// the lists of the present homes is used. So an agent doesn't switch back and
// forth between homes while the lists of two homes differ.
func (r *Reporter) SetPeers(source string, peers []*wirepb.Peer) {
	if len(peers) == 0 {
		return
	}
	r.peerLists[source] = peers
	r.peersPullAt = time.Time{}
	if h := r.entries[wire.NameKey(source)]; h != nil {
		h.peersVersion = PeersVersion(peers)
	}
	r.prunePeerLists(source)
	r.rankEntries()
}

// prunePeerLists drops the lists of entries that are no longer homes or are
// suspect, since the last list of a dead entry contains the entry itself.
func (r *Reporter) prunePeerLists(latest string) {
	homes := map[string]bool{latest: true}
	for _, h := range r.active {
		homes[h.name] = homes[h.name] || !h.suspect
	}
	for name := range r.peerLists {
		if homes[name] {
			continue
		}
		delete(r.peerLists, name)
		if h := r.entries[wire.NameKey(name)]; h != nil {
			h.peersVersion = 0 // pull again when it answers
		}
	}
}

// rankEntries merges the lists and ranks the entries again.
func (r *Reporter) rankEntries() {
	union := r.mergedPeers()
	for key := range r.entries {
		if _, ok := union[key]; !ok {
			delete(r.entries, key)
		}
	}
	names := make([]string, 0, len(union))
	for key, p := range union {
		r.updateHome(key, p)
		names = append(names, p.GetName())
	}
	r.ranked = r.ranked[:0]
	for _, name := range Rank(r.cfg.Descriptor.Name, names, len(names)) {
		r.ranked = append(r.ranked, r.entries[wire.NameKey(name)])
	}
	r.chooseHomes()
}

// mergedPeers returns the entries of all lists, restricted to the agent's region
// if it has any.
func (r *Reporter) mergedPeers() map[uint64]*wirepb.Peer {
	sameRegion, all := map[uint64]*wirepb.Peer{}, map[uint64]*wirepb.Peer{}
	for _, list := range r.peerLists {
		for _, p := range list {
			key := wire.NameKey(p.GetName())
			if old := all[key]; old != nil && old.GetIncarnation() > p.GetIncarnation() {
				continue
			}
			all[key] = p
			if p.GetRegion() == r.cfg.Descriptor.Region {
				sameRegion[key] = p
			}
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion
	}
	return all
}

// updateHome applies an entry of a list. An entry with another address is
// treated as a new one.
func (r *Reporter) updateHome(key uint64, p *wirepb.Peer) {
	h := r.entries[key]
	addr := parseAddrPort(p.GetDatagramAddress())
	if h == nil || h.addr != addr {
		h = &entryState{name: p.GetName(), key: key}
		r.entries[key] = h
	}
	h.addr = addr
	h.rpcAddr = p.GetRpcAddress()
	h.incarnation = max(h.incarnation, p.GetIncarnation())
	h.draining = p.GetDraining()
}

// chooseHomes selects the best ranked entries that aren't draining. For each
// suspect home the next entry is added while the suspicion lasts. The suspect
// home is still probed.
func (r *Reporter) chooseHomes() {
	want := r.cfg.Homes
	if want == 0 {
		want = HomeCount(len(r.ranked))
	}
	r.active = nil
	healthy := 0
	for _, h := range r.ranked {
		if healthy == want {
			break
		}
		if h.draining {
			continue
		}
		r.active = append(r.active, h)
		if !h.suspect {
			healthy++
		}
	}
}

// suspectUnackedHomes marks homes as suspect that no longer acknowledge reports.
func (r *Reporter) suspectUnackedHomes() {
	for _, h := range r.active {
		if !h.suspect && h.unacked >= suspectAfterUnacked {
			h.suspect = true
			r.homesSuspected.Inc(1)
		}
	}
	r.chooseHomes()
}

// pullFromSeed requests the list of entries from a seed while no entry answers:
// at the start, and if all known entries were replaced while this agent was cut
// off.
func (r *Reporter) pullFromSeed(now time.Time, out *Effects) {
	if len(r.cfg.Seeds) == 0 || r.anyHealthy() {
		return
	}
	if !r.seedAskedAt.IsZero() && now.Sub(r.seedAskedAt) < r.cfg.Period {
		return
	}
	r.seedAskedAt = now
	out.PullPeersFrom = r.cfg.Seeds[r.nextSeed%len(r.cfg.Seeds)]
	r.nextSeed++
}

// Isolated reports whether no known entry answers.
func (r *Reporter) Isolated() bool { return !r.anyHealthy() }

func (r *Reporter) anyHealthy() bool {
	for _, h := range r.active {
		if !h.suspect {
			return true
		}
	}
	return false
}
