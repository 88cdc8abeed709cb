package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarturn/briarturn/declared"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

// inWorld runs f in virtual time and ends all processes after it.
func inWorld(t *testing.T, f func(ctx context.Context, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Minute) // lets orders and calls under way end
		defer cancel()
		f(ctx, newWorld(t))
	})
}

// settle waits for reports and the status to catch up.
func settle() { time.Sleep(10 * time.Second) }

func TestPoolConvergesAndSaysSo(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.addEngines("p", 4)
		w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 4))
		w.await(5*time.Minute, "p")
		settle()
		if got := w.tally("p"); got.loads != 12 || got.peak != 2 {
			t.Errorf("%d loads, %d at a time; want 12 and 2", got.loads, got.peak)
		}
		s := w.status("p")
		want := ModelStatus{Name: "m", Version: "1", Wanted: 4, Serving: 4, Current: 4}
		if len(s.Models) != 1 || s.Models[0] != want || !s.condition(ConditionConverged).Status || s.ObservedVersion == 0 {
			t.Errorf("%+v", s)
		}
		before := w.store.Counts().Writes()
		time.Sleep(10 * time.Minute)
		renewals := int64(10 * 60 / 3)
		if writes := w.store.Counts().Writes() - before; writes > renewals {
			t.Errorf("%d writes in ten minutes of rest, want the lease's %d at most", writes, renewals)
		}
	})
}

// Symptom: a pool is never served, or the process gives up. Sequence: the status
// is asked for while only a set of servers names the pool; the pool comes, then
// its engines. Cause: references are resolved once.
func TestReferencesMayComeLate(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.start(ctx, "entry-1", "p")
		time.Sleep(30 * time.Second)
		if s := w.status("p"); s.condition(ConditionDeclared).Status || s.condition(ConditionDeclared).Reason != "NotDeclared" {
			t.Errorf("%+v", s)
		}
		w.apply(declared.KindModelPool, "p", poolSpec("1", 2))
		settle()
		s := w.status("p")
		if !s.condition(ConditionDeclared).Status || s.condition(ConditionPlaced).Reason != "NoBackendServers" {
			t.Errorf("%+v", s)
		}
		w.mu.Lock()
		w.addEngines("p", 3)
		w.mu.Unlock()
		w.await(5*time.Minute, "p")
	})
}

// Symptom: a model that a later holder loaded is unloaded again. Sequence: the
// holder is paused with orders in hand; its term ends; another takes over and
// rolls out version 3; the first wakes and sends its orders for version 2.
// Cause: it doesn't know that its term is over, and nobody checks the fence.
func TestPausedReconcilerIsFenced(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.addEngines("p", 6)
		first := w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 6))
		w.await(10*time.Minute, "p")
		settle()
		w.start(ctx, "entry-2", "p")
		time.Sleep(3 * time.Second)
		before := w.tally("p")
		first.hold()
		w.apply(declared.KindModelPool, "p", poolSpec("2", 6))
		time.Sleep(4 * time.Second) // the first is about to send orders for version 2
		first.freeze()
		w.apply(declared.KindModelPool, "p", poolSpec("3", 6))
		for w.tally("p").loading == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		first.thaw()
		w.await(10*time.Minute, "p")
		settle()
		after := w.tally("p")
		if after.stale == 0 {
			t.Error("no late order met a fence: the test shows nothing")
		}
		if n := after.loads - before.loads; n != 12 {
			t.Errorf("%d loads for version 3, want 12", n)
		}
		if s := w.status("p"); s.Models[0].Version != "3" || !s.condition(ConditionConverged).Status {
			t.Errorf("%+v", s)
		}
	})
}

// Symptom: weights are loaded twice, or an engine is left out. Sequence: every
// answer of the first orders is lost. Cause: an order counts as failed for good,
// or is given again without a look at the engine.
func TestLostAnswersAreSettledByLooking(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.addEngines("p", 4)
		w.lose = 10
		w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 4))
		w.await(10*time.Minute, "p")
		if got := w.tally("p"); got.loads != 12 {
			t.Errorf("%d loads, want 12", got.loads)
		}
	})
}

// Symptom: an engine that came back serves nothing for good. Sequence: it
// restarts with nothing loaded, right after its last order was carried out.
// Cause: what orders did is believed for ever.
func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.addEngines("p", 3)
		w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 3))
		w.await(10*time.Minute, "p")
		w.change(w.engines["p-e01"], func(r *Replica) { r.Weights, r.Serving = nil, nil })
		took := w.await(2*time.Minute, "p")
		if least := 3 * w.loadTime; took < least {
			t.Errorf("converged in %v, three loads take %v: the restart went unseen", took, least)
		}
	})
}

