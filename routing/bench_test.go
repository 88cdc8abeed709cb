package routing

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/briarturn/briarturn/backend"
)

var benchSizes = []int{100, 1_000, 12_000}

// BenchmarkChoose measures one decision over rows already taken from the table.
func BenchmarkChoose(b *testing.B) {
	for _, name := range []string{PolicyCost, PolicyLeastLoad, PolicyRoundRobin} {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("%s/rows=%d", name, n), func(b *testing.B) {
				benchChoose(b, name, manyRows(n), newQuery(2_000))
			})
		}
	}
}

// BenchmarkChooseRare measures the decisions that inspect more rows: for a long
// prompt, and for a pool in which only one server can take the request.
func BenchmarkChooseRare(b *testing.B) {
	for _, n := range benchSizes {
		rows := manyRows(n)
		b.Run(fmt.Sprintf("long/rows=%d", n), func(b *testing.B) {
			benchChoose(b, PolicyCost, rows, newQuery(150_000))
		})
		for i := range rows {
			rows[i].State = backend.StateLeaving
		}
		rows[n/2].State = backend.StateLive
		b.Run(fmt.Sprintf("lone/rows=%d", n), func(b *testing.B) {
			benchChoose(b, PolicyCost, rows, newQuery(2_000))
		})
	}
}

func benchChoose(b *testing.B, name string, rows []backend.Row, q *Query) {
	p, rnd := mustNew(b, name), newRand()
	out := make([]Choice, 0, 3)
	b.ReportAllocs()
	for b.Loop() {
		out = p.Choose(q, rows, rnd, 3, out[:0])
	}
}

// BenchmarkSampleAndChoose measures what an entry does per request: it samples the
// table and decides over the sample.
func BenchmarkSampleAndChoose(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			p, table, rnd := mustNew(b, PolicyCost), tableOf(n), newRand()
			q := newQuery(2_000)
			out := make([]Choice, 0, 3)
			var rows []backend.Row
			b.ReportAllocs()
			for b.Loop() {
				rows = Candidates(table, nil, q, rnd, rows[:0])
				out = p.Choose(q, rows, rnd, 3, out[:0])
			}
		})
	}
}

// BenchmarkTableBytes reports the heap that a table uses per row.
func BenchmarkTableBytes(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := tableOf(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/row")
		})
	}
}
