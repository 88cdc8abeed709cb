package objectapi

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/internal/sleep"
)

// Defaults of a WatcherConfig.
const (
	// DefaultWatchWait is how long one watch waits for a change. Together with the call
	// timeout it limits how long a silently broken connection can hide a change. The
	// platform bills a waiting watch by the second, so a longer wait would save nothing.
	DefaultWatchWait = 3 * time.Second
	// DefaultWatchInterval is the minimum time between the starts of two watches.
	// Otherwise, in a burst of changes, each watch would return after one event. At two
	// watches a second, 430 watchers stay under half of two thousand reads a second.
	DefaultWatchInterval = 500 * time.Millisecond
	// DefaultWatchBackoffMax, with its jitter of half, limits how long a watcher
	// continues to sleep after an outage has ended.
	DefaultWatchBackoffMax = 3 * time.Second
)

// suspendPollInterval is the interval at which a suspended watch checks whether it is
// still suspended. It is a tenth of the one second by which a state may become older
// through the suspension.
const suspendPollInterval = 100 * time.Millisecond

// watchBackoffInitial is the first delay after a failure.
const watchBackoffInitial = 100 * time.Millisecond

// Sink receives the results of a Watcher, for each kind in order and never in
// two concurrent calls. It must not block for long, because the watches wait
// for it.
type Sink interface {
	// Snapshot receives the complete state of a kind at l.Revision.
	Snapshot(kind string, l Listing)
	// Events receives the changes of a kind up to l.Revision, oldest first. An
	// empty list confirms that nothing of the kind changed up to that
	// revision.
	Events(kind string, l Listing)
}

// WatcherConfig configures a Watcher. Zero values select the defaults.
type WatcherConfig struct {
	Store Store
	Kinds []string
	Sink  Sink
	// OnUnavailable, if set, is called when the store stops responding for a kind. The
	// next call of the Sink for the kind means that it responds again.
	OnUnavailable func(kind string)
	// OnCallFailed, if set, is called for each failed call for a kind.
	OnCallFailed func(kind string)
	// CurrentRevision, if set, returns a revision that the sink has reached by other
	// means than this Watcher. A watch that was suspended continues from there; from its
	// own last revision it would receive again what the sink has, or an error that the
	// revision is no longer in the history.
	CurrentRevision func(kind string) uint64
	// Suspended, if set, is called before each call for a kind. While it returns true
	// the call waits, because the sink is kept current by other means. A list that was
	// suspended is skipped if CurrentRevision then returns a revision. The first watch
	// after a suspension does not wait for a change, so that it returns the current
	// state soon.
	Suspended func(kind string) bool
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// EmptyWaitIsCurrent counts a watch that returned no change after its full wait as
	// confirmation of the state at the end of the wait; otherwise a watch confirms only
	// the state at its start. A watch then waits only until the last confirmation is
	// Wait old. Do not set it for data that must stay correct even if the object API
	// silently drops a change.
	EmptyWaitIsCurrent bool
	// ResponseTimeout limits how long after its wait a watch may take to respond. If it is
	// 0, the store's own timeout applies.
	ResponseTimeout time.Duration
	Interval        time.Duration
	// BackoffMax limits the delay between two attempts while the store is
	// unavailable.
	BackoffMax time.Duration
	Clock      boottime.Clock // boottime.Now if nil
	Metrics    metrics.Registry
	Log        logrus.FieldLogger
}

// Watcher follows some kinds of the object API: it lists each kind, watches it
// from the revision of the list, resumes after errors, and lists again after a
// gap or a watch without a response.
type Watcher struct {
	config WatcherConfig
	lists  metrics.Counter
	gaps   metrics.Counter
	mu     sync.Mutex // held for each call of the sink
}

// NewWatcher returns a Watcher; call Run to start it.
func NewWatcher(c WatcherConfig) *Watcher {
	c.Wait = cmp.Or(max(c.Wait, 0), DefaultWatchWait)
	c.Interval = cmp.Or(max(c.Interval, 0), DefaultWatchInterval)
	c.BackoffMax = cmp.Or(max(c.BackoffMax, 0), DefaultWatchBackoffMax)
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = quiet.Logger()
	}
	return &Watcher{
		config: c,
		lists:  metrics.GetOrRegisterCounter("platform.watcher.lists", c.Metrics),
		gaps:   metrics.GetOrRegisterCounter("platform.watcher.gaps", c.Metrics),
	}
}

// Run follows the kinds until ctx ends, each in its own goroutine because a
// watch of the object API covers one kind. Call it once.
func (w *Watcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range w.config.Kinds {
		group.Go(func() { w.watchKind(ctx, &kindWatch{Watcher: w, kind: kind}) })
	}
	group.Wait()
}

