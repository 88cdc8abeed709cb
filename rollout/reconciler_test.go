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

// withTestCluster runs f in a synctest bubble and stops all processes afterwards.
func withTestCluster(t *testing.T, f func(ctx context.Context, w *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Minute) // lets orders and calls in progress end
		defer cancel()
		f(ctx, newTestCluster(t))
	})
}

// waitForReports waits until reports and the status show the current state.
func waitForReports() { time.Sleep(10 * time.Second) }

func TestPoolConvergesAndReportsStatus(t *testing.T) {
	withTestCluster(t, func(ctx context.Context, w *testCluster) {
		w.addEngines("p", 4)
		w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 4))
		w.awaitConverged(5*time.Minute, "p")
		waitForReports()
		if got := w.stats("p"); got.loads != 12 || got.peak != 2 {
			t.Errorf("%d loads, %d concurrent; want 12 and 2", got.loads, got.peak)
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
			t.Errorf("%d writes in ten minutes without changes, want at most the lease's %d", writes, renewals)
		}
	})
}

// Guards against resolving references only once. A BackendServerSet names the pool
// before its ModelPool exists, then the ModelPool is created, then its engines
// start. The pool would never be served, or the process would exit.
func TestReferencesMayBeResolvedLater(t *testing.T) {
	withTestCluster(t, func(ctx context.Context, w *testCluster) {
		w.start(ctx, "entry-1", "p")
		time.Sleep(30 * time.Second)
		if s := w.status("p"); s.condition(ConditionDeclared).Status || s.condition(ConditionDeclared).Reason != "NotDeclared" {
			t.Errorf("%+v", s)
		}
		w.apply(declared.KindModelPool, "p", poolSpec("1", 2))
		waitForReports()
		s := w.status("p")
		if !s.condition(ConditionDeclared).Status || s.condition(ConditionPlaced).Reason != "NoBackendServers" {
			t.Errorf("%+v", s)
		}
		w.mu.Lock()
		w.addEngines("p", 3)
		w.mu.Unlock()
		w.awaitConverged(5*time.Minute, "p")
	})
}

// Guards against orders of a holder that was paused beyond the end of its term.
// Another process takes over and rolls out version 3, then the first one resumes
// and sends its orders for version 2. Without the fence check, models that the new
// holder loaded would be unloaded.
func TestPausedReconcilerIsFenced(t *testing.T) {
	withTestCluster(t, func(ctx context.Context, w *testCluster) {
		w.addEngines("p", 6)
		first := w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 6))
		w.awaitConverged(10*time.Minute, "p")
		waitForReports()
		w.start(ctx, "entry-2", "p")
		time.Sleep(3 * time.Second)
		before := w.stats("p")
		first.holdOrders()
		w.apply(declared.KindModelPool, "p", poolSpec("2", 6))
		time.Sleep(4 * time.Second) // the first process is about to send orders for version 2
		first.pause()
		w.apply(declared.KindModelPool, "p", poolSpec("3", 6))
		for w.stats("p").loading == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		first.resume()
		w.awaitConverged(10*time.Minute, "p")
		waitForReports()
		after := w.stats("p")
		if after.stale == 0 {
			t.Error("no late order was refused for its fence, so the test checked nothing")
		}
		if n := after.loads - before.loads; n != 12 {
			t.Errorf("%d loads for version 3, want 12", n)
		}
		if s := w.status("p"); s.Models[0].Version != "3" || !s.condition(ConditionConverged).Status {
			t.Errorf("%+v", s)
		}
	})
}

// Guards against loading weights twice or leaving out an engine when all responses
// to the first orders are lost. Such an order must neither count as failed for good
// nor be sent again before the engine's state is read.
func TestLostResponsesAreResolvedByObservation(t *testing.T) {
	withTestCluster(t, func(ctx context.Context, w *testCluster) {
		w.addEngines("p", 4)
		w.responsesToLose = 10
		w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 4))
		w.awaitConverged(10*time.Minute, "p")
		if got := w.stats("p"); got.loads != 12 {
			t.Errorf("%d loads, want 12", got.loads)
		}
	})
}

