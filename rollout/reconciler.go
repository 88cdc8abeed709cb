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

// OrderClient gives an order to the agent at an address; wire.Dialer is one.
type OrderClient interface {
	Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error)
}

// Options of a Reconciler. Zero fields take the defaults.
type Options struct {
	MinServing       float64       // share of wanted replicas that go on serving; default 0.75
	ResyncInterval   time.Duration // between looks at the engines; default 500 ms
	MaxReportLag     time.Duration // a report may lag an order's answer by so much; default 10 s
	OrderTimeout     time.Duration // of one order, the drain before it included; default 2.5 min
	DebounceDelay    time.Duration // a pool has to be unchanged for so long; default 3 s
	MaxDebounceDelay time.Duration // but it is waited no longer than this; default 10 s
	RetryDelay       time.Duration // after a failed order, doubled up to RetryMax; default 1 s
	MaxRetryDelay    time.Duration // default 30 s
	StatusInterval   time.Duration // least time between two writes of the status; default 2 s
}

// Defaults of Options.
const (
	defaultLookInterval = 500 * time.Millisecond
	defaultSettle       = 10 * time.Second
	defaultOrderTimeout = 150 * time.Second
	// defaultQuiet is the 2.5 s that a thousand held-back changes take at 400 writes
	// a second, and the time by which one change can be heard sooner after it was
	// made than the next. A pool that is edited at both ends of such a burst would
	// otherwise seem quiet between, and weights be loaded for its first version.
	defaultQuiet          = 2500*time.Millisecond + objectapi.DefaultWatchInterval
	defaultQuietMax       = 10 * time.Second
	defaultRetryAfter     = time.Second
	defaultRetryMax       = 30 * time.Second
	defaultStatusInterval = 2 * time.Second
)

// statusTimeout bounds one write of the status.
const statusTimeout = 2 * time.Second

func (o Options) withDefaults() Options {
	if o.MinServing == 0 {
		o.MinServing = DefaultMinServing
	}
	setDefault(&o.ResyncInterval, defaultLookInterval)
	setDefault(&o.MaxReportLag, defaultSettle)
	setDefault(&o.OrderTimeout, defaultOrderTimeout)
	setDefault(&o.DebounceDelay, defaultQuiet)
	setDefault(&o.MaxDebounceDelay, defaultQuietMax)
	setDefault(&o.RetryDelay, defaultRetryAfter)
	setDefault(&o.MaxRetryDelay, defaultRetryMax)
	setDefault(&o.StatusInterval, defaultStatusInterval)
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Config is what a Reconciler needs.
type Config struct {
	Pool  string
	Lease *lease.Lease // of LeaseName(Pool)
	State func() *declared.State
	// Replicas returns the pool's engines as observed now. complete is false
	// while some may be there that aren't known yet: with a part of them only,
	// the replicas of the rest would be placed anew.
	Replicas    func() (list []Replica, complete bool)
	OrderClient OrderClient
	Store       objectapi.Store // for the status
	Options     Options
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
}

// Reconciler works for one pool under one term of its lease.
type Reconciler struct {
	cfg    Config
	status *statusWriter
	wake   chan struct{} // holds a token while an order has ended unseen
	quiet  quiet
	orders sync.WaitGroup

	begun, done, failed, stale metrics.Counter

	mu      sync.Mutex // guards everything below
	engines map[string]*engineOrders
	lost    bool // an agent knows a later fence
}

// engineOrders is what the Reconciler remembers of one engine. All of it may be
// forgotten: it only bridges the time until reports show what orders did.
type engineOrders struct {
	running *Action
	recent  []carriedOut
	failure string // of the last order, empty if it was carried out
	backoff time.Duration
	retryAt time.Time
}

type carriedOut struct {
	Action
	at time.Time
}

// NewReconciler returns a Reconciler; Run makes it work.
func NewReconciler(cfg Config) *Reconciler {
	cfg.Options = cfg.Options.withDefaults()
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("rollout."+name, cfg.Metrics)
	}
	return &Reconciler{
		cfg:     cfg,
		status:  &statusWriter{store: cfg.Store, name: StatusName(cfg.Pool), fence: cfg.Lease.Fence()},
		wake:    make(chan struct{}, 1),
		begun:   counter("orders_begun"),
		done:    counter("orders_done"),
		failed:  counter("orders_failed"),
		stale:   counter("orders_stale"),
		engines: map[string]*engineOrders{},
	}
}

// Run reconciles until the lease is lost or ctx ends, and returns once its
// orders have ended. Orders under way aren't cancelled when the lease is lost:
// they were given in time, and the engines show them to the next holder.
func (r *Reconciler) Run(ctx context.Context) error {
	defer r.orders.Wait()
	look := time.NewTicker(r.cfg.Options.ResyncInterval)
	defer look.Stop()
	var statusAt time.Time
	for {
		if r.overtaken() {
			return errors.Annotatef(lease.ErrNotHeld, "step reconcile, pool %s: later fence met", r.cfg.Pool)
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
		case <-look.C:
		}
	}
}

