package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// cluster runs Reporters and Observers over a network of its own, in virtual
// time. Every datagram passes wire's Check and is encoded and decoded.
type cluster struct {
	t       testing.TB
	rnd     *rand.Rand
	now     time.Time
	entries []*entryNode
	agents  []*agentNode
	queue   flights
	order   int
	// deliver gives a datagram's arrivals: none if it is lost.
	deliver func(from, to netip.AddrPort) []time.Duration
	bytes   map[netip.AddrPort]int // in and out, with headers
	sent    map[netip.AddrPort]int // datagrams
	lost    int                    // percent, for the segments of pulls
	config  declaredRevisions
	filled  int // bytes of lists of servers, answers only
	// churn is the chance a step that an agent's load jumps.
	churn float64
}

type entryNode struct {
	*Observer
	addr     netip.AddrPort
	table    *fakeTable
	paused   bool
	dead     bool
	evidence int
	pulls    int // requests for newer configuration
}

type agentNode struct {
	*Reporter
	addr   netip.AddrPort
	load   backend.Load
	paused bool
	dead   bool
	pulls  int
	pull   configPull
}

// fakeTable keeps what an Observer says.
type fakeTable struct {
	rows map[uint64]*fakeRow
}

type fakeRow struct {
	name        string
	incarnation uint64
	descriptor  backend.Descriptor
	load        backend.Load
	at          time.Time
	state       backend.State
}

func (f *fakeTable) Observe(d backend.Descriptor, inc uint64, load backend.Load, now time.Time) {
	f.rows[wire.Key(d.Name)] = &fakeRow{name: d.Name, descriptor: d, incarnation: inc, load: load, at: now}
}

func (f *fakeTable) ObserveLoad(key, inc uint64, load backend.Load, age time.Duration, now time.Time) bool {
	row := f.rows[key]
	if row == nil || row.incarnation != inc {
		return false
	}
	row.load, row.at = load, now.Add(-age)
	row.state = backend.StateLive
	return true
}

func (f *fakeTable) ObserveListed(d backend.Descriptor, inc uint64, load backend.Load, age time.Duration, now time.Time) {
	row := f.rows[wire.Key(d.Name)]
	if row == nil || row.incarnation < inc {
		f.rows[wire.Key(d.Name)] = &fakeRow{name: d.Name, descriptor: d, incarnation: inc, load: load, at: now.Add(-age)}
		return
	}
	f.ObserveLoad(wire.Key(d.Name), inc, load, age, now)
}

func (f *fakeTable) mark(key uint64, s backend.State) {
	if row := f.rows[key]; row != nil {
		row.state = s
	}
}
func (f *fakeTable) MarkSuspect(key uint64) { f.mark(key, backend.StateSuspect) }
func (f *fakeTable) MarkLeaving(key uint64) { f.mark(key, backend.StateLeaving) }
func (f *fakeTable) MarkDead(key uint64)    { f.mark(key, backend.StateDead) }

func (f *fakeTable) state(name string) backend.State {
	if row := f.rows[wire.Key(name)]; row != nil {
		return row.state
	}
	return backend.StateDead
}

// flight is a datagram under way.
type flight struct {
	at       time.Time
	order    int
	from, to netip.AddrPort
	buf      []byte
}

type flights []flight

func (f flights) Len() int { return len(f) }
func (f flights) Less(i, j int) bool {
	if !f[i].at.Equal(f[j].at) {
		return f[i].at.Before(f[j].at)
	}
	return f[i].order < f[j].order
}
func (f flights) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)   { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

const (
	clusterStep = 100 * time.Millisecond
	linkDelay   = time.Millisecond
)

func entryAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001)
}

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7001)
}

// newCluster starts entries and agents of one region with pools of equal size.
func newCluster(t testing.TB, entries, agents, pools int, seed uint64) *cluster {
	c := &cluster{
		t:     t,
		rnd:   rand.New(rand.NewPCG(seed, 1)),
		now:   time.Unix(1_800_000_000, 0),
		bytes: map[netip.AddrPort]int{},
		sent:  map[netip.AddrPort]int{},
	}
	c.deliver = func(_, _ netip.AddrPort) []time.Duration { return []time.Duration{linkDelay} }
	for i := range entries {
		c.entries = append(c.entries, c.newEntry(i))
	}
	list := c.peerList()
	for _, e := range c.entries {
		e.SetPeers(c.now, list)
	}
	for i := range agents {
		a := &agentNode{addr: agentAddr(i)}
		a.load = backend.Load{
			Running: int32(c.rnd.IntN(40)), PrefillShort: c.rnd.Int64N(60_000),
			Used: c.rnd.Int64N(300_000), Capacity: 400_000,
		}
		c.agents = append(c.agents, a)
		c.startAgent(i, pools)
	}
	return c
}

func (c *cluster) peerList() []*wirepb.Peer {
	var list []*wirepb.Peer
	for _, e := range c.entries {
		list = append(list, e.self)
	}
	return list
}

func (c *cluster) incarnation() uint64 { return uint64(c.now.UnixMilli()) }

func (c *cluster) newEntry(i int) *entryNode {
	table := &fakeTable{rows: map[uint64]*fakeRow{}}
	return &entryNode{
		addr:  entryAddr(i),
		table: table,
		Observer: NewObserver(ObserverConfig{
			Self: &wirepb.Peer{
				Name: fmt.Sprintf("entry-%d", i), Region: "tas", Zone: "hobart",
				DatagramAddress: entryAddr(i).String(),
				RpcAddress:      netip.AddrPortFrom(entryAddr(i).Addr(), 7000).String(),
				Incarnation:     c.incarnation(),
			},
			Table: table,
			Rand:  rand.New(rand.NewPCG(c.rnd.Uint64(), 2)),
		}),
	}
}

