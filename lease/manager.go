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
	// ErrNotHeld means that the term is over. Orders under its fence must
	// stop.
	ErrNotHeld = errors.ConstError("lease not held")
	// ErrHeldByOther means that the term of another holder may not have ended.
	ErrHeldByOther = errors.ConstError("lease held by other")
)

// DefaultTerm is the length of a term if Config.Term is zero.
const DefaultTerm = 10 * time.Second

const (
	// renewalsPerTerm is the number of renewals in a term. Two may fail before
	// the term ends.
	renewalsPerTerm = 3
	// driftDivisor is the divisor of the term that gives the extra time by
	// which a contender waits longer than the term, since clocks run at
	// slightly different rates.
	driftDivisor = 100
)

var fenceRises = invariant.New("lease.fence_rises",
	"each new term's fencing number is greater than any that this process saw of the lease")

// Config configures a Manager.
type Config struct {
	Store         objectapi.Store
	Holder        string        // name stored in the object for operators; need not be unique
	Term          time.Duration // DefaultTerm if zero
	RenewInterval time.Duration // interval between renewals; a third of Term if zero
	Logger        logrus.FieldLogger
	Metrics       metrics.Registry
}

// Manager acquires leases for one process. It is safe for concurrent use.
type Manager struct {
	cfg           Config
	log           logrus.FieldLogger
	id            string // unique to this manager, part of every mark
	writes        atomic.Uint64
	now           func() time.Time
	acquired      metrics.Counter
	renewals      metrics.Counter
	renewFailures metrics.Counter
	ended         metrics.Counter

	// countTermFromResponse counts each term from after the response of its
	// write. Tests set it to show that they detect this fault.
	countTermFromResponse bool

	mu           sync.Mutex // guards observations
	observations map[string]observation
}

// observation records since when this process has observed an object
// unchanged, by its own clock.
type observation struct {
	version        uint64
	unchangedSince time.Time
	maxFence       uint64
}

// leaseRecord is the stored value of a lease object.
type leaseRecord struct {
	Holder   string `json:"holder,omitempty"`
	Mark     string `json:"mark"` // unique to the write
	Fence    uint64 `json:"fence"`
	TermMS   int64  `json:"term_ms"`
	Released bool   `json:"released,omitempty"`
}

// releasedIn reports whether the record, read at a version, is of a term that began and was released in
// the same era of the store. In an older copy the lease may be released while a term that the store has
// lost is running.
func (r leaseRecord) releasedIn(version uint64) bool {
	return r.Released && objectapi.EraOf(r.Fence) == objectapi.EraOf(version)
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
		cfg:           cfg,
		log:           cfg.Logger,
		id:            uuid.NewString(),
		now:           time.Now,
		acquired:      metrics.GetOrRegisterCounter("lease.acquired", cfg.Metrics),
		renewals:      metrics.GetOrRegisterCounter("lease.renewed", cfg.Metrics),
		renewFailures: metrics.GetOrRegisterCounter("lease.renew_failed", cfg.Metrics),
		ended:         metrics.GetOrRegisterCounter("lease.ended", cfg.Metrics),
		observations:  map[string]observation{},
	}
}

// Acquire waits until it holds the lease or ctx is done. The error is that of
// ctx, annotated with the last failure.
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

// TryAcquire reads the lease once and acquires it if no other term can be
// running: the lease was released, or this process has observed it unchanged
// for a full term. Otherwise it returns ErrHeldByOther; call it again later on
// the same Manager.
func (m *Manager) TryAcquire(ctx context.Context, name string) (*Lease, error) {
	l, err := m.tryAcquire(ctx, name)
	if err != nil {
		return nil, err
	}
	go l.renewLoop()
	return l, nil
}

