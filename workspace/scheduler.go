package workspace

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/request"
)

// Reasons of refusals, as returned to callers.
const (
	ReasonDeadline  = "deadline_unmeetable"
	ReasonQueueFull = "queue_full"
	ReasonRate      = "rate_limited"
	ReasonCancelled = "cancelled"
	ReasonClosed    = "draining"
)

const stepQueue = "queue"

// maxWorkspaces is the number of workspaces at which idle ones without a declared
// policy are dropped.
const maxWorkspaces = 4_096

// DefaultCapacity is the capacity of a pool until SetCapacity is called for it.
var DefaultCapacity = Capacity{Slots: 64}

var invariantCounts = invariant.New("workspace.scheduler.counts",
	"running requests and tokens of a pool are never negative")

// Options configures a Scheduler.
type Options struct {
	Now     func() time.Time // nil: time.Now
	Metrics metrics.Registry // nil: counters are discarded
	// Policy applies to workspaces without a policy of their own.
	Policy Policy
}

// Scheduler decides which requests may start and when. It is safe for concurrent use.
type Scheduler struct {
	now           func() time.Time
	metrics       metrics.Registry
	defaultPolicy Policy

	mu         sync.Mutex // guards the fields below and every queue, flow and waiter
	entries    int
	closed     bool
	arrivals   uint64
	queues     map[queueKey]*queue
	workspaces map[string]*workspace
}

// workspace is the state of one workspace at this entry.
type workspace struct {
	name         string
	policy       Policy
	declared     bool
	concurrency  int // this entry's share of the limit
	running      int
	waiting      int
	rateLimiter  tokenBucket
	retryBalance float64
}

// NewScheduler returns a Scheduler for a single entry; see SetEntries.
func NewScheduler(opts Options) *Scheduler {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Scheduler{
		now:           opts.Now,
		metrics:       opts.Metrics,
		defaultPolicy: opts.Policy.withDefaults(),
		entries:       1,
		queues:        map[queueKey]*queue{},
		workspaces:    map[string]*workspace{},
	}
}

// queueKey identifies a queue: the requests of one length class for one pool. Each
// queue has its own dispatch window. With one window for all classes, a few long
// prompts hold a large part of it for many seconds and block the short requests
// behind them, whose first tokens are then seconds late while engines are idle.
type queueKey struct {
	pool  string
	class request.Class
}

// SetCapacity sets the dispatch window of one length class of a pool. Running
// requests are not affected.
func (s *Scheduler) SetCapacity(pool string, class request.Class, c Capacity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(queueKey{pool, class})
	q.capacity = c
	s.dispatch(q)
}

// SetPolicy sets a workspace's policy.
func (s *Scheduler) SetPolicy(name string, p Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workspace(name)
	ws.policy = p.withDefaults()
	ws.declared = true
	ws.concurrency = entryConcurrency(ws.policy.Concurrency, s.entries)
	s.dispatchAll()
}

// RemovePolicy resets a workspace to Options.Policy.
func (s *Scheduler) RemovePolicy(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workspace(name)
	ws.policy = s.defaultPolicy
	ws.declared = false
	ws.concurrency = entryConcurrency(ws.policy.Concurrency, s.entries)
	s.dispatchAll()
}

// SetEntries sets the number of live entries. Each enforces an equal share of
// every limit times ShareHeadroom.
func (s *Scheduler) SetEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = max(1, n)
	for _, ws := range s.workspaces {
		ws.concurrency = entryConcurrency(ws.policy.Concurrency, s.entries)
	}
	s.dispatchAll()
}

// Submit waits until the item may be dispatched. A failure is always not_run. The
// caller must release the ticket when the request has ended, in every case.
func (s *Scheduler) Submit(ctx context.Context, it Item) (Ticket, *request.Failure) {
	w, f := s.enqueue(it)
	if f != nil {
		return Ticket{}, s.countRefusal(f)
	}
	s.await(ctx, w)
	if w.failure != nil {
		return Ticket{}, s.countRefusal(w.failure)
	}
	return Ticket{&grant{scheduler: s, waiter: w}}, nil
}

// enqueue checks the limits and queues the item, or starts it immediately.
func (s *Scheduler) enqueue(it Item) (*waiter, *request.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.closed {
		return nil, newRefusal(request.StatusServiceUnavailable, ReasonClosed, 0)
	}
	it.Cost = max(1, it.Cost)
	ws := s.workspace(it.Workspace)
	q := s.queue(queueKey{it.Pool, it.Class})
	s.arrivals++
	w := newWaiter(it, s.arrivals, now)
	flow := q.flow(ws)
	if f := s.checkAdmission(ws, q, flow, w, now); f != nil {
		flow.dropIfIdle()
		return nil, f
	}
	ws.retryBalance = min(retryBurst, ws.retryBalance+max(0, ws.policy.RetryRatio))
	flow.push(w)
	s.dispatch(q)
	return w, nil
}

