package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// What one digest carries, so that its size stays within the budget.
const (
	digestRows     = 12
	digestEvidence = 6
	rowsPerPool    = 2
	// drainSpread is how long a draining server goes first in digests.
	drainSpread = 10 * time.Second
	kilo        = 1000
	// describeAgain is how long an agent whose descriptor changed isn't asked
	// again: its answer is under way, or was lost. It also bounds the requests
	// if two releases don't encode a descriptor alike.
	describeAgain = 5 * time.Second
)

// digestState remembers where the next digest goes on.
type digestState struct {
	pool  string // the last pool that was passed on
	bytes int    // length of the last digest with its headers
}

// descriptorHash is a descriptor's short name in digests; 0 is kept for
// unknown.
func descriptorHash(d *wirepb.Descriptor) uint32 {
	buf, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return 0 // not UTF-8, which Check refuses: told as unknown
	}
	return max(1, uint32(xxhash.Sum64(buf)))
}

// sendDigest sends a digest to one random peer when it is due.
func (o *Observer) sendDigest(now time.Time, out *Effects) {
	if o.nextAt.IsZero() {
		o.nextAt = now.Add(time.Duration(o.cfg.Rand.Float64() * float64(o.cfg.DigestPeriod)))
	}
	if now.Before(o.nextAt) {
		return
	}
	o.nextAt = o.nextAt.Add(o.cfg.DigestPeriod)
	if o.nextAt.Before(now) {
		o.nextAt = now.Add(o.cfg.DigestPeriod)
	}
	if p := o.peers.target(o.cfg.Rand); p != nil {
		m := digestMessage(o.digest(now))
		o.digests.bytes = proto.Size(m) + wire.HeaderBytes
		out.send(p.addr, m)
	}
}

// digest puts one digest together.
func (o *Observer) digest(now time.Time) *wirepb.Digest {
	names, ages := o.ages(now)
	return &wirepb.Digest{
		Entry:            o.key,
		EntryIncarnation: o.self.GetIncarnation(),
		ConfigVersion:    o.config.revision,
		Draining:         o.self.GetDraining(),
		Rows:             o.rows(now),
		Entries:          names,
		Ages:             ages,
		Evidence:         o.rumors.next(now, digestEvidence),
	}
}

// rows picks draining servers first, then the least loaded of some pools in
// turn. Where every entry is a home of every agent there is nothing to pass on.
func (o *Observer) rows(now time.Time) []*wirepb.DigestRow {
	if len(o.peers.all)+1 <= allHomes {
		return nil
	}
	byPool := map[string][]*agent{}
	var drains []*agent
	for _, a := range o.agents {
		switch {
		case a.gone || a.suspect || a.leaving == a.incarnation:
		case a.load.Draining:
			if now.Sub(a.drainedAt) < drainSpread {
				drains = append(drains, a)
			}
		case a.direct:
			byPool[a.pool] = append(byPool[a.pool], a)
		}
	}
	var rows []*wirepb.DigestRow
	for _, a := range newestDrains(drains, digestRows/2) {
		rows = append(rows, o.row(now, a))
	}
	for _, pool := range o.turn(byPool) {
		if len(rows)+rowsPerPool > digestRows {
			break
		}
		for _, a := range leastLoaded(byPool[pool], rowsPerPool) {
			rows = append(rows, o.row(now, a))
		}
		o.digests.pool = pool
	}
	return rows
}

// newestDrains returns up to n of the servers that began to drain last. Every
// entry passes a drain on for a while, not only the homes: two homes alone reach
// a fifth of a large region in that time.
func newestDrains(agents []*agent, n int) []*agent {
	slices.SortFunc(agents, func(a, b *agent) int {
		return cmp.Or(b.drainedAt.Compare(a.drainedAt), cmp.Compare(a.key, b.key))
	})
	return agents[:min(n, len(agents))]
}

// turn returns the pools in order, from the one behind the last passed on.
func (o *Observer) turn(byPool map[string][]*agent) []string {
	pools := make([]string, 0, len(byPool))
	for pool := range byPool {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	i, found := slices.BinarySearch(pools, o.digests.pool)
	if found {
		i++
	}
	return append(pools[i:], pools[:i]...)
}

// leastLoaded returns up to n agents with the least work waiting.
func leastLoaded(agents []*agent, n int) []*agent {
	slices.SortFunc(agents, func(a, b *agent) int {
		return cmp.Or(
			cmp.Compare(a.load.PrefillShort+a.load.PrefillLong, b.load.PrefillShort+b.load.PrefillLong),
			cmp.Compare(a.load.Running+a.load.Waiting, b.load.Running+b.load.Waiting),
			cmp.Compare(a.key, b.key),
		)
	})
	return agents[:min(n, len(agents))]
}

// row encodes one agent's last sample.
func (o *Observer) row(now time.Time, a *agent) *wirepb.DigestRow {
	free := a.load.Capacity - a.load.Used - a.load.Held
	row := &wirepb.DigestRow{
		Key:          a.key,
		Incarnation:  a.incarnation,
		Running:      uint32(max(a.load.Running, 0)),
		PrefillK:     kilos(a.load.PrefillShort + a.load.PrefillLong),
		PrefillLongK: kilos(a.load.PrefillLong),
		FreeK:        kilos(free),
		AgeDs:        tenths(now.Sub(a.sampledAt)),
		Draining:     a.load.Draining,
	}
	if a.direct {
		row.Descriptor_ = a.hash
	}
	if a.addr.Addr().Is4() {
		ip := a.addr.Addr().As4()
		row.Address = binary.BigEndian.Uint32(ip[:])
		row.Port = uint32(a.addr.Port())
	}
	return row
}

// kilos and tenths are the units of a row, cut to what Check accepts.
func kilos(n int64) uint32 { return uint32(min(max(n, 0)/kilo, 1<<30)) }

func tenths(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/(100*time.Millisecond), 36_000))
}

