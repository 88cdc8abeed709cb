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

// restartEntry replaces entry i by a new life that knows only the list of
// entries.
func (c *cluster) restartEntry(i int) *entryNode {
	e := c.newEntry(i)
	c.entries[i] = e
	for _, other := range c.entries {
		other.MergePeers(c.now, c.peerList())
	}
	return e
}

// known counts the servers that an entry's table holds live.
func (e *entryNode) known() int {
	n := 0
	for _, row := range e.table.rows {
		if row.state == backend.StateLive {
			n++
		}
	}
	return n
}

// Symptom: an entry that starts has few servers to choose from for minutes.
// Sequence: one entry of a region is replaced.
// Cause: it hears only the agents whose home it is, and a few rows of digests.
func TestNewEntryKnowsAllServers(t *testing.T) {
	c := newCluster(t, 8, 224, 4, 31)
	c.run(settled)
	e := c.restartEntry(3)
	c.run(5 * time.Second)
	if n := e.known(); n != 224 {
		t.Errorf("%d servers known after 5 s, want 224", n)
	}
	if len(e.fill.queue) != 0 {
		t.Error("it goes on asking")
	}
}

// Symptom: an entry that starts holds its own agents for suspect for seconds.
// Sequence: they say hello and report after the period that others ask for.
// Cause: it judges their silence by the period that it would ask for itself.
func TestNewEntrySuspectsNobody(t *testing.T) {
	c := newCluster(t, 8, 224, 4, 39)
	c.run(settled)
	e := c.restartEntry(3)
	c.run(settled)
	if n := e.suspected.Count(); n != 0 {
		t.Errorf("%d agents suspected", n)
	}
}

// Symptom: an entry that was paused sends nothing to servers that started in the
// meantime.
// Sequence: it is paused for a minute, in which servers are replaced.
// Cause: it takes its table for whole.
func TestPausedEntryLearnsWhatItMissed(t *testing.T) {
	c := newCluster(t, 8, 40, 2, 32)
	c.run(settled)
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
		if row := e.table.rows[wire.Key(a.name())]; row == nil || row.incarnation != a.Incarnation() {
			t.Errorf("%s isn't known in its present life", a.name())
		}
	}
}

// Symptom: an entry never learns of the servers of some entries.
// Sequence: it starts while an entry is paused, whose call fails.
// Cause: one failed call ends the asking, or is made for ever.
func TestFailedListIsTriedAgain(t *testing.T) {
	c := newCluster(t, 8, 0, 1, 33)
	c.run(settled)
	c.entries[0].paused = true
	e := c.restartEntry(3)
	c.run(settled)
	if len(e.fill.queue) != 0 || e.fill.asking != 0 || e.fill.retries != fillRetries {
		t.Errorf("%d left to ask, %d retries", len(e.fill.queue), e.fill.retries)
	}
}

// Symptom: a passed-on list brings a former life of a server back.
// Sequence: a server is replaced; another entry, which didn't hear of it, gives
// its list.
// Cause: a list is taken for newer than what is known.
func TestListOfServersTakesNothingBack(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 34)
	c.run(settled)
	a, e := c.agents[0], c.entries[0]
	old := c.entries[1].Servers(c.now, 0, 0).GetServers()
	c.startAgent(0, 1)
	c.run(settled)
	e.MergeServers(c.now, old)
	if row := e.table.rows[wire.Key(a.name())]; row.incarnation != a.Incarnation() {
		t.Errorf("incarnation %d, want %d", row.incarnation, a.Incarnation())
	}
}

// Symptom: a server that nobody mentioned for minutes gets no work when it is
// the least loaded again, until it has answered a request for its descriptor.
// Sequence: a foreign entry forgets its row; a digest mentions it.
// Cause: the descriptor is forgotten with the row.
func TestRowOfForgottenServerIsUsedAtOnce(t *testing.T) {
	c := newCluster(t, 8, 40, 1, 35)
	c.run(settled)
	e := c.entries[0]
	var a *agent
	for _, key := range slices.Sorted(mapKeys(e.agents)) {
		if candidate := e.agents[key]; !candidate.direct {
			a = candidate
			break
		}
	}
	e.forget(a)
	delete(e.table.rows, a.key)
	row := e.row(c.now, a)
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

// Symptom: entries send new work to a server long after it began to drain.
// Sequence: it drained in its former life; its new one says so in its hello.
// Cause: the drain is taken for old news, so digests don't put it first.
func TestDrainOfNewLifeIsNews(t *testing.T) {
	c := newCluster(t, 8, 8, 1, 36)
	c.run(settled)
	a := c.agents[0]
	a.load.Draining = true
	c.run(drainSpread + settled)
	c.startAgent(0, 1)
	c.run(3 * time.Second)
	for _, e := range c.homesOf(a) {
		drained := e.agents[wire.Key(a.name())].drainedAt
		if c.now.Sub(drained) > 3*time.Second {
			t.Errorf("%s noted the drain %s ago", e.self.GetName(), c.now.Sub(drained))
		}
	}
}

// Symptom: an entry never stops to pull a list, or stops with half of it.
// Sequence: the giver's list has three pages, or its last page names itself as
// the next.
// Cause: the pages aren't followed to their end.
func TestPagesAreFollowedToTheEnd(t *testing.T) {
	for _, circle := range []bool{false, true} {
		asked := 0
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
				asked++
				page := &wirepb.Servers{Next: after + 1}
				if after == 2 {
					page.Next = 0
				}
				if after == 2 && circle {
					page.Next = after
				}
				return page, nil
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		entry.ctx = t.Context()
		if err := entry.takeServers("127.0.0.1:1"); err != nil {
			t.Fatal(err)
		}
		if asked != 3 {
			t.Errorf("%d pages asked for, want 3", asked)
		}
		if err := entry.socket.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// BenchmarkNewEntry prints what a new entry of a large region knows after 15 s
// and after 150 s, with and without asking the others, and the bytes
// of the list.
func BenchmarkNewEntry(b *testing.B) {
	for _, with := range []bool{false, true} {
		b.Run(fmt.Sprintf("list=%t", with), func(b *testing.B) {
			for range b.N {
				c := newCluster(b, 86, 2400, 14, 37)
				c.run(time.Minute)
				e := c.restartEntry(3)
				if !with { // begun long ago
					e.fill.begin, e.fill.asked = c.now.Add(-time.Hour), map[uint64]bool{}
				}
				c.filled = 0
				c.run(15 * time.Second)
				b.ReportMetric(float64(e.known()), "known-15s")
				b.ReportMetric(float64(c.filled), "list-B")
				c.run(135 * time.Second)
				b.ReportMetric(float64(e.known()), "known-150s")
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
