package workspace

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/placement"
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
	// Rand returns a random number from 0 to 1, with which the delays of refused callers are
	// spread; nil: math/rand.
	Rand func() float64
}

// Scheduler decides which requests may start and when. It is safe for concurrent use.
type Scheduler struct {
	now           func() time.Time
	metrics       metrics.Registry
	defaultPolicy Policy
	rand          func() float64
	afterFunc     func(time.Duration, func()) // time.AfterFunc but in tests

	mu         sync.Mutex // guards the fields below and every queue, flow and waiter
	entries    int
	closed     bool
	arrivals   uint64
	queues     map[queueKey]*queue
	workspaces map[string]*workspace
	weights    map[uint32]float64 // of declared policies, by placement.WorkspaceKey
}

// workspace is the state of one workspace at this entry.
type workspace struct {
	name         string
	key          uint32 // placement.WorkspaceKey
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
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	return &Scheduler{
		now:           opts.Now,
		rand:          opts.Rand,
		afterFunc:     func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		metrics:       opts.Metrics,
		defaultPolicy: opts.Policy.withDefaults(),
		entries:       1,
		queues:        map[queueKey]*queue{},
		workspaces:    map[string]*workspace{},
		weights:       map[uint32]float64{},
	}
}

// queueKey identifies a queue: the requests of one length class for one pool. Each
// queue has its own dispatch window. With one window for all classes, a few long
// prompts hold a large part of it for many seconds and block the short requests
// behind them, whose first tokens are then seconds late while engines are idle.
type queueKey struct {
	pool    string
	class   request.Class
	byTurns bool // requests wait for turns, not for a window
}

// SetCapacity sets the dispatch window of one length class of a pool. Running
// requests are not affected.
func (s *Scheduler) SetCapacity(pool string, class request.Class, c Capacity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(queueKey{pool: pool, class: class})
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
	s.weights[ws.key] = ws.policy.Weight
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
	delete(s.weights, ws.key)
	ws.concurrency = entryConcurrency(ws.policy.Concurrency, s.entries)
	s.dispatchAll()
}

// SetEntries sets the number of live entries. Each enforces an equal share of
// every limit times ShareHeadroom.
func (s *Scheduler) SetEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = max(1, n)
	for _, q := range s.queues {
		if q.turns != nil {
			q.turns.entries = s.entries
		}
	}
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
	s.await(ctx, w, nil)
	if w.failure != nil {
		return Ticket{}, s.countRefusal(w.failure)
	}
	return Ticket{&grant{scheduler: s, waiter: w}}, nil
}

// enqueue checks the limits and queues the item for a window, or starts it immediately.
func (s *Scheduler) enqueue(it Item) (*waiter, *request.Failure) {
	return s.enqueueIn(queueKey{pool: it.Pool, class: it.Class}, it)
}

