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
	// DefaultWatchWait is how long one watch waits for a change. With the call
	// timeout it bounds how long a connection that went dead without a sign can
	// hide a change; the platform counts a waiting watch by the second, so
	// that a longer wait would save nothing.
	DefaultWatchWait = 3 * time.Second
	// DefaultWatchInterval is the least time between the beginnings of two watches. In
	// a burst of changes each watch would else answer after one event; at two a second
	// 430 watchers stay under half of two thousand reads a second.
	DefaultWatchInterval = 500 * time.Millisecond
	// DefaultWatchBackoffMax, with its jitter of half, bounds how long a watcher
	// sleeps on after an outage has ended.
	DefaultWatchBackoffMax = 3 * time.Second
)

// holdPoll is how often a watch that is put off looks whether it still is: a tenth of
// the second by which a state may then be older.
const holdPoll = 100 * time.Millisecond

// watchBackoffInitial is the first wait after a failure.
const watchBackoffInitial = 100 * time.Millisecond

// Sink takes what a Watcher brings, of each kind in order and never two calls at
// a time. It must not block for long: the watches wait.
type Sink interface {
	// Snapshot is the whole state of a kind at l.Revision.
	Snapshot(kind string, l Listing)
	// Events are the changes of a kind up to l.Revision, oldest first. An empty
	// list confirms that nothing of the kind changed up to then.
	Events(kind string, l Listing)
}

// WatcherConfig sets up a Watcher. Zero values take the defaults.
type WatcherConfig struct {
	Store Store
	Kinds []string
	Sink  Sink
	// OnUnavailable, if set, is told when the store stops answering for a kind; the next
	// call of the Sink for the kind says that it answers again.
	OnUnavailable func(kind string)
	// OnCallFailed, if set, is told of each call for a kind that failed.
	OnCallFailed func(kind string)
	// CurrentRevision, if set, returns a revision that the sink is known to be at, in another way
	// than by this Watcher: a watch that was put off goes on from there. From its own last
	// place it would be told again what the sink has, or that its place is forgotten.
	CurrentRevision func(kind string) uint64
	// Suspended, if set, is asked before each call for a kind: while it is true the call waits,
	// because the sink is kept current in another way. A list that waited until After has
	// a revision isn't needed any more. The first watch after that doesn't wait for a
	// change, so that it soon tells how things are.
	Suspended func(kind string) bool
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// EmptyWaitIsCurrent takes a watch that came back without a change, after all of its wait, for
	// proof of how things were at the end of the wait; else each watch proves only how they
	// were when it was asked. A watch then waits only until the last proof is Wait old. Not
	// for what has to hold against an object API that drops a change without a word.
	EmptyWaitIsCurrent bool
	Interval           time.Duration
	// BackoffMax bounds the wait between two tries while the store is away.
	BackoffMax time.Duration
	Clock      boottime.Clock // boottime.Now by default
	Metrics    metrics.Registry
	Log        logrus.FieldLogger
}

// Watcher follows some kinds of the object API: it lists each, then watches it
// from there, resumes after errors, and lists again after a gap.
type Watcher struct {
	config WatcherConfig
	lists  metrics.Counter
	gaps   metrics.Counter
	mu     sync.Mutex // held for each call of the sink
}

// NewWatcher returns a Watcher; Run makes it work.
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

// Run follows the kinds until ctx ends, each in a goroutine of its own: the
// object API watches one kind a call. Call it once.
func (w *Watcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range w.config.Kinds {
		group.Go(func() { w.follow(ctx, &kindWatch{Watcher: w, kind: kind}) })
	}
	group.Wait()
}

// kindWatch is how far the watch of one kind has come. One goroutine owns it.
type kindWatch struct {
	*Watcher
	kind    string
	after   uint64
	failing bool
	held    bool       // the last watch was put off
	reason  CallReason // of the next call
	proved  boottime.Instant
}

func (w *Watcher) follow(ctx context.Context, k *kindWatch) {
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
			k.noteState(nil)
			wait.Reset()
			step, k.reason = k.watch, ReasonNextWatch
			sleep.For(ctx, w.config.Interval-time.Since(begun))
		case errors.Is(err, ErrGap):
			w.gaps.Inc(1)
			step, k.reason = k.list, ReasonGap
			sleep.For(ctx, wait.NextBackOff())
		case ctx.Err() == nil:
			k.noteState(err)
			k.reason = ReasonRetry
			if w.config.OnCallFailed != nil {
				w.config.OnCallFailed(k.kind)
			}
			sleep.For(ctx, wait.NextBackOff())
		}
	}
}

func (k *kindWatch) list(ctx context.Context) error {
	k.hold(ctx)
	if k.held && k.config.CurrentRevision != nil && k.config.CurrentRevision(k.kind) > 0 {
		return nil
	}
	asked := k.config.Clock()
	l, err := k.config.Store.List(WithReason(ctx, k.reason), k.kind, "")
	if err != nil {
		return errors.Trace(err)
	}
	k.lists.Inc(1)
	l.CurrentAsOf = asked
	k.proved = asked
	k.after = l.Revision
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Sink.Snapshot(k.kind, l)
	return nil
}

// hold waits while the kind is kept current in another way. Where it has waited for a list
// that turned out not to be needed, the watch behind it counts as put off too.
func (k *kindWatch) hold(ctx context.Context) {
	k.held = k.held && k.after == 0
	for k.config.Suspended != nil && k.config.Suspended(k.kind) && sleep.For(ctx, holdPoll) {
		k.held = true
	}
}

// wait is how long the next watch waits: until the last proof is as old as it may be.
func (k *kindWatch) wait() time.Duration {
	if !k.config.EmptyWaitIsCurrent {
		return k.config.Wait
	}
	return max(k.config.Wait-k.config.Clock().Sub(k.proved), 0)
}

func (k *kindWatch) watch(ctx context.Context) error {
	k.hold(ctx)
	wait := k.wait()
	if k.held {
		wait, k.reason = 0, ReasonResumeWatch
		if k.config.CurrentRevision != nil {
			k.after = max(k.after, k.config.CurrentRevision(k.kind))
		}
	}
	asked := k.config.Clock()
	l, err := k.config.Store.Watch(WithReason(ctx, k.reason), k.kind, k.after, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if k.config.EmptyWaitIsCurrent && len(l.Objects) == 0 && k.config.Clock().Sub(asked) >= wait {
		asked = asked.Add(wait)
	}
	l.CurrentAsOf = asked
	k.proved = asked
	k.after = l.Revision
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Sink.Events(k.kind, l)
	return nil
}

// noteState logs the first failure of an outage and its end.
func (k *kindWatch) noteState(err error) {
	log := k.config.Log.WithField("kind", k.kind)
	switch {
	case err != nil && !k.failing:
		log.WithError(err).Warn("watch of the object API lost")
		if k.config.OnUnavailable != nil {
			k.config.OnUnavailable(k.kind)
		}
	case err == nil && k.failing:
		log.WithField("revision", k.after).Info("watch of the object API resumed")
	}
	k.failing = err != nil
}
