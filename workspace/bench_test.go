package workspace

import (
	"context"
	"fmt"
	"github.com/briarturn/briarturn/request"
	"testing"
	"time"
)

// BenchmarkSubmit measures one Submit and Release in a pool with free slots while
// other workspaces wait, each with one request held back by its concurrency limit.
func BenchmarkSubmit(b *testing.B) {
	for _, n := range []int{10, 540} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := NewScheduler(Options{})
			for i := range n {
				name := fmt.Sprint(i)
				s.SetPolicy(name, Policy{Concurrency: 1})
				s.enqueue(item(name, 1, time.Second))
				s.enqueue(item(name, 1, time.Second))
			}
			s.SetCapacity("p", request.ClassShort, Capacity{Slots: 2 * n})
			b.ReportAllocs()
			for b.Loop() {
				ticket, f := s.Submit(context.Background(), item("free", 1, time.Second))
				if f != nil {
					b.Fatal(f)
				}
				ticket.Release(1)
			}
		})
	}
}
