package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// measurements are the results of one run of a cluster.
type measurements struct {
	entryMean, entryMax, agentMean, agentMax float64 // bytes/s, in and out
	period                                   time.Duration
	directAge, allAge                        time.Duration // p50 of rows received directly, and of all
	rows, perPool                            float64       // rows per entry, rows under 10 s old per pool
	peerAgeMax, peerAgeP50                   time.Duration
}

// Configuration changes at the size of docs/design/0002-declared-state.md:
// 15,000 a day. One in ten concerns a pool. The others are workspace policies
// and service levels, which no agent needs.
const (
	changeInterval  = 24 * time.Hour / 15_000
	poolChangeEvery = 10
)

func (c *cluster) nextDailyChange(pools int) {
	pool := ""
	if n := int(c.config.revision); n%poolChangeEvery == 0 {
		pool = fmt.Sprintf("pool-%d", n/poolChangeEvery%pools)
	}
	c.changeConfig(pool, c.entries...)
}

// measure runs a cluster for the time warm and then measures it for the time d.
func measure(t testing.TB, entries, agents, pools int, warm, d time.Duration) measurements {
	c := newCluster(t, entries, agents, pools, 7)
	c.loadJumpChance = 0.05 // loads jump twice a second, which uses up all unscheduled reports
	c.run(warm)
	clear(c.bytes)
	start := c.now
	for c.now.Sub(start) < d {
		c.run(changeInterval)
		c.nextDailyChange(pools)
	}
	var f measurements
	seconds := c.now.Sub(start).Seconds()
	var ownAges, allAges, peerAges []time.Duration
	fresh, rows := 0, 0
	for _, e := range c.entries {
		rate := float64(c.bytes[e.addr]) / seconds
		f.entryMean += rate / float64(entries)
		f.entryMax = max(f.entryMax, rate)
		f.period = max(f.period, e.ReportPeriod())
		for _, a := range e.agents {
			if a.gone {
				continue
			}
			rows++
			age := c.now.Sub(a.sampledAt)
			allAges = append(allAges, age)
			if a.direct {
				ownAges = append(ownAges, age)
			}
			if age <= 10*time.Second {
				fresh++
			}
		}
		for _, p := range e.peers.all {
			peerAges = append(peerAges, c.now.Sub(p.lastSeen))
		}
	}
	for _, a := range c.agents {
		rate := float64(c.bytes[a.addr]) / seconds
		f.agentMean += rate / float64(agents)
		f.agentMax = max(f.agentMax, rate)
	}
	slices.Sort(ownAges)
	slices.Sort(allAges)
	slices.Sort(peerAges)
	f.directAge = ownAges[len(ownAges)/2]
	f.allAge = allAges[len(allAges)/2]
	f.peerAgeP50 = peerAges[len(peerAges)/2]
	f.peerAgeMax = peerAges[len(peerAges)-1]
	f.rows = float64(rows) / float64(entries)
	f.perPool = float64(fresh) / float64(entries*pools)
	return f
}

// BenchmarkControlBytes prints the control bytes per second of each role at
// today's sizes and at one region of the target size, with encoded datagrams and
// 28 bytes of headers each. It also prints the age of rows and of signs of life
// that the periods give.
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []struct{ entries, agents, pools int }{
		{3, 19, 2}, {3, 24, 2}, {8, 224, 14}, {86, 2400, 14},
	} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			for range b.N {
				f := measure(b, size.entries, size.agents, size.pools, 90*time.Second, time.Minute)
				b.ReportMetric(f.entryMean, "entry-B/s")
				b.ReportMetric(f.entryMax, "entry-max-B/s")
				b.ReportMetric(f.agentMean, "agent-B/s")
				b.ReportMetric(f.agentMax, "agent-max-B/s")
				b.ReportMetric(f.period.Seconds(), "period-s")
				b.ReportMetric(f.directAge.Seconds(), "own-age-p50-s")
				b.ReportMetric(f.allAge.Seconds(), "all-age-p50-s")
				b.ReportMetric(f.rows, "rows/entry")
				b.ReportMetric(f.perPool, "rows<10s/pool")
				b.ReportMetric(f.peerAgeP50.Seconds(), "peer-age-p50-s")
				b.ReportMetric(f.peerAgeMax.Seconds(), "peer-age-max-s")
			}
		})
	}
}

// The control traffic of an entry must stay within its limit as the fleet grows.
// It exceeded the limit if the report period didn't grow with the number of
// agents that report to an entry.
func TestControlBytesStayInBudget(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ entries, agents, pools int }{{3, 24, 2}, {16, 448, 14}} {
		f := measure(t, size.entries, size.agents, size.pools, 40*time.Second, 30*time.Second)
		if f.entryMax > DefaultControlBudget || f.agentMax > DefaultControlBudget {
			t.Errorf("%d entries, %d agents: entry %.0f, agent %.0f B/s, limit %d",
				size.entries, size.agents, f.entryMax, f.agentMax, DefaultControlBudget)
		}
	}
}

// TestReportCost checks reportCost, from which an entry computes the report
// period, against the encoded messages.
func TestReportCost(t *testing.T) {
	c := newCluster(t, 1, 1, 1, 1)
	a := c.agents[0]
	a.load.PrefillLong, a.load.Held, a.load.Waiting = 900_000, 200_000, 20
	a.sequence, a.config = 1<<20, 1<<20
	a.SetPeers("entry-0", c.peerList())
	h := a.active[0]
	h.hasDescriptor = true
	load := a.load
	load.Sequence = a.sequence
	report := proto.Size(a.reportOrHello(h, load))
	ack := proto.Size(ackMessage(&wirepb.ReportAck{
		Entry: h.key, EntryIncarnation: c.incarnation(), Sequence: 1 << 20,
		PeersVersion: 1 << 63, PeriodMs: 4000,
	}))
	cost := report + wire.UDPHeaderBytes + (ack+wire.UDPHeaderBytes)/ackEvery
	if cost > reportCost || cost < reportCost*3/4 {
		t.Errorf("a report with its share of an acknowledgement costs %d B (%d + %d/%d, %d B of headers each), reportCost is %d",
			cost, report, ack, ackEvery, wire.UDPHeaderBytes, reportCost)
	}
}
