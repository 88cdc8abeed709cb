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

// mirror applies what a Watcher brings and notes events that are out of order.
type mirror struct {
	mu      sync.Mutex // guards all below
	state   map[string]map[string]uint64
	newest  map[string]uint64  // per kind
	unsound []objectapi.Object // events that were not newer than what came before
}

func newMirror() *mirror {
	return &mirror{state: map[string]map[string]uint64{}, newest: map[string]uint64{}}
}

func (s *mirror) Snapshot(kind string, l objectapi.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest[kind] = l.Revision
	s.state[kind] = map[string]uint64{}
	for _, o := range l.Objects {
		s.state[kind][o.Name] = o.Version
	}
}

func (s *mirror) Events(_ string, l objectapi.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range l.Objects {
		if o.Version <= s.newest[o.Kind] {
			s.unsound = append(s.unsound, o)
		}
		s.newest[o.Kind] = o.Version
		if o.Deleted {
			delete(s.state[o.Kind], o.Name)
		} else {
			s.state[o.Kind][o.Name] = o.Version
		}
	}
}

func (s *mirror) copy() map[string]map[string]uint64 {
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

func follow(m objectapi.Store, s *mirror) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w := objectapi.NewWatcher(objectapi.WatcherConfig{Store: m, Kinds: watchedKinds, Sink: s})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return func() { cancel(); <-done }
}

// Symptom: a process keeps a state that the store no longer has.
// Sequence: writes of two kinds while the store goes down, slows, throttles
// and drops history; then it heals.
// Cause: a watch that isn't resumed, or a gap that isn't noticed.
func TestWatcherConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { inBubble(t, rt, watchUnderFaults) })
}

func watchUnderFaults(rt *rapid.T) {
	m := standin.NewMemory(standin.Config{History: 4})
	s := newMirror()
	stop := follow(m, s)
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
			changeSomething(rt, m)
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 800).Draw(rt, "gap")) * time.Millisecond)
	}
	m.SetFaults(standin.Faults{})
	time.Sleep(30 * time.Second)
	if d := cmp.Diff(listed(rt, m), s.copy()); d != "" {
		rt.Fatal(d)
	}
	if len(s.unsound) > 0 {
		rt.Fatalf("events that were not news: %+v", s.unsound)
	}
}

func changeSomething(rt *rapid.T, m *standin.Memory) {
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

func listed(rt *rapid.T, m *standin.Memory) map[string]map[string]uint64 {
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

// Symptom: a burst of changes turns each watcher into a loop of reads that
// eats the platform's rate.
// Sequence: fifty changes, one every 20 ms.
// Cause: a watch answers after the first event, and the next is sent at once.
func TestWatcherPacesABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory(standin.Config{})
		s := newMirror()
		stop := follow(m, s)
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

// Symptom: an entry learns of a change late though nobody tells it any more.
// Sequence: a watch is put off because a peer keeps the kind current; the peer is gone;
// a change was made meanwhile.
// Cause: the watch was never taken up again, or waited for one more change first.
func TestWatchThatIsPutOffGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory(standin.Config{})
		s := newMirror()
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
			t.Errorf("%d objects came by a watch that was put off", n)
		}
		held.Store(false)
		time.Sleep(time.Second)
		if n := len(s.copy()["A"]); n != 1 {
			t.Errorf("%d objects a second after the watch was to go on, want 1", n)
		}
		cancel()
		<-done
	})
}

// ages is a sink that notes how old the proof of what it knows grows.
type ages struct {
	clock  boottime.Clock
	proved boottime.Instant
	most   time.Duration
}

func (a *ages) Snapshot(_ string, l objectapi.Listing) { a.note(l) }
func (a *ages) Events(_ string, l objectapi.Listing)   { a.note(l) }

func (a *ages) note(l objectapi.Listing) {
	if a.proved > 0 {
		a.most = max(a.most, a.clock().Sub(a.proved))
	}
	a.proved = max(a.proved, l.CurrentAsOf)
}

// A watch that waits without a change is taken for proof of the moment at which it was
// asked only: what is known seems twice as old as it is, and is asked for twice as often.
func TestQuietWatchProvesTheEndOfItsWait(t *testing.T) {
	const wait = 2 * time.Second
	for _, every := range []time.Duration{time.Hour, 7 * time.Second, 1900 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			m := standin.NewMemory(standin.Config{})
			began := time.Now()
			s := &ages{clock: func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(began)) }}
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
			<-done // the sink is the watcher's until then
			if s.most > wait+250*time.Millisecond {
				t.Errorf("a change each %v: a proof grew %v old", every, s.most)
			}
			if most := int64(time.Minute/wait) + 2*int64(changes) + 2; watches > most {
				t.Errorf("a change each %v: %d watches in a minute, want %d at most", every, watches, most)
			}
		})
	}
}
