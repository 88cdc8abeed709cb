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

const errLost = errors.ConstError("answer lost")

// world is a store, engines with their agents, and reconcilers over them. Time
// is that of a synctest bubble.
type world struct {
	t        *testing.T
	store    *standin.Memory
	loadTime time.Duration // of one load from the weight store
	lag      time.Duration // until reports show a change

	mu      sync.Mutex // guards everything below
	engines map[string]*fakeEngine
	lose    int // answers still to be lost
	loads   int
	loading map[string]int // by pool, now
	peak    map[string]int // by pool
	stale   int            // orders refused for their fence
}

// fakeEngine is an engine with its agent: it carries out orders one at a time.
type fakeEngine struct {
	pool     string
	now      Replica // as it is
	reported Replica // as reports show it
	gate     *lease.FenceChecker
	turn     chan struct{}
}

func newWorld(t *testing.T) *world {
	return &world{
		t:        t,
		store:    standin.NewMemory(standin.Config{History: 1 << 16}),
		loadTime: 10 * time.Second,
		lag:      time.Second,
		engines:  map[string]*fakeEngine{},
		loading:  map[string]int{},
		peak:     map[string]int{},
	}
}

func (w *world) addEngines(pool string, n int) {
	for _, r := range engines(n) {
		r.Name = pool + "-" + r.Name
		r.Address = r.Name
		w.engines[r.Name] = &fakeEngine{pool: pool, now: r, reported: r, gate: lease.NewFenceChecker(w.store), turn: make(chan struct{}, 1)}
	}
}

func clone(r Replica) Replica {
	r.Weights, r.Serving = slices.Clone(r.Weights), slices.Clone(r.Serving)
	return r
}

// change changes an engine now, and what reports show of it later.
func (w *world) change(e *fakeEngine, f func(r *Replica)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&e.now)
	seen := clone(e.now)
	go func() {
		time.Sleep(w.lag)
		w.mu.Lock()
		defer w.mu.Unlock()
		e.reported = seen
	}()
}

func (w *world) replicas(pool string) []Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Replica
	for _, e := range w.engines {
		if e.pool == pool {
			out = append(out, clone(e.reported))
		}
	}
	slices.SortFunc(out, func(a, b Replica) int { return compareBool(a.Name < b.Name, b.Name < a.Name) })
	return out
}

// Order implements OrderClient as an agent does.
func (w *world) Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	w.mu.Lock()
	e := w.engines[addr]
	w.mu.Unlock()
	select {
	case e.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-e.turn }()
	if err := e.gate.Admit(ctx, in.Lease, in.Fence); errors.Is(err, lease.ErrStaleFence) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.stale++
		return &wirepb.OrderResponse{Code: wirepb.RefuseCode_REFUSE_STALE_FENCE}, nil
	} else if err != nil {
		return &wirepb.OrderResponse{Code: wirepb.RefuseCode_REFUSE_BUSY, Detail: err.Error()}, nil
	}
	w.carryOut(e, in)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lose > 0 {
		w.lose--
		return nil, errLost
	}
	return &wirepb.OrderResponse{Done: true}, nil
}

func (w *world) carryOut(e *fakeEngine, in *wirepb.OrderRequest) {
	a := Action{Verb: Verb(in.Action), Model: in.Model, Adapter: in.Adapter, Version: in.Version, Role: backend.Role(in.Role)}
	w.mu.Lock()
	so := a.Verb == VerbLoad && e.now.current(a.Name(), a.Version)
	w.mu.Unlock()
	if so {
		return
	}
	if a.Verb == VerbLoad {
		w.countLoad(e.pool, 1)
		w.change(e, func(r *Replica) {
			r.Loading = a.Name()
			r.Serving = drop(r.Serving, a.Name())
		})
		time.Sleep(w.loadTime)
		w.countLoad(e.pool, -1)
	}
	w.change(e, a.done)
}

func (w *world) countLoad(pool string, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading[pool] += by
	w.peak[pool] = max(w.peak[pool], w.loading[pool])
	if by > 0 {
		w.loads++
	}
}

