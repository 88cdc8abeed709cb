package capacity

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// tcpHeaderBytes are the IPv4 and TCP headers of a segment with timestamps.
const tcpHeaderBytes = 52

func controlMeasurements() []measurement {
	return []measurement{
		{name: lineDigestBytes, x: "entries of a region", y: "bytes", source: "membership.Observer, largest of 60 digests, 28 agents an entry", sizes: []int{8, 22, 43, 86}, sample: sampleDigestBytes},
		{name: lineReportBytes, x: "reports", y: "bytes", source: "membership.Reporter", sizes: []int{4, 16, 64}, sample: sampleReportBytes},
		{name: lineAckBytes, x: "acknowledgements", y: "bytes", source: "membership.Observer", sizes: []int{4, 16, 64}, sample: sampleAckBytes},
		{name: lineHelloBytes, x: "hellos", y: "bytes", source: "membership.Reporter, before an entry acknowledged it", sizes: []int{4, 16, 64}, sample: sampleHelloBytes},
		{name: linePeriod, x: "agents that report", y: "seconds", source: "membership.Observer.ReportPeriod at 86 entries", sizes: []int{28, 56, 112, 224}, sample: samplePeriod},
		{name: lineFullest, x: "agents of a region", y: "agents", source: "membership.Rank at 86 entries: the most agents that report to one entry", sizes: []int{1200, 2400, 4800}, sample: sampleFullest},
		{name: lineDatagramCPU, x: "datagrams", y: "ns", source: "wire.Datagrams over loopback, sent, received and decoded", sizes: []int{1000, 2000, 4000}, sample: sampleDatagrams},
	}
}

// wireBytes is what a datagram costs on the wire.
func wireBytes(m *wirepb.Datagram) float64 { return float64(proto.Size(m) + wire.UDPHeaderBytes) }

func sampleDigestBytes(_ context.Context, n int) (float64, error) {
	const agentsPerEntry, rounds = 28, 60
	o, _ := newObserver(0, n, n*agentsPerEntry, time.Second)
	largest := 0.0
	for i := range rounds {
		for _, out := range o.Tick(began.Add(time.Duration(i) * time.Second)).Send {
			if out.Message.GetDigest() != nil {
				largest = max(largest, wireBytes(out.Message))
			}
		}
	}
	if largest == 0 {
		return 0, errors.New("no digest sent")
	}
	return largest, nil
}

func newReporter() *membership.Reporter {
	r := membership.NewReporter(membership.ReporterConfig{
		Descriptor: descriptor(1), Incarnation: 1_700_000_000_000, Rand: rand.New(rand.NewPCG(seed, seed)),
	})
	r.SetConfigVersion(1 << 20)
	var peers []*wirepb.Peer
	for i := range regionEntries {
		peers = append(peers, entryPeer(i))
	}
	r.SetPeers(entryPeer(0).GetName(), peers)
	return r
}

// acknowledge answers each home's hello, so that reports follow.
func acknowledge(r *membership.Reporter, sequence uint64) {
	for _, home := range r.Homes() {
		r.Handle(began, netip.AddrPort{}, ackFrom(home, sequence))
	}
}

func ackFrom(home string, sequence uint64) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Ack{Ack: &wirepb.ReportAck{
		Entry: wire.NameKey(home), EntryIncarnation: 1_700_000_000_000, Sequence: sequence,
		PeersVersion: 1 << 63, PeriodMs: 6000,
	}}}
}

// reporterBytes sums n messages of a reporter that are of a kind.
func reporterBytes(n int, acked bool, of func(*wirepb.Datagram) bool) (float64, error) {
	r := newReporter()
	sum, count, now := 0.0, 0, began
	for tries := 0; count < n; tries++ {
		if tries > 4*n+100 {
			return 0, errors.Errorf("%d messages of %d", count, n)
		}
		now = now.Add(31 * time.Second)
		for _, out := range r.Tick(now, sampleLoad(0)).Send {
			if of(out.Message) && count < n {
				sum += wireBytes(out.Message)
				count++
			}
		}
		if acked {
			acknowledge(r, 1)
		}
	}
	return sum, nil
}

func sampleReportBytes(_ context.Context, n int) (float64, error) {
	return reporterBytes(n, true, func(m *wirepb.Datagram) bool { return m.GetReport() != nil })
}

func sampleHelloBytes(_ context.Context, n int) (float64, error) {
	return reporterBytes(n, false, func(m *wirepb.Datagram) bool { return m.GetHello() != nil })
}

func sampleAckBytes(_ context.Context, n int) (float64, error) {
	o, _ := newObserver(0, regionEntries, regionServers, time.Second)
	sum, count := 0.0, 0
	for sequence := uint64(2); count < n; sequence++ {
		if sequence > uint64(100*n) {
			return 0, errors.Errorf("%d acknowledgements of %d", count, n)
		}
		from := netip.MustParseAddrPort(descriptor(0).DatagramAddress)
		for _, out := range o.Handle(began, from, reportOf(0, sequence)).Send {
			if out.Message.GetAck() != nil {
				sum += wireBytes(out.Message)
				count++
			}
		}
	}
	return sum, nil
}

