package claim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// opKind is the kind of an op.
type opKind uint8

const (
	opClaim  opKind = iota + 1
	opLookup        // reads only
	opSettle
)

// op is one change or lookup that waits for a group.
type op struct {
	kind         opKind
	hash         string
	mark         string
	outcome      Outcome // opSettle
	issued       bool    // opSettle of an issued key
	isRelease    bool    // opSettle that releases a claim whose caller was refused
	maybeWritten bool    // an earlier write of it was sent and may have taken effect

	forwardUncertain bool      // opClaim: another entry may have recorded it or may still do so
	withdrawMark     bool      // opSettle: no claim with the mark may be recorded from now on
	fromPeer         bool      // forwarded by another entry; only that entry may release it
	expiresAt        time.Time // fromPeer opClaim: not recorded if the shard is read after this time

	resultCh  chan result // buffered, so that a group never blocks on a caller
	abandoned bool        // guarded by group.mu: its caller has stopped waiting
}

// result is the result of an op.
type result struct {
	verdict verdict
	prior   Prior
	sealed  string // name of the sealed object that holds the record, if any
	err     error
}

func newOp(kind opKind, hash, mark string) *op {
	return &op{kind: kind, hash: hash, mark: mark, resultCh: make(chan result, 1)}
}

// group commits the ops of one shard, many in one write. This process has at
// most one write of a shard in progress.
type group struct {
	claimer *Claimer
	name    string

	mu             sync.Mutex // guards pending, running, tryStarted, lastFailure and the ops' flags
	pending        []*op
	running        bool
	tryStarted     time.Time     // start of the current attempt; zero if none is in progress
	lastFailure    time.Time     // time of the last failure; zero if the last group succeeded
	claimQueued    chan struct{} // buffered by one: a claim or lookup was queued
	sealed         *indexCache
	written        writtenRecords // owned by run
	restored       atomic.Bool    // the store came back from an older copy
	failures       int            // owned by run: failed groups since the last success
	intervalFactor int            // owned by run: groups start intervalFactor times MinGroupInterval apart
}

func newGroup(c *Claimer, name string) *group {
	return &group{claimer: c, name: name, intervalFactor: 1, claimQueued: make(chan struct{}, 1), sealed: newIndexCache()}
}

// enqueue appends ops to the queue. It returns false if the queue is full.
func (g *group) enqueue(ops ...*op) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending)+len(ops) > g.claimer.cfg.MaxPendingOps {
		return false
	}
	g.pending = append(g.pending, ops...)
	g.startLocked()
	if !slices.ContainsFunc(ops, func(o *op) bool { return o.kind != opSettle }) {
		return true
	}
	select {
	case g.claimQueued <- struct{}{}:
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

// abandon removes an op whose caller has stopped waiting. If the op has
// completed in the meantime, its result is returned. A claim whose write is in
// progress may still be recorded and is then released; otherwise a resend would
// find a claim that is never run.
func (g *group) abandon(o *op) (result, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case r := <-o.resultCh:
		return r, true
	default:
	}
	o.abandoned = true
	if i := slices.Index(g.pending, o); i >= 0 {
		g.pending = slices.Delete(g.pending, i, i+1)
	}
	return result{}, false
}

// takeBatch returns the ops of the next group. If there are none, it returns
// nil and marks the group as not running.
func (g *group) takeBatch() []*op {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) == 0 {
		g.running = false
		return nil
	}
	select {
	case <-g.claimQueued: // the claim is part of this batch
	default:
	}
	batch := g.pending
	if len(batch) > g.claimer.cfg.MaxGroupOps {
		batch = batch[:g.claimer.cfg.MaxGroupOps]
	}
	g.pending = append([]*op(nil), g.pending[len(batch):]...)
	return batch
}

// waitForClaims delays settlements for up to SettleDelay, so that the write of
// a claim can carry them: no response to a caller depends on a settlement.
func (g *group) waitForClaims() {
	if g.hasClaims() {
		return
	}
	select {
	case <-g.claimQueued:
	case <-time.After(g.claimer.cfg.SettleDelay):
	}
}

func (g *group) hasClaims() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.pending, func(o *op) bool { return o.kind != opSettle })
}

// run commits groups until the queue is empty. Groups start at least
// MinGroupInterval apart, and further apart after failures, so as not to load a
// store that is down.
func (g *group) run() {
	for {
		g.waitForClaims()
		batch := g.takeBatch()
		if batch == nil {
			return
		}
		started := g.claimer.now()
		if g.commit(batch) {
			g.failures = 0
			g.setLastFailure(time.Time{})
		} else {
			g.failures++
			g.setLastFailure(g.claimer.now())
		}
		g.setTryStarted(time.Time{})
		time.Sleep(g.nextInterval() - g.claimer.now().Sub(started))
	}
}

func (g *group) nextInterval() time.Duration {
	d := g.claimer.cfg.MinGroupInterval * time.Duration(g.intervalFactor)
	d += time.Duration(rand.Int64N(int64(d)/jitterDivisor + 1))
	for range g.failures {
		d *= 2
		if d >= g.claimer.cfg.MaxBackoff {
			return g.claimer.cfg.MaxBackoff
		}
	}
	return d
}

func (g *group) release(claimed *op) {
	g.claimer.counters.released.Inc(1)
	o := newOp(opSettle, claimed.hash, claimed.mark)
	o.outcome = Outcome{Kind: OutcomeNotRun}
	o.isRelease = true
	o.withdrawMark = claimed.forwardUncertain
	g.enqueueSettlement(o)
}

// enqueueSettlement queues a settlement even above MaxPendingOps, up to twice
// that number. Above that, the settlement is dropped: its key stays Running,
// then becomes Unknown, and is never run again.
func (g *group) enqueueSettlement(o *op) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) >= 2*g.claimer.cfg.MaxPendingOps {
		g.claimer.counters.settlementsDropped.Inc(1)
		return
	}
	g.pending = append(g.pending, o)
	g.startLocked()
}

// busy reports whether any op is queued or in progress.
func (g *group) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
