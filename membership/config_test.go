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

// declaredRevisions stands for the store: each pool's newest version.
type declaredRevisions struct {
	revision uint64
	pools    map[string]uint64
}

// change accepts an object that concerns a pool, or no agent if pool is empty,
// and puts it in force at the given entries.
func (c *cluster) change(pool string, at ...*entryNode) uint64 {
	next := map[string]uint64{}
	for name, v := range c.config.pools {
		next[name] = v
	}
	c.config.revision++
	if pool != "" {
		next[pool] = c.config.revision
	}
	c.config.pools = next
	for _, e := range at {
		e.SetConfig(c.config.revision, func(pool string) uint64 { return next[pool] })
	}
	return c.config.revision
}

// configPull is an agent's pull under way.
type configPull struct {
	until    time.Time // zero: none
	revision uint64    // that it brings; 0: it fails
}

// beginPull starts a pull unless one is under way, as the runner does.
func (c *cluster) beginPull(a *agentNode, rpc string) {
	if !a.pull.until.IsZero() {
		return
	}
	a.pulls++
	took := c.segment(time.Second) + c.segment(200*time.Millisecond) // connect, call
	e := c.entryAt(rpc)
	if e == nil || took > pullLimit {
		a.pull = configPull{until: c.now.Add(pullLimit)}
		return
	}
	a.pull = configPull{until: c.now.Add(took), revision: e.config.revision}
	c.bytes[a.addr] += pullBytes
	c.bytes[e.addr] += pullBytes
}

func (c *cluster) endPull(a *agentNode) {
	if a.pull.until.IsZero() || c.now.Before(a.pull.until) {
		return
	}
	if a.pull.revision > 0 {
		a.SetConfigVersion(a.pull.revision)
	}
	a.pull = configPull{}
}

// segment is the time of a TCP segment and its answer, sent again after rto,
// doubled each time, while one of the two is lost.
func (c *cluster) segment(rto time.Duration) time.Duration {
	arrive := 100 - c.lost
	took := 2 * linkDelay
	for c.rnd.IntN(100*100) >= arrive*arrive {
		took += rto
		rto *= 2
	}
	return took
}

// lose loses a share of all datagrams, and of the segments of pulls.
func (c *cluster) lose(percent int) {
	c.lost = percent
	c.deliver = badNetwork(c.rnd, percent, 0)
}

