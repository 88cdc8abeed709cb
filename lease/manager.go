package lease

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/objectapi"
)

// Kind is the object kind of leases in the object API.
const Kind = "Lease"

// Errors of a lease. Test with errors.Is.
const (
	// ErrNotHeld: the term is over; orders under its fence must stop.
	ErrNotHeld = errors.ConstError("lease not held")
	// ErrHeldByOther: another term may still run.
	ErrHeldByOther = errors.ConstError("lease held by other")
)

// DefaultTerm is the length of a term where Config leaves it zero.
const DefaultTerm = 10 * time.Second

// Renewals in a term, so that two may fail before the term lapses, and the part
// by which an observer waits longer than the term, for clocks that run at
// slightly different rates.
const (
	renewalsPerTerm = 3
	driftPart       = 100
)

var fenceRises = invariant.New("lease.fence_rises",
	"each new term's fencing number is greater than any that this process saw of the lease")

// Config of a Manager.
type Config struct {
	Store         objectapi.Store
	Holder        string        // name in the object, for people; need not be unique
	Term          time.Duration // DefaultTerm if zero
	RenewInterval time.Duration // between renewals; a third of Term if zero
	Logger        logrus.FieldLogger
	Metrics       metrics.Registry
}

// Manager acquires leases for one process. It is safe for concurrent use.
type Manager struct {
	cfg      Config
	log      logrus.FieldLogger
	id       string // unique to this manager, part of every mark
	writes   atomic.Uint64
	now      func() time.Time
	acquired metrics.Counter
	renewals metrics.Counter
	failures metrics.Counter
	ended    metrics.Counter

	// countFromAnswer is the fault that tests put in to show that they catch
	// it: a term counted from after the answer.
	countFromAnswer bool

	mu   sync.Mutex // guards seen
	seen map[string]observation
}

// observation is how long this process has watched an object unchanged, by its
// own clock.
type observation struct {
	version uint64
	since   time.Time
	fence   uint64
}

// record is the object's value.
type record struct {
	Holder   string `json:"holder,omitempty"`
	Mark     string `json:"mark"` // unique to the write
	Fence    uint64 `json:"fence"`
	TermMS   int64  `json:"term_ms"`
	Released bool   `json:"released,omitempty"`
}

// NewManager returns a manager for one process.
func NewManager(cfg Config) *Manager {
	if cfg.Term <= 0 {
		cfg.Term = DefaultTerm
	}
	if cfg.RenewInterval <= 0 {
		cfg.RenewInterval = cfg.Term / renewalsPerTerm
	}
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Manager{
		cfg:      cfg,
		log:      cfg.Logger,
		id:       uuid.NewString(),
		now:      time.Now,
		acquired: metrics.GetOrRegisterCounter("lease.acquired", cfg.Metrics),
		renewals: metrics.GetOrRegisterCounter("lease.renewed", cfg.Metrics),
		failures: metrics.GetOrRegisterCounter("lease.renew_failed", cfg.Metrics),
		ended:    metrics.GetOrRegisterCounter("lease.ended", cfg.Metrics),
		seen:     map[string]observation{},
	}
}

// Acquire waits until it holds the lease or ctx is done. The error is ctx's,
// annotated with the last failure.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	for {
		l, err := m.TryAcquire(ctx, name)
		if err == nil {
			return l, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Annotatef(ctx.Err(), "step acquire, lease %s: %v", name, err)
		case <-time.After(m.cfg.RenewInterval):
		}
	}
}

// TryAcquire looks at the lease once and takes it if no other term can still
// run: it was released, or this process has watched it unchanged for a full
// term. Otherwise ErrHeldByOther; call again later on the same Manager.
func (m *Manager) TryAcquire(ctx context.Context, name string) (*Lease, error) {
	l, err := m.try(ctx, name)
	if err != nil {
		return nil, err
	}
	go l.keep()
	return l, nil
}

