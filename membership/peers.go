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

// Timing of the failure detection of entries. Signs of life spread by digests.
// So timeouts are counted in digest periods and must exceed the slowest spread
// in a large region; see BenchmarkControlBytes.
const (
	// peerSuspectPeriods is the number of digest periods without a sign of life
	// after which an entry is suspect.
	peerSuspectPeriods = 25
	// suspicionPeriods is the number of digest periods for which another entry's
	// suspicion counts.
	suspicionPeriods = 30
	// deadPeerProbeOneIn is n in "one of n digests goes to a dead entry".
	// Without these digests the halves of a partitioned region would treat each
	// other as dead forever.
	deadPeerProbeOneIn = 8
)

// peer is the state of another entry.
type peer struct {
	info        *wirepb.Peer
	key         uint64
	addr        netip.AddrPort
	incarnation uint64
	lastSeen    time.Time // by any entry, according to digests
	suspect     bool
	dead        bool
	suspectedBy map[uint64]time.Time // entries that suspect it, and when the last such digest arrived
}

// peerSet is the set of the region's other entries.
type peerSet struct {
	all  map[uint64]*peer
	keys []uint64 // keys of all, sorted, so that random choices are reproducible with a seed
	// homes caches the results of isHome. It is cleared when the entries change.
	homes   map[string]bool
	version uint64
	// memberKeys are the sorted keys of the region's entries, this one included.
	// The ages of a digest refer to them and to their hash.
	memberKeys     []uint64
	memberKeysHash uint64
}

func newPeerSet() peerSet { return peerSet{all: map[uint64]*peer{}} }

// invalidate clears what is derived from the set.
func (s *peerSet) invalidate() {
	s.homes = map[string]bool{}
	s.version = 0
	s.memberKeys = nil
	s.keys = slices.Sorted(maps.Keys(s.all))
}

// isHome reports whether self is a home of an agent.
func (s *peerSet) isHome(agent string, self *wirepb.Peer) bool {
	if cached, ok := s.homes[agent]; ok {
		return cached
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
	result := slices.Contains(homes, self.GetName())
	s.homes[agent] = result
	return result
}

// pickLive returns up to n different random peers that aren't dead.
func (s *peerSet) pickLive(rnd *rand.Rand, n int) []*peer {
	var live []*peer
	for _, key := range s.keys {
		if p := s.all[key]; !p.dead {
			live = append(live, p)
		}
	}
	rnd.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// digestTarget returns the peer for the next digest, or nil.
func (s *peerSet) digestTarget(rnd *rand.Rand) *peer {
	var dead []*peer
	for _, key := range s.keys {
		if p := s.all[key]; p.dead {
			dead = append(dead, p)
		}
	}
	if len(dead) > 0 && rnd.IntN(deadPeerProbeOneIn) == 0 {
		return dead[rnd.IntN(len(dead))]
	}
	if picked := s.pickLive(rnd, 1); len(picked) > 0 {
		return picked[0]
	}
	return nil
}

// SetPeers replaces the list of the region's entries by one from the platform's
// service. Entries that aren't in it are dropped.
func (o *Observer) SetPeers(now time.Time, list []*wirepb.Peer) {
	keep := map[uint64]bool{}
	for _, p := range list {
		keep[wire.NameKey(p.GetName())] = true
	}
	for key := range o.peers.all {
		if !keep[key] {
			delete(o.peers.all, key)
		}
	}
	o.MergePeers(now, list)
}

// MergePeers merges a list of entries from another entry. It drops none.
func (o *Observer) MergePeers(now time.Time, list []*wirepb.Peer) {
	for _, info := range list {
		key := wire.NameKey(info.GetName())
		if key == o.key || info.GetRegion() != o.self.GetRegion() {
			continue
		}
		p := o.peers.all[key]
		if p == nil {
			p = &peer{key: key, lastSeen: now, suspectedBy: map[uint64]time.Time{}}
			o.peers.all[key] = p
		}
		if info.GetIncarnation() < p.incarnation {
			continue
		}
		if info.GetIncarnation() > p.incarnation {
			p.markAlive(info.GetIncarnation(), now)
		}
		p.info = proto.Clone(info).(*wirepb.Peer)
		p.addr = parseAddrPort(info.GetDatagramAddress())
	}
	o.peers.invalidate()
}

// Peers returns the entries that aren't dead, this one included, as they are
// sent to agents and other entries.
func (o *Observer) Peers() []*wirepb.Peer {
	list := []*wirepb.Peer{proto.Clone(o.self).(*wirepb.Peer)}
	for _, key := range o.peers.keys {
		if p := o.peers.all[key]; !p.dead {
			list = append(list, proto.Clone(p.info).(*wirepb.Peer))
		}
	}
	return list
}

// PeersVersion returns the version of the list that Peers returns.
func (o *Observer) PeersVersion() uint64 {
	if o.peers.version == 0 {
		o.peers.version = PeersVersion(o.Peers())
	}
	return o.peers.version
}

// recordPeerAlive records a sign of life of an entry, received age ago. It
// returns false if the incarnation is outdated.
func (o *Observer) recordPeerAlive(now time.Time, key, incarnation uint64, age time.Duration) bool {
	p := o.peers.all[key]
	if p == nil {
		return true
	}
	if incarnation < p.incarnation {
		return false
	}
	at := now.Add(-age)
	if incarnation == p.incarnation && !at.After(p.lastSeen) {
		return true
	}
	wasDead := p.dead
	p.markAlive(incarnation, at)
	if p.suspect = now.Sub(at) > o.peerSuspectTimeout(); p.suspect {
		p.dead = wasDead
	}
	if wasDead != p.dead {
		o.peers.invalidate()
	}
	return true
}

// markAlive sets the time of the last sign of life and clears suspicions.
func (p *peer) markAlive(incarnation uint64, at time.Time) {
	p.incarnation = incarnation
	p.lastSeen = at
	p.suspect = false
	p.dead = false
	clear(p.suspectedBy)
}

func (o *Observer) peerSuspectTimeout() time.Duration {
	return peerSuspectPeriods * o.cfg.DigestPeriod
}

// checkPeers marks silent entries. An entry is dead only if another one suspects
// it too: if a link fails in one direction, only one of its two ends misses the
// other.
func (o *Observer) checkPeers(now time.Time) {
	for _, key := range o.peers.keys {
		p := o.peers.all[key]
		p.suspect = now.Sub(p.lastSeen) > o.peerSuspectTimeout()
		dead := p.suspect && p.hasSuspicion(now, suspicionPeriods*o.cfg.DigestPeriod)
		if dead && !p.dead {
			p.dead = true
			o.peers.invalidate()
		}
	}
}

// hasSuspicion reports whether another entry suspects this one. It removes
// expired suspicions.
func (p *peer) hasSuspicion(now time.Time, ttl time.Duration) bool {
	for sender, at := range p.suspectedBy {
		if now.Sub(at) > ttl {
			delete(p.suspectedBy, sender)
		}
	}
	return len(p.suspectedBy) > 0
}

// SilentPeers returns the entries of the region from which no sign of life has
// arrived for the given time, directly or by digests. It returns none while this
// entry is itself isolated.
func (o *Observer) SilentPeers(now time.Time, silence time.Duration) []*wirepb.Peer {
	if o.isolated(now) {
		return nil
	}
	var lost []*wirepb.Peer
	for _, key := range o.peers.keys {
		if p := o.peers.all[key]; now.Sub(p.lastSeen) >= silence {
			lost = append(lost, proto.Clone(p.info).(*wirepb.Peer))
		}
	}
	return lost
}