// datagramWindow is how many datagrams may be on their way: a socket's buffer
// must not overflow, since a lost one would never be counted.
const datagramWindow = 32

func sampleDatagrams(ctx context.Context, n int) (float64, error) {
	var got atomic.Int64
	in, err := wire.ListenDatagrams(wire.DatagramConfig{Address: loopback, Handler: func(netip.AddrPort, *wirepb.Datagram) { got.Add(1) }})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer in.Close()
	out, err := wire.ListenDatagrams(wire.DatagramConfig{Address: loopback, Handler: func(netip.AddrPort, *wirepb.Datagram) {}})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer out.Close()
	m := reportOf(0, 2)
	return processCPU(func() error {
		for i := range n {
			if err := out.Send(in.Addr(), m); err != nil {
				return errors.Trace(err)
			}
			if i%datagramWindow != datagramWindow-1 {
				continue
			}
			if err := await(ctx, func() bool { return got.Load() > int64(i)-datagramWindow/2 }); err != nil {
				return err
			}
		}
		return await(ctx, func() bool { return got.Load() >= int64(n)*99/100 })
	})
}

// awaitLimit bounds every wait of a measurement.
const awaitLimit = 10 * time.Second

// await polls until done says so.
func await(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
	defer cancel()
	for !done() {
		select {
		case <-time.After(200 * time.Microsecond):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "step await")
		}
	}
	return nil
}

const loopback = "127.0.0.1:0"

// meteredListener counts the bytes of its connections, both ways, and headers
// for each read and write, as if each were a segment.
type meteredListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, bytes: &l.bytes}, nil
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n + tcpHeaderBytes))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b) + tcpHeaderBytes))
	return c.Conn.Write(b)
}

// pullService answers pulls from a catalog and a list of entries.
type pullService struct {
	wirepb.DRPCEntryUnimplementedServer
	catalog *declared.Catalog
	entries int
}

func (s *pullService) PullConfig(_ context.Context, in *wirepb.PullRequest) (*wirepb.PullResponse, error) {
	b := s.catalog.Since(in.GetSince(), declared.Scope{Kinds: in.GetKinds(), Pools: in.GetPools()})
	r := &wirepb.PullResponse{Revision: b.Revision, Complete: b.Complete, StoreConfirmed: b.StoreConfirmed}
	for _, o := range b.Objects {
		r.Objects = append(r.Objects, &wirepb.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data})
	}
	return r, nil
}

func (s *pullService) ListPeers(context.Context, *wirepb.PeersRequest) (*wirepb.Peers, error) {
	out := &wirepb.Peers{}
	for i := range s.entries {
		out.Entries = append(out.Entries, entryPeer(i))
	}
	return out, nil
}

// serve runs a drpc server until stop is called.
func serve(services wire.Services, lis net.Listener) (stop func(), err error) {
	server, err := wire.NewServer(services, wire.Options{})
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, lis)
	}()
	return func() { cancel(); <-done }, nil
}

// pullSide is a server of pulls and a dialer to it.
type pullSide struct {
	lis    *meteredListener
	dialer *wire.Dialer
	stop   func()
}

func newPullSide(service *pullService) (*pullSide, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Trace(err)
	}
	metered := &meteredListener{Listener: lis}
	stop, err := serve(wire.Services{Entry: service}, metered)
	if err != nil {
		return nil, err
	}
	return &pullSide{lis: metered, dialer: wire.NewDialer(wire.Options{}), stop: stop}, nil
}

func (p *pullSide) close() {
	p.dialer.Close()
	p.stop()
}

func (p *pullSide) address() string { return p.lis.Addr().String() }

// tcpConnectBytes are the segments that begin and end a connection: two SYN with
// their options, an ACK, and two FIN with an ACK each.
const tcpConnectBytes = 2*60 + 5*tcpHeaderBytes

// bytesOf returns the bytes of one call on a connection of its own: an agent
// calls less often than connections are kept.
func (p *pullSide) bytesOf(call func() error) (float64, error) {
	const calls = 20
	for range calls {
		if err := call(); err != nil {
			return 0, errors.Trace(err)
		}
		p.dialer.Close()
		p.dialer = wire.NewDialer(wire.Options{})
	}
	return float64(p.lis.bytes.Load())/calls + tcpConnectBytes, nil
}

// heldObjects are in force before the changes that are pulled.
const heldObjects = 1000

func newPullCatalog(changed int) *declared.Catalog {
	c := newCatalog(heldObjects)
	changes := objectapi.Listing{Revision: heldObjects + uint64(changed)}
	for i := range changed {
		changes.Objects = append(changes.Objects, policyObject(i, uint64(heldObjects+i+1)))
	}
	hearPolicies(c, changes)
	return c
}

func samplePull(ctx context.Context, n int) (float64, error) {
	p, err := newPullSide(&pullService{catalog: newPullCatalog(n)})
	if err != nil {
		return 0, err
	}
	defer p.close()
	return p.bytesOf(func() error { return p.pull(ctx, n) })
}

