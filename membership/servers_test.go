package membership

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// restartEntry replaces entry i by a new incarnation that has only the list of
// entries.
func (c *cluster) restartEntry(i int) *entryNode {
	e := c.newEntry(i)
	c.entries[i] = e
	for _, other := range c.entries {
		other.MergePeers(c.now, c.peerList())
	}
	return e
}

// liveServers returns the number of live servers in an entry's table.
func (e *entryNode) liveServers() int {
	n := 0
	for _, row := range e.table.rows {
		if row.state == backend.StateLive {
			n++
		}
	}
	return n
}

// A replaced entry must have all servers of its region within seconds. With only
// the reports of its own agents and a few rows of digests, it would have few
// servers to choose from for minutes.
func TestNewEntryPullsAllServers(t *testing.T) {
	c := newCluster(t, 8, 224, 4, 31)
	c.run(settleTime)
	e := c.restartEntry(3)
	c.run(5 * time.Second)
	if n := e.liveServers(); n != 224 {
		t.Errorf("%d live servers after 5 s, want 224", n)
	}
	if len(e.tableFill.queue) != 0 {
		t.Error("the queue of entries to pull from isn't empty")
	}
}

// An entry that starts must not suspect its agents for the first seconds. The
// agents report at the period that other entries requested. This failed if the
// entry checked their silence against the period that it would request itself.
func TestNewEntrySuspectsNoAgents(t *testing.T) {
	c := newCluster(t, 8, 224, 4, 39)
	c.run(settleTime)
	e := c.restartEntry(3)
	c.run(settleTime)
	if n := e.suspected.Count(); n != 0 {
		t.Errorf("%d agents suspected", n)
	}
}

// An entry that was paused for a minute must pull the servers that were replaced
// in the meantime. Otherwise it would treat its table as complete and send them
// nothing.
func TestPausedEntryPullsServersAgain(t *testing.T) {
	c := newCluster(t, 8, 40, 2, 32)
	c.run(settleTime)
	e := c.entries[0]
	e.paused = true
	c.run(30 * time.Second)
	for i := range 20 {
		c.startAgent(i, 2)
	}
	c.run(30 * time.Second)
	e.paused = false
	c.run(5 * time.Second)
	for _, a := range c.agents {
		if row := e.table.rows[wire.NameKey(a.name())]; row == nil || row.incarnation != a.Incarnation() {
			t.Errorf("%s isn't known with its present incarnation", a.name())
		}
	}
}

// A failed call to a paused entry must be repeated, but not forever. Otherwise
// an entry that starts would never get the servers of some entries, or never
// stop pulling.
func TestFailedServersPullIsRetried(t *testing.T) {
	c := newCluster(t, 8, 0, 1, 33)
	c.run(settleTime)
	c.entries[0].paused = true
	e := c.restartEntry(3)
	c.run(settleTime)
	if len(e.tableFill.queue) != 0 || e.tableFill.inFlight != 0 || e.tableFill.retries != maxFillRetries {
		t.Errorf("%d entries left to pull from, %d retries", len(e.tableFill.queue), e.tableFill.retries)
	}
}

// A server list from another entry that missed the replacement of a server must
// not bring the previous incarnation back.
func TestServerListNeverRevertsIncarnation(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 34)
	c.run(settleTime)
	a, e := c.agents[0], c.entries[0]
	old := c.entries[1].Servers(c.now, 0, 0).GetServers()
	c.startAgent(0, 1)
	c.run(settleTime)
	e.MergeServers(c.now, old)
	if row := e.table.rows[wire.NameKey(a.name())]; row.incarnation != a.Incarnation() {
		t.Errorf("incarnation %d, want %d", row.incarnation, a.Incarnation())
	}
}

