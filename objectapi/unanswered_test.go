package objectapi_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// silentStore is a store whose watches fail as fail says, after the watch's wait and timeout.
type silentStore struct {
	objectapi.Store
	timeout time.Duration
	fail    func(ctx context.Context) error
	watches int
}

func (s *silentStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (objectapi.Listing, error) {
	s.watches++
	select {
	case <-ctx.Done():
	case <-time.After(wait + s.timeout):
	}
	return objectapi.Listing{}, s.fail(ctx)
}

// Guards against a state that stays old because each watch that times out is followed by another
// watch.
func TestUnansweredWatchIsFollowedByList(t *testing.T) {
	deadline := func(context.Context) error {
		return errors.WithType(errors.Trace(context.DeadlineExceeded), objectapi.ErrUnavailable)
	}
	for _, c := range []struct {
		name            string
		responseTimeout time.Duration
		fail            func(context.Context) error
		received        bool
	}{
		{"the store's timeout", 0, deadline, true},
		{"the watcher's timeout", 100 * time.Millisecond, func(ctx context.Context) error { return errors.Trace(ctx.Err()) }, true},
		{"refused", 0, func(context.Context) error { return objectapi.ErrThrottled }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); synctest.Wait() }()
				m := standin.NewMemory(standin.Config{})
				store := &silentStore{Store: m, timeout: time.Second, fail: c.fail}
				sink := newMirrorSink()
				go objectapi.NewWatcher(objectapi.WatcherConfig{
					Store: store, Kinds: []string{"A"}, Sink: sink, Wait: time.Second, ResponseTimeout: c.responseTimeout,
				}).Run(ctx)
				time.Sleep(10 * time.Second)
				if _, err := m.Create(ctx, "A", "x", json.RawMessage("{}")); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				synctest.Wait()
				if _, received := sink.copy()["A"]["x"]; received != c.received {
					t.Errorf("received: %v, want %v (%d watches)", received, c.received, store.watches)
				}
			})
		})
	}
}
