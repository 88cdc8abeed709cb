package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// declaredVersions replaces the store. It has the newest version of each pool.
type declaredVersions struct {
	revision     uint64
	poolVersions map[string]uint64
}

// changeConfig adds an object that concerns a pool, or no agent if pool is
// empty, and puts it in force at the given entries.
func (c *cluster) changeConfig(pool string, at ...*entryNode) uint64 {
	next := map[string]uint64{}
	for name, v := range c.config.poolVersions {
		next[name] = v
	}
	c.config.revision++
	if pool != "" {
		next[pool] = c.config.revision
	}
	c.config.poolVersions = next
	for _, e := range at {
		e.SetConfig(c.config.revision, func(pool string) uint64 { return next[pool] })
	}
	return c.config.revision
}

// configPull is a pull of an agent that is in progress.
type configPull struct {
	endsAt   time.Time // zero: none
	revision uint64    // revision that the pull brings; 0: the pull fails
}

// startPull starts a pull unless one is in progress, like the runner.
func (c *cluster) startPull(a *agentNode, rpc string) {
	if !a.pendingPull.endsAt.IsZero() {
		return
	}
	a.configPulls++
	took := c.segmentRoundTrip(time.Second) + c.segmentRoundTrip(200*time.Millisecond) // connect, call
	e := c.entryByRPC(rpc)
	if e == nil || took > pullTimeout {
		a.pendingPull = configPull{endsAt: c.now.Add(pullTimeout)}
		return
	}
	a.pendingPull = configPull{endsAt: c.now.Add(took), revision: e.config.revision}
	c.bytes[a.addr] += pullBytes
	c.bytes[e.addr] += pullBytes
}

func (c *cluster) finishPull(a *agentNode) {
	if a.pendingPull.endsAt.IsZero() || c.now.Before(a.pendingPull.endsAt) {
		return
	}
	if a.pendingPull.revision > 0 {
		a.SetConfigVersion(a.pendingPull.revision)
	}
	a.pendingPull = configPull{}
}

// segmentRoundTrip returns the time until a TCP segment is acknowledged. While
// the segment or its answer is lost, it is sent again after rto, which doubles
// each time.
func (c *cluster) segmentRoundTrip(rto time.Duration) time.Duration {
	arrive := 100 - c.lossPercent
	took := 2 * linkDelay
	for c.rnd.IntN(100*100) >= arrive*arrive {
		took += rto
		rto *= 2
	}
	return took
}

// setLoss sets the percentage of datagrams and of segments of pulls that are
// lost.
func (c *cluster) setLoss(percent int) {
	c.lossPercent = percent
	c.deliver = unreliableNetwork(c.rnd, percent, 0)
}

// measureConfigDelay changes a pool's configuration at all entries. It returns
// how long it took until each of the pool's agents had it, sorted.
func (c *cluster) measureConfigDelay(pool string, limit time.Duration) []time.Duration {
	version := c.changeConfig(pool, c.entries...)
	start := c.now
	var took []time.Duration
	has := map[*agentNode]bool{}
	want := 0
	for _, a := range c.agents {
		if a.cfg.Descriptor.Pool == pool {
			want++
		}
	}
	for len(has) < want && c.now.Sub(start) < limit {
		c.run(clusterStep)
		for _, a := range c.agents {
			if a.cfg.Descriptor.Pool == pool && !has[a] && a.Reporter.config >= version {
				has[a] = true
				took = append(took, c.now.Sub(start))
			}
		}
	}
	if len(has) < want {
		c.t.Errorf("%d of %d agents don't have version %d after %s", want-len(has), want, version, limit)
	}
	slices.Sort(took)
	return took
}

// storeDelay is the time before an entry has a change: the pause between two
// watches (docs/design/0002-declared-state.md) and the call.
const storeDelay = 600 * time.Millisecond

// configDelayLimit is the remainder of 9 s.
const configDelayLimit = 9*time.Second - storeDelay

