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

// Limits of a digest, which keep its size within the budget.
const (
	// maxDigestRows is the number of rows in a digest.
	maxDigestRows = 12
	// maxDigestEvidence is the number of pieces of evidence in a digest.
	maxDigestEvidence = 6
	// rowsPerPool is the number of least loaded servers of a pool in a digest.
	rowsPerPool = 2
	// drainPriorityTime is how long a draining server comes first in digests.
	drainPriorityTime = 10 * time.Second
	kilo              = 1000
	// describeRetryInterval is the time after which an agent with a changed
	// descriptor is asked again for it. Until then its answer may be in transit.
	// It also bounds the requests if two releases encode a descriptor
	// differently.
	describeRetryInterval = 5 * time.Second
)

// digestState is the position at which the next digest continues.
type digestState struct {
	lastPool  string // the last pool that a digest contained
	lastBytes int    // length of the last digest with its headers
}

// descriptorHash returns the hash that identifies a descriptor in digests. 0
// means unknown.
func descriptorHash(d *wirepb.Descriptor) uint32 {
	buf, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return 0 // not UTF-8, which Check rejects
	}
	return max(1, uint32(xxhash.Sum64(buf)))
}

// sendDigest sends a digest to one random peer when it is due.
func (o *Observer) sendDigest(now time.Time, out *Effects) {
	if o.nextDigestAt.IsZero() {
		o.nextDigestAt = now.Add(time.Duration(o.cfg.Rand.Float64() * float64(o.cfg.DigestPeriod)))
	}
	if now.Before(o.nextDigestAt) {
		return
	}
	o.nextDigestAt = o.nextDigestAt.Add(o.cfg.DigestPeriod)
	if o.nextDigestAt.Before(now) {
		o.nextDigestAt = now.Add(o.cfg.DigestPeriod)
	}
	if p := o.peers.digestTarget(o.cfg.Rand); p != nil {
		m := digestMessage(o.newDigest(now))
		o.digests.lastBytes = proto.Size(m) + wire.UDPHeaderBytes
		out.send(p.addr, m)
	}
}

// newDigest returns the next digest.
func (o *Observer) newDigest(now time.Time) *wirepb.Digest {
	names, ages := o.encodeAges(now)
	return &wirepb.Digest{
		Entry:            o.key,
		EntryIncarnation: o.self.GetIncarnation(),
		ConfigVersion:    o.config.revision,
		Draining:         o.self.GetDraining(),
		Rows:             o.digestRows(now),
		Entries:          names,
		Ages:             ages,
		Evidence:         o.evidence.next(now, maxDigestEvidence),
	}
}

// digestRows returns rows of draining servers first, then of the least loaded
// servers of some pools in turn. It returns none if every entry is a home of
// every agent.
func (o *Observer) digestRows(now time.Time) []*wirepb.DigestRow {
	if len(o.peers.all)+1 <= maxEntriesAllHomes {
		return nil
	}
	byPool := map[string][]*agent{}
	var drains []*agent
	for _, a := range o.agents {
		switch {
		case a.gone || a.suspect || a.leavingIncarnation == a.incarnation:
		case a.load.Draining:
			if now.Sub(a.drainSeenAt) < drainPriorityTime {
				drains = append(drains, a)
			}
		case a.direct:
			byPool[a.pool] = append(byPool[a.pool], a)
		}
	}
	var rows []*wirepb.DigestRow
	for _, a := range newestDrains(drains, maxDigestRows/2) {
		rows = append(rows, o.newDigestRow(now, a))
	}
	for _, pool := range o.rotatePools(byPool) {
		if len(rows)+rowsPerPool > maxDigestRows {
			break
		}
		for _, a := range leastLoaded(byPool[pool], rowsPerPool) {
			rows = append(rows, o.newDigestRow(now, a))
		}
		o.digests.lastPool = pool
	}
	return rows
}

// newestDrains returns up to n servers that started to drain last. Every entry
// relays a drain for a while, not only the homes: two homes alone would reach a
// fifth of a large region in that time.
func newestDrains(agents []*agent, n int) []*agent {
	slices.SortFunc(agents, func(a, b *agent) int {
		return cmp.Or(b.drainSeenAt.Compare(a.drainSeenAt), cmp.Compare(a.key, b.key))
	})
	return agents[:min(n, len(agents))]
}

