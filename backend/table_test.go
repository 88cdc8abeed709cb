package backend

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func testDescriptor(name string) Descriptor {
	return Descriptor{Name: name, Pool: "p", MemoryTokens: 1000}
}

func mustLookup(t *testing.T, table *Table, name string) Row {
	t.Helper()
	row, ok := table.Lookup(name)
	if !ok {
		t.Fatalf("no row of %s", name)
	}
	return row
}

// Guards against a table that accepts the message that arrives last, so that an
// entry sends to the address of a former incarnation. The server restarts and
// reports itself; a report of the former incarnation, delayed in the network,
// arrives after that.
func TestOlderSamplesAreDropped(t *testing.T) {
	table := NewTable(TableOptions{})
	table.Observe(testDescriptor("a"), 2, Load{Sequence: 5, Running: 1}, at(0))
	table.ObserveLoad(KeyOf("a"), 1, Load{Sequence: 99, Running: 9}, 0, at(1))
	table.ObserveLoad(KeyOf("a"), 2, Load{Sequence: 4, Running: 9}, 0, at(1))
	if table.Observe(testDescriptor("a"), 1, Load{Sequence: 100}, at(1)) {
		t.Error("accepted the descriptor of an older incarnation")
	}
	if row := mustLookup(t, table, "a"); row.Load.Running != 1 || row.Incarnation != 2 {
		t.Errorf("row was overwritten with an older sample: %+v", row)
	}
	if got := table.staleSamples.Count(); got != 3 {
		t.Errorf("stale = %d, want 3", got)
	}
}

func TestNewIncarnationNeedsDescriptor(t *testing.T) {
	table := NewTable(TableOptions{})
	if table.ObserveLoad(KeyOf("a"), 1, Load{Sequence: 1}, 0, at(0)) {
		t.Error("ObserveLoad returned true for an unknown server")
	}
	table.Observe(testDescriptor("a"), 1, Load{Sequence: 7}, at(0))
	for i := range 2 {
		if table.ObserveLoad(KeyOf("a"), 2, Load{Sequence: uint64(i + 1)}, 0, at(1)) {
			t.Error("ObserveLoad returned true for a new incarnation without a descriptor")
		}
	}
	table.Observe(testDescriptor("a"), 2, Load{Sequence: 3}, at(2))
	if !table.ObserveLoad(KeyOf("a"), 2, Load{Sequence: 4}, 0, at(3)) {
		t.Error("ObserveLoad returned false for an incarnation with a descriptor")
	}
}

// Guards against a burst of requests to one server. The server reports an empty
// queue, and the entry sends it request after request until the next report,
// if placement ignores what the entry has dispatched itself.
func TestDispatchesCountUntilNewerSample(t *testing.T) {
	table := NewTable(TableOptions{})
	table.Observe(testDescriptor("a"), 1, Load{Sequence: 1}, at(0))
	first := table.BeginDispatch("a", DispatchLoad{Prefill: 10, Tokens: 20}, at(1))
	table.BeginDispatch("a", DispatchLoad{Prefill: 100, Tokens: 200, Long: true}, at(3))
	row := mustLookup(t, table, "a")
	if row.UnreportedRequests != 2 || row.UnreportedPrefill != 110 || row.UnreportedLongPrefill != 100 || row.FreeTokens() != 780 {
		t.Errorf("unreported counts: %+v", row)
	}
	table.ObserveLoad(KeyOf("a"), 1, Load{Sequence: 2}, 2*time.Second, at(4)) // taken at 2
	table.EndDispatch(first)
	if row := mustLookup(t, table, "a"); row.UnreportedRequests != 1 || row.UnreportedPrefill != 100 {
		t.Errorf("after a sample between the two: %+v", row)
	}
	table.ObserveLoad(KeyOf("a"), 2, Load{Sequence: 1}, 0, at(5))
	if row := mustLookup(t, table, "a"); row.UnreportedRequests != 0 {
		t.Errorf("after a restart: %+v", row)
	}
}

// Guards against a leaving server that gets work again, and against a
// replacement that never gets any. The VM list names the server as leaving,
// while its lagging agent still sends reports; later a VM of the same name
// starts. The mark must survive samples, but not the incarnation.
func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	table := NewTable(TableOptions{})
	table.Observe(testDescriptor("a"), 1, Load{Sequence: 1}, at(0))
	table.MarkLeaving("a")
	table.ObserveLoad(KeyOf("a"), 1, Load{Sequence: 2}, 0, at(1))
	if row := mustLookup(t, table, "a"); row.State != StateLeaving {
		t.Errorf("state %d, want leaving", row.State)
	}
	table.Observe(testDescriptor("a"), 2, Load{Sequence: 1}, at(2))
	if row := mustLookup(t, table, "a"); row.State != StateLive {
		t.Errorf("state of the replacement %d, want live", row.State)
	}
}

func TestSweepSilentServers(t *testing.T) {
	table := NewTable(TableOptions{SuspectAfter: 10 * time.Second, DirectTTL: 40 * time.Second})
	table.Observe(testDescriptor("a"), 1, Load{Sequence: 1}, at(0))
	table.Observe(testDescriptor("b"), 1, Load{Sequence: 1}, at(5))
	table.Sweep(at(11))
	if a, b := mustLookup(t, table, "a"), mustLookup(t, table, "b"); a.State != StateSuspect || b.State != StateLive {
		t.Errorf("states %d %d, want suspect, live", a.State, b.State)
	}
	if dropped := table.Sweep(at(41)); dropped != 1 {
		t.Errorf("dropped %d, want 1", dropped)
	}
	table.ObserveLoad(KeyOf("b"), 1, Load{Sequence: 2}, 0, at(42))
	if b := mustLookup(t, table, "b"); b.State != StateLive {
		t.Errorf("state after a report %d, want live", b.State)
	}
}

