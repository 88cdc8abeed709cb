package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
)

// orderedTable fails if a call goes back to an earlier incarnation, or to an
// earlier sample of the same incarnation.
type orderedTable struct {
	*fakeTable
	t *rapid.T
}

func (o *orderedTable) Observe(d backend.Descriptor, inc uint64, load backend.Load, now time.Time) {
	if row := o.rows[wire.NameKey(d.Name)]; row != nil && inc < row.incarnation {
		o.t.Fatalf("descriptor of incarnation %d after %d", inc, row.incarnation)
	}
	o.fakeTable.Observe(d, inc, load, now)
}

func (o *orderedTable) ObserveLoad(key, inc uint64, load backend.Load, age time.Duration, now time.Time) bool {
	row := o.rows[key]
	if row == nil || row.incarnation != inc {
		return false
	}
	if now.Add(-age).Before(row.at) {
		o.t.Fatalf("sample of %s after one of %s", now.Add(-age), row.at)
	}
	if load.Sequence != 0 && load.Sequence <= row.load.Sequence {
		o.t.Fatalf("sequence %d after %d", load.Sequence, row.load.Sequence)
	}
	if row.load.Draining && !load.Draining && load.Sequence == 0 {
		o.t.Fatal("a relayed sample undid a drain")
	}
	return o.fakeTable.ObserveLoad(key, inc, load, age, now)
}

// An entry must never replace an incarnation or sample of a server by an older
// one. Agents restart with their clocks ahead or behind, start to drain and
// pause, while datagrams are lost, duplicated, delayed and reordered. The order
// of arrival isn't the order of sending.
func TestIncarnationsNeverRegress(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		const entries, agents = 4, 3
		c := newCluster(t, entries, agents, 1, rapid.Uint64().Draw(rt, "seed"))
		for _, e := range c.entries {
			e.cfg.Table = &orderedTable{fakeTable: e.table, t: rt}
		}
		c.deliver = unreliableNetwork(c.rnd, rapid.IntRange(0, 40).Draw(rt, "lost"), rapid.IntRange(0, 40).Draw(rt, "late"))
		for range rapid.IntRange(3, 12).Draw(rt, "steps") {
			disturbAgent(rt, c, agents)
			c.run(time.Duration(rapid.IntRange(1, 50).Draw(rt, "tenths")) * clusterStep)
		}
		c.dropNothing()
		for _, a := range c.agents {
			a.paused = false
		}
		c.run(time.Minute)
		for _, a := range c.agents {
			for _, e := range c.homesOf(a) {
				row := e.table.rows[wire.NameKey(a.name())]
				if row == nil || row.incarnation != a.Incarnation() || row.state != backend.StateLive {
					rt.Fatalf("%s has row %+v of %s, want incarnation %d", e.self.GetName(), row, a.name(), a.Incarnation())
				}
			}
		}
	})
}

// disturbAgent restarts, drains or pauses an agent, or changes its load.
func disturbAgent(rt *rapid.T, c *cluster, agents int) {
	i := rapid.IntRange(0, agents-1).Draw(rt, "agent")
	a := c.agents[i]
	switch rapid.IntRange(0, 3).Draw(rt, "what") {
	case 0:
		skew := time.Duration(rapid.IntRange(-60, 60).Draw(rt, "skew")) * time.Second
		now := c.now
		c.now = now.Add(skew)
		a.load.Draining = false
		c.startAgent(i, 1)
		c.now = now
	case 1:
		a.load.Draining = true
	case 2:
		a.paused = !a.paused
	case 3:
		a.load.PrefillShort = int64(rapid.IntRange(0, 100_000).Draw(rt, "prefill"))
	}
}

// unreliableNetwork loses, duplicates and delays datagrams, with probabilities
// in percent.
func unreliableNetwork(rnd *rand.Rand, lost, late int) func(from, to netip.AddrPort) []time.Duration {
	arrival := func() time.Duration {
		if rnd.IntN(100) < late {
			return time.Duration(rnd.Int64N(int64(5 * time.Second)))
		}
		return linkDelay
	}
	return func(_, _ netip.AddrPort) []time.Duration {
		if rnd.IntN(100) < lost {
			return nil
		}
		if rnd.IntN(100) < late {
			return []time.Duration{arrival(), arrival()}
		}
		return []time.Duration{arrival()}
	}
}

// The removal of an entry must move only the agents that report to it. The
// agents must be spread over the entries so that no entry has more than twice
// its share.
func TestRemovedEntryMovesOnlyItsAgents(t *testing.T) {
	const entries, agents = 86, 2400
	var names []string
	for i := range entries {
		names = append(names, entryAddr(i).String())
	}
	load := map[string]int{}
	for i := range agents {
		agent := agentAddr(i).String()
		before := Rank(agent, names, homesPerAgent)
		after := Rank(agent, names[1:], homesPerAgent)
		for _, h := range before {
			load[h]++
			if h == names[0] {
				continue
			}
			if after[0] != h && after[1] != h {
				t.Fatalf("%s lost home %s, which wasn't removed", agent, h)
			}
		}
	}
	for name, n := range load {
		if n > 2*agents*homesPerAgent/entries {
			t.Errorf("%s is home of %d agents, the mean is %d", name, n, agents*homesPerAgent/entries)
		}
	}
}

// BenchmarkEvidenceSpread prints how long evidence takes to reach 86 entries,
// with and without loss, over 50 seeds.
func BenchmarkEvidenceSpread(b *testing.B) {
	for _, lost := range []int{0, 20} {
		b.Run(lossName(lost), func(b *testing.B) {
			for range b.N {
				worst, sum, bytes := time.Duration(0), time.Duration(0), 0
				const seeds = 50
				for seed := range uint64(seeds) {
					took, cost := measureEvidenceSpread(b, seed, lost)
					worst, sum = max(worst, took), sum+took
					bytes += cost
				}
				b.ReportMetric(worst.Seconds(), "worst-s")
				b.ReportMetric(sum.Seconds()/seeds, "mean-s")
				b.ReportMetric(float64(bytes)/seeds/86, "B/entry")
			}
		})
	}
}

func lossName(lost int) string {
	if lost == 0 {
		return "lossless"
	}
	return "lost=20%"
}

// measureEvidenceSpread returns the time until all entries have the evidence,
// and the additional bytes compared with the same time before it.
func measureEvidenceSpread(b *testing.B, seed uint64, lost int) (time.Duration, int) {
	c := newCluster(b, 86, 0, 1, seed)
	c.run(settleTime)
	c.deliver = unreliableNetwork(c.rnd, lost, 0)
	base := c.totalBytes()
	c.run(settleTime)
	quiet := c.totalBytes() - base
	e := c.entries[0]
	list := sampleEvidence()
	start := c.now
	c.applyEntry(e, e.AddEvidence(c.now, list))
	took := time.Duration(0)
	for c.now.Sub(start) < settleTime {
		c.run(clusterStep)
		if took == 0 && c.entriesWithEvidence() == 85 {
			took = c.now.Sub(start)
		}
	}
	if took == 0 {
		b.Fatalf("seed %d: not all entries have the evidence after %s", seed, settleTime)
	}
	return took, c.totalBytes() - base - 2*quiet
}

func (c *cluster) totalBytes() int {
	sum := 0
	for _, n := range c.bytes {
		sum += n
	}
	return sum
}

func (c *cluster) entriesWithEvidence() int {
	n := 0
	for _, e := range c.entries[1:] {
		if e.evidenceReceived > 0 {
			n++
		}
	}
	return n
}
