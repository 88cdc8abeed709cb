package objectapi_test

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/internal/boottime"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// mirrorSink applies the results of a Watcher and records events that are out
// of order.
type mirrorSink struct {
	mu         sync.Mutex // guards the fields below
	state      map[string]map[string]uint64
	newest     map[string]uint64  // per kind
	outOfOrder []objectapi.Object // events not newer than those before
}

func newMirrorSink() *mirrorSink {
	return &mirrorSink{state: map[string]map[string]uint64{}, newest: map[string]uint64{}}
}

func (s *mirrorSink) Snapshot(kind string, l objectapi.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest[kind] = l.Revision
	s.state[kind] = map[string]uint64{}
	for _, o := range l.Objects {
		s.state[kind][o.Name] = o.Version
	}
}

func (s *mirrorSink) Events(_ string, l objectapi.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range l.Objects {
		if o.Version <= s.newest[o.Kind] {
			s.outOfOrder = append(s.outOfOrder, o)
		}
		s.newest[o.Kind] = o.Version
		if o.Deleted {
			delete(s.state[o.Kind], o.Name)
		} else {
			s.state[o.Kind][o.Name] = o.Version
		}
	}
}

func (s *mirrorSink) copy() map[string]map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]map[string]uint64{}
	for kind, names := range s.state {
		out[kind] = map[string]uint64{}
		for name, version := range names {
			out[kind][name] = version
		}
	}
	return out
}

var watchedKinds = []string{"A", "B"}

func startWatcher(m objectapi.Store, s *mirrorSink) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w := objectapi.NewWatcher(objectapi.WatcherConfig{Store: m, Kinds: watchedKinds, Sink: s})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return func() { cancel(); <-done }
}

// Guards against a process that keeps a state that the store no longer has.
// Two kinds are written while the store is down, slow, throttled or loses
// history, and then recovers; the watch must resume and must detect gaps.
func TestWatcherConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkInVirtualTime(t, rt, watchUnderFaults) })
}

func watchUnderFaults(rt *rapid.T) {
	m := standin.NewMemory(standin.Config{History: 4})
	s := newMirrorSink()
	stop := startWatcher(m, s)
	defer stop()
	for range rapid.IntRange(1, 30).Draw(rt, "steps") {
		switch rapid.IntRange(0, 5).Draw(rt, "step") {
		case 0:
			m.SetFaults(standin.Faults{Down: true})
		case 1:
			m.SetFaults(standin.Faults{LatencyMS: 700, GapNext: 1})
		case 2:
			m.SetFaults(standin.Faults{ReadsPerSecond: 1})
		case 3:
			time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
		default:
			changeRandomObject(rt, m)
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 800).Draw(rt, "gap")) * time.Millisecond)
	}
	m.SetFaults(standin.Faults{})
	time.Sleep(30 * time.Second)
	if d := cmp.Diff(listState(rt, m), s.copy()); d != "" {
		rt.Fatal(d)
	}
	if len(s.outOfOrder) > 0 {
		rt.Fatalf("events that were not newer: %+v", s.outOfOrder)
	}
}

func changeRandomObject(rt *rapid.T, m *standin.Memory) {
	faults := m.Faults()
	m.SetFaults(standin.Faults{})
	defer m.SetFaults(faults)
	ctx := context.Background()
	kind := rapid.SampledFrom(watchedKinds).Draw(rt, "kind")
	name := strconv.Itoa(rapid.IntRange(0, 3).Draw(rt, "name"))
	o, err := m.Get(ctx, kind, name)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		_, err = m.Create(ctx, kind, name, json.RawMessage(`1`))
	case rapid.Bool().Draw(rt, "delete"):
		_, err = m.Delete(ctx, kind, name, o.Version)
	default:
		_, err = m.Update(ctx, kind, name, json.RawMessage(`2`), o.Version)
	}
	if err != nil {
		rt.Fatal(err)
	}
}

func listState(rt *rapid.T, m *standin.Memory) map[string]map[string]uint64 {
	out := map[string]map[string]uint64{}
	for _, kind := range watchedKinds {
		l, err := m.List(context.Background(), kind, "")
		if err != nil {
			rt.Fatal(err)
		}
		out[kind] = map[string]uint64{}
		for _, o := range l.Objects {
			out[kind][o.Name] = o.Version
		}
	}
	return out
}

// Guards against a burst of changes that makes each watcher read in a loop and
// use up the rate limit of the platform. Fifty changes arrive at intervals of
// 20 ms; a watch returns after the first event, and the next one must not
// start at once.
func TestWatcherLimitsRateInBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory(standin.Config{})
		s := newMirrorSink()
		stop := startWatcher(m, s)
		defer stop()
		synctest.Wait()
		before := m.Counts().Watch
		for i := range 50 {
			_, err := m.Create(t.Context(), "A", strconv.Itoa(i), json.RawMessage(`1`))
			wantErr(t, err, nil)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(objectapi.DefaultWatchInterval)
		if n := m.Counts().Watch - before; n > 4 {
			t.Fatalf("%d watches for a burst of one second", n)
		}
		if n := len(s.copy()["A"]); n != 50 {
			t.Fatalf("%d objects seen, want 50", n)
		}
	})
}