func (r *Reconciler) overtaken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// step plans once, begins what may begin, and returns the status to show.
func (r *Reconciler) step(ctx context.Context, state *declared.State) Status {
	pool, version := state.ModelPool(r.cfg.Pool)
	now := time.Now()
	replicas, complete := r.cfg.Replicas()
	r.mu.Lock()
	r.overlay(now, replicas)
	failure := r.failures(replicas)
	r.mu.Unlock()
	var plan PlanResult
	if pool != nil && !complete {
		return Status{ObservedVersion: version, Conditions: lookingConditions()}
	}
	if pool != nil {
		plan = Plan(pool, replicas, r.cfg.Options.MinServing)
	}
	if r.quiet.over(now, version, r.cfg.Options.DebounceDelay, r.cfg.Options.MaxDebounceDelay) {
		for i := range plan.Actions {
			r.begin(ctx, plan.Actions[i])
		}
	}
	return Status{
		ObservedVersion: version,
		Conditions:      conditions(pool, len(replicas), &plan, failure),
		Models:          plan.Models,
	}
}

// quiet waits until a pool is no longer being changed. In a burst, weights would
// else be loaded of versions that are replaced a moment later, and a load that
// has begun keeps its slot.
type quiet struct {
	version uint64
	first   time.Time // change of those that were not acted on yet; zero: none
	last    time.Time
}

// over tells whether to act on a version now.
func (q *quiet) over(now time.Time, version uint64, least, most time.Duration) bool {
	if version != q.version {
		q.version, q.last = version, now
		if q.first.IsZero() {
			q.first = now
		}
	}
	if now.Sub(q.last) < least && now.Sub(q.first) < most {
		return false
	}
	q.first = time.Time{}
	return true
}

// overlay puts what orders did, and may be doing, over what reports show: a
// report that lags would else have an order given twice. Call with mu held.
func (r *Reconciler) overlay(now time.Time, replicas []Replica) {
	for i := range replicas {
		e := r.engines[replicas[i].Name]
		if e == nil {
			continue
		}
		for len(e.recent) > 0 && now.Sub(e.recent[0].at) > r.cfg.Options.MaxReportLag {
			e.recent = e.recent[1:]
		}
		for j := range e.recent {
			e.recent[j].done(&replicas[i])
		}
		if e.running != nil {
			e.running.begun(&replicas[i])
		}
		replicas[i].Busy = replicas[i].Busy || now.Before(e.retryAt)
	}
}

// failures tells of orders that fail, and forgets engines that are gone. Call
// with mu held.
func (r *Reconciler) failures(replicas []Replica) string {
	there := make(map[string]bool, len(replicas))
	for i := range replicas {
		there[replicas[i].Name] = true
	}
	messages := map[string]string{}
	for name, e := range r.engines {
		if !there[name] && e.running == nil {
			delete(r.engines, name)
			continue
		}
		if e.failure != "" {
			messages[name] = e.failure
		}
	}
	return firstOf(messages)
}

// begin gives an order on a goroutine of its own.
func (r *Reconciler) begin(ctx context.Context, a Action) {
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
	r.begun.Inc(1)
	r.orders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, r.cfg.Options.OrderTimeout)
		defer cancel()
		out, err := r.cfg.OrderClient.Order(ctx, a.Address, a.message(r.cfg.Lease.Name(), r.cfg.Lease.Fence()))
		r.end(e, a, out, err)
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
}

// end notes how an order ended.
func (r *Reconciler) end(e *engineOrders, a Action, out *wirepb.OrderResponse, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.running = nil
	switch {
	case err == nil && out.GetDone():
		r.done.Inc(1)
		e.recent = append(e.recent, carriedOut{a, now})
		e.failure, e.backoff = "", 0
		return
	case err == nil && out.GetCode() == wirepb.RefuseCode_REFUSE_STALE_FENCE:
		r.stale.Inc(1)
		r.lost = true
		return
	case err != nil:
		e.failure = err.Error()
	default:
		e.failure = out.GetDetail()
	}
	r.failed.Inc(1)
	e.backoff = min(max(2*e.backoff, r.cfg.Options.RetryDelay), r.cfg.Options.MaxRetryDelay)
	e.retryAt = now.Add(e.backoff)
	r.cfg.Log.WithField("server", a.Server).WithField("order", a.id()).Debug("order failed: " + e.failure)
}

// writeStatus shows a status. Only the news that a later holder has written it is
// an error: the store may be down, and orders don't wait for it.
func (r *Reconciler) writeStatus(ctx context.Context, now time.Time, next Status) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err := r.status.write(ctx, now.UTC().Round(0), next)
	if errors.Is(err, errOvertaken) {
		return errors.WithType(err, lease.ErrNotHeld)
	}
	if err != nil {
		r.cfg.Log.WithError(err).Debug("status not written")
	}
	return nil
}
