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

// fakeEngines simulates several engines. mu guards all fields.
type fakeEngines struct {
	mu           sync.Mutex
	freeTokens   map[string]int       // by address
	held         map[string]time.Time // by address and id, when the lease ends
	lostReplies  map[string]int       // number of replies to lose, by address
	calls        int
	lostReleases int                // number of releases whose replies are lost
	usageReplies map[string][]Usage // next states to report, by address; then InUse
	queried      []string           // addresses in the order of the calls
	onUsage      func()             // called during each usage query
	silent       map[string]bool    // by address: renewals get no reply
	expired      []string           // addresses where a lease ended before its renewal
}

func (e *fakeEngines) Reserve(ctx context.Context, engine Engine, id string, tokens int, hold time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	key := engine.Address + "/" + id
	until, renewed := e.held[key]
	if renewed && e.silent[engine.Address] {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return ErrOutcomeUnknown
	}
	if renewed && !time.Now().Before(until) {
		e.expired = append(e.expired, engine.Address)
	}
	if !renewed && e.freeTokens[engine.Address] < tokens {
		return ErrNoMemory
	} else if !renewed {
		e.freeTokens[engine.Address] -= tokens
	}
	e.held[key] = time.Now().Add(hold)
	if e.lostReplies[engine.Address] > 0 {
		e.lostReplies[engine.Address]--
		return ErrOutcomeUnknown
	}
	return nil
}

func (e *fakeEngines) Release(_ context.Context, engine Engine, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	if e.lostReleases > 0 {
		e.lostReleases--
		return ErrOutcomeUnknown
	}
	delete(e.held, engine.Address+"/"+id)
	return nil
}

func (e *fakeEngines) Usage(_ context.Context, engine Engine, id string) (Usage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queried = append(e.queried, engine.Address)
	if e.onUsage != nil {
		e.onUsage()
	}
	if _, ok := e.held[engine.Address+"/"+id]; !ok {
		return NotHeld, nil
	}
	next := e.usageReplies[engine.Address]
	if len(next) == 0 {
		return InUse, nil
	}
	e.usageReplies[engine.Address] = next[1:]
	if next[0] == UsageUnknown {
		return UsageUnknown, errors.New("no reply")
	}
	return next[0], nil
}

func (e *fakeEngines) activeCount() int {
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

func newFakeEngines(room int) *fakeEngines {
	return &fakeEngines{
		freeTokens: map[string]int{"a": room, "b": room, "c": room},
		held:       map[string]time.Time{}, lostReplies: map[string]int{},
	}
}

func testParts(tokens int) []Part {
	return []Part{
		{Engine: Engine{Address: "a"}, Tokens: tokens},
		{Engine: Engine{Address: "b"}, Tokens: tokens},
		{Engine: Engine{Address: "c"}, Tokens: tokens},
	}
}

func TestHeldUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", testParts(60))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * leaseDuration)
		if n := e.activeCount(); n != 3 {
			t.Errorf("%d of 3 parts are held after ten leases", n)
		}
		held.Release()
		held.Release()
		r.Wait()
		if n := e.activeCount(); n != 0 {
			t.Errorf("%d parts are held after the release", n)
		}
	})
}

// Two prompts waited for each other's memory until both timed out: each kept what it had
// reserved while it waited for the rest.
func TestAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		e.freeTokens["b"] = 10
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		_, failed, err := r.Acquire(t.Context(), "request", testParts(60))
		if !errors.Is(err, ErrNoMemory) || failed != 1 {
			t.Errorf("part %d failed: %v", failed, err)
		}
		r.Wait()
		if n := e.activeCount(); n != 0 {
			t.Errorf("%d parts are held", n)
		}
	})
}

// Memory of an engine was lost for some seconds. An engine reserves memory and its reply is
// lost, or the replies to its release are. A part of unknown outcome was treated as not
// reserved.
func TestLostRepliesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		e.lostReplies["c"] = 1
		e.lostReleases = 2
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		if _, _, err := r.Acquire(t.Context(), "request", testParts(60)); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v", err)
		}
		r.Wait()
		if n := e.activeCount(); n != 0 {
			t.Errorf("%d parts are held", n)
		}
	})
}

// Memory stayed reserved after an entry had died without releasing it, because the lease
// lasted as long as the request might take.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		if err := e.Reserve(t.Context(), Engine{Address: "a"}, "dead", 60, leaseDuration); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leaseDuration)
		if n := e.activeCount(); n != 0 {
			t.Errorf("%d parts are held", n)
		}
	})
}

// Prompts were cancelled on healthy engines some seconds after other engines that held
// parts of them had become unresponsive. A prompt is held by eight engines, five stop
// responding, and each call to those takes the full timeout. The parts were renewed one
// after the other, which took longer than the leases on the healthy engines.
func TestSilentEnginesDontDelayRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		e.silent = map[string]bool{}
		var eight []Part
		for i := range 8 {
			address := string(rune('a' + i))
			e.freeTokens[address] = 100
			e.silent[address] = i < 5
			eight = append(eight, Part{Engine: Engine{Address: address}, Tokens: 60})
		}
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", eight)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * leaseDuration)
		if n := e.activeCount(); n != 3 {
			t.Errorf("%d of the 3 parts on healthy engines are held", n)
		}
		held.Release()
		r.Wait()
		if len(e.expired) > 0 {
			t.Errorf("leases ended before their renewal at %v", e.expired)
		}
	})
}

// A reservation was renewed after its release. The release arrives while a renewal is due,
// and two goroutines sent requests for one reservation.
func TestNoRenewalAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", testParts(60))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(renewInterval)
		held.Release()
		r.Wait()
		orders := e.calls
		time.Sleep(10 * renewInterval)
		if e.calls != orders || e.activeCount() != 0 {
			t.Errorf("%d calls after the release, %d parts held", e.calls-orders, e.activeCount())
		}
	})
}