// startAgent gives agent i a new life.
func (c *cluster) startAgent(i, pools int) {
	a := c.agents[i]
	a.Reporter = NewReporter(ReporterConfig{
		Descriptor: backend.Descriptor{
			Name: fmt.Sprintf("briar-%d", i), Region: "tas", Zone: "hobart",
			DatagramAddress: a.addr.String(),
			RPCAddress:      netip.AddrPortFrom(a.addr.Addr(), 7000).String(),
			EngineAddress:   netip.AddrPortFrom(a.addr.Addr(), 8000).String(),
			Pool:            fmt.Sprintf("pool-%d", i%pools),
			Models:          []string{fmt.Sprintf("model-%d", i%pools)},
			Role:            backend.RoleMixed,
			PrefillRate:     20_000, DecodeRate: 2_000, MemoryTokens: 400_000,
		},
		Incarnation: c.incarnation(),
		Seeds:       c.rpcSeeds(),
		Rand:        rand.New(rand.NewPCG(c.rnd.Uint64(), 3)),
	})
}

func (c *cluster) rpcSeeds() []string {
	var seeds []string
	for _, e := range c.entries[:min(3, len(c.entries))] {
		seeds = append(seeds, e.self.GetRpcAddress())
	}
	return seeds
}

// run advances virtual time.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(clusterStep)
		c.arrive()
		for _, e := range c.entries {
			if !e.paused && !e.dead {
				c.entryEffects(e, e.Tick(c.now))
			}
		}
		for _, a := range c.agents {
			c.endPull(a)
			if c.churn > 0 && c.rnd.Float64() < c.churn {
				a.load.PrefillShort = c.rnd.Int64N(60_000)
			}
			if !a.paused && !a.dead {
				c.agentEffects(a, a.Tick(c.now, a.load))
			}
		}
	}
}

// arrive hands over what is due.
func (c *cluster) arrive() {
	for len(c.queue) > 0 && !c.queue[0].at.After(c.now) {
		f := heap.Pop(&c.queue).(flight)
		m, err := wire.Decode(f.buf)
		if err != nil {
			c.t.Fatalf("bad datagram: %v", err)
		}
		c.bytes[f.to] += len(f.buf) + wire.HeaderBytes
		if i := entryIndex(f.to); i >= 0 && i < len(c.entries) && !c.entries[i].paused && !c.entries[i].dead {
			c.entryEffects(c.entries[i], c.entries[i].Handle(c.now, f.from, m))
		}
		if i := c.agentAt(f.to); i >= 0 && !c.agents[i].paused && !c.agents[i].dead {
			c.agentEffects(c.agents[i], c.agents[i].Handle(c.now, f.from, m))
		}
	}
}

// entryIndex is the inverse of entryAddr, -1 for an agent's address.
func entryIndex(addr netip.AddrPort) int {
	ip := addr.Addr().As4()
	if ip[1] != 0 {
		return -1
	}
	return int(ip[2])<<8 + int(ip[3])
}

func (c *cluster) agentAt(addr netip.AddrPort) int {
	ip := addr.Addr().As4()
	i := int(ip[2])<<8 + int(ip[3])
	if ip[1] != 1 || i >= len(c.agents) {
		return -1
	}
	return i
}

func (c *cluster) send(from netip.AddrPort, out []Outgoing) {
	for _, o := range out {
		buf, err := proto.Marshal(o.Message)
		if err != nil {
			c.t.Fatal(err)
		}
		if len(buf) > wire.MaxDatagramBytes {
			c.t.Fatalf("datagram of %d bytes", len(buf))
		}
		if err := wire.Check(o.Message); err != nil {
			c.t.Fatalf("sent a bad datagram: %v", err)
		}
		c.bytes[from] += len(buf) + wire.HeaderBytes
		c.sent[from]++
		for _, delay := range c.deliver(from, o.To) {
			c.order++
			heap.Push(&c.queue, flight{c.now.Add(delay), c.order, from, o.To, buf})
		}
	}
}

func (c *cluster) entryEffects(e *entryNode, out Effects) {
	c.send(e.addr, out.Send)
	e.evidence += len(out.NewEvidence)
	if out.PullConfigFrom != "" {
		e.pulls++
	}
	if from := c.entryAt(out.PullServersFrom); from != nil {
		c.takeServers(e, from)
	} else if out.PullServersFrom != "" {
		e.ServersPulled(false)
	}
	if out.PullPeersFrom != "" {
		if from := c.entryAt(out.PullPeersFrom); from != nil {
			e.MergePeers(c.now, from.Peers())
		}
	}
}

func (c *cluster) agentEffects(a *agentNode, out Effects) {
	c.send(a.addr, out.Send)
	if out.PullConfigFrom != "" {
		c.beginPull(a, out.PullConfigFrom)
	}
	if from := c.entryAt(out.PullPeersFrom); from != nil {
		a.SetPeers(from.self.GetName(), from.Peers())
	}
}

// takeServers gives one entry the list of another, as the runner takes it.
func (c *cluster) takeServers(e, from *entryNode) {
	for after := uint64(0); ; {
		page := from.Servers(c.now, after, 0)
		c.filled += proto.Size(page)
		e.MergeServers(c.now, page.GetServers())
		if page.GetNext() == 0 {
			e.ServersPulled(true)
			return
		}
		after = page.GetNext()
	}
}

// entryAt returns the living entry at a drpc address, or nil.
func (c *cluster) entryAt(rpc string) *entryNode {
	for _, e := range c.entries {
		if e.self.GetRpcAddress() == rpc && !e.dead && !e.paused {
			return e
		}
	}
	return nil
}