func (p *pullSide) pull(ctx context.Context, want int) error {
	r, err := p.dialer.PullConfig(ctx, p.address(), &wirepb.PullRequest{Since: heldObjects})
	if err == nil && len(r.GetObjects()) != want {
		err = errors.Errorf("%d objects pulled, want %d", len(r.GetObjects()), want)
	}
	return errors.Trace(err)
}

func samplePullCPU(ctx context.Context, n int) (float64, error) {
	p, err := newPullSide(&pullService{catalog: newPullCatalog(1)})
	if err != nil {
		return 0, err
	}
	defer p.close()
	return processCPU(func() error {
		for range n {
			if err := p.pull(ctx, 1); err != nil {
				return err
			}
		}
		return nil
	})
}

func samplePeers(ctx context.Context, n int) (float64, error) {
	p, err := newPullSide(&pullService{entries: n})
	if err != nil {
		return 0, err
	}
	defer p.close()
	return p.bytesOf(func() error {
		_, err := p.dialer.ListPeers(ctx, p.address())
		return err
	})
}

// sampleFullest returns how many agents the entry has that got the most.
func sampleFullest(_ context.Context, n int) (float64, error) {
	var names []string
	for i := range regionEntries {
		names = append(names, entryPeer(i).GetName())
	}
	count, most := map[string]int{}, 0
	for i := range n {
		for _, home := range membership.Rank(descriptor(i).Name, names, membership.HomeCount(regionEntries)) {
			count[home]++
			most = max(most, count[home])
		}
	}
	return float64(most), nil
}

// samplePeriod returns the report period that an entry asks for when n agents
// report to it, in a region of the large fleet.
func samplePeriod(_ context.Context, n int) (float64, error) {
	o, _ := newObserver(0, regionEntries, n, time.Second)
	for i := range n {
		o.Handle(began, netip.MustParseAddrPort(descriptor(i).DatagramAddress), reportOf(i, 2))
	}
	for i := range 3 { // the period leaves room for digests
		o.Tick(began.Add(time.Duration(i) * time.Second))
	}
	return o.ReportPeriod().Seconds(), nil
}

func agentMeasurements() []measurement {
	return []measurement{
		{name: lineAgentReport, x: "reports", y: "ns", source: "membership.Reporter.Tick and proto.Marshal", sizes: []int{1000, 2000, 4000}, sample: sampleAgentReport},
		{name: lineAgentAck, x: "acknowledgements", y: "ns", source: "wire.Decode, membership.Reporter.Handle", sizes: []int{2000, 4000, 8000}, sample: sampleAgentAck},
		{name: lineRunMemory, x: "runs", y: "bytes", source: "backend.Ledger", sizes: []int{1000, 4000, 8000}, sample: sampleRuns},
	}
}

func sampleAgentReport(_ context.Context, n int) (float64, error) {
	var r *membership.Reporter
	sent := 0
	var failed error
	ns := threadCPU(func() {
		r = newReporter()
		r.Tick(began, sampleLoad(0))
		r.Tick(began.Add(31*time.Second), sampleLoad(0))
		acknowledge(r, 1)
		sent = 0
	}, func() {
		now := began.Add(time.Minute)
		for round := uint64(2); sent < n && failed == nil; round++ {
			now = now.Add(31 * time.Second)
			for _, out := range r.Tick(now, sampleLoad(0)).Send {
				_, failed = proto.Marshal(out.Message)
				sent++
			}
			if round%4 == 0 { // as entries do
				acknowledge(r, round)
			}
		}
	})
	return ns * float64(n) / float64(sent), failed
}

func sampleAgentAck(_ context.Context, n int) (float64, error) {
	r := newReporter()
	buf, err := proto.Marshal(ackFrom(r.Homes()[0], 1))
	if err != nil {
		return 0, errors.Trace(err)
	}
	var failed error
	ns := threadCPU(nil, func() {
		for range n {
			m, err := wire.Decode(buf)
			if err != nil {
				failed = err
				return
			}
			r.Handle(began, netip.AddrPort{}, m)
		}
	})
	return ns, failed
}

func sampleRuns(_ context.Context, n int) (float64, error) {
	var failed error
	bytes := retained(func() any {
		l := backend.NewLedger(backend.LedgerConfig{Capacity: 1 << 40})
		for i := range n {
			id := descriptor(i).Name
			spec := backend.RunSpec{ID: id, Owner: backend.Owner{Entry: "entry-1", Incarnation: 1}, Tokens: 4000}
			if err := l.Admit(began, spec); err != nil {
				failed = err
			}
		}
		return l
	})
	return bytes, failed
}

// hearPolicies tells a catalog of changed policies as the watches of all kinds
// would: the other kinds are confirmed to be as they were.
func hearPolicies(c *declared.Catalog, changes objectapi.Listing) {
	for _, kind := range declared.Kinds() {
		if kind == declared.KindWorkspacePolicy {
			c.Events(kind, changes)
			continue
		}
		c.Events(kind, objectapi.Listing{Revision: changes.Revision})
	}
}
