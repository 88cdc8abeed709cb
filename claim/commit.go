package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// maxContendedTimeouts is how many times StoreTimeout a group may take while
// its writes conflict with those of other entries.
const maxContendedTimeouts = 5

const errTooManyConflicts = errors.ConstError("too many conflicts")

// commit applies one group to the shard by a read and a conditional write, and
// repeats this until the write succeeds or the store fails. It reports whether
// the store worked.
//
// A conflict shows that the store works, and restarts the group's StoreTimeout:
// an entry whose writes are slower than those of other entries loses many in a
// row.
func (g *group) commit(batch []*op) bool {
	if g.forwardSettlements(batch) {
		return true
	}
	groupCtx, cancel := context.WithTimeout(context.Background(), maxContendedTimeouts*g.claimer.cfg.StoreTimeout)
	defer cancel()
	limit := time.Now().Add(g.claimer.cfg.StoreTimeout)
	var last *plan
	ambiguous := false // a write of this group may have taken effect, or may do so later
	var err error = errTooManyConflicts
	for n := range g.claimer.cfg.MaxAttempts {
		g.setTryStarted(g.claimer.now())
		p, tryErr := g.tryCommitUntil(groupCtx, limit, batch)
		if p != nil {
			last = p
		}
		switch {
		case tryErr == nil:
			g.written.lost = false
			g.written.remember(last, g.claimer.now())
			g.completeGroup(last)
			g.adjustSpacing(n)
			if len(last.expiredSealed) > 0 {
				go g.deleteExpired(last.expiredSealed)
			}
			return true
		case isWriteConflict(tryErr):
			g.claimer.counters.storeConflicts.Inc(1)
			if p != nil {
				g.deleteOrphan(groupCtx, p)
			}
			g.waitAfterConflict(groupCtx, n)
			limit = time.Now().Add(g.claimer.cfg.StoreTimeout)
			continue
		case errors.Is(tryErr, objectapi.ErrOutcomeUnknown):
			g.claimer.counters.storeResponsesLost.Inc(1)
			ambiguous = true
			markMaybeWritten(batch)
			err = tryErr
			continue
		}
		g.failGroup(batch, last, tryErr, ambiguous)
		return false
	}
	g.failGroup(batch, last, err, ambiguous)
	return false
}

// maxIntervalFactor and maxIntervalFactorWithPeers limit how far entries that
// write one shard space out their groups, in multiples of MinGroupInterval. A
// random extra of up to 1/jitterDivisor of the interval keeps entries from
// writing in step.
const (
	maxIntervalFactor          = 16
	maxIntervalFactorWithPeers = 4
	jitterDivisor              = 8
)

// maxIntervalFactorNow returns the limit of intervalFactor. It is lower where
// peers forward claims to this entry: for a group that starts too late, their
// senders would stop waiting and write themselves, which causes more conflicts
// than the spacing avoids.
func (g *group) maxIntervalFactorNow() int {
	if g.claimer.cfg.Peers != nil {
		return maxIntervalFactorWithPeers
	}
	return maxIntervalFactor
}

// adjustSpacing increases the interval between groups after conflicts with
// other entries and slowly decreases it afterwards. Otherwise many entries on
// one shard would spend the store's writes on conflicts.
func (g *group) adjustSpacing(conflicts int) {
	switch {
	case conflicts > 1:
		g.intervalFactor = min(2*g.intervalFactor, g.maxIntervalFactorNow())
	case conflicts == 0 && g.intervalFactor > 1:
		g.intervalFactor--
	}
}

// waitAfterConflict waits a random time after the nth conflict of a group, with
// a limit that grows with n, so that entries whose writes conflicted do not
// conflict again.
func (g *group) waitAfterConflict(ctx context.Context, n int) {
	longest := g.claimer.cfg.MinGroupInterval / conflictDelayDivisor << min(n, maxConflictShift)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(rand.Int64N(int64(longest) + 1))):
	}
}

// The longest wait after a first conflict is
// MinGroupInterval/conflictDelayDivisor. It doubles with each further conflict,
// at most maxConflictShift times.
const (
	conflictDelayDivisor = 4
	maxConflictShift     = 4
)

func markMaybeWritten(batch []*op) {
	for _, o := range batch {
		o.maybeWritten = true
	}
}

func (g *group) tryCommitUntil(ctx context.Context, limit time.Time, batch []*op) (*plan, error) {
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	return g.tryCommit(ctx, batch)
}

