package workspace

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/request"
)

// Guards against short requests waiting for seconds while engines are idle: with one
// window for all length classes, a few long prompts would use all of it.
func TestLongPromptsLeaveWindowForShortOnes(t *testing.T) {
	s := NewScheduler(Options{})
	for class := range request.ClassCount {
		s.SetCapacity("p", class, Capacity{Slots: 8, Tokens: 1_000})
	}
	long := item("a", 2_000, time.Second)
	long.Class = request.ClassHuge
	for i, want := range []state{granted, waiting} {
		if w, _ := s.enqueue(long); w.state != want {
			t.Fatalf("long prompt %d: state %d, want %d", i, w.state, want)
		}
	}
	if w, _ := s.enqueue(item("a", 10, time.Second)); w.state != granted {
		t.Fatal("a short request waits")
	}
}

// Guards against the queue order having no effect under overload. If prompts arrive
// faster than they are prefilled, a window limited by memory alone, which is large,
// sends them all at once and they wait at the engines. The prefill window frees the
// tokens of each request exactly once, at its first token or at its end.
func TestPrefillWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 500
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{Slots: 100, PrefillTokens: limit})
		q := s.queues[queueKey{pool: "p"}]
		var running []Ticket
		var all []*waiter
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				it := item("a", 400, time.Second)
				it.PrefillTokens = rapid.Int64Range(1, 300).Draw(t, "prefill")
				w, _ := s.enqueue(it)
				all = append(all, w)
			case 1:
				for _, ticket := range running {
					ticket.PrefillDone()
				}
			case 2:
				if len(running) > 0 {
					running[0].Release(400)
					running[0].PrefillDone() // late: the request has ended
					running = running[1:]
				}
			}
			for _, w := range all {
				if w.state == granted {
					running = append(running, Ticket{&grant{scheduler: s, waiter: w}})
				}
			}
			all = stillWaiting(all)
			var sum int64
			for _, ticket := range running {
				sum += ticket.grant.waiter.PrefillTokens
			}
			if q.prefillTokens != sum || sum >= limit+300 {
				t.Fatalf("%d prefill tokens counted, %d in progress, limit %d", q.prefillTokens, sum, limit)
			}
			if len(all) > 0 && sum < limit {
				t.Fatalf("%d requests wait with %d of %d tokens in use", len(all), sum, limit)
			}
		}
	})
}
