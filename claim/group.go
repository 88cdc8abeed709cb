package claim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// opKind is what an op does to a shard.
type opKind uint8

const (
	opClaim  opKind = iota + 1
	opLookup        // reads only
	opSettle
)

// op is one change waiting for a group.
type op struct {
	kind    opKind
	hash    string
	mark    string
	outcome Outcome // opSettle
	issued  bool    // opSettle of an issued key
	release bool    // opSettle of a claim that was refused to its caller
	sent    bool    // an earlier write of it was sent and its answer lost

	forwarded bool      // opClaim: another entry may record it, now or late
	withdraw  bool      // opSettle: no claim with the mark may be recorded any more
	served    bool      // forwarded by another entry, which alone may take it back
	until     time.Time // served opClaim: not recorded on a reading after it

	answer    chan result // buffered, so that a group never waits for a caller
	abandoned bool        // guarded by group.mu: its caller has gone
}

// result of an op.
type result struct {
	verdict verdict
	prior   Prior
	sealed  string // object that holds the record, if it is sealed
	err     error
}

func newOp(kind opKind, hash, mark string) *op {
	return &op{kind: kind, hash: hash, mark: mark, answer: make(chan result, 1)}
}

// group commits the ops of one shard, many in one write. At most one write of a
// shard is on its way from this process.
type group struct {
	c    *Claimer
	name string

	mu       sync.Mutex // guards pending, running, started, failed and the ops' flags
	pending  []*op
	running  bool
	started  time.Time     // when the try on its way set out; zero if none is
	failed   time.Time     // when the last group that failed did
	wake     chan struct{} // buffered by one: a claim or lookup came in
	sealed   *sealedSet
	failures int // owned by run
	spread   int // owned by run: groups start spread times MinGroupInterval apart
}

func newGroup(c *Claimer, name string) *group {
	return &group{c: c, name: name, spread: 1, wake: make(chan struct{}, 1), sealed: newSealedSet()}
}

// add queues ops. It returns false if the queue is full.
func (g *group) add(ops ...*op) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending)+len(ops) > g.c.cfg.MaxPendingOps {
		return false
	}
	g.pending = append(g.pending, ops...)
	g.startLocked()
	if !slices.ContainsFunc(ops, func(o *op) bool { return o.kind != opSettle }) {
		return true
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return true
}

func (g *group) startLocked() {
	if !g.running {
		g.running = true
		go g.run()
	}
}

// abandon withdraws an op whose caller's time is up. If it was answered in the
// meantime, the answer is returned. A claim that is on its way may still land:
// it is released then, or else a resend would find a claim that nobody will
// ever run.
func (g *group) abandon(o *op) (result, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case r := <-o.answer:
		return r, true
	default:
	}
	o.abandoned = true
	if i := slices.Index(g.pending, o); i >= 0 {
		g.pending = slices.Delete(g.pending, i, i+1)
	}
	return result{}, false
}

// take returns the ops of the next group, or nil and ends the run.
func (g *group) take() []*op {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) == 0 {
		g.running = false
		return nil
	}
	select {
	case <-g.wake: // for a claim that this group takes
	default:
	}
	batch := g.pending
	if len(batch) > g.c.cfg.MaxGroupOps {
		batch = batch[:g.c.cfg.MaxGroupOps]
	}
	g.pending = append([]*op(nil), g.pending[len(batch):]...)
	return batch
}

// awaitCompany lets settlements wait a while for a claim whose write can carry
// them: nobody's answer waits for a settlement.
func (g *group) awaitCompany() {
	if g.hasClaims() {
		return
	}
	select {
	case <-g.wake:
	case <-time.After(g.c.cfg.SettleDelay):
	}
}

func (g *group) hasClaims() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.pending, func(o *op) bool { return o.kind != opSettle })
}

// run commits groups until nothing waits. Groups start at least MinGroupInterval
// apart; after failures further apart, so as not to load a store that is down.
func (g *group) run() {
	for {
		g.awaitCompany()
		batch := g.take()
		if batch == nil {
			return
		}
		started := g.c.now()
		if g.commit(batch) {
			g.failures = 0
			g.setFailed(time.Time{})
		} else {
			g.failures++
			g.setFailed(g.c.now())
		}
		g.setStarted(time.Time{})
		time.Sleep(g.interval() - g.c.now().Sub(started))
	}
}

func (g *group) interval() time.Duration {
	d := g.c.cfg.MinGroupInterval * time.Duration(g.spread)
	d += time.Duration(rand.Int64N(int64(d)/jitterPart + 1))
	for range g.failures {
		d *= 2
		if d >= g.c.cfg.MaxBackoff {
			return g.c.cfg.MaxBackoff
		}
	}
	return d
}

func (g *group) release(claimed *op) {
	g.c.m.released.Inc(1)
	o := newOp(opSettle, claimed.hash, claimed.mark)
	o.outcome = Outcome{Kind: OutcomeNotRun}
	o.release = true
	o.withdraw = claimed.forwarded
	g.requeue(o)
}

// requeue queues a settlement over the limit of pending ops, up to twice of it.
// Beyond, it is dropped: its key stays running and then unknown, never run
// again.
func (g *group) requeue(o *op) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) >= 2*g.c.cfg.MaxPendingOps {
		g.c.m.settlementsDropped.Inc(1)
		return
	}
	g.pending = append(g.pending, o)
	g.startLocked()
}

// busy reports whether anything waits or is on its way.
func (g *group) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
