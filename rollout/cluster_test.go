package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const errLost = errors.ConstError("response lost")

// testCluster is a store, engines with their agents, and reconcilers. It runs in the
// virtual time of a synctest bubble.
type testCluster struct {
	t         *testing.T
	store     *standin.Memory
	loadTime  time.Duration // duration of one load from the weight store
	reportLag time.Duration // delay until reports show a change

	mu              sync.Mutex // guards everything below
	engines         map[string]*fakeEngine
	responsesToLose int // responses that are still to be lost
	loads           int
	loading         map[string]int // by pool, loads in progress
	peak            map[string]int // by pool, maximum of loading
	staleOrders     int            // orders refused for a stale fence
}

// fakeEngine is an engine with its agent. It carries out one order at a time.
type fakeEngine struct {
	pool      string
	actual    Replica // actual state
	reported  Replica // state that reports show
	fences    *lease.FenceChecker
	orderSlot chan struct{}
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t:         t,
		store:     standin.NewMemory(standin.Config{History: 1 << 16}),
		loadTime:  10 * time.Second,
		reportLag: time.Second,
		engines:   map[string]*fakeEngine{},
		loading:   map[string]int{},
		peak:      map[string]int{},
	}
}

func (w *testCluster) addEngines(pool string, n int) {
	for _, r := range engines(n) {
		r.Name = pool + "-" + r.Name
		r.Address = r.Name
		w.engines[r.Name] = &fakeEngine{pool: pool, actual: r, reported: r, fences: lease.NewFenceChecker(w.store), orderSlot: make(chan struct{}, 1)}
	}
}

func cloneReplica(r Replica) Replica {
	r.Weights, r.Serving = slices.Clone(r.Weights), slices.Clone(r.Serving)
	return r
}

// changeEngine changes an engine now, and its reported state after reportLag.
func (w *testCluster) changeEngine(e *fakeEngine, f func(r *Replica)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&e.actual)
	seen := cloneReplica(e.actual)
	go func() {
		time.Sleep(w.reportLag)
		w.mu.Lock()
		defer w.mu.Unlock()
		e.reported = seen
	}()
}

func (w *testCluster) replicas(pool string) []Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Replica
	for _, e := range w.engines {
		if e.pool == pool {
			out = append(out, cloneReplica(e.reported))
		}
	}
	slices.SortFunc(out, func(a, b Replica) int { return compareTrueFirst(a.Name < b.Name, b.Name < a.Name) })
	return out
}

// Order implements OrderClient like an agent.
func (w *testCluster) Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	w.mu.Lock()
	e := w.engines[addr]
	w.mu.Unlock()
	select {
	case e.orderSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-e.orderSlot }()
	if err := e.fences.Admit(ctx, in.Lease, in.Fence); errors.Is(err, lease.ErrStaleFence) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.staleOrders++
		return &wirepb.OrderResponse{Code: wirepb.RefuseCode_REFUSE_STALE_FENCE}, nil
	} else if err != nil {
		return &wirepb.OrderResponse{Code: wirepb.RefuseCode_REFUSE_BUSY, Detail: err.Error()}, nil
	}
	w.execute(e, in)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.responsesToLose > 0 {
		w.responsesToLose--
		return nil, errLost
	}
	return &wirepb.OrderResponse{Done: true}, nil
}

func (w *testCluster) execute(e *fakeEngine, in *wirepb.OrderRequest) {
	a := Action{Verb: Verb(in.Action), Model: in.Model, Adapter: in.Adapter, Version: in.Version, Role: backend.Role(in.Role)}
	w.mu.Lock()
	alreadyLoaded := a.Verb == VerbLoad && e.actual.servesVersion(a.Name(), a.Version)
	w.mu.Unlock()
	if alreadyLoaded {
		return
	}
	if a.Verb == VerbLoad {
		w.countLoad(e.pool, 1)
		w.changeEngine(e, func(r *Replica) {
			r.Loading = a.Name()
			r.Serving = removeName(r.Serving, a.Name())
		})
		time.Sleep(w.loadTime)
		w.countLoad(e.pool, -1)
	}
	w.changeEngine(e, a.applyCompleted)
}

func (w *testCluster) countLoad(pool string, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading[pool] += by
	w.peak[pool] = max(w.peak[pool], w.loading[pool])
	if by > 0 {
		w.loads++
	}
}

