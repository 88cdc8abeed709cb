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

// TestMain keeps rapid from leaving files of failures behind.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.nofailfile", "true")
	seedtest.Main(m, 20261)
}

// hookedStore runs a function before and after each call takes effect, where a
// network would delay the call or its answer.
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

// contender is one process. Its clock has its own base: nothing may compare it
// with another's.
type contender struct {
	m     *Manager
	lease *Lease
	busy  bool // in a call, so it can't begin another
}

// world is true time, the store and some contenders. One action runs at a time,
// but while a call is on its way others may act and time passes.
type world struct {
	draw       func(n int) int
	elapsed    time.Duration
	memory     *standin.Memory
	contenders []*contender
	maxFence   uint64
	depth      int
	terms      int
	err        error
}

func newWorld(draw func(n int) int, contenders int, mutant bool) *world {
	w := &world{draw: draw, memory: standin.NewMemory(standin.Config{})}
	store := &hookedStore{Store: w.memory, hook: w.onTheWay}
	for i := range contenders {
		c := &contender{m: NewManager(Config{Store: store, Holder: fmt.Sprint(i), Term: testTerm, Logger: quiet.Logger()})}
		base := time.Unix(int64(i)*86_400, 0)
		c.m.now = func() time.Time { return base.Add(w.elapsed) }
		c.m.countFromAnswer = mutant
		w.contenders = append(w.contenders, c)
	}
	return w
}

func (w *world) check() {
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

// onTheWay is a call or an answer on its way.
func (w *world) onTheWay() {
	if w.draw(3) > 0 {
		return
	}
	w.pass()
	if w.depth < 3 {
		w.act()
	}
}

// pass lets time pass, sometimes longer than a term: that is a pause.
func (w *world) pass() {
	steps := []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, testTerm + testTerm/50, 2 * testTerm}
	w.elapsed += steps[w.draw(len(steps))]
	w.check()
}

func (w *world) act() {
	c := w.contenders[w.draw(len(w.contenders))]
	if c.busy {
		return
	}
	c.busy = true
	w.depth++
	w.run(c)
	w.depth--
	c.busy = false
	w.check()
}

func (w *world) run(c *contender) {
	ctx := context.Background()
	switch {
	case c.lease == nil || !c.lease.Held():
		l, err := c.m.try(ctx, testName)
		if err != nil {
			return
		}
		c.lease = l
		w.terms++
		if l.Fence() <= w.maxFence && w.err == nil {
			w.err = errors.Errorf("fence %d after %d", l.Fence(), w.maxFence)
		}
		w.maxFence = max(w.maxFence, l.Fence())
	case w.draw(6) == 0:
		_ = c.lease.Release(ctx)
	default:
		_ = c.lease.renew(ctx)
	}
}

// fault arms a fault of the store, or ends one; now and then an operator
// deletes the object.
func (w *world) fault() {
	switch w.draw(4) {
	case 0:
		w.memory.SetFaults(standin.Faults{Down: true})
	case 1:
		w.memory.SetFaults(standin.Faults{LoseNext: 1 + w.draw(2)})
	case 2:
		o, err := w.memory.Get(context.Background(), Kind, testName)
		if err == nil && w.draw(4) == 0 {
			_, _ = w.memory.Delete(context.Background(), Kind, testName, o.Version)
		}
	default:
		w.memory.SetFaults(standin.Faults{})
	}
}
