package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/briarturn/briarturn/wire"
)

// BenchmarkDrain prints the time until the homes and the other entries with a
// row of the server receive a drain, with lost datagrams.
func BenchmarkDrain(b *testing.B) {
	for _, lost := range []int{0, 5, 20} {
		b.Run(fmt.Sprintf("entries=86/agents=2400/lost=%d", lost), func(b *testing.B) {
			for range b.N {
				c := newCluster(b, 86, 2400, 14, 41)
				c.run(time.Minute)
				c.setLoss(lost)
				homes, others, never := c.measureDrain(5)
				report := func(name string, list []time.Duration) {
					slices.Sort(list)
					b.ReportMetric(list[len(list)/2].Seconds(), name+"-p50-s")
					b.ReportMetric(list[len(list)-1].Seconds(), name+"-max-s")
				}
				report("home", homes)
				report("other", others)
				b.ReportMetric(float64(len(others)), "others-told")
				b.ReportMetric(float64(never), "others-not-in-30s")
			}
		})
	}
}

// measureDrain drains the first n agents. It returns the time until each home,
// and each other entry with a live row, has received the drain.
func (c *cluster) measureDrain(n int) (homes, others []time.Duration, never int) {
	type pair struct {
		e   *entryNode
		key uint64
	}
	waiting := map[pair]bool{} // the value is true for a home
	for _, a := range c.agents[:n] {
		a.load.Draining = true
		for _, e := range c.entries {
			key := wire.NameKey(a.name())
			if row := e.agents[key]; row != nil && !row.gone {
				waiting[pair{e, key}] = row.direct
			}
		}
	}
	start := c.now
	for c.now.Sub(start) < 30*time.Second {
		c.run(clusterStep)
		for p, home := range waiting {
			if !p.e.agents[p.key].load.Draining {
				continue
			}
			delete(waiting, p)
			if home {
				homes = append(homes, c.now.Sub(start))
			} else {
				others = append(others, c.now.Sub(start))
			}
		}
	}
	return homes, others, len(waiting)
}

// A drain must reach the homes within 3 s, although a fifth of all datagrams is
// lost. The region has more entries than homes. Otherwise the server would get
// new work from its homes. The drain came late if the flag waited for a period
// or was sent only once.
func TestDrainReachesHomesDespiteLoss(t *testing.T) {
	c := newCluster(t, 8, 224, 4, 42)
	c.run(settleTime)
	c.setLoss(20)
	homes, _, _ := c.measureDrain(20)
	if last := slices.Max(homes); last > 3*time.Second || len(homes) != 20*homesPerAgent {
		t.Errorf("%d homes received the drain, the last after %s", len(homes), last)
	}
}

// A drain must reach all entries of a region. The two homes of a server send
// digests only to a few random entries. If these didn't relay the drain, most
// entries would offer work to the server for as long as they keep its row.
func TestDrainReachesAllEntries(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 24, 96, 4, 45)
	c.run(2 * settleTime)
	_, others, never := c.measureDrain(1)
	if never > 0 || slices.Max(others) > 15*time.Second {
		t.Errorf("%d entries didn't receive the drain, %d did, the last after %s", never, len(others), slices.Max(others))
	}
}

// peakTraffic is the traffic of the busiest second.
type peakTraffic struct {
	entryMessages, entryBytes int // of the busiest entry in its busiest second
	allMessages               int // of all in the busiest second
}

// measurePeak runs the cluster and returns the traffic of its busiest second.
func (c *cluster) measurePeak(d time.Duration) peakTraffic {
	var f peakTraffic
	for range int(d.Seconds()) {
		clear(c.bytes)
		clear(c.sent)
		c.run(time.Second)
		all := 0
		for _, n := range c.sent {
			all += n
		}
		f.allMessages = max(f.allMessages, all)
		for _, e := range c.entries {
			f.entryMessages = max(f.entryMessages, c.sent[e.addr])
			f.entryBytes = max(f.entryBytes, c.bytes[e.addr])
		}
	}
	return f
}

// partitionZone cuts a third of the entries and agents off from the rest.
func (c *cluster) partitionZone() {
	inZone := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%3 == 0 }
	c.dropIf(func(from, to netip.AddrPort) bool { return inZone(from) != inZone(to) })
}

// BenchmarkReturn prints the busiest second before a zone with a third of the
// region is cut off for four minutes, during the cut, and in the minute after
// it.
func BenchmarkReturn(b *testing.B) {
	for range b.N {
		c := newCluster(b, 86, 2400, 14, 43)
		c.run(time.Minute)
		before := c.measurePeak(20 * time.Second)
		c.partitionZone()
		during := c.measurePeak(4 * time.Minute)
		c.dropNothing()
		after := c.measurePeak(time.Minute)
		for name, f := range map[string]peakTraffic{"before": before, "cut": during, "after": after} {
			b.ReportMetric(float64(f.entryMessages), name+"-entry-msg/s")
			b.ReportMetric(float64(f.entryBytes), name+"-entry-B/s")
			b.ReportMetric(float64(f.allMessages), name+"-all-msg/s")
		}
		listed := 0
		for _, e := range c.entries {
			listed = max(listed, 86-len(e.Peers()))
		}
		b.ReportMetric(float64(listed), "entries-unlisted-at-end")
	}
}

// When a third of the region returns after a cut of two minutes, its entries and
// agents must not flood the region with hellos, lists and digests that they held
// back.
func TestZoneReturnCausesNoTrafficSpike(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 9, 120, 4, 44)
	c.run(settleTime)
	before := c.measurePeak(10 * time.Second)
	c.partitionZone()
	c.run(2 * time.Minute)
	c.dropNothing()
	after := c.measurePeak(30 * time.Second)
	if after.allMessages > 2*before.allMessages {
		t.Errorf("%d messages in the busiest second after the return, %d before the partition", after.allMessages, before.allMessages)
	}
}