// kindWatch is the progress of the watch of one kind. Only one goroutine uses
// it.
type kindWatch struct {
	*Watcher
	kind        string
	revision    uint64
	failing     bool
	unanswered  bool       // the last watch got no response in time
	listSkipped bool       // the last list was skipped after a suspension
	reason      CallReason // of the next call
	currentAsOf boottime.Instant
}

func (w *Watcher) watchKind(ctx context.Context, k *kindWatch) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = watchBackoffInitial
	wait.MaxInterval = w.config.BackoffMax
	step := k.list
	k.reason = ReasonStart
	for ctx.Err() == nil {
		begun := time.Now()
		err := step(ctx)
		switch {
		case err == nil:
			k.recordResult(nil)
			wait.Reset()
			step, k.reason = k.watch, ReasonNextWatch
			sleep.For(ctx, w.config.Interval-time.Since(begun))
		case errors.Is(err, ErrGap):
			w.gaps.Inc(1)
			step, k.reason = k.list, ReasonGap
			sleep.For(ctx, wait.NextBackOff())
		case ctx.Err() == nil:
			k.recordResult(err)
			k.reason = ReasonRetry
			if k.unanswered {
				// The store may serve lists while it holds back the responses of watches.
				step = k.list
			}
			if w.config.OnCallFailed != nil {
				w.config.OnCallFailed(k.kind)
			}
			sleep.For(ctx, wait.NextBackOff())
		}
	}
}

func (k *kindWatch) list(ctx context.Context) error {
	k.unanswered = false
	suspended := k.waitWhileSuspended(ctx)
	if suspended && k.config.CurrentRevision != nil && k.config.CurrentRevision(k.kind) > 0 {
		k.listSkipped = true
		return nil
	}
	asked := k.config.Clock()
	l, err := k.config.Store.List(WithReason(ctx, k.reason), k.kind, "")
	if err != nil {
		return errors.Trace(err)
	}
	k.lists.Inc(1)
	l.CurrentAsOf = asked
	k.currentAsOf = asked
	k.revision = l.Revision
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Sink.Snapshot(k.kind, l)
	return nil
}

// waitWhileSuspended waits while the kind is kept current by other means, and reports whether
// it was.
func (k *kindWatch) waitWhileSuspended(ctx context.Context) bool {
	suspended := false
	for k.config.Suspended != nil && k.config.Suspended(k.kind) && sleep.For(ctx, suspendPollInterval) {
		suspended = true
	}
	return suspended
}

// watchWait returns how long the next watch waits: with EmptyWaitIsCurrent, until the
// last confirmation is Wait old.
func (k *kindWatch) watchWait() time.Duration {
	if !k.config.EmptyWaitIsCurrent {
		return k.config.Wait
	}
	return max(k.config.Wait-k.config.Clock().Sub(k.currentAsOf), 0)
}

func (k *kindWatch) watch(ctx context.Context) error {
	resumed := k.waitWhileSuspended(ctx) || k.listSkipped
	k.listSkipped = false
	wait := k.watchWait()
	if resumed {
		wait, k.reason = 0, ReasonResumeWatch
		if k.config.CurrentRevision != nil {
			k.revision = max(k.revision, k.config.CurrentRevision(k.kind))
		}
	}
	asked := k.config.Clock()
	l, err := k.callWatch(ctx, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if k.config.EmptyWaitIsCurrent && len(l.Objects) == 0 && k.config.Clock().Sub(asked) >= wait {
		asked = asked.Add(wait)
	}
	l.CurrentAsOf = asked
	k.currentAsOf = asked
	k.revision = l.Revision
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Sink.Events(k.kind, l)
	return nil
}

// callWatch calls the store once and records whether it failed to respond in time.
func (k *kindWatch) callWatch(ctx context.Context, wait time.Duration) (Listing, error) {
	call, cancel := ctx, context.CancelFunc(func() {})
	if k.config.ResponseTimeout > 0 {
		call, cancel = context.WithTimeout(ctx, wait+k.config.ResponseTimeout)
	}
	defer cancel()
	l, err := k.config.Store.Watch(WithReason(call, k.reason), k.kind, k.revision, wait)
	k.unanswered = errors.Is(err, context.DeadlineExceeded) || err != nil && call.Err() != nil
	return l, err
}

// recordResult logs the first failure of an outage and its end.
func (k *kindWatch) recordResult(err error) {
	log := k.config.Log.WithField("kind", k.kind)
	switch {
	case err != nil && !k.failing:
		log.WithError(err).Warn("watch of the object API lost")
		if k.config.OnUnavailable != nil {
			k.config.OnUnavailable(k.kind)
		}
	case err == nil && k.failing:
		log.WithFields(logrus.Fields{"revision": NumberOf(k.revision), "store_era": EraOf(k.revision)}).Info("watch of the object API resumed")
	}
	k.failing = err != nil
}