func (m *Manager) try(ctx context.Context, name string) (*Lease, error) {
	obj, err := m.cfg.Store.Get(ctx, Kind, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, m.create(ctx, name)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "step read, lease %s", name)
	}
	var old record
	if err := json.Unmarshal(obj.Data, &old); err != nil {
		return nil, errors.Annotatef(err, "step read, lease %s", name)
	}
	if !m.free(name, obj.Version, old) {
		return nil, errors.Annotatef(ErrHeldByOther, "step acquire, lease %s, peer %s", name, old.Holder)
	}
	return m.take(ctx, name, obj.Version)
}

// create makes an unheld object. It is not taken at once: it may have been
// deleted under a holder whose term still runs, so whoever wants it watches it
// for a full term first.
func (m *Manager) create(ctx context.Context, name string) error {
	value := record{Mark: m.mark(), TermMS: m.cfg.Term.Milliseconds()}
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = m.cfg.Store.Create(ctx, Kind, name, data)
	if err == nil || errors.Is(err, objectapi.ErrExists) {
		return errors.Annotatef(ErrHeldByOther, "step create, lease %s", name)
	}
	return errors.Annotatef(err, "step create, lease %s", name)
}

// free reports whether no other term can still run. The observation begins
// after the read was answered, the holder's term before its write was sent, so
// the observer always waits longer than the holder believes.
func (m *Manager) free(name string, version uint64, old record) bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	o, known := m.seen[name]
	if !known || o.version != version {
		m.seen[name] = observation{version: version, since: now, fence: max(o.fence, old.Fence)}
		return old.Released
	}
	term := time.Duration(old.TermMS) * time.Millisecond
	return old.Released || now.Sub(o.since) >= term+term/driftPart
}

// take writes a new term over an object of a known version. The fence is one
// more than that version: every fence is at most the version of its own write,
// versions are store-wide and never repeat, so fences rise even if the object
// was deleted and made anew.
func (m *Manager) take(ctx context.Context, name string, version uint64) (*Lease, error) {
	value := m.value(version + 1)
	start := m.now()
	obj, err := m.update(ctx, name, value, version)
	if errors.Is(err, objectapi.ErrOutcomeUnknown) {
		obj, err = m.settle(ctx, name, value.Mark)
	}
	if errors.Is(err, objectapi.ErrConflict) {
		return nil, errors.Annotatef(ErrHeldByOther, "step acquire, lease %s", name)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "step acquire, lease %s", name)
	}
	if m.countFromAnswer {
		start = m.now()
	}
	l := &Lease{
		m:       m,
		name:    name,
		fence:   value.Fence,
		done:    make(chan struct{}),
		version: obj.Version,
		until:   start.Add(m.cfg.Term),
		sent:    map[string]time.Time{},
	}
	if !l.Held() {
		return nil, errors.Annotatef(ErrNotHeld, "step acquire, lease %s: answered after the term", name)
	}
	m.checkFence(name, value.Fence)
	m.acquired.Inc(1)
	return l, nil
}

// settle reads back whether a write whose answer was lost took effect.
func (m *Manager) settle(ctx context.Context, name, mark string) (objectapi.Object, error) {
	obj, err := m.cfg.Store.Get(ctx, Kind, name)
	if err != nil {
		return obj, errors.Trace(err)
	}
	var value record
	if err := json.Unmarshal(obj.Data, &value); err != nil {
		return obj, errors.Trace(err)
	}
	if value.Mark != mark {
		return obj, objectapi.ErrConflict
	}
	return obj, nil
}

func (m *Manager) checkFence(name string, fence uint64) {
	m.mu.Lock()
	o := m.seen[name]
	before := o.fence
	o.fence = max(o.fence, fence)
	m.seen[name] = o
	m.mu.Unlock()
	fenceRises.Check(fence > before, "lease %s: fence %d after %d", name, fence, before)
}

func (m *Manager) update(ctx context.Context, name string, value record, version uint64) (objectapi.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, errors.Trace(err)
	}
	return m.cfg.Store.Update(ctx, Kind, name, data, version)
}

func (m *Manager) value(fence uint64) record {
	return record{
		Holder: m.cfg.Holder,
		Mark:   m.mark(),
		Fence:  fence,
		TermMS: m.cfg.Term.Milliseconds(),
	}
}

func (m *Manager) mark() string {
	return m.id + "/" + strconv.FormatUint(m.writes.Add(1), 36)
}