// testProcess is an entry that may hold the leases of pools. While it is paused, it
// sends nothing.
type testProcess struct {
	cluster *testCluster
	catalog *declared.Catalog
	leases  *lease.Manager

	mu      sync.Mutex    // guards everything below
	resumed chan struct{} // closed when orders are sent again; nil if they are not held
	paused  bool          // store calls wait as well
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// start runs a process that competes for the leases of all pools until ctx ends.
func (w *testCluster) start(ctx context.Context, name string, pools ...string) *testProcess {
	p := &testProcess{cluster: w, catalog: declared.NewCatalog(declared.Config{Log: discardLogger()})}
	p.leases = lease.NewManager(lease.Config{Store: pausableStore{w.store, p}, Holder: name, Logger: discardLogger()})
	watcher := objectapi.NewWatcher(objectapi.WatcherConfig{Store: w.store, Kinds: declared.Kinds(), Sink: p.catalog, Log: discardLogger()})
	go watcher.Run(ctx)
	for _, pool := range pools {
		go p.contend(ctx, pool)
	}
	return p
}

func (p *testProcess) contend(ctx context.Context, pool string) {
	for ctx.Err() == nil {
		held, err := p.leases.Acquire(ctx, LeaseName(pool))
		if err != nil {
			return
		}
		_ = NewReconciler(Config{
			Pool: pool, Lease: held, State: p.catalog.State, OrderClient: p, Store: pausableStore{p.cluster.store, p}, Log: discardLogger(),
			Replicas: func() ([]Replica, bool) { return p.cluster.replicas(pool), true },
		}).Run(ctx)
		_ = held.Release(context.Background())
	}
}

// holdOrders delays the orders of the process until resume.
func (p *testProcess) holdOrders() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed = make(chan struct{})
}

// pause delays the orders and store calls of the process until resume.
func (p *testProcess) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
	p.paused = true
}

func (p *testProcess) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resumed)
	p.resumed, p.paused = nil, false
}

// wait blocks while the process is paused. An order also waits while orders are held.
func (p *testProcess) wait(order bool) {
	p.mu.Lock()
	resumed, paused := p.resumed, p.paused
	p.mu.Unlock()
	if resumed != nil && (paused || order) {
		<-resumed
	}
}

// Order implements OrderClient. An order of a paused process is sent when the
// process resumes.
func (p *testProcess) Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	p.wait(true)
	return p.cluster.Order(ctx, addr, in)
}

// pausableStore is the store as used by a process that may be paused.
type pausableStore struct {
	objectapi.Store
	p *testProcess
}

func (s pausableStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	s.p.wait(false)
	return s.Store.Get(ctx, kind, name)
}

func (s pausableStore) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
	s.p.wait(false)
	return s.Store.Update(ctx, kind, name, data, version)
}

// apply writes an object over any existing version, as briarturnctl does: it updates
// conditionally and retries after a conflict.
func (w *testCluster) apply(kind, name, spec string) {
	w.t.Helper()
	if _, err := declared.Decode(kind, []byte(spec)); err != nil {
		w.t.Fatalf("%s/%s: %v", kind, name, err)
	}
	ctx := context.Background()
	for {
		old, err := w.store.Get(ctx, kind, name)
		if errors.Is(err, objectapi.ErrNotFound) {
			_, err = w.store.Create(ctx, kind, name, json.RawMessage(spec))
		} else if err == nil {
			_, err = w.store.Update(ctx, kind, name, json.RawMessage(spec), old.Version)
		}
		if err == nil {
			return
		}
		time.Sleep(5 * time.Millisecond) // throttled, or another operator wrote first
	}
}

func poolSpec(version string, replicas int) string {
	return fmt.Sprintf(`{"models":[{"name":"m","version":%q,"source":"m","replicas":{"mixed":%d},"adapters":[
		{"name":"a","version":%q,"source":"a"},{"name":"b","version":"1","source":"b"}]}],
		"engine":{"prefill_rate":1000,"decode_rate":100,"memory_tokens":1000},
		"zones":["burnie","hobart","launceston"],"weight_loads":2}`, version, replicas, version)
}

// converged reports whether all engines of a pool match the ModelPool in the store.
func (w *testCluster) converged(pool string) bool {
	o, err := w.store.Get(context.Background(), declared.KindModelPool, pool)
	if err != nil {
		return false
	}
	spec, err := declared.Decode(o.Kind, o.Data)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []Replica
	for _, e := range w.engines {
		if e.pool == pool {
			list = append(list, cloneReplica(e.actual))
		}
	}
	slices.SortFunc(list, func(a, b Replica) int { return compareTrueFirst(a.Name < b.Name, b.Name < a.Name) })
	plan := Plan(spec.(*declared.ModelPool), list, DefaultMinServing)
	return plan.Outdated == 0 && plan.Unplaced == 0
}

// clusterStats holds the counters of a testCluster.
type clusterStats struct{ loads, loading, peak, stale int }

func (w *testCluster) stats(pool string) clusterStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return clusterStats{w.loads, w.loading[pool], w.peak[pool], w.staleOrders}
}

// awaitConverged waits until all pools have converged and returns the time it took.
func (w *testCluster) awaitConverged(limit time.Duration, pools ...string) time.Duration {
	w.t.Helper()
	start := time.Now()
	for _, pool := range pools {
		for !w.converged(pool) {
			if time.Since(start) > limit {
				w.t.Fatalf("pool %s not converged after %v: %+v", pool, limit, w.replicas(pool))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// status returns the status object of a pool.
func (w *testCluster) status(pool string) Status {
	w.t.Helper()
	o, err := w.store.Get(context.Background(), KindStatus, StatusName(pool))
	if err != nil {
		w.t.Fatal(err)
	}
	var s Status
	if err := json.Unmarshal(o.Data, &s); err != nil {
		w.t.Fatal(err)
	}
	return s
}

func (s *Status) condition(name string) Condition {
	for _, c := range s.Conditions {
		if c.Type == name {
			return c
		}
	}
	return Condition{}
}