// Guards against assuming forever that a completed order is in effect: an engine
// that restarts with nothing loaded right after its last order would never serve.
func TestRestartedEngineIsReloaded(t *testing.T) {
	withTestCluster(t, func(ctx context.Context, w *testCluster) {
		w.addEngines("p", 3)
		w.start(ctx, "entry-1", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 3))
		w.awaitConverged(10*time.Minute, "p")
		w.changeEngine(w.engines["p-e01"], func(r *Replica) { r.Weights, r.Serving = nil, nil })
		took := w.awaitConverged(2*time.Minute, "p")
		if least := 3 * w.loadTime; took < least {
			t.Errorf("converged in %v, but three loads take %v: the restart was not detected", took, least)
		}
	})
}

// Guards against counting load slots in the holder's memory: if the holder dies
// while two engines load, the next one would start two more loads than the weight
// store has slots for.
func TestLoadSlotsSurviveHolderChange(t *testing.T) {
	withTestCluster(t, func(ctx context.Context, w *testCluster) {
		w.loadTime = time.Minute
		w.addEngines("p", 6)
		first := w.start(ctx, "entry-1", "p")
		w.start(ctx, "entry-2", "p")
		w.apply(declared.KindModelPool, "p", poolSpec("1", 6))
		for w.stats("p").loading < 2 {
			time.Sleep(100 * time.Millisecond)
		}
		first.pause()
		w.awaitConverged(time.Hour, "p")
		first.resume()
		if got := w.stats("p"); got.peak > 2 {
			t.Errorf("%d concurrent loads, want at most 2", got.peak)
		}
	})
}

// burstObject is one of the 500 objects that each operator applies after a change
// freeze.
type burstObject struct{ kind, name, spec string }

const burstPools = 20

func burstObjects(operator string) []burstObject {
	var out []burstObject
	for i := range burstPools {
		name := fmt.Sprintf("p%02d", i)
		out = append(out,
			burstObject{declared.KindModelPool, name, poolSpec(operator, 8)},
			burstObject{declared.KindBackendServerSet, name, fmt.Sprintf(`{"pool":%q,"zones":["hobart"],
				"template":{"name":%q,"address":"10.0.0.{index}:9000","first":1,"count":8}}`, name, name+"-{index}")})
	}
	for i := range 230 {
		name := fmt.Sprintf("w%03d", i)
		out = append(out,
			burstObject{declared.KindWorkspacePolicy, name, fmt.Sprintf(`{"weight":%d}`, 1+len(operator))},
			burstObject{declared.KindServiceLevel, name, fmt.Sprintf(`{"workspace":%q,"class":"1k-4k","ttft":"1s","objective":0.99,
				"windows":[{"long":"1h","short":"5m","rate":14}]}`, name)})
	}
	return out
}

// Guards against any dependence on the order of changes. Two operators apply 500
// changes each, at the same time and in random order, to a store that runs at its
// limits and loses responses; server sets name pools that don't exist yet. Some
// pools would not be updated, or the weight store or the object API would be
// overloaded.
func TestBurstAfterChangeFreezeConverges(t *testing.T) {
	for seed := range uint64(3) {
		withTestCluster(t, func(ctx context.Context, w *testCluster) { runBurst(ctx, w, seed) })
	}
}

func runBurst(ctx context.Context, w *testCluster, seed uint64) {
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
			objects := burstObjects(operator)
			rand.New(rand.NewPCG(seed, uint64(i))).Shuffle(len(objects), func(i, j int) { objects[i], objects[j] = objects[j], objects[i] })
			for _, o := range objects {
				w.apply(o.kind, o.name, o.spec)
			}
		})
	}
	operators.Wait()
	applied := time.Since(begin)
	w.awaitConverged(time.Hour, pools...)
	took, counts := time.Since(begin), w.store.Counts()
	const slots, replicas, loadsEach = 2, 8, 3 // per replica: the model and its two adapters
	limit := time.Duration(replicas*loadsEach/slots) * w.loadTime
	w.t.Logf("seed %d: applied in %v, converged in %v; the loads alone take %v (%.1f%% over); %d loads; store: %.1f writes/s, %.1f reads/s, %d throttled",
		seed, applied, took, limit, 100*(took.Seconds()/limit.Seconds()-1), w.stats("").loads,
		float64(counts.Writes()-before.Writes())/took.Seconds(), float64(counts.Reads()-before.Reads())/took.Seconds(), counts.Throttled)
	if took > limit+limit/10 {
		w.t.Errorf("converged in %v, want at most %v plus 10%%", took, limit)
	}
	for _, pool := range pools {
		if got := w.stats(pool); got.peak > slots {
			w.t.Errorf("pool %s: %d concurrent loads", pool, got.peak)
		}
	}
}
