package peering

import (
	"testing"
	"time"

	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/placement"
)

const slowServer uint64 = 12

// pacedEngine is an engine whose passes take 10 ms.
var pacedEngine = &placement.EngineProfile{Capacity: 4, MemoryTokens: 1e6, Stride: 10, Chunk: 2048, StepTime: time.Millisecond, PrefillRate: 1e6}

// startPacedEntry starts an entry that shares the pace of slowServer.
func startPacedEntry(t *testing.T, store *memory.Memory, name string, incarnation uint64) *entry {
	t.Helper()
	e := startEntryWith(t, store, name, incarnation, func(c *Config) {
		c.Ledger = placement.NewLedger(func(server uint64) *placement.EngineProfile {
			if server == slowServer {
				return pacedEngine
			}
			return nil
		})
	})
	e.ledger = e.exchange.cfg.Ledger
	e.ledger.SharePaces(e.exchange.PacePublisher(), func(uint64) bool { return true })
	return e
}

// measure lets the entry relay a stream whose passes take factor times their declared time.
func (e *entry) measure(seq uint64, factor float64) {
	id := placement.AttemptID{Owner: e.exchange.cfg.Incarnation, Seq: seq}
	at := time.Now().Add(-time.Second)
	e.ledger.Begin(placement.Attempt{ID: id, Server: slowServer, Decoding: true}, at)
	for range 4 {
		e.ledger.Event(id, slowServer, at)
		at = at.Add(time.Duration(factor * float64(pacedEngine.DecodePassTime(1, 0))))
	}
	e.ledger.End(id)
}

func (e *entry) countsAsSlow(want bool) func() bool {
	return func() bool {
		_, slow := e.ledger.SlowServers(time.Now())[slowServer]
		return slow == want
	}
}

// Guards against entries that each find a slow server by late prompts of their own, and against a
// server that some entries avoid after another one has seen that it is well again.
func TestPaceReachesOtherEntries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startPacedEntry(t, store, "a", 1), startPacedEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b found a", func() bool { return <-b.entryCounts == 2 })
	a.measure(1, 4)
	waitFor(t, "b knows that the server is slow", b.countsAsSlow(true))
	if by := b.ledger.SlowServers(time.Now())[slowServer]; by.Own || len(by.Reporters) != 1 || by.Reporters[0] != 1 {
		t.Errorf("b names as sources %+v", by)
	}
	time.Sleep(reorderTolerance) // the second measurement must be later than the first as a dates it
	b.measure(1, 1)
	waitFor(t, "a knows that the server is well again", a.countsAsSlow(false))
}

// Guards against an entry that never learns a pace because the datagram about it was lost.
func TestLostPaceIsRepeated(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startPacedEntry(t, store, "a", 1), startPacedEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b is listed", func() bool { return a.lists(1) })
	reachable := a.divertPeers()
	a.measure(1, 4)
	time.Sleep(4 * batchDelay) // the message about the change is lost
	reachable()
	waitFor(t, "b knows that the server is slow", b.countsAsSlow(true))
}
