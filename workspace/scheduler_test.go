package workspace

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/request"
)

// run submits an item, sleeps for its expected duration and releases it. It returns
// the time spent waiting.
func run(s *Scheduler, it Item) (time.Duration, *request.Failure) {
	begin := time.Now()
	ticket, f := s.Submit(context.Background(), it)
	wait := time.Since(begin)
	if f != nil {
		return wait, f
	}
	time.Sleep(it.ExpectedDuration)
	ticket.Release(it.Cost)
	return wait, nil
}

func item(ws string, cost int64, expected time.Duration) Item {
	return Item{Workspace: ws, Pool: "p", Cost: cost, ExpectedDuration: expected}
}

// meanQuietWait returns the mean wait of a quiet workspace's requests while others
// keep the pool busy. A seeded generator varies the durations, because the order of
// events at the same instant is undefined.
func meanQuietWait(others []string, each int) time.Duration {
	const requests = 4_000
	s := NewScheduler(Options{})
	s.SetCapacity("p", request.ClassShort, Capacity{Slots: 8})
	var wg sync.WaitGroup
	for i, ws := range others {
		for k := range each {
			rnd := rand.New(rand.NewPCG(uint64(i), uint64(k)))
			wg.Go(func() { keepBusy(s, ws, rnd) })
		}
	}
	rnd := rand.New(rand.NewPCG(4, 4))
	time.Sleep(time.Second)
	var sum time.Duration
	for range requests {
		wait, _ := run(s, item("quiet", 100, quietDuration))
		sum += wait
		time.Sleep(jitter(rnd, 90*time.Millisecond))
	}
	s.Close()
	wg.Wait()
	return sum / requests
}

const quietDuration = 10 * time.Millisecond

func keepBusy(s *Scheduler, ws string, rnd *rand.Rand) {
	for {
		if _, f := run(s, item(ws, 1000, jitter(rnd, 100*time.Millisecond))); f != nil {
			return
		}
	}
}

// jitter returns a random duration between half and one and a half times mean.
func jitter(rnd *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rnd.Int64N(int64(mean)))
}

// Guards against requests of a quiet workspace waiting behind a flood of others. Two
// workspaces keep the pool busy and then send twenty times as much; a single queue in
// order of arrival would delay the quiet workspace.
func TestFloodBarelyDelaysQuietWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := meanQuietWait([]string{"x", "y"}, 10)
		flooded := meanQuietWait([]string{"x", "y"}, 200)
		added := float64(flooded-before) / float64(before+quietDuration)
		t.Logf("quiet workspace: mean wait %v with busy others, %v flooded: %+.2f%%", before, flooded, 100*added)
		if added >= 0.05 {
			t.Errorf("a flood adds %.1f%%, want under 5%%", 100*added)
		}
	})
}

// Guards against starvation of a long request. Short requests of the same workspace
// keep arriving faster than they are served; shortest remaining work first without a
// bound on waiting would never start the long one.
func TestLongRequestIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{Slots: 1})
		var wg sync.WaitGroup
		wg.Go(func() { run(s, item("w", 1, time.Second)) })
		synctest.Wait()
		long := item("w", 1000, 10*time.Second)
		wg.Go(func() {
			wait, f := run(s, long)
			if bound := (agingFactor + 2) * long.ExpectedDuration; f != nil || wait > bound {
				t.Errorf("waited %v (failure %v), want at most %v", wait, f, bound)
			}
			s.Close()
		})
		for {
			if _, closed := s.Depth(); closed == 0 {
				break
			}
			wg.Go(func() { run(s, item("w", 1, time.Second)) })
			time.Sleep(900 * time.Millisecond)
		}
		wg.Wait()
	})
}