// enqueueIn checks the limits and queues the item, or grants it immediately.
func (s *Scheduler) enqueueIn(key queueKey, it Item) (*waiter, *request.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.closed {
		return nil, newRefusal(request.StatusServiceUnavailable, ReasonClosed, 0)
	}
	it.Cost = max(1, it.Cost)
	ws := s.workspace(it.Workspace)
	q := s.queue(key)
	q.tick(now)
	s.arrivals++
	w := newWaiter(it, s.arrivals, now)
	flow := q.flow(ws)
	if f := s.checkAdmission(ws, q, flow, w, now); f != nil {
		flow.dropIfIdle()
		return nil, f
	}
	if q.turns != nil && w.isLate(now) {
		w.tier = late
		q.turns.noteLate(now)
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
	if ws.waiting >= ws.policy.MaxQueue || q.turns != nil && f.exceedsDepth() {
		return newRefusal(request.StatusTooManyRequests, ReasonQueueFull, s.returnDelay(q, f, w, now))
	}
	wait := q.estimatedWait(f, w, now)
	if w.misses(wait, now) {
		return newRefusal(request.StatusServiceUnavailable, ReasonDeadline, s.returnDelay(q, f, w, now))
	}
	if rate := entryShare(ws.policy.TokensPerSecond, s.entries); rate > 0 {
		burst := entryShare(ws.policy.BurstTokens, s.entries)
		if wait, ok := ws.rateLimiter.take(float64(w.Cost), rate, burst, now); !ok {
			return newRefusal(request.StatusTooManyRequests, ReasonRate, wait)
		}
	}
	return nil
}

// returnDelay returns the delay after which a caller that is refused now may retry.
func (s *Scheduler) returnDelay(q *queue, f *flow, w *waiter, now time.Time) time.Duration {
	if q.turns == nil {
		return q.estimatedWait(f, w, now) + time.Second
	}
	fresh := newWaiter(Item{ExpectedDuration: w.ExpectedDuration, Subject: w.Subject}, w.arrival, now)
	return q.turns.returns.delay(q.estimatedTurn(f, fresh, now), q.turns.rate.perSecond(s.entries), now, s.rand())
}

// await waits until the item is granted or refused. It refuses the item when the
// context ends or its deadline can no longer be met. When lookAgain fires, it may have the
// turn again.
func (s *Scheduler) await(ctx context.Context, w *waiter, lookAgain <-chan time.Time) {
	var latestStart <-chan time.Time
	if start := w.latestStart(); !start.IsZero() {
		timer := time.NewTimer(start.Sub(s.now()))
		defer timer.Stop()
		latestStart = timer.C
	}
	for {
		select {
		case <-w.done:
			return
		case <-ctx.Done():
			s.refuseIfWaiting(w, ReasonCancelled)
			return
		case <-latestStart:
			s.refuseIfWaiting(w, ReasonDeadline)
			return
		case <-lookAgain:
			lookAgain = nil
			s.lookAgain(w)
		}
	}
}

// refuseIfWaiting refuses an item that still waits. An item that was granted in the
// meantime stays granted: Submit returns its ticket, and the caller releases it.
func (s *Scheduler) refuseIfWaiting(w *waiter, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.state != waiting {
		return
	}
	s.refuse(w, reason, s.now())
	s.dispatch(w.flow.queue)
}

// refuse removes a waiting item from its queue and refuses it.
func (s *Scheduler) refuse(w *waiter, reason string, now time.Time) {
	f, q := w.flow, w.flow.queue
	delay := time.Duration(0)
	switch {
	case reason != ReasonDeadline:
	case q.turns == nil:
		delay = time.Second // it has waited for as long as it could
	default:
		delay = s.returnDelay(q, f, w, now)
	}
	q.tick(now)
	f.remove(w)
	w.resolve(refused, newRefusal(request.StatusServiceUnavailable, reason, delay))
	f.dropIfIdle()
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
	if f.queue.turns != nil {
		f.queue.open()
	}
	for f.queued[onTime]+f.queued[late] > 0 {
		w := f.first()
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

// dispatch grants all requests of a queue that may start, or the next turn. The caller
// holds mu.
func (s *Scheduler) dispatch(q *queue) {
	if q.turns != nil {
		s.refuseHopeless(q, s.now())
	}
	for q.hasRoom() {
		f := q.nextFlow()
		if f == nil {
			return
		}
		now := s.now()
		if q.turns == nil {
			f.start(now).resolve(granted, nil)
			continue
		}
		w := f.first()
		became := f.demote(w, now)
		switch {
		case w.expired(now) || became && w.misses(q.estimatedTurn(f, w, now), now):
			s.refuse(w, ReasonDeadline, now)
		case !became && s.yieldsRoom(q, w):
			return
		case !became:
			f.giveTurn().resolve(granted, nil)
		}
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
		if l.byTurns {
			q.turns = newTurnState(s.entries, s.now())
			s.exportGauges(l, q)
		}
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
		ws = &workspace{name: name, key: placement.WorkspaceKey(name), policy: s.defaultPolicy, retryBalance: retryBurst}
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
			if f := q.flows[name]; f != nil {
				f.drop()
			}
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