// age is the inverse of tenths.
func age(ds uint32) time.Duration { return time.Duration(ds) * 100 * time.Millisecond }

// handleDigest takes a peer's digest.
func (o *Observer) handleDigest(now time.Time, d *wirepb.Digest, out *Effects) {
	if d.GetEntry() == o.key {
		return
	}
	if !o.heard(now, d.GetEntry(), d.GetEntryIncarnation(), 0) {
		o.oldIncarnation.Inc(1)
		return
	}
	o.notePeer(d, out)
	o.handleAges(now, d)
	for _, row := range d.GetRows() {
		o.handleRow(now, row, out)
	}
	o.learnEvidence(now, d.GetEvidence(), out)
}

// notePeer takes what a digest says of its sender.
func (o *Observer) notePeer(d *wirepb.Digest, out *Effects) {
	p := o.peers.all[d.GetEntry()]
	if p == nil {
		// An entry that isn't in the list yet: somebody has a newer list.
		if picked := o.peers.pick(o.cfg.Rand, 1); len(picked) > 0 {
			out.PullPeersFrom = picked[0].info.GetRpcAddress()
		}
		return
	}
	if d.GetDraining() && !p.info.GetDraining() {
		p.info.Draining = true
		o.peers.changed()
	}
	if d.GetConfigVersion() > o.config.revision {
		out.PullConfigFrom = p.info.GetRpcAddress()
		out.PullConfigVersion = d.GetConfigVersion()
	}
}

// handleRow takes another home's sample of an agent.
func (o *Observer) handleRow(now time.Time, row *wirepb.DigestRow, out *Effects) {
	a := o.agents[row.GetKey()]
	if a == nil || row.GetIncarnation() > a.incarnation {
		o.askDescriptor(now, row, out)
		return
	}
	if row.GetIncarnation() < a.incarnation {
		o.oldIncarnation.Inc(1)
		return
	}
	o.checkDescriptor(now, a, row, out)
	old := age(row.GetAgeDs())
	if !now.Add(-old).After(a.sampledAt) {
		return
	}
	load := rowLoad(row, a)
	if a.load.Draining && !load.Draining {
		return // a drain isn't taken back within an incarnation
	}
	known := o.cfg.Table.ObserveLoad(a.key, a.incarnation, load, old, now)
	if !known && a.descriptor == nil {
		o.askDescriptor(now, row, out)
		return
	}
	o.sample(now, a, load, max(old, time.Nanosecond))
	if !known {
		o.list(now, a, old)
	}
	o.remindLeaving(a)
}

// checkDescriptor asks for a descriptor that changed. Models, adapters, role and
// pool change within an incarnation, and an agent tells its homes only: without
// this, other entries would send requests for what a server no longer has until
// it refuses them, and none for what it loaded.
func (o *Observer) checkDescriptor(now time.Time, a *agent, row *wirepb.DigestRow, out *Effects) {
	hash := row.GetDescriptor_()
	if a.direct || a.descriptor == nil || hash == 0 || hash == a.hash {
		return
	}
	if now.Sub(a.askedAt) >= describeAgain && o.askDescriptor(now, row, out) {
		a.askedAt = now
	}
}

// rowLoad restores a sample from a row, as far as a row tells.
func rowLoad(row *wirepb.DigestRow, a *agent) backend.Load {
	capacity := a.load.Capacity
	long := min(row.GetPrefillLongK(), row.GetPrefillK()) // a part of it
	return backend.Load{
		Running:      int32(row.GetRunning()),
		PrefillShort: int64(row.GetPrefillK()-long) * kilo,
		PrefillLong:  int64(long) * kilo,
		Used:         max(capacity-int64(row.GetFreeK())*kilo, 0),
		Capacity:     capacity,
		Draining:     row.GetDraining(),
		Incarnation:  row.GetIncarnation(),
	}
}

// askDescriptor asks an agent that a digest mentioned for its descriptor, unless
// too many were asked of late.
func (o *Observer) askDescriptor(now time.Time, row *wirepb.DigestRow, out *Effects) bool {
	if row.GetPort() == 0 || !o.describe.AllowN(now, 1) {
		return false
	}
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], row.GetAddress())
	to := netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(row.GetPort()))
	out.send(to, describeMessage(row.GetKey()))
	return true
}
