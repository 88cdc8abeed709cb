package membership

import (
	"net/netip"
	"time"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// home is what a Reporter knows of one entry.
type home struct {
	name        string
	key         uint64
	addr        netip.AddrPort
	rpc         string
	incarnation uint64
	draining    bool
	greeted     bool // it has this incarnation's descriptor
	unacked     int
	acked       uint64 // sequence of the newest report that it acknowledged
	suspect     bool
	period      time.Duration // that it asks for
	pulled      uint64        // version of the list that it gave
}

// Homes returns the names of the entries that are reported to.
func (r *Reporter) Homes() []string {
	names := make([]string, 0, len(r.active))
	for _, h := range r.active {
		names = append(names, h.name)
	}
	return names
}

// HomeAddresses returns the drpc addresses of the entries that are reported to.
func (r *Reporter) HomeAddresses() []string {
	addresses := make([]string, 0, len(r.active))
	for _, h := range r.active {
		addresses = append(addresses, h.rpc)
	}
	return addresses
}

// SetPeers takes the list of entries that one of them, source, gave. The list
// used is the union of those that the present homes gave, so that two homes
// whose lists differ for a while don't make the agent change homes to and fro.
func (r *Reporter) SetPeers(source string, peers []*wirepb.Peer) {
	if len(peers) == 0 {
		return
	}
	r.sources[source] = peers
	r.listAt = time.Time{}
	if h := r.entries[wire.Key(source)]; h != nil {
		h.pulled = PeersVersion(peers)
	}
	r.forgetSources(source)
	r.rebuild()
}

// forgetSources drops the lists of entries that are no longer homes or don't
// answer: a dead entry's last list names itself.
func (r *Reporter) forgetSources(latest string) {
	homes := map[string]bool{latest: true}
	for _, h := range r.active {
		homes[h.name] = homes[h.name] || !h.suspect
	}
	for name := range r.sources {
		if homes[name] {
			continue
		}
		delete(r.sources, name)
		if h := r.entries[wire.Key(name)]; h != nil {
			h.pulled = 0 // ask again when it answers
		}
	}
}

// rebuild takes the union of the lists and ranks the entries again.
func (r *Reporter) rebuild() {
	union := r.union()
	for key := range r.entries {
		if _, ok := union[key]; !ok {
			delete(r.entries, key)
		}
	}
	names := make([]string, 0, len(union))
	for key, p := range union {
		r.learn(key, p)
		names = append(names, p.GetName())
	}
	r.ranked = r.ranked[:0]
	for _, name := range Rank(r.cfg.Descriptor.Name, names, len(names)) {
		r.ranked = append(r.ranked, r.entries[wire.Key(name)])
	}
	r.chooseHomes()
}

// union returns the entries of all lists, those of the region if there are any.
func (r *Reporter) union() map[uint64]*wirepb.Peer {
	near, all := map[uint64]*wirepb.Peer{}, map[uint64]*wirepb.Peer{}
	for _, list := range r.sources {
		for _, p := range list {
			key := wire.Key(p.GetName())
			if old := all[key]; old != nil && old.GetIncarnation() > p.GetIncarnation() {
				continue
			}
			all[key] = p
			if p.GetRegion() == r.cfg.Descriptor.Region {
				near[key] = p
			}
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// learn notes an entry of a list. An entry at another address is another life.
func (r *Reporter) learn(key uint64, p *wirepb.Peer) {
	h := r.entries[key]
	addr := address(p.GetDatagramAddress())
	if h == nil || h.addr != addr {
		h = &home{name: p.GetName(), key: key}
		r.entries[key] = h
	}
	h.addr = addr
	h.rpc = p.GetRpcAddress()
	h.incarnation = max(h.incarnation, p.GetIncarnation())
	h.draining = p.GetDraining()
}

// chooseHomes takes the best ranked entries. For each that is suspect the next
// one stands in, while it lasts; the suspect goes on being probed.
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

// suspectSilent marks homes that acknowledge nothing any more.
func (r *Reporter) suspectSilent() {
	for _, h := range r.active {
		if !h.suspect && h.unacked >= suspectUnacked {
			h.suspect = true
			r.suspected.Inc(1)
		}
	}
	r.chooseHomes()
}

// askSeeds asks a seed for the list of entries while no entry answers: at the
// start, and when all the known ones were replaced while this agent was cut
// off.
func (r *Reporter) askSeeds(now time.Time, out *Effects) {
	if len(r.cfg.Seeds) == 0 || r.anyHealthy() {
		return
	}
	if !r.askedAt.IsZero() && now.Sub(r.askedAt) < r.cfg.Period {
		return
	}
	r.askedAt = now
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
