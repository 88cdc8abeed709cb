package workspace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/request"
)

// Checks the bound of start-time fair queueing: while two workspaces are backlogged,
// the tokens dispatched for each, divided by its weight, differ by at most one
// largest request of each.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 1000
		weights := map[string]float64{
			"a": float64(rapid.IntRange(1, 8).Draw(t, "a")),
			"b": float64(rapid.IntRange(1, 8).Draw(t, "b")),
			"c": float64(rapid.IntRange(1, 8).Draw(t, "c")),
		}
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{})
		q := s.queues[queueKey{pool: "p"}]
		for name, weight := range weights {
			s.SetPolicy(name, Policy{Weight: weight, MaxQueue: math.MaxInt})
			for range 200 {
				cost := rapid.Int64Range(1, largest).Draw(t, "cost")
				if _, f := s.enqueue(item(name, cost, time.Second)); f != nil {
					t.Fatal(f)
				}
			}
		}
		tokens := map[string]float64{}
		for range 100 {
			f := q.nextFlow()
			w := f.start(time.Now())
			tokens[w.Workspace] += float64(w.Cost) / weights[w.Workspace]
			checkShares(t, tokens, weights, largest)
		}
	})
}

func checkShares(t *rapid.T, tokens, weights map[string]float64, largest float64) {
	for a, wa := range weights {
		for b, wb := range weights {
			bound := largest/wa + largest/wb
			if got := math.Abs(tokens[a] - tokens[b]); got > bound {
				t.Fatalf("%s and %s differ by %.1f, want at most %.1f", a, b, got, bound)
			}
		}
	}
}

// Checks that, for random arrivals and releases, no slot is free while a request
// waits whose workspace may run more, and that no limit is exceeded.
func TestWorkConservingWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 4).Draw(t, "slots")
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{Slots: slots, Tokens: 500})
		s.SetPolicy("a", Policy{Concurrency: 2})
		s.SetPolicy("b", Policy{Weight: 3})
		var started []Ticket
		var all []*waiter
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrive") {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
				w, _ := s.enqueue(item(name, rapid.Int64Range(1, 300).Draw(t, "cost"), time.Second))
				all = append(all, w)
			} else if len(started) > 0 {
				started[0].Release(rapid.Int64Range(0, 300).Draw(t, "used"))
				started = started[1:]
			}
			for _, w := range all {
				if w.state == granted {
					started = append(started, Ticket{&grant{scheduler: s, waiter: w}})
				}
			}
			all = stillWaiting(all)
			checkQueue(t, s, slots)
		}
	})
}

func stillWaiting(all []*waiter) []*waiter {
	var left []*waiter
	for _, w := range all {
		if w.state == waiting {
			left = append(left, w)
		}
	}
	return left
}

func checkQueue(t *rapid.T, s *Scheduler, slots int) {
	q := s.queues[queueKey{pool: "p"}]
	if q.running > slots {
		t.Fatalf("%d requests run in %d slots", q.running, slots)
	}
	if got := s.workspaces["a"].running; got > 2 {
		t.Fatalf("%d requests run of a workspace whose limit is 2", got)
	}
	if q.hasRoom() && q.nextFlow() != nil {
		t.Fatal("a slot is free while a request waits")
	}
}

// Each entry enforces a share of the limit. With a load balancer that distributes
// requests uniformly at random, all entries together pass at most ShareHeadroom
// times the limit, and a workspace whose demand equals its limit gets nearly all
// of it.
func TestRateOverEntries(t *testing.T) {
	const (
		limit   = 10_000.0 // tokens a second
		seconds = 300
		largest = 200
	)
	for _, entries := range []int{1, 3, 6} {
		for _, demand := range []float64{1, 2} {
			passed := passedOverEntries(entries, demand*limit, limit, seconds, largest)
			ratio := passed / (limit * seconds)
			t.Logf("entries %d, demand %.0f times the limit: passed %.3f of the limit", entries, demand, ratio)
			if ratio > ShareHeadroom*1.05 {
				t.Errorf("entries %d: passed %.3f of the limit", entries, ratio)
			}
			if ratio < 0.9 {
				t.Errorf("entries %d: passed only %.3f of the limit", entries, ratio)
			}
		}
	}
}

func passedOverEntries(entries int, demand, limit float64, seconds, largest int) float64 {
	rnd := rand.New(rand.NewPCG(4, uint64(entries)))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	schedulers := make([]*Scheduler, entries)
	for i := range schedulers {
		schedulers[i] = NewScheduler(Options{Now: func() time.Time { return now }})
		schedulers[i].SetEntries(entries)
		schedulers[i].SetPolicy("w", Policy{TokensPerSecond: limit, BurstTokens: limit})
	}
	mean := float64(largest+1) / 2
	gap := time.Duration(mean / demand * float64(time.Second))
	end := now.Add(time.Duration(seconds) * time.Second)
	passed := 0.0
	for now.Before(end) {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(gap)))
		it := item("w", 1+rnd.Int64N(int64(largest)), 0)
		s := schedulers[rnd.IntN(entries)]
		w, f := s.enqueue(it)
		if f == nil {
			passed += float64(it.Cost)
			Ticket{&grant{scheduler: s, waiter: w}}.Release(it.Cost)
		}
	}
	return passed
}