// tryCommit reads the shard once, applies the group and writes the shard. The
// plan is nil if the read failed. A group whose earlier write took effect
// without an response finds its own marks and writes nothing.
func (g *group) tryCommit(ctx context.Context, batch []*op) (*plan, error) {
	if err := g.claimer.layout.check(ctx); err != nil {
		return nil, err
	}
	s, version, err := g.readShard(ctx)
	if err != nil {
		return nil, err
	}
	view, err := g.sealed.loadView(ctx, g.claimer, s.Sealed)
	if err != nil {
		return nil, err
	}
	if g.restored.Swap(false) {
		g.written.noteRestored(g.claimer.now())
	}
	g.written.noteVersion(version, g.claimer.now())
	restored := g.written.restore(s, view)
	g.claimer.counters.restored.Inc(int64(restored))
	p := g.buildPlan(s, view, batch)
	p.needsWrite = p.needsWrite || restored > 0
	if !p.needsWrite {
		return p, nil
	}
	g.dropExpired(s, p)
	data, err := json.Marshal(s)
	if err == nil && g.sealDue(s, len(data)) {
		err = g.seal(ctx, s, p)
	}
	if err != nil {
		return p, err
	}
	data, err = g.encode(s, p)
	if err != nil {
		return p, err
	}
	return p, g.writeShard(ctx, data, version)
}

func isWriteConflict(err error) bool {
	return errors.Is(err, objectapi.ErrConflict) ||
		errors.Is(err, objectapi.ErrExists) ||
		errors.Is(err, objectapi.ErrNotFound)
}

// readShard returns the shard and its version, which is 0 if there is no object
// yet.
func (g *group) readShard(ctx context.Context) (*shard, uint64, error) {
	g.claimer.counters.storeReads.Inc(1)
	obj, err := g.claimer.cfg.Store.Get(ctx, Kind, g.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		s, err := decodeShard(nil)
		return s, 0, err
	}
	if err != nil {
		return nil, 0, errors.Annotatef(err, "step read claim shard %s", g.name)
	}
	s, err := decodeShard(obj.Data)
	return s, obj.Version, err
}

func (g *group) writeShard(ctx context.Context, data json.RawMessage, version uint64) error {
	g.claimer.counters.storeWrites.Inc(1)
	var err error
	if version == 0 {
		_, err = g.claimer.cfg.Store.Create(ctx, Kind, g.name, data)
	} else {
		_, err = g.claimer.cfg.Store.Update(ctx, Kind, g.name, data, version)
	}
	return errors.Annotatef(err, "step write claim shard %s", g.name)
}

// completeGroup returns the results of a group whose write took effect.
func (g *group) completeGroup(p *plan) {
	g.claimer.counters.opsCommitted.Inc(int64(len(p.granted) + len(p.settled)))
	for o, r := range p.results {
		o.resultCh <- r
	}
	for _, o := range p.overCapacity {
		o.resultCh <- result{err: errors.Annotatef(ErrNotRun, "step claim, shard %s is full", g.name)}
	}
	for _, o := range p.granted {
		g.completeClaim(o)
	}
	for _, o := range p.settled {
		o.resultCh <- result{}
	}
}

// completeClaim returns the result of a recorded claim. If its caller has
// stopped waiting, the claim is released.
func (g *group) completeClaim(o *op) {
	g.mu.Lock()
	gone := o.abandoned
	o.resultCh <- result{verdict: verdictGrant}
	g.mu.Unlock()
	if gone && !o.fromPeer {
		g.release(o)
	}
}

// failGroup ends a group that was not recorded. The result of a claim follows
// from the last read of the shard: the record of another call, if there was
// one; ErrNotRun if there was none, because nothing had run when the shard was
// read after the call came in; or ErrUnverified if no read succeeded.
// Settlements record what has happened and stay queued, here or at the entry that forwarded
// them. A claim that was refused here but may be recorded, because a write's
// response was lost, is released.
func (g *group) failGroup(batch []*op, last *plan, cause error, ambiguous bool) {
	absent := map[*op]bool{}
	if last != nil {
		for _, o := range last.granted {
			absent[o] = true
		}
		for _, o := range last.dependent {
			absent[o] = true
			delete(last.results, o)
		}
	}
	for _, o := range batch {
		if o.kind == opSettle && !o.fromPeer {
			g.enqueueSettlement(o)
			continue
		}
		if ambiguous && o.fromPeer {
			o.resultCh <- result{err: errors.Annotatef(errOutcomeUncertain, "step write, shard %s", g.name)}
			continue // the sender settles it through the store
		}
		o.resultCh <- g.failureResult(o, last, absent[o], cause)
		if ambiguous && o.kind == opClaim {
			g.release(o)
		}
	}
}

func (g *group) failureResult(o *op, last *plan, absent bool, cause error) result {
	if last != nil {
		if r, ok := last.results[o]; ok {
			return r
		}
	}
	verdict := ErrUnverified
	if absent {
		verdict = ErrNotRun
	}
	return result{err: errors.Annotatef(verdict, "step claim, shard %s: %v", g.name, cause)}
}