// startOrder submits items to a pool without slots, adds one slot and returns the
// order in which they start.
func startOrder(t *testing.T, items map[string]Item) []string {
	var order []string
	s := NewScheduler(Options{})
	s.SetCapacity("p", request.ClassShort, Capacity{Slots: 0})
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, it := range items {
		wg.Go(func() {
			ticket, f := s.Submit(context.Background(), it)
			mu.Lock()
			defer mu.Unlock()
			if f != nil {
				t.Errorf("%s: %v", name, f)
			}
			order = append(order, name)
			ticket.Release(it.Cost)
		})
	}
	synctest.Wait()
	s.SetCapacity("p", request.ClassShort, Capacity{Slots: 1})
	wg.Wait()
	return order
}

func TestOrderWithinWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent := item("w", 1, 10*time.Second)
		urgent.Deadline = time.Now().Add(11 * time.Second)
		got := startOrder(t, map[string]Item{
			"long":   item("w", 1, 9*time.Second),
			"short":  item("w", 1, time.Second),
			"urgent": urgent,
		})
		if diff := cmp.Diff([]string{"urgent", "short", "long"}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Checks that a step of priority is worth a bounded time. Otherwise batch requests
// would never start during a steady stream of interactive ones.
func TestPriorityWithinWorkspace(t *testing.T) {
	now := time.Unix(0, 0)
	batch := newWaiter(Item{Priority: 50}, 1, now)
	soon := newWaiter(Item{Priority: 10}, 2, now.Add(40*priorityStep-1))
	late := newWaiter(Item{Priority: 10}, 3, now.Add(40*priorityStep+1))
	if !soon.orderTime.Before(batch.orderTime) || !batch.orderTime.Before(late.orderTime) {
		t.Errorf("batch at %v, interactive at %v and %v", batch.orderTime, soon.orderTime, late.orderTime)
	}
	urgent := newWaiter(Item{Priority: 100, Deadline: now.Add(time.Second)}, 4, now)
	if urgent.orderTime.After(now.Add(time.Second)) {
		t.Errorf("ordered %v after its deadline", urgent.orderTime.Sub(now))
	}
}

// Guards against checking deadlines only after they have passed. If more is queued
// than can end in time, callers would wait for their whole timeout before the
// refusal, and an overloaded fleet would work for callers that are gone.
func TestUnmeetableDeadlineIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{Slots: 1})
		var wg sync.WaitGroup
		it := item("w", 1, time.Second)
		it.Deadline = time.Now().Add(4500 * time.Millisecond)
		for range 4 {
			wg.Go(func() {
				if _, f := run(s, it); f != nil || time.Now().After(it.Deadline) {
					t.Errorf("admitted but not finished in time: %v", f)
				}
			})
		}
		synctest.Wait()
		wait, f := run(s, it)
		if f == nil || f.Reason != ReasonDeadline || f.Code != request.NotRun || f.RetryAfter <= 0 || wait != 0 {
			t.Errorf("failure %+v after %v, want %s at once", f, wait, ReasonDeadline)
		}
		wg.Wait()
	})
}

func TestWaitingEndsAtLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{Slots: 0})
		it := item("w", 1, time.Second)
		it.Deadline = time.Now().Add(3 * time.Second)
		wait, f := run(s, it)
		if f == nil || f.Reason != ReasonDeadline || wait != 2*time.Second {
			t.Errorf("failure %v after %v, want %s after 2s", f, wait, ReasonDeadline)
		}
		if waiting, running := s.Depth(); waiting+running != 0 {
			t.Errorf("%d requests wait, %d run", waiting, running)
		}
	})
}

func TestCancelWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		s.SetCapacity("p", request.ClassShort, Capacity{Slots: 0})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, f := s.Submit(ctx, item("w", 1, 0))
		if f == nil || f.Reason != ReasonCancelled || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Errorf("failure %v", f)
		}
	})
}

