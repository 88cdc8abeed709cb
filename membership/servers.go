package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Filling the table. An entry that starts hears only the agents whose home it
// is. Digests would tell it of the rest a few rows a second, and each would cost
// a request for the descriptor. So it asks each other entry once for the servers
// whose home that one is. A list of all servers from one entry would load that
// one, and would be as old as what it once took over itself.
const (
	// serversPage is the default and the most of one page; a page of 100 is
	// some 25 KB.
	serversPage = 100
	// fillSpread delays the start at random, so that the entries of a zone that
	// starts don't ask in step.
	fillSpread = 2 * time.Second
	// fillWindow is the time in which entries that are learned of later are
	// asked as well: the list of entries comes in several parts at a start.
	fillWindow = 10 * time.Second
	// fillRetries bounds the calls that are made again. Each server has two
	// homes, so that one that can't be asked loses little.
	fillRetries = 8
	// fillAfterPause is the pause of this process, or the time in which it
	// heard nobody, after which it asks again.
	fillAfterPause = 10 * time.Second
	// descriptorKeep is how long the descriptor of a server that nobody
	// mentions is kept, so that the next row about it can be used at once.
	descriptorKeep = time.Hour
)

// fill is the state of asking other entries for servers.
type fill struct {
	begin   time.Time // zero: not yet set
	asked   map[uint64]bool
	queue   []uint64 // keys of entries
	asking  uint64   // 0: nobody
	retries int
}

// refill begins anew.
func (o *Observer) refill() { o.fill = fill{asking: o.fill.asking} }

// fillTable asks the next entry when the last answered.
func (o *Observer) fillTable(now time.Time, out *Effects) {
	f := &o.fill
	if len(o.peers.all) == 0 {
		return
	}
	if f.begin.IsZero() {
		f.begin = now.Add(time.Duration(o.cfg.Rand.Float64() * float64(fillSpread)))
		f.asked = map[uint64]bool{}
	}
	if now.Sub(f.begin) < fillWindow {
		f.enqueue(o.peers.keys, o.cfg.Rand)
	}
	if now.Before(f.begin) || f.asking != 0 || len(f.queue) == 0 {
		return
	}
	key := f.queue[0]
	f.queue = f.queue[1:]
	if p := o.peers.all[key]; p != nil && !p.dead {
		f.asking = key
		out.PullServersFrom = p.info.GetRpcAddress()
	}
}

// enqueue adds the entries that weren't asked yet, in random order.
func (f *fill) enqueue(keys []uint64, rnd *rand.Rand) {
	for _, key := range keys {
		if !f.asked[key] {
			f.asked[key] = true
			i := rnd.IntN(len(f.queue) + 1)
			f.queue = slices.Insert(f.queue, i, key)
		}
	}
}

// ServersPulled notes that the entry which was asked last gave its list, or that
// the call failed.
func (o *Observer) ServersPulled(ok bool) {
	f := &o.fill
	if !ok && f.retries < fillRetries {
		f.retries++
		f.queue = append(f.queue, f.asking)
	}
	f.asking = 0
}

// Servers returns a page of the servers that report here, in the order of their
// keys, as another entry is told.
func (o *Observer) Servers(now time.Time, after uint64, limit uint32) *wirepb.Servers {
	size := int(min(limit, serversPage))
	if size == 0 {
		size = serversPage
	}
	page := &wirepb.Servers{}
	for _, key := range slices.Sorted(maps.Keys(o.agents)) {
		a := o.agents[key]
		if key <= after || !a.direct || a.suspect {
			continue
		}
		if len(page.Servers) == size {
			page.Next = wire.Key(page.Servers[size-1].GetDescriptor_().GetName())
			return page
		}
		page.Servers = append(page.Servers, &wirepb.ServerStatus{
			Descriptor_: a.descriptor,
			Load:        wire.LoadMessage(a.load),
			AgeMs:       uint64(max(now.Sub(a.sampledAt), 0).Milliseconds()),
		})
	}
	return page
}

// MergeServers takes a page of another entry's list. What is known better here
// stays; what is out of bounds is left out.
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
	key := wire.Key(d.GetName())
	age := time.Duration(min(s.GetAgeMs(), uint64(descriptorKeep.Milliseconds()))) * time.Millisecond
	a := o.agents[key]
	if a != nil && d.GetIncarnation() < a.incarnation {
		return
	}
	if a != nil && d.GetIncarnation() == a.incarnation && !now.Add(-age).After(a.sampledAt) {
		return
	}
	if a != nil && a.direct && d.GetIncarnation() == a.incarnation {
		return // heard here, in full
	}
	if a == nil {
		a = &agent{key: key, name: d.GetName()}
		o.agents[key] = a
	}
	// A list doesn't tell which descriptor of one incarnation is the newer, and
	// the table keeps the one it has. Digests tell if it has changed.
	if a.descriptor == nil || d.GetIncarnation() > a.incarnation {
		a.describe(d)
	}
	o.setDirect(a, false)
	load := wire.LoadOf(s.GetLoad())
	load.Sequence = 0 // its age orders it
	load.Incarnation = a.incarnation
	if a.load.Draining && !load.Draining {
		return // a drain isn't taken back within an incarnation
	}
	o.sample(now, a, load, max(age, time.Nanosecond))
	if age > foreignForget {
		a.gone = true
		return
	}
	o.list(now, a, age)
}

// describe takes a descriptor of the same or a newer incarnation.
func (a *agent) describe(d *wirepb.Descriptor) {
	if d.GetIncarnation() > a.incarnation {
		*a = agent{key: a.key, name: a.name, direct: a.direct, leaving: a.leaving}
	}
	a.descriptor = d
	a.hash = descriptorHash(d)
	a.incarnation = d.GetIncarnation()
	a.pool = d.GetPool()
	a.addr = address(d.GetDatagramAddress())
}

// list puts a server whose descriptor is kept into the table with the last
// sample of it. It returns false if there is no descriptor.
func (o *Observer) list(now time.Time, a *agent, age time.Duration) bool {
	if a.descriptor == nil {
		return false
	}
	o.cfg.Table.ObserveListed(wire.DescriptorOf(a.descriptor), a.incarnation, a.load, age, now)
	o.remindLeaving(a)
	return true
}
