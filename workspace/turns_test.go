package workspace

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/request"
)

// room is a number of free places that all who have the turn may take.
type room struct {
	mu   sync.Mutex
	free int
}

func (r *room) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free == 0 {
		return false
	}
	r.free--
	return true
}

func (r *room) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += n
}

// lookInterval is how often the requests of these tests look for room if none is freed.
const lookInterval = time.Minute

// startWithin queues an item and looks for room with each turn until there is some.
func startWithin(ctx context.Context, s *Scheduler, it Item, r *room) (Ticket, *request.Failure) {
	turn, f := s.AwaitTurn(ctx, it)
	if f != nil {
		return Ticket{}, f
	}
	defer turn.Leave()
	for !r.take() {
		if f := turn.Wait(ctx, lookInterval); f != nil {
			return Ticket{}, f
		}
	}
	return turn.Started(), nil
}

// turnOrder queues items one after the other while there is no room, frees room for one after
// the other and returns the order in which they start.
func turnOrder(t *testing.T, s *Scheduler, items ...Item) []string {
	var order []string
	r := &room{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, it := range items {
		wg.Go(func() {
			ticket, f := startWithin(t.Context(), s, it, r)
			mu.Lock()
			defer mu.Unlock()
			if f != nil {
				t.Errorf("%d: %v", i, f)
			}
			order = append(order, fmt.Sprintf("%s%d", it.Workspace, i))
			ticket.Release(it.Cost)
		})
		synctest.Wait()
	}
	for range items {
		time.Sleep(time.Millisecond)
		r.add(1)
		s.RoomFreed("p")
		synctest.Wait()
	}
	wg.Wait()
	return order
}

// Guards against chance deciding who gets the room that comes free.
func TestRoomGoesToTheFirstInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		got := turnOrder(t, s, item("a", 100, time.Second), item("a", 100, time.Second), item("a", 100, time.Second),
			item("b", 100, time.Second))
		if diff := cmp.Diff([]string{"a0", "b3", "a1", "a2"}, got); diff != "" {
			t.Error(diff)
		}
		if waiting, running := s.Depth(); waiting+running != 0 {
			t.Errorf("%d wait, %d run", waiting, running)
		}
	})
}

// Guards against requests that can't be on time any more making those late that still could be.
func TestLateRequestsComeAfterThoseOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		missed := item("late", 100, time.Second)
		missed.OnTimeUntil = time.Now().Add(-time.Millisecond)
		inTime := item("onTime", 100, time.Second)
		inTime.OnTimeUntil = time.Now().Add(time.Minute)
		got := turnOrder(t, NewScheduler(Options{}), missed, inTime, inTime)
		if diff := cmp.Diff([]string{"onTime1", "onTime2", "late0"}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against starvation of late requests while there are always some that can be on time.
func TestLateRequestStartsAmongThoseOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		missed := item("w", 100, time.Second)
		missed.OnTimeUntil = time.Now().Add(-time.Millisecond)
		items := []Item{missed}
		for range 2 * lateStartInterval {
			items = append(items, item("w", 100, time.Second))
		}
		got := turnOrder(t, NewScheduler(Options{}), items...)
		if got[lateStartInterval-1] != "w0" {
			t.Errorf("the late request is not the %dth of %v", lateStartInterval, got)
		}
	})
}

// Guards against a request whose first server was lost waiting behind those that arrived later.
func TestRequestKeepsItsPlaceByItsArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Second)
		repeated := item("w", 100, time.Second)
		repeated.ArrivedAt = time.Now().Add(-time.Second)
		got := turnOrder(t, NewScheduler(Options{}), item("w", 100, time.Second), item("w", 100, time.Second), repeated)
		if diff := cmp.Diff([]string{"w2", "w0", "w1"}, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestSubjectsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		popular, other := item("w", 100, time.Second), item("w", 100, time.Second)
		popular.Subject, other.Subject = 1, 2
		got := turnOrder(t, NewScheduler(Options{}), popular, popular, popular, other, other)
		if diff := cmp.Diff([]string{"w0", "w3", "w1", "w4", "w2"}, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestWeightsDivideTheRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		s.SetPolicy("heavy", Policy{Weight: 3})
		var items []Item
		for range 8 {
			items = append(items, item("heavy", 100, time.Second), item("light", 100, time.Second))
		}
		heavy := 0
		for _, name := range turnOrder(t, s, items...)[:8] {
			if name[0] == 'h' {
				heavy++
			}
		}
		if heavy != 6 {
			t.Errorf("%d of the first 8 starts are of the workspace with weight 3 of 4", heavy)
		}
	})
}