func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		s.SetPolicy("rate", Policy{TokensPerSecond: 100, BurstTokens: 100})
		if _, f := run(s, item("rate", 300, 0)); f != nil {
			t.Errorf("a request larger than the burst was refused: %v", f)
		}
		_, f := run(s, item("rate", 1, 0))
		if f == nil || f.Reason != ReasonRate || f.RetryAfter < 2*time.Second {
			t.Fatalf("failure %v, want %s", f, ReasonRate)
		}
		time.Sleep(f.RetryAfter)
		if _, f := run(s, item("rate", 1, 0)); f != nil {
			t.Errorf("refused after RetryAfter: %v", f)
		}
		s.SetPolicy("full", Policy{Concurrency: 1, MaxQueue: 1})
		ticket, _ := s.Submit(context.Background(), item("full", 1, 0))
		go run(s, item("full", 1, 0))
		synctest.Wait()
		if _, f := run(s, item("full", 1, 0)); f == nil || f.Reason != ReasonQueueFull {
			t.Errorf("failure %v, want %s", f, ReasonQueueFull)
		}
		ticket.Release(1)
		ticket.Release(1)
		synctest.Wait()
		if waiting, running := s.Depth(); waiting+running != 0 {
			t.Errorf("%d requests wait, %d run after the release", waiting, running)
		}
	})
}

// Guards against retries that keep the fleet overloaded after an outage: if no budget
// ties them to the number of requests, every request that fails is retried.
func TestRetriesAreBoundedByRequests(t *testing.T) {
	s := NewScheduler(Options{})
	retries := 0
	for range 1000 {
		run(s, item("w", 1, 0))
		if s.AllowRetry("w") {
			retries++
		}
	}
	if want := 1000*DefaultRetryRatio + retryBurst; float64(retries) > want {
		t.Errorf("%d retries, want at most %.0f", retries, want)
	}
}

// Guards against prompts failing with an unknown outcome after an engine died, although
// other servers could run them in time. This happened when a workspace could accumulate
// fewer retries than one engine runs prompts: of 16 prompts that died with an engine,
// all from one entry, ten were retried and six failed.
func TestRetryBurstCoversEngineDeath(t *testing.T) {
	const engineSlots = 16
	s := NewScheduler(Options{})
	for range engineSlots {
		run(s, item("w", 1, 0))
	}
	for i := range engineSlots {
		if !s.AllowRetry("w") {
			t.Fatalf("only %d of the %d prompts of an engine were retried", i, engineSlots)
		}
	}
}

// Guards against retries for a workspace whose operator disabled them, and against
// ignoring the retry ratio in the entry's settings. A zero ratio could be taken for
// the default, and Options.Policy could be ignored until a policy is declared.
func TestRetryRatioOfOptionsAndPolicies(t *testing.T) {
	s := NewScheduler(Options{Policy: Policy{RetryRatio: NoRetries}})
	run(s, item("w", 1, 0))
	if s.AllowRetry("w") {
		t.Error("retried although the options allow no retries")
	}
	s.SetPolicy("w", Policy{RetryRatio: 1})
	run(s, item("w", 1, 0))
	if !s.AllowRetry("w") {
		t.Error("not retried although the policy allows it")
	}
	s.RemovePolicy("w")
	if s.AllowRetry("w") {
		t.Error("retried after the policy was removed")
	}
}

// Guards against unbounded memory: a caller that sends each request under a new
// workspace name would make the entry keep state for every name ever seen.
func TestIdleUndeclaredWorkspacesAreDropped(t *testing.T) {
	s := NewScheduler(Options{})
	s.SetPolicy("declared", Policy{Weight: 7})
	for i := range 3 * maxWorkspaces {
		if _, f := run(s, item(fmt.Sprint(i), 1, 0)); f != nil {
			t.Fatal(f)
		}
	}
	if n := len(s.workspaces); n > maxWorkspaces {
		t.Errorf("%d workspaces", n)
	}
	if n := len(s.queues[queueKey{pool: "p"}].flows); n > maxWorkspaces {
		t.Errorf("%d flows", n)
	}
	if s.workspace("declared").policy.Weight != 7 {
		t.Error("a declared policy was dropped")
	}
}

func TestRefusalNamesItsStep(t *testing.T) {
	s := NewScheduler(Options{})
	s.Close()
	_, f := s.Submit(context.Background(), item("w", 1, 0))
	if f == nil || f.Step != stepQueue || !strings.Contains(f.Error(), string(request.NotRun)) {
		t.Errorf("failure %v", f)
	}
}
