package routing

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/backend"
)

func TestPrefixHolderIsPreferred(t *testing.T) {
	rows := manyRows(500)
	holder := rows[123]
	x := NewPrefixIndex(PrefixLimits{})
	p, _ := New(PolicyCost, Options{Prefixes: x})
	q := newQuery(50_000)
	q.Prefix = []uint64{1, 2, 3, 4, 5}
	x.RecordSent(holder.Key, q.Prefix[:4])
	rows[123].Load = backend.Load{}
	got := p.Choose(q, rows, newRand(), 1, nil)
	if got[0].Name != holder.Name || got[0].CachedTokens != 40_000 {
		t.Errorf("chose %+v, want %s with 40000 cached", got[0], holder.Name)
	}
}

func TestHoldersSortedByMatchLength(t *testing.T) {
	x := NewPrefixIndex(PrefixLimits{})
	prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	x.RecordSent(100, prefix[:6])
	x.RecordSent(200, prefix[:3])
	got := x.Holders(prefix, make([]Holder, 0, maxHolders))
	if diff := cmp.Diff([]Holder{{100, 6}, {200, 3}}, got); diff != "" {
		t.Error(diff)
	}
	x.Reconcile(100, prefix, 2)
	got = x.Holders(prefix, make([]Holder, 0, maxHolders))
	if diff := cmp.Diff([]Holder{{200, 3}, {100, 1}}, got); diff != "" {
		t.Error(diff)
	}
}

func TestCandidatesIncludePrefixHolders(t *testing.T) {
	table := tableOf(500)
	holder := table.Rows("p", nil)[250]
	x := NewPrefixIndex(PrefixLimits{})
	q := newQuery(50_000)
	q.Prefix = []uint64{1, 2, 3}
	x.RecordSent(holder.Key, q.Prefix)
	for range 50 {
		rows := Candidates(table, x, q, newRand(), nil)
		if !slices.ContainsFunc(rows, func(r backend.Row) bool { return r.Key == holder.Key }) {
			t.Fatal("the holder of the prefix is not among the candidates")
		}
	}
}

// An eviction event is lost and later events arrive. An index that ignores the gap keeps
// hints for evicted blocks and sends requests to a server that no longer has them.
func TestGapInEventsDropsHints(t *testing.T) {
	x := NewPrefixIndex(PrefixLimits{})
	x.ApplyEvents(1, []CacheEvent{{Sequence: 1, Hash: 10}, {Sequence: 2, Hash: 11}})
	x.ApplyEvents(1, []CacheEvent{{Sequence: 1, Evict: true, Hash: 10}}) // late
	if got := x.Len(); got != 2 {
		t.Errorf("%d hints after a late event, want 2", got)
	}
	x.ApplyEvents(1, []CacheEvent{{Sequence: 5, Hash: 12}})
	if got := x.Len(); got != 1 {
		t.Errorf("%d hints after a gap, want 1", got)
	}
}

// The index stays within its limits, and its maps by server and by block agree, after any
// sequence of operations.
func TestPrefixIndexIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewPrefixIndex(PrefixLimits{PerServer: 4, Total: 10})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			server := rapid.Uint64Range(1, 6).Draw(t, "server")
			prefix := rapid.SliceOfN(rapid.Uint64Range(1, 12), 0, 6).Draw(t, "prefix")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				x.RecordSent(server, prefix)
			case 2:
				x.Reconcile(server, prefix, 1)
			case 3:
				x.RemoveServer(server)
			}
			checkIndex(t, x)
		}
	})
}

func checkIndex(t *rapid.T, x *PrefixIndex) {
	byServer, byBlock := 0, 0
	for key, s := range x.servers {
		byServer += len(s.order)
		if s.slot != 0 && x.slots[s.slot] != key {
			t.Fatalf("slot %d of server %d is that of server %d", s.slot, key, x.slots[s.slot])
		}
		for _, hash := range s.order {
			if holders := x.blocks[hash]; !slices.Contains(holders[:], s.slot) {
				t.Fatalf("server %d isn't among the holders %v of its block %d", key, holders, hash)
			}
		}
		if len(s.order) > 4 {
			t.Fatalf("%d hints of one server", len(s.order))
		}
	}
	for _, holders := range x.blocks {
		for _, holder := range holders {
			if holder != 0 {
				byBlock++
			}
		}
	}
	if byServer != x.hintCount || byBlock != x.hintCount || x.hintCount > 10 {
		t.Fatalf("hints: %d by server, %d by block, %d counted", byServer, byBlock, x.hintCount)
	}
}
