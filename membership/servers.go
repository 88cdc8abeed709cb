package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Filling the table of a new entry. An entry that starts receives reports only
// from the agents whose home it is. Digests would bring the others at a few rows
// a second, and each would cost a request for the descriptor. So the entry pulls
// from each other entry once the servers that report there. A list of all
// servers from a single entry would put the whole load on that entry, and would
// be as old as the data that it had itself received from others.
const (
	// maxServersPage is the default and the maximum number of servers in a page.
	// A page of 100 has about 25 KB.
	maxServersPage = 100
	// fillSpread is the upper bound of the random delay of the start, so that
	// the entries of a zone that starts don't pull in step.
	fillSpread = 2 * time.Second
	// fillEnqueueWindow is the time in which entries that are added to the list
	// are pulled from as well. At a start the list of entries arrives in several
	// parts.
	fillEnqueueWindow = 10 * time.Second
	// maxFillRetries bounds the calls that are repeated. Each server has two
	// homes, so little is lost if one of them can't be reached.
	maxFillRetries = 8
	// refillAfterPause is the length of a pause of this process, or of a time
	// without any datagram, after which it pulls again.
	refillAfterPause = 10 * time.Second
	// descriptorTTL is how long the descriptor of a server without new samples
	// is kept, so that the next row about the server can be used at once.
	descriptorTTL = time.Hour
)

// tableFill is the state of pulling servers from other entries.
type tableFill struct {
	startAt  time.Time // zero: not set yet
	enqueued map[uint64]bool
	queue    []uint64 // keys of entries
	inFlight uint64   // key of the entry being pulled from; 0: none
	retries  int
}

// resetTableFill starts again, but keeps the call in progress.
func (o *Observer) resetTableFill() { o.tableFill = tableFill{inFlight: o.tableFill.inFlight} }

// fillTable pulls from the next entry when the last call has ended.
func (o *Observer) fillTable(now time.Time, out *Effects) {
	f := &o.tableFill
	if len(o.peers.all) == 0 {
		return
	}
	if f.startAt.IsZero() {
		f.startAt = now.Add(time.Duration(o.cfg.Rand.Float64() * float64(fillSpread)))
		f.enqueued = map[uint64]bool{}
	}
	if now.Sub(f.startAt) < fillEnqueueWindow {
		f.enqueue(o.peers.keys, o.cfg.Rand)
	}
	if now.Before(f.startAt) || f.inFlight != 0 || len(f.queue) == 0 {
		return
	}
	key := f.queue[0]
	f.queue = f.queue[1:]
	if p := o.peers.all[key]; p != nil && !p.dead {
		f.inFlight = key
		out.PullServersFrom = p.info.GetRpcAddress()
	}
}

// enqueue adds the entries that weren't enqueued before, in random order.
func (f *tableFill) enqueue(keys []uint64, rnd *rand.Rand) {
	for _, key := range keys {
		if !f.enqueued[key] {
			f.enqueued[key] = true
			i := rnd.IntN(len(f.queue) + 1)
			f.queue = slices.Insert(f.queue, i, key)
		}
	}
}

// ServersPulled records the end of the call that PullServersFrom requested, and
// whether it succeeded.
func (o *Observer) ServersPulled(ok bool) {
	f := &o.tableFill
	if !ok && f.retries < maxFillRetries {
		f.retries++
		f.queue = append(f.queue, f.inFlight)
	}
	f.inFlight = 0
}

// Servers returns a page of the servers that report here, ordered by key, to be
// sent to another entry.
func (o *Observer) Servers(now time.Time, after uint64, limit uint32) *wirepb.Servers {
	size := int(min(limit, maxServersPage))
	if size == 0 {
		size = maxServersPage
	}
	page := &wirepb.Servers{}
	for _, key := range slices.Sorted(maps.Keys(o.agents)) {
		a := o.agents[key]
		if key <= after || !a.direct || a.suspect {
			continue
		}
		if len(page.Servers) == size {
			page.Next = wire.NameKey(page.Servers[size-1].GetDescriptor_().GetName())
			return page
		}
		page.Servers = append(page.Servers, &wirepb.ServerStatus{
			Descriptor_: a.descriptor,
			Load:        wire.LoadToProto(a.load),
			AgeMs:       uint64(max(now.Sub(a.sampledAt), 0).Milliseconds()),
		})
	}
	return page
}

// MergeServers applies a page of another entry's list. It skips what is older
// than the data held here and what Check rejects.
func (o *Observer) MergeServers(now time.Time, list []*wirepb.ServerStatus) {
	for _, s := range list {
		hello := &wirepb.Hello{Descriptor_: s.GetDescriptor_(), Load: s.GetLoad()}
		if wire.Check(helloMessage(hello)) == nil {
			o.mergeServer(now, s)
		}
	}
}

func (o *Observer) mergeServer(now time.Time, s *wirepb.ServerStatus) {
	d := s.GetDescriptor_()
	key := wire.NameKey(d.GetName())
	age := time.Duration(min(s.GetAgeMs(), uint64(descriptorTTL.Milliseconds()))) * time.Millisecond
	a := o.agents[key]
	if a != nil && d.GetIncarnation() < a.incarnation {
		return
	}
	if a != nil && d.GetIncarnation() == a.incarnation && !now.Add(-age).After(a.sampledAt) {
		return
	}
	if a != nil && a.direct && d.GetIncarnation() == a.incarnation {
		return // received directly, with all fields
	}
	if a == nil {
		a = &agent{key: key, name: d.GetName()}
		o.agents[key] = a
	}
	// A list doesn't show which descriptor of an incarnation is newer, and the
	// table keeps the one it has. Digests show whether it has changed.
	if a.descriptor == nil || d.GetIncarnation() > a.incarnation {
		a.setDescriptor(d)
	}
	o.setDirect(a, false)
	load := wire.LoadFromProto(s.GetLoad())
	load.Sequence = 0 // ordered by its age
	load.Incarnation = a.incarnation
	if a.load.Draining && !load.Draining {
		return // a drain isn't undone within an incarnation
	}
	o.recordSample(now, a, load, max(age, time.Nanosecond))
	if age > indirectServerTTL {
		a.gone = true
		return
	}
	o.observeListed(now, a, age)
}

// setDescriptor stores a descriptor of the same or a newer incarnation.
func (a *agent) setDescriptor(d *wirepb.Descriptor) {
	if d.GetIncarnation() > a.incarnation {
		*a = agent{key: a.key, name: a.name, direct: a.direct, leavingIncarnation: a.leavingIncarnation}
	}
	a.descriptor = d
	a.hash = descriptorHash(d)
	a.incarnation = d.GetIncarnation()
	a.pool = d.GetPool()
	a.addr = parseAddrPort(d.GetDatagramAddress())
}

// observeListed adds a server with a known descriptor and its last sample to the
// table. It returns false if there is no descriptor.
func (o *Observer) observeListed(now time.Time, a *agent, age time.Duration) bool {
	if a.descriptor == nil {
		return false
	}
	o.cfg.Table.ObserveListed(wire.DescriptorFromProto(a.descriptor), a.incarnation, a.load, age, now)
	o.reapplyLeaving(a)
	return true
}
