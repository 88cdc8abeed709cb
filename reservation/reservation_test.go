package reservation

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/quiet"
)

// engines is a stand-in of several engines. mu guards all fields.
type engines struct {
	mu       sync.Mutex
	room     map[string]int       // by address
	held     map[string]time.Time // by address and id, when the lease ends
	lose     map[string]int       // answers to lose, by address
	orders   int
	failures int                // releases whose answers are lost
	uses     map[string][]Usage // what is said next of a reservation, by address; then InUse
	asked    []string           // addresses, in order
	during   func()             // called while a question is answered
	mute     map[string]bool    // by address: renewals have no answer
	lapsed   []string           // addresses where a lease ended before its renewal
}

func (e *engines) Reserve(ctx context.Context, engine Engine, id string, tokens int, hold time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	key := engine.Address + "/" + id
	until, renewed := e.held[key]
	if renewed && e.mute[engine.Address] {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return ErrOutcomeUnknown
	}
	if renewed && !time.Now().Before(until) {
		e.lapsed = append(e.lapsed, engine.Address)
	}
	if !renewed && e.room[engine.Address] < tokens {
		return ErrNoMemory
	} else if !renewed {
		e.room[engine.Address] -= tokens
	}
	e.held[key] = time.Now().Add(hold)
	if e.lose[engine.Address] > 0 {
		e.lose[engine.Address]--
		return ErrOutcomeUnknown
	}
	return nil
}

func (e *engines) Release(_ context.Context, engine Engine, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.failures > 0 {
		e.failures--
		return ErrOutcomeUnknown
	}
	delete(e.held, engine.Address+"/"+id)
	return nil
}

func (e *engines) Usage(_ context.Context, engine Engine, id string) (Usage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, engine.Address)
	if e.during != nil {
		e.during()
	}
	if _, ok := e.held[engine.Address+"/"+id]; !ok {
		return NotHeld, nil
	}
	next := e.uses[engine.Address]
	if len(next) == 0 {
		return InUse, nil
	}
	e.uses[engine.Address] = next[1:]
	if next[0] == UsageUnknown {
		return UsageUnknown, errors.New("no answer")
	}
	return next[0], nil
}

func (e *engines) live() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, until := range e.held {
		if time.Now().Before(until) {
			n++
		}
	}
	return n
}

func newEngines(room int) *engines {
	return &engines{
		room: map[string]int{"a": room, "b": room, "c": room},
		held: map[string]time.Time{}, lose: map[string]int{},
	}
}

func parts(tokens int) []Part {
	return []Part{
		{Engine: Engine{Address: "a"}, Tokens: tokens},
		{Engine: Engine{Address: "b"}, Tokens: tokens},
		{Engine: Engine{Address: "c"}, Tokens: tokens},
	}
}

func TestHeldUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", parts(60))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * lease)
		if n := e.live(); n != 3 {
			t.Errorf("%d of 3 parts are held after ten leases", n)
		}
		held.Release()
		held.Release()
		r.Wait()
		if n := e.live(); n != 0 {
			t.Errorf("%d parts are held after the release", n)
		}
	})
}

// Symptom: two prompts wait for each other's memory until both time out.
// Sequence: each holds some of what the other lacks.
// Cause: what was had was kept while the rest was waited for.
func TestAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		e.room["b"] = 10
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		_, failed, err := r.Acquire(t.Context(), "request", parts(60))
		if !errors.Is(err, ErrNoMemory) || failed != 1 {
			t.Errorf("part %d failed: %v", failed, err)
		}
		r.Wait()
		if n := e.live(); n != 0 {
			t.Errorf("%d parts are held", n)
		}
	})
}

// Symptom: memory of an engine is lost for some seconds.
// Sequence: an engine reserves memory and its answer is lost; or the answers to its
// release are.
// Cause: what is not known to be held was taken for not held.
func TestLostAnswersLeaveNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		e.lose["c"] = 1
		e.failures = 2
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		if _, _, err := r.Acquire(t.Context(), "request", parts(60)); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v", err)
		}
		r.Wait()
		if n := e.live(); n != 0 {
			t.Errorf("%d parts are held", n)
		}
	})
}

// Symptom: memory stays set aside after an entry has died.
// Sequence: an entry reserves memory and is gone without releasing it.
// Cause: a lease as long as the request may take.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		if err := e.Reserve(t.Context(), Engine{Address: "a"}, "dead", 60, lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(lease)
		if n := e.live(); n != 0 {
			t.Errorf("%d parts are held", n)
		}
	})
}

// Symptom: prompts are cut on engines that are well, some seconds after others that keep
// a part of them have gone silent.
// Sequence: a prompt is kept on eight engines; five of them stop answering, and an
// order to each takes its whole time limit.
// Cause: the parts were renewed one after the other, so that the silent ones took
// longer than the others' lease.
func TestSilentEnginesDontDelayRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		e.mute = map[string]bool{}
		var eight []Part
		for i := range 8 {
			address := string(rune('a' + i))
			e.room[address] = 100
			e.mute[address] = i < 5
			eight = append(eight, Part{Engine: Engine{Address: address}, Tokens: 60})
		}
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", eight)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * lease)
		if n := e.live(); n != 3 {
			t.Errorf("%d of the 3 parts on sound engines are held", n)
		}
		held.Release()
		r.Wait()
		if len(e.lapsed) > 0 {
			t.Errorf("leases ended before their renewal at %v", e.lapsed)
		}
	})
}

// Symptom: a reservation is renewed after its release.
// Sequence: the release comes while a renewal is due.
// Cause: two goroutines gave orders for one reservation.
func TestNothingIsRenewedAfterTheRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", parts(60))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(renewEvery)
		held.Release()
		r.Wait()
		orders := e.orders
		time.Sleep(10 * renewEvery)
		if e.orders != orders || e.live() != 0 {
			t.Errorf("%d orders after the release, %d parts held", e.orders-orders, e.live())
		}
	})
}
