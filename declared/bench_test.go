package declared

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/briarturn/briarturn/objectapi"
)

// sampleObjects returns policies for n workspaces and four service levels for
// each.
func sampleObjects(n int) []objectapi.Object {
	var out []objectapi.Object
	add := func(kind, name, data string) {
		out = append(out, objectapi.Object{Kind: kind, Name: name, Version: uint64(len(out) + 1), Data: json.RawMessage(data)})
	}
	for i := range n {
		add(KindWorkspacePolicy, fmt.Sprint("w-", i),
			`{"weight":2,"tokens_per_second":1000,"burst_tokens":10000,"concurrency":40,"service_classes":[{"name":"interactive","priority":10}]}`)
		for _, class := range []string{"1k-4k", "4k-32k", "32k-100k", "100k-1M"} {
			add(KindServiceLevel, fmt.Sprintf("w-%d-%s", i, class),
				fmt.Sprintf(`{"workspace":"w-%d","class":%q,"ttft":"1s","inter_token":"60ms","objective":0.99}`, i, class))
		}
	}
	return out
}

var workspaceCounts = []int{10, 100, 540}

func BenchmarkMemory(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := liveHeapBytes()
				c := NewCatalog(Config{})
				objects := sampleObjects(n)
				applySnapshots(c, uint64(len(objects)), objects...)
				objects = nil
				bytes = liveHeapBytes() - before
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(bytes)/float64(5*n), "B/object")
		})
	}
}

// liveHeapBytes returns the bytes of reachable heap objects.
func liveHeapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchmarkSizes runs a benchmark on a catalog of each size and passes it the
// objects in the catalog.
func benchmarkSizes(b *testing.B, bench func(b *testing.B, c *Catalog, objects []objectapi.Object)) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			objects := sampleObjects(n)
			c := NewCatalog(Config{})
			applySnapshots(c, uint64(len(objects)), objects...)
			b.ReportAllocs()
			bench(b, c, objects)
		})
	}
}

func BenchmarkRead(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, c *Catalog, _ []objectapi.Object) {
		for b.Loop() {
			if p, _ := c.State().WorkspacePolicy("w-5"); p == nil {
				b.Fatal("no policy")
			}
		}
	})
}

func BenchmarkApplyOne(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, c *Catalog, objects []objectapi.Object) {
		o := objects[0]
		o.Version = uint64(len(objects))
		for b.Loop() {
			o.Version++
			applyEvents(c, objectapi.Listing{Revision: o.Version, Objects: []objectapi.Object{o}})
		}
	})
}

func BenchmarkPullUnchanged(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, c *Catalog, objects []objectapi.Object) {
		for b.Loop() {
			c.Since(uint64(len(objects)), Scope{})
		}
	})
}