// BenchmarkConfigInForce prints the time from the moment when all entries have a
// change of a pool until an agent of the pool has it, over ten changes.
func BenchmarkConfigInForce(b *testing.B) {
	for _, size := range []struct{ entries, agents, pools int }{{3, 24, 2}, {86, 2400, 14}} {
		for _, lost := range []int{0, 5, 20} {
			b.Run(fmt.Sprintf("entries=%d/agents=%d/lost=%d", size.entries, size.agents, lost), func(b *testing.B) {
				for range b.N {
					c := newCluster(b, size.entries, size.agents, size.pools, 25)
					c.run(30 * time.Second)
					c.setLoss(lost)
					var all []time.Duration
					for i := range 10 {
						all = append(all, c.measureConfigDelay(fmt.Sprintf("pool-%d", i%size.pools), time.Minute)...)
						c.run(5 * time.Second)
					}
					slices.Sort(all)
					late := 0
					for _, d := range all {
						if d > configDelayLimit {
							late++
						}
					}
					pulls := 0
					for _, a := range c.agents {
						pulls += a.configPulls
					}
					b.ReportMetric(all[len(all)/2].Seconds(), "p50-s")
					b.ReportMetric(all[len(all)*99/100].Seconds(), "p99-s")
					b.ReportMetric(all[len(all)-1].Seconds(), "max-s")
					b.ReportMetric(float64(late), "late")
					b.ReportMetric(float64(len(all)), "samples")
					b.ReportMetric(float64(pulls)/float64(len(all)), "pulls/sample")
				}
			})
		}
	}
}

// A pool's change must be in force at its agents within 9 s, although a share of
// all datagrams is lost. It came later if agents waited for the answer to their
// next report, or if a lost announcement wasn't repeated.
func TestConfigChangeReachesAgentsInTime(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ entries, agents, pools int }{{3, 24, 2}, {8, 224, 14}} {
		for _, lost := range []int{0, 5, 20} {
			c := newCluster(t, size.entries, size.agents, size.pools, 21)
			c.run(settleTime)
			c.setLoss(lost)
			for range 3 {
				c.measureConfigDelay("pool-0", configDelayLimit)
				c.run(10 * time.Second)
			}
		}
	}
}

// A lost announcement must be repeated. Here all datagrams of entries are lost
// in the second after the change. Without the repetition an agent would get the
// change only with the answer to its next report.
func TestLostAnnouncementIsRepeated(t *testing.T) {
	c := newCluster(t, 8, 224, 4, 26)
	c.run(settleTime)
	c.dropIf(func(from, _ netip.AddrPort) bool { return c.agentIndex(from) < 0 })
	version := c.changeConfig("pool-0", c.entries...)
	c.run(announceSpread)
	c.dropNothing()
	c.run(announceRetryInterval + 5*clusterStep)
	for _, a := range c.agents {
		if a.cfg.Descriptor.Pool == "pool-0" && a.Reporter.config < version {
			t.Errorf("%s doesn't have the change", a.name())
		}
	}
}

// Only the agents of a changed pool may pull. If agents were notified of the
// revision of the whole declared state, each change would make all of them pull
// and the control traffic would exceed its budget.
func TestOnlyAgentsOfChangedPoolPull(t *testing.T) {
	c := newCluster(t, 4, 40, 4, 22)
	c.run(settleTime)
	for range 10 {
		c.changeConfig("", c.entries...)
		c.run(time.Second)
	}
	c.measureConfigDelay("pool-1", configDelayLimit)
	c.run(settleTime)
	for _, a := range c.agents {
		want := 0
		if a.cfg.Descriptor.Pool == "pool-1" {
			want = 1
		}
		if a.configPulls != want {
			t.Errorf("%s of %s pulled %d times, want %d", a.name(), a.cfg.Descriptor.Pool, a.configPulls, want)
		}
	}
}

// 200 changes of all pools within 20 s, as operators make them after a freeze,
// must not flood the entries with pulls. This happened if each change was
// announced to each agent separately.
func TestBurstOfChangesIsCoalesced(t *testing.T) {
	c := newCluster(t, 4, 40, 4, 23)
	c.run(settleTime)
	for i := range 200 {
		c.changeConfig([]string{"pool-0", "pool-1", "pool-2", "pool-3"}[i%4], c.entries...)
		c.run(clusterStep)
	}
	c.run(configDelayLimit)
	for _, a := range c.agents {
		if a.Reporter.config < c.config.poolVersions[a.cfg.Descriptor.Pool] {
			t.Errorf("%s doesn't have the newest version", a.name())
		}
		if a.configPulls > 14 {
			t.Errorf("%s pulled %d times for 50 changes of its pool in 20 s", a.name(), a.configPulls)
		}
	}
}