// rotatePools returns the pools in order, starting after the last one that was
// sent.
func (o *Observer) rotatePools(byPool map[string][]*agent) []string {
	pools := make([]string, 0, len(byPool))
	for pool := range byPool {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	i, found := slices.BinarySearch(pools, o.digests.lastPool)
	if found {
		i++
	}
	return append(pools[i:], pools[:i]...)
}

// leastLoaded returns up to n agents with the least queued prefill.
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

// newDigestRow encodes the last sample of an agent.
func (o *Observer) newDigestRow(now time.Time, a *agent) *wirepb.DigestRow {
	free := a.load.Capacity - a.load.Used - a.load.Held
	row := &wirepb.DigestRow{
		Key:          a.key,
		Incarnation:  a.incarnation,
		Running:      uint32(max(a.load.Running, 0)),
		PrefillK:     kilos(a.load.PrefillShort + a.load.PrefillLong),
		PrefillLongK: kilos(a.load.PrefillLong),
		FreeK:        kilos(free),
		AgeDs:        deciseconds(now.Sub(a.sampledAt)),
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

// kilos and deciseconds convert to the units of a row and cap values at what
// Check accepts.
func kilos(n int64) uint32 { return uint32(min(max(n, 0)/kilo, 1<<30)) }

func deciseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/(100*time.Millisecond), 36_000))
}

// fromDeciseconds is the inverse of deciseconds.
func fromDeciseconds(ds uint32) time.Duration { return time.Duration(ds) * 100 * time.Millisecond }

// handleDigest processes a digest from a peer.
func (o *Observer) handleDigest(now time.Time, d *wirepb.Digest, out *Effects) {
	if d.GetEntry() == o.key {
		return
	}
	if !o.recordPeerAlive(now, d.GetEntry(), d.GetEntryIncarnation(), 0) {
		o.oldIncarnation.Inc(1)
		return
	}
	o.updateSender(d, out)
	o.handleAges(now, d)
	for _, row := range d.GetRows() {
		o.handleRow(now, row, out)
	}
	o.handleEvidence(now, d.GetEvidence(), out)
}

// updateSender applies what a digest contains about its sender.
func (o *Observer) updateSender(d *wirepb.Digest, out *Effects) {
	p := o.peers.all[d.GetEntry()]
	if p == nil {
		// The sender isn't in the list of entries yet, so another peer may have
		// a newer list.
		if picked := o.peers.pickLive(o.cfg.Rand, 1); len(picked) > 0 {
			out.PullPeersFrom = picked[0].info.GetRpcAddress()
		}
		return
	}
	if d.GetDraining() && !p.info.GetDraining() {
		p.info.Draining = true
		o.peers.invalidate()
	}
	if d.GetConfigVersion() > o.config.revision {
		out.PullConfigFrom = p.info.GetRpcAddress()
		out.PullConfigVersion = d.GetConfigVersion()
	}
}

// handleRow applies an agent's sample that another entry relayed.
func (o *Observer) handleRow(now time.Time, row *wirepb.DigestRow, out *Effects) {
	a := o.agents[row.GetKey()]
	if a == nil || row.GetIncarnation() > a.incarnation {
		o.requestDescriptor(now, row, out)
		return
	}
	if row.GetIncarnation() < a.incarnation {
		o.oldIncarnation.Inc(1)
		return
	}
	o.checkDescriptor(now, a, row, out)
	sampleAge := fromDeciseconds(row.GetAgeDs())
	if !now.Add(-sampleAge).After(a.sampledAt) {
		return
	}
	load := loadFromRow(row, a)
	if a.load.Draining && !load.Draining {
		return // a drain isn't undone within an incarnation
	}
	inTable := o.cfg.Table.ObserveLoad(a.key, a.incarnation, load, sampleAge, now)
	if !inTable && a.descriptor == nil {
		o.requestDescriptor(now, row, out)
		return
	}
	o.recordSample(now, a, load, max(sampleAge, time.Nanosecond))
	if !inTable {
		o.observeListed(now, a, sampleAge)
	}
	o.reapplyLeaving(a)
}

// checkDescriptor requests a descriptor that changed. Models, adapters, role and
// pool change within an incarnation, and an agent sends its descriptor only to
// its homes. Without the request, other entries would send the server requests
// for models that it no longer has until it refuses them, and none for the
// models that it loaded.
func (o *Observer) checkDescriptor(now time.Time, a *agent, row *wirepb.DigestRow, out *Effects) {
	hash := row.GetDescriptor_()
	if a.direct || a.descriptor == nil || hash == 0 || hash == a.hash {
		return
	}
	if now.Sub(a.descriptorRequestedAt) >= describeRetryInterval && o.requestDescriptor(now, row, out) {
		a.descriptorRequestedAt = now
	}
}

// loadFromRow returns the part of a sample that a row contains.
func loadFromRow(row *wirepb.DigestRow, a *agent) backend.Load {
	capacity := a.load.Capacity
	long := min(row.GetPrefillLongK(), row.GetPrefillK()) // a part of PrefillK
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

// requestDescriptor asks the agent of a row for its descriptor, within the rate
// limit. It reports whether a request was sent.
func (o *Observer) requestDescriptor(now time.Time, row *wirepb.DigestRow, out *Effects) bool {
	if row.GetPort() == 0 || !o.describeLimiter.AllowN(now, 1) {
		return false
	}
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], row.GetAddress())
	to := netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(row.GetPort()))
	out.send(to, describeMessage(row.GetKey()))
	return true
}
