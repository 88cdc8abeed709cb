package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// LeaseName returns the name of the lease whose holder reconciles a pool.
func LeaseName(pool string) string { return "rollout/" + pool }

// OrderClient sends an order to the agent at an address. wire.Dialer implements it.
type OrderClient interface {
	Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error)
}

// Options of a Reconciler. Zero fields take the defaults.
type Options struct {
	MinServing       float64       // fraction of a model's placed replicas that keep serving; default 0.75
	ResyncInterval   time.Duration // interval between reads of the engines' state; default 500 ms
	MaxReportLag     time.Duration // maximum delay of a report after the response to an order; default 10 s
	OrderTimeout     time.Duration // timeout of one order, including the drain before it; default 2.5 min
	DebounceDelay    time.Duration // time without changes to a pool before it is acted on; default 3 s
	MaxDebounceDelay time.Duration // maximum wait for DebounceDelay; default 10 s
	RetryDelay       time.Duration // delay after a failed order, doubled up to MaxRetryDelay; default 1 s
	MaxRetryDelay    time.Duration // maximum delay after a failed order; default 30 s
	StatusInterval   time.Duration // minimum time between two writes of the status; default 2 s
}

// Defaults of Options.
const (
	defaultResyncInterval = 500 * time.Millisecond
	defaultMaxReportLag   = 10 * time.Second
	defaultOrderTimeout   = 150 * time.Second
	// defaultDebounceDelay is the sum of two times: the 2.5 s that a burst of
	// 1,000 changes takes at 400 writes a second, and the maximum difference
	// between the delays with which two changes are observed. With a shorter
	// delay, a pool that is edited at both ends of the burst would look unchanged
	// in between, and weights would be loaded for its first version.
	defaultDebounceDelay    = 2500*time.Millisecond + objectapi.DefaultWatchInterval
	defaultMaxDebounceDelay = 10 * time.Second
	defaultRetryDelay       = time.Second
	defaultMaxRetryDelay    = 30 * time.Second
	defaultStatusInterval   = 2 * time.Second
)

// statusTimeout is the timeout of one write of the status.
const statusTimeout = 2 * time.Second

func (o Options) withDefaults() Options {
	if o.MinServing == 0 {
		o.MinServing = DefaultMinServing
	}
	setDefault(&o.ResyncInterval, defaultResyncInterval)
	setDefault(&o.MaxReportLag, defaultMaxReportLag)
	setDefault(&o.OrderTimeout, defaultOrderTimeout)
	setDefault(&o.DebounceDelay, defaultDebounceDelay)
	setDefault(&o.MaxDebounceDelay, defaultMaxDebounceDelay)
	setDefault(&o.RetryDelay, defaultRetryDelay)
	setDefault(&o.MaxRetryDelay, defaultMaxRetryDelay)
	setDefault(&o.StatusInterval, defaultStatusInterval)
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Config configures a Reconciler.
type Config struct {
	Pool  string
	Lease *lease.Lease // the lease LeaseName(Pool)
	State func() *declared.State
	// Replicas returns the observed engines of the pool. complete is false while
	// some engines may not be known yet. A plan made from only a part of the
	// engines would move the replicas of the rest.
	Replicas    func() (list []Replica, complete bool)
	OrderClient OrderClient
	Store       objectapi.Store // stores the status object
	Options     Options
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
}

// Reconciler reconciles one pool during one term of its lease.
type Reconciler struct {
	cfg      Config
	status   *statusWriter
	wake     chan struct{} // has a token if an order has ended since the last step
	debounce debouncer
	orders   sync.WaitGroup

	ordersBegun, ordersDone, ordersFailed, ordersStale metrics.Counter

	mu         sync.Mutex // guards everything below
	engines    map[string]*engineOrders
	superseded bool // an agent has seen a later fence
}

// engineOrders is the state that the Reconciler keeps of one engine. All of it may
// be lost: it only covers the time until reports show the effect of orders.
type engineOrders struct {
	running     *Action
	completed   []completedOrder
	lastFailure string // error of the last order, empty if it was carried out
	backoff     time.Duration
	retryAt     time.Time
}

type completedOrder struct {
	Action
	completedAt time.Time
}

// NewReconciler returns a Reconciler. Call Run to start it.
func NewReconciler(cfg Config) *Reconciler {
	cfg.Options = cfg.Options.withDefaults()
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("rollout."+name, cfg.Metrics)
	}
	return &Reconciler{
		cfg:          cfg,
		status:       &statusWriter{store: cfg.Store, name: StatusName(cfg.Pool), fence: cfg.Lease.Fence()},
		wake:         make(chan struct{}, 1),
		ordersBegun:  counter("orders_begun"),
		ordersDone:   counter("orders_done"),
		ordersFailed: counter("orders_failed"),
		ordersStale:  counter("orders_stale"),
		engines:      map[string]*engineOrders{},
	}
}