// Guards against a workspace getting its share once at each entry.
func TestStartsAtOtherEntriesCount(t *testing.T) {
	for _, when := range []string{"before it has requests here", "while it waits here"} {
		synctest.Test(t, func(t *testing.T) {
			s, r := NewScheduler(Options{}), &room{}
			var order []string
			var wg sync.WaitGroup
			start := func(name string) {
				wg.Go(func() {
					ticket, f := startWithin(t.Context(), s, item(name, 100, time.Second), r)
					if f != nil {
						t.Error(f)
					}
					order = append(order, name)
					ticket.Release(100)
				})
				synctest.Wait()
			}
			if when == "before it has requests here" {
				s.RecordPeerStart("p", 0, placement.WorkspaceKey("a"), 1_000)
			}
			start("a")
			start("b")
			s.RecordPeerStart("p", 0, placement.WorkspaceKey("a"), 1_000)
			for range 2 {
				r.add(1)
				s.RoomFreed("p")
				synctest.Wait()
			}
			wg.Wait()
			if diff := cmp.Diff([]string{"b", "a"}, order); diff != "" {
				t.Error(when, diff)
			}
		})
	}
}

// Guards against one request that can use none of the free servers, for example since its region
// is down, blocking the workspaces whose servers are free.
func TestStuckRequestsDontBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, none, r := NewScheduler(Options{}), &room{}, &room{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 5 {
			for _, stuck := range []string{"a", "b", "c"} {
				wg.Go(func() { _, _ = startWithin(ctx, s, item(stuck, 100, time.Second), none) })
			}
		}
		synctest.Wait()
		started := 0
		for range 5 {
			wg.Go(func() {
				if _, f := startWithin(ctx, s, item("d", 100, time.Second), r); f == nil {
					started++
				}
			})
		}
		r.add(5)
		for range 20 {
			time.Sleep(time.Millisecond)
			s.RoomFreed("p")
			synctest.Wait()
		}
		if started != 5 {
			t.Errorf("%d of 5 requests with free servers have started", started)
		}
		cancel()
		wg.Wait()
	})
}

// Guards against late requests that found no room keeping one from looking that can still be on
// time, and for which there may be some.
func TestLateRequestsWithoutRoomDontBlockThoseOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		ctx, cancel := context.WithCancel(t.Context())
		missed := item("late", 1, time.Second)
		missed.OnTimeUntil = time.Now().Add(-time.Millisecond)
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { _, _ = startWithin(ctx, s, missed, &room{}) })
		}
		synctest.Wait()
		begin := time.Now()
		turn, f := s.AwaitTurn(ctx, item("onTime", 1, time.Second))
		if f != nil || time.Since(begin) > 0 {
			t.Fatalf("turn after %v: %v", time.Since(begin), f)
		}
		turn.Started().Release(1)
		cancel()
		wg.Wait()
	})
}

// Guards against a lost wake-up: room is freed after the request with the turn has looked and
// before it waits.
func TestRoomFreedDuringTurnIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		turn, f := s.AwaitTurn(t.Context(), item("w", 1, time.Second))
		if f != nil {
			t.Fatal(f)
		}
		s.RoomFreed("p")
		begin := time.Now()
		if f := turn.Wait(t.Context(), lookInterval); f != nil || time.Since(begin) > 0 {
			t.Errorf("%v after %v", f, time.Since(begin))
		}
		turn.Leave()
		checkIdle(t, s)
	})
}

func TestTurnComesBackWithoutFreedRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		turn, _ := s.AwaitTurn(t.Context(), item("w", 1, time.Second))
		begin := time.Now()
		if f := turn.Wait(t.Context(), lookInterval); f != nil || time.Since(begin) != lookInterval {
			t.Errorf("%v after %v", f, time.Since(begin))
		}
		turn.Leave()
	})
}

