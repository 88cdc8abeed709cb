package membership

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Judging entries. Signs of life spread by digests, so silence is counted in
// digest periods and must outlast the slowest spread in a large region; see
// BenchmarkControlBytes.
const (
	peerSuspectPeriods = 25
	// claimPeriods is how long another entry's suspicion counts.
	claimPeriods = 30
	// deadTry is one in how many digests goes to an entry that is held for
	// dead. Without it the halves of a region that was cut in two would hold
	// each other for dead for ever.
	deadTry = 8
)

// peer is what an entry knows of another entry.
type peer struct {
	info        *wirepb.Peer
	key         uint64
	addr        netip.AddrPort
	incarnation uint64
	heardAt     time.Time // by anyone, as far as digests tell
	suspect     bool
	dead        bool
	claims      map[uint64]time.Time // who else misses it, since when known here
}

// peerSet is the entries of the region but this one.
type peerSet struct {
	all  map[uint64]*peer
	keys []uint64 // of all, sorted, so that random choices repeat with a seed
	// homes caches isHome; it is emptied when the entries change.
	homes   map[string]bool
	version uint64
	// names orders the region's entries, this one included; it and its hash
	// are what the ages of a digest refer to.
	names     []uint64
	namesHash uint64
}

func newPeerSet() peerSet { return peerSet{all: map[uint64]*peer{}} }

// changed drops what was worked out from the set.
func (s *peerSet) changed() {
	s.homes = map[string]bool{}
	s.version = 0
	s.names = nil
	s.keys = slices.Sorted(maps.Keys(s.all))
}

// isHome tells whether self is among an agent's homes.
func (s *peerSet) isHome(agent string, self *wirepb.Peer) bool {
	if is, ok := s.homes[agent]; ok {
		return is
	}
	names := []string{self.GetName()}
	for _, p := range s.all {
		if !p.dead && !p.info.GetDraining() {
			names = append(names, p.info.GetName())
		}
	}
	homes := Rank(agent, names, HomeCount(len(names)))
	if s.homes == nil {
		s.homes = map[string]bool{}
	}
	is := slices.Contains(homes, self.GetName())
	s.homes[agent] = is
	return is
}

// pick returns up to n different random peers that are not dead.
func (s *peerSet) pick(rnd *rand.Rand, n int) []*peer {
	var live []*peer
	for _, key := range s.keys {
		if p := s.all[key]; !p.dead {
			live = append(live, p)
		}
	}
	rnd.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// target returns the peer of the next digest, or nil.
func (s *peerSet) target(rnd *rand.Rand) *peer {
	var dead []*peer
	for _, key := range s.keys {
		if p := s.all[key]; p.dead {
			dead = append(dead, p)
		}
	}
	if len(dead) > 0 && rnd.IntN(deadTry) == 0 {
		return dead[rnd.IntN(len(dead))]
	}
	if picked := s.pick(rnd, 1); len(picked) > 0 {
		return picked[0]
	}
	return nil
}

// SetPeers takes the list of the region's entries from the platform's service.
// Entries that aren't in it are dropped.
func (o *Observer) SetPeers(now time.Time, list []*wirepb.Peer) {
	keep := map[uint64]bool{}
	for _, p := range list {
		keep[wire.Key(p.GetName())] = true
	}
	for key := range o.peers.all {
		if !keep[key] {
			delete(o.peers.all, key)
		}
	}
	o.MergePeers(now, list)
}

// MergePeers takes a list of entries from one of them. It drops none.
func (o *Observer) MergePeers(now time.Time, list []*wirepb.Peer) {
	for _, info := range list {
		key := wire.Key(info.GetName())
		if key == o.key || info.GetRegion() != o.self.GetRegion() {
			continue
		}
		p := o.peers.all[key]
		if p == nil {
			p = &peer{key: key, heardAt: now, claims: map[uint64]time.Time{}}
			o.peers.all[key] = p
		}
		if info.GetIncarnation() < p.incarnation {
			continue
		}
		if info.GetIncarnation() > p.incarnation {
			p.revive(info.GetIncarnation(), now)
		}
		p.info = proto.Clone(info).(*wirepb.Peer)
		p.addr = address(info.GetDatagramAddress())
	}
	o.peers.changed()
}

// Peers returns the entries that aren't held for dead, this one included, as
// agents and other entries are told.
func (o *Observer) Peers() []*wirepb.Peer {
	list := []*wirepb.Peer{proto.Clone(o.self).(*wirepb.Peer)}
	for _, key := range o.peers.keys {
		if p := o.peers.all[key]; !p.dead {
			list = append(list, proto.Clone(p.info).(*wirepb.Peer))
		}
	}
	return list
}

// PeersVersion identifies what Peers returns.
func (o *Observer) PeersVersion() uint64 {
	if o.peers.version == 0 {
		o.peers.version = PeersVersion(o.Peers())
	}
	return o.peers.version
}

// heard notes a sign of life of an entry. It returns false for an incarnation
// that is over.
func (o *Observer) heard(now time.Time, key, incarnation uint64, age time.Duration) bool {
	p := o.peers.all[key]
	if p == nil {
		return true
	}
	if incarnation < p.incarnation {
		return false
	}
	at := now.Add(-age)
	if incarnation == p.incarnation && !at.After(p.heardAt) {
		return true
	}
	wasDead := p.dead
	p.revive(incarnation, at)
	if p.suspect = now.Sub(at) > o.peerSuspectAfter(); p.suspect {
		p.dead = wasDead
	}
	if wasDead != p.dead {
		o.peers.changed()
	}
	return true
}

// revive begins a new count of silence.
func (p *peer) revive(incarnation uint64, at time.Time) {
	p.incarnation = incarnation
	p.heardAt = at
	p.suspect = false
	p.dead = false
	clear(p.claims)
}

func (o *Observer) peerSuspectAfter() time.Duration {
	return peerSuspectPeriods * o.cfg.DigestPeriod
}

// judgePeers marks entries that are missed. An entry is dead only if another
// one misses it too: a link that is cut in one direction makes just one of them
// miss it.
func (o *Observer) judgePeers(now time.Time) {
	for _, key := range o.peers.keys {
		p := o.peers.all[key]
		p.suspect = now.Sub(p.heardAt) > o.peerSuspectAfter()
		dead := p.suspect && p.claimed(now, claimPeriods*o.cfg.DigestPeriod)
		if dead && !p.dead {
			p.dead = true
			o.peers.changed()
		}
	}
}

// claimed tells whether another entry misses this one, and forgets old claims.
func (p *peer) claimed(now time.Time, ttl time.Duration) bool {
	for by, at := range p.claims {
		if now.Sub(at) > ttl {
			delete(p.claims, by)
		}
	}
	return len(p.claims) > 0
}

// SilentPeers returns the entries of the region that nobody has heard of for so long.
// While this entry hears nobody at all it returns none: then it is itself that is
// cut off.
func (o *Observer) SilentPeers(now time.Time, silence time.Duration) []*wirepb.Peer {
	if o.isolated(now) {
		return nil
	}
	var lost []*wirepb.Peer
	for _, key := range o.peers.keys {
		if p := o.peers.all[key]; now.Sub(p.heardAt) >= silence {
			lost = append(lost, proto.Clone(p.info).(*wirepb.Peer))
		}
	}
	return lost
}