// Run reconciles until the lease is lost or ctx ends, and returns after its orders
// have ended. Orders in progress are not canceled when the lease is lost: they
// were sent during the term, and the engines report them to the next holder.
func (r *Reconciler) Run(ctx context.Context) error {
	defer r.orders.Wait()
	resync := time.NewTicker(r.cfg.Options.ResyncInterval)
	defer resync.Stop()
	var statusAt time.Time
	for {
		if r.isSuperseded() {
			return errors.Annotatef(lease.ErrNotHeld, "step reconcile, pool %s: an agent has seen a later fence", r.cfg.Pool)
		}
		if err := r.cfg.Lease.Check(); err != nil {
			return errors.Annotatef(err, "step reconcile, pool %s", r.cfg.Pool)
		}
		state := r.cfg.State()
		next := r.step(ctx, state)
		if now := time.Now(); now.Sub(statusAt) >= r.cfg.Options.StatusInterval {
			statusAt = now
			if err := r.writeStatus(ctx, now, next); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.cfg.Lease.Done():
		case <-state.Changed():
		case <-r.wake:
		case <-resync.C:
		}
	}
}

func (r *Reconciler) isSuperseded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.superseded
}

// step plans once, starts the orders that may start, and returns the status to
// write.
func (r *Reconciler) step(ctx context.Context, state *declared.State) Status {
	pool, version := state.ModelPool(r.cfg.Pool)
	now := time.Now()
	replicas, complete := r.cfg.Replicas()
	r.mu.Lock()
	r.applyOrders(now, replicas)
	failure := r.firstFailure(replicas)
	r.mu.Unlock()
	var plan PlanResult
	if pool != nil && !complete {
		return Status{ObservedVersion: version, Conditions: incompleteConditions()}
	}
	if pool != nil {
		plan = Plan(pool, replicas, r.cfg.Options.MinServing)
	}
	if r.debounce.ready(now, version, r.cfg.Options.DebounceDelay, r.cfg.Options.MaxDebounceDelay) {
		for i := range plan.Actions {
			r.startOrder(ctx, plan.Actions[i])
		}
	}
	return Status{
		ObservedVersion: version,
		Conditions:      conditions(pool, len(replicas), &plan, failure),
		Models:          plan.Models,
	}
}

// debouncer delays actions until a pool no longer changes. Otherwise, during a
// burst of changes, weights would be loaded of versions that are replaced a moment
// later, and a load that has started keeps its slot.
type debouncer struct {
	version     uint64
	firstChange time.Time // time of the first change not yet acted on; zero if none
	lastChange  time.Time
}

// ready reports whether to act on a version now: the pool has not changed for
// minDelay, or maxDelay has passed since the first change.
func (q *debouncer) ready(now time.Time, version uint64, minDelay, maxDelay time.Duration) bool {
	if version != q.version {
		q.version, q.lastChange = version, now
		if q.firstChange.IsZero() {
			q.firstChange = now
		}
	}
	if now.Sub(q.lastChange) < minDelay && now.Sub(q.firstChange) < maxDelay {
		return false
	}
	q.firstChange = time.Time{}
	return true
}