func (m *Manager) tryAcquire(ctx context.Context, name string) (*Lease, error) {
	obj, err := m.cfg.Store.Get(ctx, Kind, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, m.create(ctx, name)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "step read, lease %s", name)
	}
	var old leaseRecord
	if err := json.Unmarshal(obj.Data, &old); err != nil {
		return nil, errors.Annotatef(err, "step read, lease %s", name)
	}
	if !m.isFree(name, obj.Version, old) {
		return nil, errors.Annotatef(ErrHeldByOther, "step acquire, lease %s, peer %s", name, old.Holder)
	}
	return m.writeTerm(ctx, name, obj.Version)
}

// create writes an object without a holder. It does not acquire the lease: the
// object may have been deleted while a holder's term was running, so every
// contender first observes it for a full term.
func (m *Manager) create(ctx context.Context, name string) error {
	value := leaseRecord{Mark: m.nextMark(), TermMS: m.cfg.Term.Milliseconds()}
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

// isFree reports whether no other term can be running. The observation begins
// after the response of the read and the holder's term before its write was
// sent, so the observer always waits longer than the holder's term.
func (m *Manager) isFree(name string, version uint64, old leaseRecord) bool {
	now := m.now()
	released := old.releasedIn(version)
	m.mu.Lock()
	defer m.mu.Unlock()
	o, known := m.observations[name]
	if !known || o.version != version {
		m.observations[name] = observation{version: version, unchangedSince: now, maxFence: max(o.maxFence, old.Fence)}
		return released
	}
	term := time.Duration(old.TermMS) * time.Millisecond
	return released || now.Sub(o.unchangedSince) >= term+term/driftDivisor
}

// writeTerm writes a new term over an object of a known version. The fence is
// one more than that version: every fence is at most the version of its own
// write, versions are store-wide and never repeat, so fences increase even if
// the object was deleted and recreated.
func (m *Manager) writeTerm(ctx context.Context, name string, version uint64) (*Lease, error) {
	value := m.newRecord(version + 1)
	start := m.now()
	obj, err := m.updateRecord(ctx, name, value, version)
	if errors.Is(err, objectapi.ErrOutcomeUnknown) {
		obj, err = m.readBackWrite(ctx, name, value.Mark)
	}
	if errors.Is(err, objectapi.ErrConflict) {
		return nil, errors.Annotatef(ErrHeldByOther, "step acquire, lease %s", name)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "step acquire, lease %s", name)
	}
	if m.countTermFromResponse {
		start = m.now()
	}
	l := &Lease{
		manager:           m,
		name:              name,
		fence:             value.Fence,
		done:              make(chan struct{}),
		version:           obj.Version,
		expiresAt:         start.Add(m.cfg.Term),
		unconfirmedWrites: map[string]time.Time{},
	}
	if !l.Held() {
		return nil, errors.Annotatef(ErrNotHeld, "step acquire, lease %s: response received after the term", name)
	}
	m.checkFence(name, value.Fence)
	m.acquired.Inc(1)
	return l, nil
}

// readBackWrite reads back whether a write whose response was lost took
// effect. It returns ErrConflict if the object has another mark.
func (m *Manager) readBackWrite(ctx context.Context, name, mark string) (objectapi.Object, error) {
	obj, err := m.cfg.Store.Get(ctx, Kind, name)
	if err != nil {
		return obj, errors.Trace(err)
	}
	var value leaseRecord
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
	o := m.observations[name]
	before := o.maxFence
	o.maxFence = max(o.maxFence, fence)
	m.observations[name] = o
	m.mu.Unlock()
	fenceRises.Check(fence > before, "lease %s: fence %d after %d", name, fence, before)
}

func (m *Manager) updateRecord(ctx context.Context, name string, value leaseRecord, version uint64) (objectapi.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, errors.Trace(err)
	}
	return m.cfg.Store.Update(ctx, Kind, name, data, version)
}

func (m *Manager) newRecord(fence uint64) leaseRecord {
	return leaseRecord{
		Holder: m.cfg.Holder,
		Mark:   m.nextMark(),
		Fence:  fence,
		TermMS: m.cfg.Term.Milliseconds(),
	}
}

// nextMark returns a mark that no other write has.
func (m *Manager) nextMark() string {
	return m.id + "/" + strconv.FormatUint(m.writes.Add(1), 36)
}