func TestDigestIsUsedOnlyIfNewer(t *testing.T) {
	table := NewTable(TableOptions{})
	table.Observe(testDescriptor("a"), 1, Load{Sequence: 8, Capacity: 1000}, at(10))
	sample := DigestSample{Key: KeyOf("a"), Incarnation: 1, Running: 3, Free: 400, Age: 5 * time.Second}
	table.ObserveDigest(sample, at(14)) // taken at 9
	if row := mustLookup(t, table, "a"); row.Load.Running != 0 {
		t.Error("an older digest was applied")
	}
	table.ObserveDigest(sample, at(16)) // taken at 11
	row := mustLookup(t, table, "a")
	if row.Load.Running != 3 || row.Load.Sequence != 8 || row.FreeTokens() != 400 {
		t.Errorf("row after a newer digest: %+v", row)
	}
	sample.Incarnation = 2
	if table.ObserveDigest(sample, at(20)) {
		t.Error("ObserveDigest returned true for an incarnation without a descriptor")
	}
}

func TestRowsAreBounded(t *testing.T) {
	table := NewTable(TableOptions{MaxRows: 2})
	for i := range 3 {
		ok := table.Observe(testDescriptor(fmt.Sprint(i)), 1, Load{Sequence: 1}, at(0))
		if ok != (i < 2) {
			t.Errorf("row %d accepted: %v", i, ok)
		}
	}
}

func TestSampleIsDistinctAndIncludesAlso(t *testing.T) {
	table := NewTable(TableOptions{})
	for i := range 100 {
		table.Observe(testDescriptor(fmt.Sprint(i)), 1, Load{Sequence: 1}, at(0))
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	rows := table.Sample("p", 10, []uint64{KeyOf("42")}, rnd, nil)
	seen := map[string]bool{}
	for _, row := range rows {
		if seen[row.Name] {
			t.Errorf("%s was drawn twice", row.Name)
		}
		seen[row.Name] = true
	}
	if !seen["42"] || len(rows) < 10 || len(rows) > 11 {
		t.Errorf("%d rows, 42 among them: %v", len(rows), seen["42"])
	}
}

func TestLeastLoadedIsSorted(t *testing.T) {
	table := NewTable(TableOptions{})
	for i, prefill := range []int64{50, 10, 40, 20, 30} {
		table.Observe(testDescriptor(fmt.Sprint(i)), 1, Load{Sequence: 1, PrefillShort: prefill}, at(0))
	}
	var got []int64
	for _, row := range table.LeastLoaded("p", 3, nil) {
		got = append(got, row.Load.PrefillShort)
	}
	if diff := cmp.Diff([]int64{10, 20, 30}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against counts that are read or changed without the mutex of the
// table, which leave a server looking busy forever or fail under the race
// detector. Reports, dispatches and placements of many requests run
// concurrently.
func TestConcurrentUse(t *testing.T) {
	table := NewTable(TableOptions{})
	table.Observe(testDescriptor("a"), 1, Load{Sequence: 1}, at(0))
	var wg sync.WaitGroup
	for g := range 4 {
		rnd := rand.New(rand.NewPCG(4, uint64(g)))
		wg.Go(func() {
			for i := range 200 {
				d := table.BeginDispatch("a", DispatchLoad{Prefill: 10, Tokens: 10}, at(1))
				table.Observe(testDescriptor(fmt.Sprint(g, i)), 1, Load{Sequence: 1}, at(0))
				table.Sample("p", 16, nil, rnd, nil)
				table.ObserveResponse("a", Load{Sequence: uint64(i), Incarnation: 1}, at(0))
				table.EndDispatch(d)
			}
		})
	}
	wg.Wait()
	row := mustLookup(t, table, "a")
	if row.UnreportedRequests != 0 || row.UnreportedPrefill != 0 || row.UnreportedTokens != 0 || row.Load.Sequence != 199 {
		t.Errorf("row after all dispatches have ended: %+v", row)
	}
	if n := table.Len(); n != 801 {
		t.Errorf("%d rows, want 801", n)
	}
}

// No order of reports, digests, marks and sweeps moves the incarnation or the
// sequence of a row backward.
func TestRowsAreMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(TableOptions{})
		last := map[string]Row{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Second)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			randomStep(t, table, name, now)
			for _, n := range []string{"a", "b", "c"} {
				row, ok := table.Lookup(n)
				before, had := last[n]
				if ok && had && (row.Incarnation < before.Incarnation ||
					row.Incarnation == before.Incarnation && row.Load.Sequence < before.Load.Sequence) {
					t.Fatalf("%s went from %d.%d to %d.%d", n, before.Incarnation,
						before.Load.Sequence, row.Incarnation, row.Load.Sequence)
				}
				delete(last, n)
				if ok {
					last[n] = row
				}
			}
		}
	})
}

func randomStep(t *rapid.T, table *Table, name string, now time.Time) {
	incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	load := Load{Sequence: rapid.Uint64Range(0, 9).Draw(t, "sequence"), Incarnation: incarnation}
	age := time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second
	d := testDescriptor(name)
	d.Pool = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		table.Observe(d, incarnation, load, now)
	case 1:
		table.ObserveLoad(KeyOf(name), incarnation, load, age, now)
	case 2:
		table.ObserveDigest(DigestSample{Key: KeyOf(name), Incarnation: incarnation, Age: age}, now)
	case 3:
		table.ObserveResponse(name, load, now)
	case 4:
		table.EndDispatch(table.BeginDispatch(name, DispatchLoad{Prefill: 1}, now))
	case 5:
		table.MarkDead(name)
	case 6:
		table.Sweep(now)
	}
}