// Guards against a queue that stops for good when a request ends while it holds the turn or waits
// for the next one.
func TestQueueGoesOnWhenRequestsEnd(t *testing.T) {
	endings := map[string]func(ctx context.Context, s *Scheduler, cancel func()){
		"panics": func(ctx context.Context, s *Scheduler, _ func()) {
			defer func() { _ = recover() }()
			turn, _ := s.AwaitTurn(ctx, item("w", 1, time.Second))
			defer turn.Leave()
			panic("placement failed")
		},
		"caller leaves while it waits": func(ctx context.Context, s *Scheduler, cancel func()) {
			turn, _ := s.AwaitTurn(ctx, item("w", 1, time.Second))
			defer turn.Leave()
			time.AfterFunc(time.Second, cancel)
			_ = turn.Wait(ctx, lookInterval)
		},
		"time passes": func(ctx context.Context, s *Scheduler, _ func()) {
			it := item("w", 1, time.Second)
			it.Deadline = time.Now().Add(2 * time.Second)
			turn, _ := s.AwaitTurn(ctx, it)
			defer turn.Leave()
			if f := turn.Wait(ctx, lookInterval); f == nil || f.Reason != ReasonDeadline || f.Code != request.NotRun || f.RetryAfter <= 0 {
				panic(f)
			}
		},
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewScheduler(Options{})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go end(ctx, s, cancel)
				go end(ctx, s, cancel)
				synctest.Wait()
				begin := time.Now()
				turn, f := s.AwaitTurn(t.Context(), item("other", 1, time.Second))
				if f != nil || time.Since(begin) > time.Second {
					t.Fatalf("turn after %v: %v", time.Since(begin), f)
				}
				turn.Started().Release(1)
				turn.Leave()
				time.Sleep(lookInterval)
				checkIdle(t, s)
			})
		})
	}
}

// Guards against requests that an entry starts after a freeze although their callers are gone.
func TestExpiredRequestsHaveNoTurnAfterFreeze(t *testing.T) {
	f := newFleet(1)
	f.fifo = true // without objectives, so that only their time decides
	f.free = 0
	f.play(time.Second, evenStreams(f, 4, 100))
	f.now = f.now.Add(callTimeout)
	f.free = fleetSlots
	turns := f.entries[0].s.queues[queueKey{pool: "p", byTurns: true}].turns
	before := turns.given
	f.step()
	if turns.given > before {
		t.Errorf("%d turns given", turns.given-before)
	}
	all := f.sum(anyWorkspace)
	if all.onTime+all.late > 0 || all.refused < all.asked-1 {
		t.Errorf("%+v", all)
	}
}

// Guards against a queue without bound, and against a single workspace filling it.
func TestDepthIsBounded(t *testing.T) {
	now := time.Unix(1_000, 0)
	s := NewScheduler(Options{Policy: Policy{MaxQueue: 1 << 20}, Now: func() time.Time { return now }})
	ask := func(name string) *request.Failure {
		_, f := s.enqueueIn(queueKey{pool: "p", byTurns: true}, item(name, 1, time.Second))
		return f
	}
	queued := 0
	for ask("flooder") == nil {
		queued++
	}
	if queued > DefaultMaxWaiting/2+1 {
		t.Errorf("one workspace has %d of %d places", queued, DefaultMaxWaiting)
	}
	if f := ask("quiet"); f != nil {
		t.Errorf("a workspace without requests is refused: %v", f)
	}
	for i := range 2 * DefaultMaxWaiting {
		_ = ask(fmt.Sprint(i))
	}
	waiting, _ := s.Depth()
	f := ask("new")
	if waiting != DefaultMaxWaiting || f == nil || f.Reason != ReasonQueueFull || f.RetryAfter <= 0 {
		t.Errorf("%d wait, then %v", waiting, f)
	}
}