// process is one entry that may reconcile. While frozen, it sends nothing.
type process struct {
	world   *world
	catalog *declared.Catalog
	leases  *lease.Manager

	mu     sync.Mutex    // guards what follows
	held   chan struct{} // closed when orders go out again; nil if they do
	frozen bool          // nor is the store called meanwhile
}

func silent() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// start runs a process that contends for all pools, until ctx ends.
func (w *world) start(ctx context.Context, name string, pools ...string) *process {
	p := &process{world: w, catalog: declared.NewCatalog(declared.Config{Log: silent()})}
	p.leases = lease.NewManager(lease.Config{Store: frozenStore{w.store, p}, Holder: name, Logger: silent()})
	watcher := objectapi.NewWatcher(objectapi.WatcherConfig{Store: w.store, Kinds: declared.Kinds(), Sink: p.catalog, Log: silent()})
	go watcher.Run(ctx)
	for _, pool := range pools {
		go p.work(ctx, pool)
	}
	return p
}

func (p *process) work(ctx context.Context, pool string) {
	for ctx.Err() == nil {
		held, err := p.leases.Acquire(ctx, LeaseName(pool))
		if err != nil {
			return
		}
		_ = NewReconciler(Config{
			Pool: pool, Lease: held, State: p.catalog.State, OrderClient: p, Store: frozenStore{p.world.store, p}, Log: silent(),
			Replicas: func() ([]Replica, bool) { return p.world.replicas(pool), true },
		}).Run(ctx)
		_ = held.Release(context.Background())
	}
}

// hold keeps back the orders that the process sends.
func (p *process) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = make(chan struct{})
}

// freeze keeps back all that the process sends.
func (p *process) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = make(chan struct{})
	}
	p.frozen = true
}

func (p *process) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.held)
	p.held, p.frozen = nil, false
}

// wait waits until the process is thawed; an order waits also while it is held.
func (p *process) wait(order bool) {
	p.mu.Lock()
	held, frozen := p.held, p.frozen
	p.mu.Unlock()
	if held != nil && (frozen || order) {
		<-held
	}
}

// Order implements OrderClient: what a frozen process was about to send goes out
// when it thaws.
func (p *process) Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	p.wait(true)
	return p.world.Order(ctx, addr, in)
}

// frozenStore is the store as a process that may be frozen reaches it.
type frozenStore struct {
	objectapi.Store
	p *process
}

func (s frozenStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	s.p.wait(false)
	return s.Store.Get(ctx, kind, name)
}

func (s frozenStore) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
	s.p.wait(false)
	return s.Store.Update(ctx, kind, name, data, version)
}

// apply writes an object over whatever version there is, as briarturnctl does:
// conditionally, and again after a conflict.
func (w *world) apply(kind, name, spec string) {
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
		time.Sleep(5 * time.Millisecond) // throttled, or another operator was first
	}
}

func poolSpec(version string, replicas int) string {
	return fmt.Sprintf(`{"models":[{"name":"m","version":%q,"source":"m","replicas":{"mixed":%d},"adapters":[
		{"name":"a","version":%q,"source":"a"},{"name":"b","version":"1","source":"b"}]}],
		"engine":{"prefill_rate":1000,"decode_rate":100,"memory_tokens":1000},
		"zones":["burnie","hobart","launceston"],"weight_loads":2}`, version, replicas, version)
}

// converged tells whether all engines of a pool are as the store's ModelPool says.
func (w *world) converged(pool string) bool {
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
			list = append(list, clone(e.now))
		}
	}
	slices.SortFunc(list, func(a, b Replica) int { return compareBool(a.Name < b.Name, b.Name < a.Name) })
	plan := Plan(spec.(*declared.ModelPool), list, DefaultMinServing)
	return plan.Outdated == 0 && plan.Unplaced == 0
}

// tally is what the world counted so far.
type tally struct{ loads, loading, peak, stale int }

func (w *world) tally(pool string) tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	return tally{w.loads, w.loading[pool], w.peak[pool], w.stale}
}

// await waits until all pools converged and returns how long it took.
func (w *world) await(limit time.Duration, pools ...string) time.Duration {
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

// status reads a pool's status object.
func (w *world) status(pool string) Status {
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