// An announcement to the previous incarnation of an agent, which arrives after
// its restart, must not acknowledge anything. It carries a sequence of the
// previous incarnation. The agent would treat its drain as acknowledged and not
// repeat it.
func TestAnnouncementToOldIncarnationAcknowledgesNothing(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 24)
	c.run(settleTime)
	a, e := c.agents[0], c.entries[0]
	c.changeConfig("pool-0", e)
	var late []Outgoing
	for len(late) == 0 {
		c.now = c.now.Add(clusterStep)
		for _, o := range e.Tick(c.now).Send {
			if o.Message.GetAck() != nil {
				late = append(late, o)
			}
		}
	}
	c.startAgent(0, 1)
	c.run(clusterStep)
	h := a.entries[e.key]
	before := h.ackedSequence
	out := a.Handle(c.now, e.addr, late[0].Message)
	if h.ackedSequence != before || h.hasDescriptor {
		t.Errorf("acknowledged sequence %d, home has descriptor %t", h.ackedSequence, h.hasDescriptor)
	}
	if out.PullConfigFrom == "" {
		t.Error("the new version wasn't pulled")
	}
}

// ---- cost of a pull ---------------------------------------------------------

// Headers of a pull over TCP. Connections to entries are idle for longer than
// the pool keeps them (60 s), so each pull opens a new one: SYN, SYN-ACK and
// ACK, one segment and one ACK each way for call and answer, FIN and ACK each
// way. Each has 40 bytes of IPv4 and TCP headers and 12 of timestamps. A SYN has
// 8 more bytes of options.
const (
	tcpSegments  = 3 + 2 + 2 + 4
	tcpHeaders   = tcpSegments*52 + 2*8
	pullPayload  = 500 // upper bound of both directions; see TestPullCost
	pullBytes    = pullPayload + tcpHeaders
	sampleObject = `{"models":[{"name":"briar-large","version":"2026-11-30","adapters":[{"name":"draw","version":"7"},{"name":"roster","version":"12"}]}],"engine":{"memory_tokens":400000,"prefill_rate":20000,"decode_rate":2000},"priority":{"short":1,"long":5},"drain_timeout":"600s","replicas":171,"long_prompt":{"threshold_tokens":100000,"groups":4}}`
)

// pullServer answers pulls with one object.
type pullServer struct {
	wirepb.DRPCEntryUnimplementedServer
}

func (*pullServer) PullConfig(context.Context, *wirepb.PullRequest) (*wirepb.PullResponse, error) {
	return &wirepb.PullResponse{
		Revision: 1 << 24,
		Objects: []*wirepb.Object{{
			Kind: "ModelPool", Name: "briar-pool", Version: 1 << 24, Data: json.RawMessage(sampleObject),
		}},
		StoreConfirmed: true,
	}, nil
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	count atomic.Int64
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.count}, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.Add(int64(n))
	return n, err
}

// TestPullCost checks the constants that pace announcements and count pulls
// against a real call with its framing.
func TestPullCost(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: lis}
	server, err := wire.NewServer(wire.Services{Entry: &pullServer{}}, wire.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ctx, counted)
	}()
	dialer := wire.NewDialer(wire.Options{})
	in := &wirepb.PullRequest{Since: 1 << 24, Pools: []string{"briar-pool"}}
	if _, err := dialer.PullConfig(ctx, lis.Addr().String(), in); err != nil {
		t.Fatal(err)
	}
	if err := dialer.Close(); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-served
	got := int(counted.count.Load())
	t.Logf("call and answer: %d B", got)
	if got > pullPayload || got < pullPayload/2 {
		t.Errorf("a pull takes %d B, pullPayload is %d", got, pullPayload)
	}
	ack := proto.Size(ackMessage(&wirepb.ReportAck{
		Entry: 1, EntryIncarnation: 1_800_000_000_000, Sequence: 1 << 20, ConfigVersion: 1 << 24,
		PeersVersion: 1 << 63, PeriodMs: 7000, KnownIncarnation: 1_800_000_000_000,
	})) + wire.UDPHeaderBytes
	if sum := pullBytes + 2*ack; sum > announceCost || sum < announceCost*3/4 {
		t.Errorf("an announcement, sent twice, and its pull cost %d B, announceCost is %d", sum, announceCost)
	}
}