// checkAdmission refuses a request that can't be served in time or within the limits.
// The rate limit is checked last, so that a request refused for another reason isn't
// charged.
func (s *Scheduler) checkAdmission(ws *workspace, q *queue, f *flow, w *waiter, now time.Time) *request.Failure {
	if ws.waiting >= ws.policy.MaxQueue {
		return newRefusal(request.StatusTooManyRequests, ReasonQueueFull, q.estimatedWait(f, w, now)+time.Second)
	}
	wait := q.estimatedWait(f, w, now)
	if start := w.latestStart(); !start.IsZero() && now.Add(wait).After(start) {
		return newRefusal(request.StatusServiceUnavailable, ReasonDeadline, wait+time.Second)
	}
	if rate := entryShare(ws.policy.TokensPerSecond, s.entries); rate > 0 {
		burst := entryShare(ws.policy.BurstTokens, s.entries)
		if wait, ok := ws.rateLimiter.take(float64(w.Cost), rate, burst, now); !ok {
			return newRefusal(request.StatusTooManyRequests, ReasonRate, wait)
		}
	}
	return nil
}

// await waits until the item is granted or refused. It refuses the item when the
// context ends or its deadline can no longer be met.
func (s *Scheduler) await(ctx context.Context, w *waiter) {
	var latestStart <-chan time.Time
	if start := w.latestStart(); !start.IsZero() {
		timer := time.NewTimer(start.Sub(s.now()))
		defer timer.Stop()
		latestStart = timer.C
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		s.refuseIfWaiting(w, newRefusal(request.StatusServiceUnavailable, ReasonCancelled, 0))
	case <-latestStart:
		s.refuseIfWaiting(w, newRefusal(request.StatusServiceUnavailable, ReasonDeadline, time.Second))
	}
}

// refuseIfWaiting refuses an item that still waits. An item that was granted in the
// meantime stays granted: Submit returns its ticket, and the caller releases it.
func (s *Scheduler) refuseIfWaiting(w *waiter, f *request.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.state != waiting {
		return
	}
	w.flow.remove(w)
	w.resolve(refused, f)
	w.flow.dropIfIdle()
}

// Close refuses all waiting and future items. Running requests are not affected.
func (s *Scheduler) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, q := range s.queues {
		for _, f := range q.flows {
			s.refuseAll(f)
		}
	}
}

func (s *Scheduler) refuseAll(f *flow) {
	for len(f.waiting) > 0 {
		w := f.waiting[0]
		f.remove(w)
		w.resolve(refused, newRefusal(request.StatusServiceUnavailable, ReasonClosed, 0))
	}
}

// AllowRetry takes one retry from the workspace's retry budget, which grows with its
// requests, and reports whether one was available. Without a budget, retries would
// multiply the load during an outage.
func (s *Scheduler) AllowRetry(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workspace(name)
	if ws.policy.RetryRatio < 0 || ws.retryBalance < 1 {
		return false
	}
	ws.retryBalance--
	return true
}

// Depth returns the number of waiting and running requests in all pools.
func (s *Scheduler) Depth() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ws := range s.workspaces {
		waiting += ws.waiting
		running += ws.running
	}
	return waiting, running
}

// dispatch starts all requests of a queue that may start. The caller holds mu.
func (s *Scheduler) dispatch(q *queue) {
	for q.hasRoom() {
		f := q.nextFlow()
		if f == nil {
			return
		}
		f.start(s.now()).resolve(granted, nil)
	}
}

func (s *Scheduler) dispatchAll() {
	for _, q := range s.queues {
		s.dispatch(q)
	}
}

func (s *Scheduler) queue(l queueKey) *queue {
	q := s.queues[l]
	if q == nil {
		q = newQueue(DefaultCapacity, s.now())
		s.queues[l] = q
	}
	return q
}

func (s *Scheduler) workspace(name string) *workspace {
	ws := s.workspaces[name]
	if ws == nil {
		if len(s.workspaces) >= maxWorkspaces {
			s.dropIdleWorkspaces()
		}
		ws = &workspace{name: name, policy: s.defaultPolicy, retryBalance: retryBurst}
		ws.concurrency = entryConcurrency(ws.policy.Concurrency, s.entries)
		s.workspaces[name] = ws
	}
	return ws
}

// dropIdleWorkspaces drops the workspaces that have no declared policy and no
// requests. Otherwise callers could exhaust the memory with invented names.
func (s *Scheduler) dropIdleWorkspaces() {
	for name, ws := range s.workspaces {
		if ws.declared || ws.waiting > 0 || ws.running > 0 {
			continue
		}
		for _, q := range s.queues {
			delete(q.flows, name)
		}
		delete(s.workspaces, name)
	}
}

func (s *Scheduler) countRefusal(f *request.Failure) *request.Failure {
	metrics.GetOrRegisterCounter("workspace.refused."+f.Reason, s.metrics).Inc(1)
	return f
}

func newRefusal(status int, reason string, retryAfter time.Duration) *request.Failure {
	return &request.Failure{
		Code:       request.NotRun,
		Reason:     reason,
		Status:     status,
		RetryAfter: retryAfter,
		Step:       stepQueue,
	}
}