// Guards against callers that were refused together returning together, and against delays that
// have nothing to do with the room.
func TestRefusedCallersReturnAsRoomComes(t *testing.T) {
	f := newFleet(1)
	f.play(5*time.Second, evenStreams(f, 12, 2*fleetRate))
	s := f.entries[0].s
	it := item("new", 1_000, callTime)
	const callers = 200
	first := s.RetryAfter(it)
	last := first
	for range callers {
		after := s.RetryAfter(it)
		if after < last {
			t.Errorf("%v after %v", after, last)
		}
		last = after
	}
	need := seconds(callers / fleetRate)
	t.Logf("%d callers return after %v to %v", callers, first, last)
	if over := last - first; over < need/2 || over > 2*need {
		t.Errorf("%d callers return over %v, the servers need %v", callers, over, need)
	}
	if f.play(20*time.Second, nil); s.RetryAfter(it) > time.Second {
		t.Errorf("returns after %v though nothing waits", s.RetryAfter(it))
	}
}

// Guards against queueing what can't start before its deadline, and against refusing what can.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	f := newFleet(1)
	f.play(4*time.Second, evenStreams(f, 12, 3*fleetRate))
	s := f.entries[0].s
	wait := s.EstimatedWait(item("w0", 1_000, callTime))
	if wait <= 0 {
		t.Fatal("no wait is expected during a surge")
	}
	ask := func(timeLeft time.Duration) *request.Failure {
		it := item("w0", 1_000, callTime)
		it.Deadline = f.now.Add(callTime + timeLeft)
		_, failure := s.enqueueIn(queueKey{pool: "p", byTurns: true}, it)
		return failure
	}
	if failure := ask(wait / 2); failure == nil || failure.Reason != ReasonDeadline || failure.Code != request.NotRun || failure.RetryAfter <= 0 {
		t.Errorf("half of the time: %v", failure)
	}
	if failure := ask(2 * wait); failure != nil {
		t.Errorf("twice the time: %v", failure)
	}
}

func TestClosingRefusesWhoWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		holder, _ := s.AwaitTurn(t.Context(), item("w", 1, time.Second))
		failures := make(chan *request.Failure, 1)
		go func() {
			_, f := s.AwaitTurn(t.Context(), item("w", 1, time.Second))
			failures <- f
		}()
		synctest.Wait()
		s.Close()
		if f := <-failures; f == nil || f.Reason != ReasonClosed {
			t.Errorf("failure %v", f)
		}
		if f := holder.Wait(t.Context(), lookInterval); f == nil || f.Reason != ReasonClosed {
			t.Errorf("failure %v", f)
		}
		checkIdle(t, s)
	})
}

func TestWaitingNamesWhoWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := metrics.NewRegistry()
		s := NewScheduler(Options{Metrics: registry})
		ctx, cancel := context.WithCancel(t.Context())
		missed := item("w", 1, time.Second)
		missed.OnTimeUntil = time.Now().Add(time.Second)
		var wg sync.WaitGroup
		for range 4 { // one has the turn, two are put aside at most
			wg.Go(func() { _, _ = startWithin(ctx, s, missed, &room{}) })
		}
		synctest.Wait()
		time.Sleep(2 * time.Second)
		want := []Waiting{{Pool: "p", Workspace: "w", Requests: 4, Late: 4, Oldest: 2 * time.Second}}
		if diff := cmp.Diff(want, s.Waiting()); diff != "" {
			t.Error(diff)
		}
		for name, value := range map[string]int64{"requests": 4, "late": 4, "oldest_ms": 2_000} {
			gauge := registry.Get("workspace.waiting." + name + ".p." + request.ClassShort.Name())
			if got := gauge.(metrics.Gauge).Value(); got != value {
				t.Errorf("%s is %d, want %d", name, got, value)
			}
		}
		cancel()
		wg.Wait()
		checkIdle(t, s)
	})
}

// Guards against unbounded memory: other entries name a workspace each time that doesn't exist
// here.
func TestUsagesOfOtherEntriesAreBounded(t *testing.T) {
	now := time.Unix(1_000, 0)
	s := NewScheduler(Options{Now: func() time.Time { return now }})
	for key := range uint32(3 * maxUsages) {
		s.RecordPeerStart("p", 0, key, 1_000+int64(key))
	}
	q := s.queues[queueKey{pool: "p", byTurns: true}]
	if n := len(q.turns.usages); n != maxUsages {
		t.Errorf("%d usages", n)
	}
	now = now.Add(20 * usageHalfLife)
	checkIdle(t, s)
}
