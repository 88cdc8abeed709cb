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

// cluster runs Reporters and Observers over a simulated network in virtual time.
// Every datagram passes wire's Check and is encoded and decoded.
type cluster struct {
	t         testing.TB
	rnd       *rand.Rand
	now       time.Time
	entries   []*entryNode
	agents    []*agentNode
	queue     inFlightQueue
	nextOrder int
	// deliver returns the delays at which copies of a datagram arrive. It
	// returns none if the datagram is lost.
	deliver         func(from, to netip.AddrPort) []time.Duration
	bytes           map[netip.AddrPort]int // in and out, with headers
	sent            map[netip.AddrPort]int // datagrams
	lossPercent     int                    // percent, for the segments of pulls
	config          declaredVersions
	serverListBytes int // bytes of server lists, responses only
	// loadJumpChance is the probability per step that an agent's load jumps.
	loadJumpChance float64
}

type entryNode struct {
	*Observer
	addr             netip.AddrPort
	table            *fakeTable
	paused           bool
	dead             bool
	evidenceReceived int
	configPulls      int // requests for newer configuration
}

type agentNode struct {
	*Reporter
	addr        netip.AddrPort
	load        backend.Load
	paused      bool
	dead        bool
	configPulls int
	pendingPull configPull
}

// fakeTable stores the calls of an Observer as rows.
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
	f.rows[wire.NameKey(d.Name)] = &fakeRow{name: d.Name, descriptor: d, incarnation: inc, load: load, at: now}
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
	row := f.rows[wire.NameKey(d.Name)]
	if row == nil || row.incarnation < inc {
		f.rows[wire.NameKey(d.Name)] = &fakeRow{name: d.Name, descriptor: d, incarnation: inc, load: load, at: now.Add(-age)}
		return
	}
	f.ObserveLoad(wire.NameKey(d.Name), inc, load, age, now)
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
	if row := f.rows[wire.NameKey(name)]; row != nil {
		return row.state
	}
	return backend.StateDead
}

// inFlightDatagram is a datagram in transit.
type inFlightDatagram struct {
	at       time.Time
	order    int
	from, to netip.AddrPort
	encoded  []byte
}

type inFlightQueue []inFlightDatagram

func (f inFlightQueue) Len() int { return len(f) }
func (f inFlightQueue) Less(i, j int) bool {
	if !f[i].at.Equal(f[j].at) {
		return f[i].at.Before(f[j].at)
	}
	return f[i].order < f[j].order
}
func (f inFlightQueue) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *inFlightQueue) Push(x any)   { *f = append(*f, x.(inFlightDatagram)) }
func (f *inFlightQueue) Pop() any {
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

// newCluster starts the entries and agents of one region, with pools of equal
// size.
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

// startAgent starts agent i with a new incarnation.
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

// run advances the virtual time.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(clusterStep)
		c.deliverDue()
		for _, e := range c.entries {
			if !e.paused && !e.dead {
				c.applyEntry(e, e.Tick(c.now))
			}
		}
		for _, a := range c.agents {
			c.finishPull(a)
			if c.loadJumpChance > 0 && c.rnd.Float64() < c.loadJumpChance {
				a.load.PrefillShort = c.rnd.Int64N(60_000)
			}
			if !a.paused && !a.dead {
				c.applyAgent(a, a.Tick(c.now, a.load))
			}
		}
	}
}

// deliverDue delivers the datagrams that are due.
func (c *cluster) deliverDue() {
	for len(c.queue) > 0 && !c.queue[0].at.After(c.now) {
		f := heap.Pop(&c.queue).(inFlightDatagram)
		m, err := wire.Decode(f.encoded)
		if err != nil {
			c.t.Fatalf("received an invalid datagram: %v", err)
		}
		c.bytes[f.to] += len(f.encoded) + wire.UDPHeaderBytes
		if i := entryIndex(f.to); i >= 0 && i < len(c.entries) && !c.entries[i].paused && !c.entries[i].dead {
			c.applyEntry(c.entries[i], c.entries[i].Handle(c.now, f.from, m))
		}
		if i := c.agentIndex(f.to); i >= 0 && !c.agents[i].paused && !c.agents[i].dead {
			c.applyAgent(c.agents[i], c.agents[i].Handle(c.now, f.from, m))
		}
	}
}

// entryIndex is the inverse of entryAddr. It returns -1 for an agent's address.
func entryIndex(addr netip.AddrPort) int {
	ip := addr.Addr().As4()
	if ip[1] != 0 {
		return -1
	}
	return int(ip[2])<<8 + int(ip[3])
}

func (c *cluster) agentIndex(addr netip.AddrPort) int {
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
			c.t.Fatalf("datagram of %d bytes exceeds the maximum", len(buf))
		}
		if err := wire.Check(o.Message); err != nil {
			c.t.Fatalf("sent an invalid datagram: %v", err)
		}
		c.bytes[from] += len(buf) + wire.UDPHeaderBytes
		c.sent[from]++
		for _, delay := range c.deliver(from, o.To) {
			c.nextOrder++
			heap.Push(&c.queue, inFlightDatagram{c.now.Add(delay), c.nextOrder, from, o.To, buf})
		}
	}
}

func (c *cluster) applyEntry(e *entryNode, out Effects) {
	c.send(e.addr, out.Send)
	e.evidenceReceived += len(out.NewEvidence)
	if out.PullConfigFrom != "" {
		e.configPulls++
	}
	if from := c.entryByRPC(out.PullServersFrom); from != nil {
		c.pullServers(e, from)
	} else if out.PullServersFrom != "" {
		e.ServersPulled(false)
	}
	if out.PullPeersFrom != "" {
		if from := c.entryByRPC(out.PullPeersFrom); from != nil {
			e.MergePeers(c.now, from.Peers())
		}
	}
}

func (c *cluster) applyAgent(a *agentNode, out Effects) {
	c.send(a.addr, out.Send)
	if out.PullConfigFrom != "" {
		c.startPull(a, out.PullConfigFrom)
	}
	if from := c.entryByRPC(out.PullPeersFrom); from != nil {
		a.SetPeers(from.self.GetName(), from.Peers())
	}
}

// pullServers merges the server list of one entry into another, page by page
// like the runner.
func (c *cluster) pullServers(e, from *entryNode) {
	for after := uint64(0); ; {
		page := from.Servers(c.now, after, 0)
		c.serverListBytes += proto.Size(page)
		e.MergeServers(c.now, page.GetServers())
		if page.GetNext() == 0 {
			e.ServersPulled(true)
			return
		}
		after = page.GetNext()
	}
}

// entryByRPC returns the running entry at a drpc address, or nil.
func (c *cluster) entryByRPC(rpc string) *entryNode {
	for _, e := range c.entries {
		if e.self.GetRpcAddress() == rpc && !e.dead && !e.paused {
			return e
		}
	}
	return nil
}
