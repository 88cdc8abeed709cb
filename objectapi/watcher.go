package objectapi

import (
	"cmp"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

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
	// DefaultWatchInterval is the least time between two watches. In a burst
	// of changes each watch would else answer after one event; at two a second
	// 430 watchers stay under half of two thousand reads a second.
	DefaultWatchInterval = 500 * time.Millisecond
)

const (
	watchBackoffInitial = 100 * time.Millisecond
	// watchBackoffMax, with its jitter of half, bounds how long a watcher
	// sleeps on after an outage has ended.
	watchBackoffMax = 3 * time.Second
)

// Sink takes what a Watcher brings, in order and from one goroutine. It must
// not block for long: the watch waits.
type Sink interface {
	// Snapshot is the whole state of a kind at l.Revision.
	Snapshot(kind string, l Listing)
	// Events are the changes up to l.Revision, oldest first. An empty list
	// confirms that nothing changed up to then.
	Events(l Listing)
}

// WatcherConfig sets up a Watcher. Zero values take the defaults.
type WatcherConfig struct {
	Store    Store
	Kinds    []string
	Sink     Sink
	Wait     time.Duration
	Interval time.Duration
	Metrics  metrics.Registry
	Log      logrus.FieldLogger
}

// Watcher follows some kinds of the object API: it lists them, then watches
// from there, resumes after errors, and lists again after a gap.
type Watcher struct {
	config  WatcherConfig
	listed  map[string]uint64 // per kind, the revision of its last snapshot
	after   uint64
	lists   metrics.Counter
	gaps    metrics.Counter
	failing bool
}

// NewWatcher returns a Watcher; Run makes it work.
func NewWatcher(c WatcherConfig) *Watcher {
	c.Wait = cmp.Or(max(c.Wait, 0), DefaultWatchWait)
	c.Interval = cmp.Or(max(c.Interval, 0), DefaultWatchInterval)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = quiet.Logger()
	}
	return &Watcher{
		config: c,
		listed: map[string]uint64{},
		lists:  metrics.GetOrRegisterCounter("platform.watcher.lists", c.Metrics),
		gaps:   metrics.GetOrRegisterCounter("platform.watcher.gaps", c.Metrics),
	}
}

// Run follows the kinds until ctx ends. Call it once.
func (w *Watcher) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = watchBackoffInitial
	wait.MaxInterval = watchBackoffMax
	step := w.listAll
	for ctx.Err() == nil {
		err := step(ctx)
		switch {
		case err == nil:
			w.noteState(nil)
			wait.Reset()
			step = w.watchOnce
			sleep.For(ctx, w.config.Interval)
		case errors.Is(err, ErrGap):
			w.gaps.Inc(1)
			step = w.listAll
			sleep.For(ctx, wait.NextBackOff())
		case ctx.Err() == nil:
			w.noteState(err)
			sleep.For(ctx, wait.NextBackOff())
		}
	}
}

// listAll lists each kind and goes on from the oldest of the listings.
func (w *Watcher) listAll(ctx context.Context) error {
	var oldest uint64
	for i, kind := range w.config.Kinds {
		l, err := w.config.Store.List(ctx, kind, "")
		if err != nil {
			return errors.Trace(err)
		}
		w.lists.Inc(1)
		w.listed[kind] = l.Revision
		if i == 0 || l.Revision < oldest {
			oldest = l.Revision
		}
		w.config.Sink.Snapshot(kind, l)
	}
	w.after = oldest
	return nil
}

func (w *Watcher) watchOnce(ctx context.Context) error {
	l, err := w.config.Store.Watch(ctx, w.config.Kinds, w.after, w.config.Wait)
	if err != nil {
		return errors.Trace(err)
	}
	l.Objects = w.news(l.Objects)
	w.after = l.Revision
	w.config.Sink.Events(l)
	return nil
}

// news drops events that a kind's snapshot already holds: the kinds were
// listed one after the other and the watch began at the oldest listing. Given
// on, an old event would seem to undo what the snapshot said.
func (w *Watcher) news(events []Object) []Object {
	kept := events[:0]
	for _, o := range events {
		if o.Version > w.listed[o.Kind] {
			kept = append(kept, o)
		}
	}
	return kept
}

// noteState logs the first failure of an outage and its end.
func (w *Watcher) noteState(err error) {
	switch {
	case err != nil && !w.failing:
		w.config.Log.WithError(err).Warn("watch of the object API lost")
	case err == nil && w.failing:
		w.config.Log.WithField("revision", w.after).Info("watch of the object API resumed")
	}
	w.failing = err != nil
}