// applyOrders changes the reported replicas to show the effects of completed orders
// and of orders in progress. Otherwise an order would be sent twice if reports
// lag. The caller holds r.mu.
func (r *Reconciler) applyOrders(now time.Time, replicas []Replica) {
	for i := range replicas {
		e := r.engines[replicas[i].Name]
		if e == nil {
			continue
		}
		for len(e.completed) > 0 && now.Sub(e.completed[0].completedAt) > r.cfg.Options.MaxReportLag {
			e.completed = e.completed[1:]
		}
		for j := range e.completed {
			e.completed[j].applyCompleted(&replicas[i])
		}
		if e.running != nil {
			e.running.applyStarted(&replicas[i])
		}
		replicas[i].Busy = replicas[i].Busy || now.Before(e.retryAt)
	}
}

// firstFailure returns the error of a failing order, if any, and removes the state
// of engines that no longer exist. The caller holds r.mu.
func (r *Reconciler) firstFailure(replicas []Replica) string {
	present := make(map[string]bool, len(replicas))
	for i := range replicas {
		present[replicas[i].Name] = true
	}
	messages := map[string]string{}
	for name, e := range r.engines {
		if !present[name] && e.running == nil {
			delete(r.engines, name)
			continue
		}
		if e.lastFailure != "" {
			messages[name] = e.lastFailure
		}
	}
	return firstMessage(messages)
}

// startOrder sends an order on a new goroutine.
func (r *Reconciler) startOrder(ctx context.Context, a Action) {
	if r.cfg.Lease.Check() != nil {
		return
	}
	r.mu.Lock()
	e := r.engines[a.Server]
	if e == nil {
		e = &engineOrders{}
		r.engines[a.Server] = e
	}
	e.running = &a
	r.mu.Unlock()
	r.ordersBegun.Inc(1)
	r.orders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, r.cfg.Options.OrderTimeout)
		defer cancel()
		out, err := r.cfg.OrderClient.Order(ctx, a.Address, a.message(r.cfg.Lease.Name(), r.cfg.Lease.Fence()))
		r.finishOrder(e, a, out, err)
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
}

// finishOrder records the result of an order.
func (r *Reconciler) finishOrder(e *engineOrders, a Action, out *wirepb.OrderResponse, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.running = nil
	switch {
	case err == nil && out.GetDone():
		r.ordersDone.Inc(1)
		e.completed = append(e.completed, completedOrder{a, now})
		e.lastFailure, e.backoff = "", 0
		return
	case err == nil && out.GetCode() == wirepb.RefuseCode_REFUSE_STALE_FENCE:
		r.ordersStale.Inc(1)
		r.superseded = true
		return
	case err != nil:
		e.lastFailure = err.Error()
	default:
		e.lastFailure = out.GetDetail()
	}
	r.ordersFailed.Inc(1)
	e.backoff = min(max(2*e.backoff, r.cfg.Options.RetryDelay), r.cfg.Options.MaxRetryDelay)
	e.retryAt = now.Add(e.backoff)
	r.cfg.Log.WithField("server", a.Server).WithField("order", a.id()).Debug("order failed: " + e.lastFailure)
}

// writeStatus writes a status. It returns an error only if a later holder has
// written the status. Other errors are logged, since the store may be down and
// orders don't depend on it.
func (r *Reconciler) writeStatus(ctx context.Context, now time.Time, next Status) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err := r.status.write(ctx, now.UTC().Round(0), next)
	if errors.Is(err, errSuperseded) {
		return errors.WithType(err, lease.ErrNotHeld)
	}
	if err != nil {
		r.cfg.Log.WithError(err).Debug("status not written")
	}
	return nil
}