// Guards against an entry that receives a change late when no peer keeps it current. The
// watch is suspended because a peer keeps the kind current, a change is made, and the
// peer fails; the watch must resume and must not first wait for another change.
func TestSuspendedWatchResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory(standin.Config{})
		s := newMirrorSink()
		var held atomic.Bool
		held.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		w := objectapi.NewWatcher(objectapi.WatcherConfig{
			Store: m, Kinds: []string{"A"}, Sink: s, Suspended: func(string) bool { return held.Load() },
		})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(time.Second)
		if _, err := m.Create(ctx, "A", "x", json.RawMessage(`1`)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if n := len(s.copy()["A"]); n != 0 {
			t.Errorf("%d objects arrived through a suspended watch", n)
		}
		held.Store(false)
		time.Sleep(time.Second)
		if n := len(s.copy()["A"]); n != 1 {
			t.Errorf("%d objects a second after the watch was resumed, want 1", n)
		}
		cancel()
		<-done
	})
}

// Guards against a change that waits for another one because the list after a gap was skipped: the
// next watch must continue from the state that a peer delivered, and must not wait.
func TestWatchAfterSkippedListDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory(standin.Config{})
		var held atomic.Bool
		store := &recordedStore{Store: m, onGap: func() { held.Store(true) }}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		const delivered = 1000 // revision that a peer delivered
		go objectapi.NewWatcher(objectapi.WatcherConfig{
			Store: store, Kinds: []string{"A"}, Sink: newMirrorSink(), Wait: time.Second,
			Suspended:       func(string) bool { return held.Load() },
			CurrentRevision: func(string) uint64 { return delivered },
		}).Run(ctx)
		time.Sleep(10 * time.Second)
		m.SetFaults(standin.Faults{GapNext: 1})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		before := len(store.watches)
		held.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(store.watches) == before {
			t.Fatal("no watch after the suspension")
		}
		if got, want := store.watches[before], (watchCall{after: delivered}); got != want {
			t.Errorf("watch %+v, want %+v", got, want)
		}
	})
}

// recordedStore records the watches, and calls onGap after one that ended with a gap.
type recordedStore struct {
	objectapi.Store
	onGap   func()
	watches []watchCall
}

type watchCall struct {
	after uint64
	wait  time.Duration
}

func (s *recordedStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Listing, error) {
	s.watches = append(s.watches, watchCall{after, wait})
	l, err := s.Store.Watch(ctx, kind, after, wait)
	if errors.Is(err, objectapi.ErrGap) {
		s.onGap()
	}
	return l, err
}

// ageSink is a sink that records the maximum age that its state reaches.
type ageSink struct {
	clock       boottime.Clock
	currentAsOf boottime.Instant
	maxAge      time.Duration
}

func (a *ageSink) Snapshot(_ string, l objectapi.Listing) { a.record(l) }
func (a *ageSink) Events(_ string, l objectapi.Listing)   { a.record(l) }

func (a *ageSink) record(l objectapi.Listing) {
	if a.currentAsOf > 0 {
		a.maxAge = max(a.maxAge, a.clock().Sub(a.currentAsOf))
	}
	a.currentAsOf = max(a.currentAsOf, l.CurrentAsOf)
}

// Guards against a watch without a change that counts as current only as of its start:
// the state would appear twice as old as it is, and would be requested twice as often.
func TestEmptyWatchIsCurrentAsOfItsEnd(t *testing.T) {
	const wait = 2 * time.Second
	for _, every := range []time.Duration{time.Hour, 7 * time.Second, 1900 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			m := standin.NewMemory(standin.Config{})
			began := time.Now()
			s := &ageSink{clock: func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(began)) }}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				objectapi.NewWatcher(objectapi.WatcherConfig{
					Store: m, Kinds: []string{"A"}, Sink: s, Clock: s.clock, Wait: wait, EmptyWaitIsCurrent: true, Interval: 250 * time.Millisecond,
				}).Run(ctx)
			}()
			time.Sleep(100 * time.Millisecond)
			changes := 0
			for time.Since(began) < time.Minute {
				time.Sleep(min(every, time.Minute-time.Since(began)))
				if _, err := m.Create(ctx, "A", strconv.Itoa(changes), json.RawMessage(`1`)); err != nil {
					t.Fatal(err)
				}
				changes++
			}
			watches := m.Counts().Watch
			cancel()
			<-done // the watcher uses the sink until then
			if s.maxAge > wait+250*time.Millisecond {
				t.Errorf("a change every %v: the state became %v old", every, s.maxAge)
			}
			if most := int64(time.Minute/wait) + 2*int64(changes) + 2; watches > most {
				t.Errorf("a change every %v: %d watches in a minute, want %d at most", every, watches, most)
			}
		})
	}
}
