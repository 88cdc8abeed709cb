package lease

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/internal/seedtest"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

const (
	testTerm = 10 * time.Second
	testName = "leader"
)

// TestMain prevents rapid from writing failure files.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.nofailfile", "true")
	seedtest.Main(m, 20261)
}

// hookedStore calls hook before and after each call takes effect, at the
// points where a network would delay the request or the response.
type hookedStore struct {
	objectapi.Store
	hook func()
}

func (s *hookedStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	s.hook()
	o, err := s.Store.Get(ctx, kind, name)
	s.hook()
	return o, err
}

func (s *hookedStore) Create(ctx context.Context, kind, name string, d json.RawMessage) (objectapi.Object, error) {
	s.hook()
	o, err := s.Store.Create(ctx, kind, name, d)
	s.hook()
	return o, err
}

func (s *hookedStore) Update(ctx context.Context, kind, name string, d json.RawMessage, v uint64) (objectapi.Object, error) {
	s.hook()
	o, err := s.Store.Update(ctx, kind, name, d, v)
	s.hook()
	return o, err
}

// contender is one process. Its clock has its own base, so that no code can
// compare it with the clock of another process.
type contender struct {
	m     *Manager
	lease *Lease
	busy  bool // in a call, so it cannot begin another
}

// simulation holds the true time, the store and some contenders. One action
// runs at a time, but while a request or response is delayed, other contenders
// may act and time passes.
type simulation struct {
	choose     func(n int) int
	elapsed    time.Duration
	store      *standin.Memory
	contenders []*contender
	maxFence   uint64
	depth      int
	terms      int
	err        error
}

func newSimulation(draw func(n int) int, contenders int, mutant bool) *simulation {
	w := &simulation{choose: draw, store: standin.NewMemory(standin.Config{})}
	store := &hookedStore{Store: w.store, hook: w.networkDelay}
	for i := range contenders {
		c := &contender{m: NewManager(Config{Store: store, Holder: fmt.Sprint(i), Term: testTerm, Logger: quiet.Logger()})}
		base := time.Unix(int64(i)*86_400, 0)
		c.m.now = func() time.Time { return base.Add(w.elapsed) }
		c.m.countTermFromResponse = mutant
		w.contenders = append(w.contenders, c)
	}
	return w
}

func (w *simulation) check() {
	held := 0
	for _, c := range w.contenders {
		if c.lease != nil && c.lease.Held() {
			held++
		}
	}
	if held > 1 && w.err == nil {
		w.err = errors.Errorf("%d holders at %s", held, w.elapsed)
	}
}

// networkDelay simulates the delay of a request or a response.
func (w *simulation) networkDelay() {
	if w.choose(3) > 0 {
		return
	}
	w.advanceTime()
	if w.depth < 3 {
		w.step()
	}
}

// advanceTime advances the time, sometimes by more than a term, which
// simulates a pause.
func (w *simulation) advanceTime() {
	steps := []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, testTerm + testTerm/50, 2 * testTerm}
	w.elapsed += steps[w.choose(len(steps))]
	w.check()
}

// step runs one call of a random contender that is not in a call.
func (w *simulation) step() {
	c := w.contenders[w.choose(len(w.contenders))]
	if c.busy {
		return
	}
	c.busy = true
	w.depth++
	w.runCall(c)
	w.depth--
	c.busy = false
	w.check()
}

func (w *simulation) runCall(c *contender) {
	ctx := context.Background()
	switch {
	case c.lease == nil || !c.lease.Held():
		l, err := c.m.tryAcquire(ctx, testName)
		if err != nil {
			return
		}
		c.lease = l
		w.terms++
		if l.Fence() <= w.maxFence && w.err == nil {
			w.err = errors.Errorf("fence %d after %d", l.Fence(), w.maxFence)
		}
		w.maxFence = max(w.maxFence, l.Fence())
	case w.choose(6) == 0:
		_ = c.lease.Release(ctx)
	default:
		_ = c.lease.renew(ctx)
	}
}

// injectFault sets a fault of the store or clears it, and sometimes deletes
// the object as an operator would.
func (w *simulation) injectFault() {
	switch w.choose(4) {
	case 0:
		w.store.SetFaults(standin.Faults{Down: true})
	case 1:
		w.store.SetFaults(standin.Faults{LoseNext: 1 + w.choose(2)})
	case 2:
		o, err := w.store.Get(context.Background(), Kind, testName)
		if err == nil && w.choose(4) == 0 {
			_, _ = w.store.Delete(context.Background(), Kind, testName, o.Version)
		}
	default:
		w.store.SetFaults(standin.Faults{})
	}
}
