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

// BenchmarkTurn measures a request's way through a queue in which others wait: its turn, a look
// without room, one with room, and its end.
func BenchmarkTurn(b *testing.B) {
	for _, waiting := range []int{0, 100, 1_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s := NewScheduler(Options{})
			s.SetEntries(12)
			now := time.Now()
			queued := func(i int) *turn {
				it := item(fmt.Sprint(i%40), 1_000, time.Second)
				it.Subject = uint64(i % 7)
				it.OnTimeUntil, it.Deadline = now.Add(time.Hour), now.Add(2*time.Hour)
				w, f := s.enqueueIn(queueKey{pool: "p", byTurns: true}, it)
				if f != nil {
					b.Fatal(f)
				}
				return &turn{scheduler: s, waiter: w}
			}
			turns := map[*waiter]*turn{}
			for i := range waiting {
				t := queued(i)
				turns[t.waiter] = t
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				t := queued(i)
				turns[t.waiter] = t
				q := t.waiter.flow.queue
				turns[q.turns.holder].putAside()
				s.RoomFreed("p")
				first := turns[q.turns.holder]
				ticket := first.Started()
				delete(turns, first.waiter)
				ticket.Release(1_000)
				i++
			}
		})
	}
}

// BenchmarkPeerStart measures hearing of a start at another entry while requests of 540
// workspaces wait.
func BenchmarkPeerStart(b *testing.B) {
	s := NewScheduler(Options{})
	for i := range 540 {
		if _, f := s.enqueueIn(queueKey{pool: "p", byTurns: true}, item(fmt.Sprint(i), 1_000, time.Second)); f != nil {
			b.Fatal(f)
		}
	}
	b.ReportAllocs()
	key := uint32(0)
	for b.Loop() {
		key++
		s.RecordPeerStart("p", 0, key%1_000, 1_000)
	}
}