// inForce changes a pool's configuration at all entries and returns how long
// each agent of it took to have it, sorted.
func (c *cluster) inForce(pool string, limit time.Duration) []time.Duration {
	version := c.change(pool, c.entries...)
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

// storeDelay is the sum of what comes before an entry has a change: the pause
// between two watches (docs/design/0002-declared-state.md) and the call.
const storeDelay = 600 * time.Millisecond

// configLimit is what remains of 9 s.
const configLimit = 9*time.Second - storeDelay

// BenchmarkConfigInForce prints the time from "all entries have a change of a
// pool" to "an agent of the pool has it", over ten changes.
func BenchmarkConfigInForce(b *testing.B) {
	for _, size := range []struct{ entries, agents, pools int }{{3, 24, 2}, {86, 2400, 14}} {
		for _, lost := range []int{0, 5, 20} {
			b.Run(fmt.Sprintf("entries=%d/agents=%d/lost=%d", size.entries, size.agents, lost), func(b *testing.B) {
				for range b.N {
					c := newCluster(b, size.entries, size.agents, size.pools, 25)
					c.run(30 * time.Second)
					c.lose(lost)
					var all []time.Duration
					for i := range 10 {
						all = append(all, c.inForce(fmt.Sprintf("pool-%d", i%size.pools), time.Minute)...)
						c.run(5 * time.Second)
					}
					slices.Sort(all)
					late := 0
					for _, d := range all {
						if d > configLimit {
							late++
						}
					}
					pulls := 0
					for _, a := range c.agents {
						pulls += a.pulls
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

// Symptom: a change isn't in force at some agents within 9 s.
// Sequence: a pool's object is changed; a share of all datagrams is lost.
// Cause: agents wait for the answer to their next report, or an announcement
// is lost and not repeated.
func TestChangeIsInForceInTime(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ entries, agents, pools int }{{3, 24, 2}, {8, 224, 14}} {
		for _, lost := range []int{0, 5, 20} {
			c := newCluster(t, size.entries, size.agents, size.pools, 21)
			c.run(settled)
			c.lose(lost)
			for range 3 {
				c.inForce("pool-0", configLimit)
				c.run(10 * time.Second)
			}
		}
	}
}

// Symptom: a change reaches an agent only with the answer to its next report.
// Sequence: nothing that entries send arrives in the second after the change.
// Cause: an announcement isn't repeated.
func TestLostAnnouncementIsRepeated(t *testing.T) {
	c := newCluster(t, 8, 224, 4, 26)
	c.run(settled)
	c.cut(func(from, _ netip.AddrPort) bool { return c.agentAt(from) < 0 })
	version := c.change("pool-0", c.entries...)
	c.run(announceSpread)
	c.heal()
	c.run(announceRepeat + 5*clusterStep)
	for _, a := range c.agents {
		if a.cfg.Descriptor.Pool == "pool-0" && a.Reporter.config < version {
			t.Errorf("%s doesn't have it", a.name())
		}
	}
}

// Symptom: each change makes all agents pull, and control exceeds its budget.
// Sequence: changes that concern no agent, and one that concerns one pool.
// Cause: agents are told the revision of the whole declared state.
func TestOnlyAgentsOfThePoolPull(t *testing.T) {
	c := newCluster(t, 4, 40, 4, 22)
	c.run(settled)
	for range 10 {
		c.change("", c.entries...)
		c.run(time.Second)
	}
	c.inForce("pool-1", configLimit)
	c.run(settled)
	for _, a := range c.agents {
		want := 0
		if a.cfg.Descriptor.Pool == "pool-1" {
			want = 1
		}
		if a.pulls != want {
			t.Errorf("%s of %s pulled %d times, want %d", a.name(), a.cfg.Descriptor.Pool, a.pulls, want)
		}
	}
}

// Symptom: operators' burst of changes after a freeze floods entries with pulls.
// Sequence: 200 changes of all pools within 20 s.
// Cause: each change is announced to each agent for itself.
func TestBurstOfChangesIsCoalesced(t *testing.T) {
	c := newCluster(t, 4, 40, 4, 23)
	c.run(settled)
	for i := range 200 {
		c.change([]string{"pool-0", "pool-1", "pool-2", "pool-3"}[i%4], c.entries...)
		c.run(clusterStep)
	}
	c.run(configLimit)
	for _, a := range c.agents {
		if a.Reporter.config < c.config.pools[a.cfg.Descriptor.Pool] {
			t.Errorf("%s lacks the newest version", a.name())
		}
		if a.pulls > 14 {
			t.Errorf("%s pulled %d times for 50 changes of its pool in 20 s", a.name(), a.pulls)
		}
	}
}

// Symptom: a restarted agent takes its drain for acknowledged and doesn't repeat
// it.
// Sequence: an announcement to its former life arrives after its start.
// Cause: the sequence that it acknowledges is the former life's.
func TestAnnouncementToFormerLifeAcknowledgesNothing(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 24)
	c.run(settled)
	a, e := c.agents[0], c.entries[0]
	c.change("pool-0", e)
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
	before := h.acked
	out := a.Handle(c.now, e.addr, late[0].Message)
	if h.acked != before || h.greeted {
		t.Errorf("acknowledged %d, greeted %t", h.acked, h.greeted)
	}
	if out.PullConfigFrom == "" {
		t.Error("the new version isn't pulled")
	}
}

// ---- cost of a pull ---------------------------------------------------------

// Headers of a pull over TCP. Connections to entries are idle longer than the
// pool keeps them (60 s), so each pull connects anew: SYN, SYN-ACK and ACK, one
// segment and one ACK each way for call and answer, FIN and ACK each way. 40
// bytes of IPv4 and TCP headers, 12 of timestamps; 8 more of options in a SYN.
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

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	n atomic.Int64
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.n}, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// TestPullCost holds the constants, by which announcements are paced and pulls
// are counted, against a real call with its framing.
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
	got := int(counted.n.Load())
	t.Logf("call and answer: %d B", got)
	if got > pullPayload || got < pullPayload/2 {
		t.Errorf("a pull takes %d B, pullPayload is %d", got, pullPayload)
	}
	ack := proto.Size(ackMessage(&wirepb.ReportAck{
		Entry: 1, EntryIncarnation: 1_800_000_000_000, Sequence: 1 << 20, ConfigVersion: 1 << 24,
		PeersVersion: 1 << 63, PeriodMs: 7000, KnownIncarnation: 1_800_000_000_000,
	})) + wire.HeaderBytes
	if sum := pullBytes + 2*ack; sum > pullCost || sum < pullCost*3/4 {
		t.Errorf("an announcement, sent twice, and its pull cost %d B, pullCost is %d", sum, pullCost)
	}
}