// Symptom: more engines load than the weight store's slots. Sequence: the holder
// dies while two engines load; the next begins two more. Cause: slots are
// counted in the holder's memory.
func TestSlotsOutliveTheHolder(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.loadTime = time.Minute
		w.addEngines("p", 6)
		first := w.start(ctx, "entry-1", "p")
		w.start(ctx, "entry-2", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 6))
		for w.tally("p").loading < 2 {
			time.Sleep(100 * time.Millisecond)
		}
		first.freeze()
		w.await(time.Hour, "p")
		first.thaw()
		if got := w.tally("p"); got.peak > 2 {
			t.Errorf("%d loads at a time, want 2", got.peak)
		}
	})
}

// burst is what two operators held back for weeks: 500 objects.
type burst struct{ kind, name, spec string }

const burstPools = 20

func heldBack(operator string) []burst {
	var out []burst
	for i := range burstPools {
		name := fmt.Sprintf("p%02d", i)
		out = append(out,
			burst{declared.KindModelPool, name, poolSpec(operator, 8)},
			burst{declared.KindBackendServerSet, name, fmt.Sprintf(`{"pool":%q,"zones":["hobart"],
				"template":{"name":%q,"address":"10.0.0.{index}:9000","first":1,"count":8}}`, name, name+"-{index}")})
	}
	for i := range 230 {
		name := fmt.Sprintf("w%03d", i)
		out = append(out,
			burst{declared.KindWorkspacePolicy, name, fmt.Sprintf(`{"weight":%d}`, 1+len(operator))},
			burst{declared.KindServiceLevel, name, fmt.Sprintf(`{"workspace":%q,"class":"1k-4k","ttft":"1s","objective":0.99,
				"windows":[{"long":"1h","short":"5m","rate":14}]}`, name)})
	}
	return out
}

// Symptom: after a freeze, some pools stay as they were, or the weight store or
// the object API is overrun. Sequence: two operators apply 500 changes each, at
// the same time, in random order, to a store at its limits that loses answers;
// sets name pools that aren't there yet. Cause: any dependence on the order.
func TestBurstAfterAFreeze(t *testing.T) {
	for seed := range uint64(3) {
		inWorld(t, func(ctx context.Context, w *world) { runBurst(ctx, w, seed) })
	}
}

func runBurst(ctx context.Context, w *world, seed uint64) {
	var pools []string
	for i := range burstPools {
		pools = append(pools, fmt.Sprintf("p%02d", i))
		w.addEngines(pools[i], 8)
	}
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		w.start(ctx, name, pools...)
	}
	time.Sleep(time.Minute)
	w.store.SetFaults(standin.Faults{WritesPerSecond: 300, ReadsPerSecond: 2000, LoseProbability: 0.01})
	before, begin := w.store.Counts(), time.Now()
	var operators sync.WaitGroup
	for i, operator := range []string{"1", "22"} {
		operators.Go(func() {
			objects := heldBack(operator)
			rand.New(rand.NewPCG(seed, uint64(i))).Shuffle(len(objects), func(i, j int) { objects[i], objects[j] = objects[j], objects[i] })
			for _, o := range objects {
				w.apply(o.kind, o.name, o.spec)
			}
		})
	}
	operators.Wait()
	applied := time.Since(begin)
	w.await(time.Hour, pools...)
	took, counts := time.Since(begin), w.store.Counts()
	const slots, replicas, loadsEach = 2, 8, 3 // the model and its two adapters
	limit := time.Duration(replicas*loadsEach/slots) * w.loadTime
	w.t.Logf("seed %d: applied in %v, converged in %v; the weight store alone takes %v (%.1f%% over); %d loads; store: %.1f writes/s, %.1f reads/s, %d throttled",
		seed, applied, took, limit, 100*(took.Seconds()/limit.Seconds()-1), w.tally("").loads,
		float64(counts.Writes()-before.Writes())/took.Seconds(), float64(counts.Reads()-before.Reads())/took.Seconds(), counts.Throttled)
	if took > limit+limit/10 {
		w.t.Errorf("converged in %v, want within %v and a tenth", took, limit)
	}
	for _, pool := range pools {
		if got := w.tally(pool); got.peak > slots {
			w.t.Errorf("pool %s: %d loads at a time", pool, got.peak)
		}
	}
}