// A server that no digest contained for minutes must be usable with the next row
// about it. If an entry that isn't its home dropped the descriptor together with
// the row, the server would get no work until it has answered a request for its
// descriptor.
func TestRowOfExpiredServerNeedsNoDescriptorRequest(t *testing.T) {
	c := newCluster(t, 8, 40, 1, 35)
	c.run(settleTime)
	e := c.entries[0]
	var a *agent
	for _, key := range slices.Sorted(mapKeys(e.agents)) {
		if candidate := e.agents[key]; !candidate.direct {
			a = candidate
			break
		}
	}
	e.markDead(a)
	delete(e.table.rows, a.key)
	row := e.newDigestRow(c.now, a)
	row.AgeDs = 0
	var out Effects
	e.handleRow(c.now.Add(time.Second), row, &out)
	if len(out.Send) != 0 || e.table.rows[a.key] == nil || a.gone {
		t.Errorf("sent %v, row %v, gone %t", out.Send, e.table.rows[a.key], a.gone)
	}
}

func mapKeys(m map[uint64]*agent) func(yield func(uint64) bool) {
	return func(yield func(uint64) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// A drain in the hello of a new incarnation must be treated as new, although the
// previous incarnation was draining as well. Otherwise digests wouldn't put it
// first, and entries would send the server new work for long.
func TestDrainOfNewIncarnationIsNew(t *testing.T) {
	c := newCluster(t, 8, 8, 1, 36)
	c.run(settleTime)
	a := c.agents[0]
	a.load.Draining = true
	c.run(drainPriorityTime + settleTime)
	c.startAgent(0, 1)
	c.run(3 * time.Second)
	for _, e := range c.homesOf(a) {
		drained := e.agents[wire.NameKey(a.name())].drainSeenAt
		if c.now.Sub(drained) > 3*time.Second {
			t.Errorf("%s first received the drain %s ago", e.self.GetName(), c.now.Sub(drained))
		}
	}
}

// All pages of a server list must be pulled, and pulling must end. Here the list
// has three pages, or its last page names itself as the next.
func TestAllPagesArePulled(t *testing.T) {
	for _, repeatsPage := range []bool{false, true} {
		pages := 0
		log := logrus.New()
		log.SetOutput(io.Discard)
		entry, err := NewEntryRunner(EntryConfig{
			Listen: "127.0.0.1:0",
			Log:    log,
			ObserverConfig: ObserverConfig{
				Self:  &wirepb.Peer{Name: "entry-0", Region: "tas", Incarnation: 1},
				Table: &fakeTable{rows: map[uint64]*fakeRow{}},
				Rand:  rand.New(rand.NewPCG(1, 1)),
			},
			Pulls: PullFuncs{Servers: func(_ context.Context, _ string, after uint64) (*wirepb.Servers, error) {
				pages++
				page := &wirepb.Servers{Next: after + 1}
				if after == 2 {
					page.Next = 0
				}
				if after == 2 && repeatsPage {
					page.Next = after
				}
				return page, nil
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		entry.ctx = t.Context()
		if err := entry.pullServerPages("127.0.0.1:1"); err != nil {
			t.Fatal(err)
		}
		if pages != 3 {
			t.Errorf("%d pages pulled, want 3", pages)
		}
		if err := entry.socket.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// BenchmarkNewEntry prints how many servers a new entry of a large region has
// after 15 s and after 150 s, with and without pulling lists, and the bytes of
// the lists.
func BenchmarkNewEntry(b *testing.B) {
	for _, withList := range []bool{false, true} {
		b.Run(fmt.Sprintf("list=%t", withList), func(b *testing.B) {
			for range b.N {
				c := newCluster(b, 86, 2400, 14, 37)
				c.run(time.Minute)
				e := c.restartEntry(3)
				if !withList { // started long ago
					e.tableFill.startAt, e.tableFill.enqueued = c.now.Add(-time.Hour), map[uint64]bool{}
				}
				c.serverListBytes = 0
				c.run(15 * time.Second)
				b.ReportMetric(float64(e.liveServers()), "known-15s")
				b.ReportMetric(float64(c.serverListBytes), "list-B")
				c.run(135 * time.Second)
				b.ReportMetric(float64(e.liveServers()), "known-150s")
				fresh := 0
				for _, a := range e.agents {
					if !a.gone && c.now.Sub(a.sampledAt) <= 10*time.Second {
						fresh++
					}
				}
				b.ReportMetric(float64(fresh)/14, "rows<10s/pool")
			}
		})
	}
}
