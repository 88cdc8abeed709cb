package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// contendedTimeouts is how many StoreTimeouts a group may take while its writes meet
// others.
const contendedTimeouts = 5

const errTooManyConflicts = errors.ConstError("too many conflicts")

// commit brings one group into the shard by read and conditional write, again
// and again until it lands or the store fails. It reports whether the store
// worked.
//
// A conflict shows that the store works, and gives the group its time anew: one
// whose writes are slower than those of other entries loses many in a row.
func (g *group) commit(batch []*op) bool {
	if g.forwardSettlements(batch) {
		return true
	}
	whole, cancel := context.WithTimeout(context.Background(), contendedTimeouts*g.c.cfg.StoreTimeout)
	defer cancel()
	limit := time.Now().Add(g.c.cfg.StoreTimeout)
	var last *plan
	ambiguous := false // a write of this group may have landed, or land late
	var err error = errTooManyConflicts
	for n := range g.c.cfg.MaxAttempts {
		g.setStarted(g.c.now())
		p, tryErr := g.tryUntil(whole, limit, batch)
		if p != nil {
			last = p
		}
		switch {
		case tryErr == nil:
			g.land(last)
			g.adapt(n)
			if len(last.expired) > 0 {
				go g.deleteExpired(last.expired)
			}
			return true
		case isConflict(tryErr):
			g.c.m.conflicts.Inc(1)
			if p != nil {
				g.deleteOrphan(whole, p)
			}
			g.pause(whole, n)
			limit = time.Now().Add(g.c.cfg.StoreTimeout)
			continue
		case errors.Is(tryErr, objectapi.ErrOutcomeUnknown):
			g.c.m.answersLost.Inc(1)
			ambiguous = true
			markSent(batch)
			err = tryErr
			continue
		}
		g.giveUp(batch, last, tryErr, ambiguous)
		return false
	}
	g.giveUp(batch, last, err, ambiguous)
	return false
}

// maxSpread bounds how far entries that write one shard give way to each other;
// jitterPart of an interval is added at random, so that they don't keep in step.
const (
	maxSpread       = 16
	maxServedSpread = 4
	jitterPart      = 8
)

// maxSpread is less where claims are forwarded here: their senders would stop
// waiting for a group that starts too late, write themselves, and meet in more
// conflicts than the spread avoids.
func (g *group) maxSpread() int {
	if g.c.cfg.Peers != nil {
		return maxServedSpread
	}
	return maxSpread
}

// adapt spaces groups further apart when their writes met others, and slowly
// closer again: many entries on one shard would otherwise spend the store's
// writes on conflicts.
func (g *group) adapt(conflicts int) {
	switch {
	case conflicts > 1:
		g.spread = min(2*g.spread, g.maxSpread())
	case conflicts == 0 && g.spread > 1:
		g.spread--
	}
}

// pause waits at random after the nth conflict of a group, longer each time, so
// that entries whose writes met do not meet again.
func (g *group) pause(ctx context.Context, n int) {
	longest := g.c.cfg.MinGroupInterval / conflictPart << min(n, maxConflictShift)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(rand.Int64N(int64(longest) + 1))):
	}
}

// conflictPart of MinGroupInterval is the longest wait after a first conflict, and
// maxConflictShift bounds how often it doubles.
const (
	conflictPart     = 4
	maxConflictShift = 4
)

func markSent(batch []*op) {
	for _, o := range batch {
		o.sent = true
	}
}

func (g *group) tryUntil(ctx context.Context, limit time.Time, batch []*op) (*plan, error) {
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	return g.try(ctx, batch)
}

// try reads the shard once, applies the group and writes. The plan is nil if
// the read failed. A group whose earlier write landed without an answer finds
// its own marks and writes nothing.
func (g *group) try(ctx context.Context, batch []*op) (*plan, error) {
	if err := g.c.layout.check(ctx); err != nil {
		return nil, err
	}
	s, version, err := g.read(ctx)
	if err != nil {
		return nil, err
	}
	view, err := g.sealed.load(ctx, g.c, s.Sealed)
	if err != nil {
		return nil, err
	}
	p := g.plan(s, view, batch)
	if !p.dirty {
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
	return p, g.write(ctx, data, version)
}

func isConflict(err error) bool {
	return errors.Is(err, objectapi.ErrConflict) ||
		errors.Is(err, objectapi.ErrExists) ||
		errors.Is(err, objectapi.ErrNotFound)
}

// read returns the shard and its version; zero if there is no object yet.
func (g *group) read(ctx context.Context) (*shard, uint64, error) {
	g.c.m.reads.Inc(1)
	obj, err := g.c.cfg.Store.Get(ctx, Kind, g.name)
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

func (g *group) write(ctx context.Context, data json.RawMessage, version uint64) error {
	g.c.m.writes.Inc(1)
	var err error
	if version == 0 {
		_, err = g.c.cfg.Store.Create(ctx, Kind, g.name, data)
	} else {
		_, err = g.c.cfg.Store.Update(ctx, Kind, g.name, data, version)
	}
	return errors.Annotatef(err, "step write claim shard %s", g.name)
}

// land answers a group that is on record.
func (g *group) land(p *plan) {
	g.c.m.landed.Inc(int64(len(p.granted) + len(p.settled)))
	for o, r := range p.results {
		o.answer <- r
	}
	for _, o := range p.refused {
		o.answer <- result{err: errors.Annotatef(ErrNotRun, "step claim, shard %s is full", g.name)}
	}
	for _, o := range p.granted {
		g.answerGranted(o)
	}
	for _, o := range p.settled {
		o.answer <- result{}
	}
}

// answerGranted answers a claim that is on record; if its caller has gone, it
// is released.
func (g *group) answerGranted(o *op) {
	g.mu.Lock()
	gone := o.abandoned
	o.answer <- result{verdict: grant}
	g.mu.Unlock()
	if gone && !o.served {
		g.release(o)
	}
}

// giveUp ends a group that did not land. Claims are answered by what the last
// reading showed: a record of another call; or none, and then nothing had run
// when it was read, after the call came in; or there was no reading. Settlements
// are facts and stay queued, here or at the entry that forwarded them. A claim that a lost answer may have put on record
// is released, for it is refused to its caller here.
func (g *group) giveUp(batch []*op, last *plan, cause error, ambiguous bool) {
	absent := map[*op]bool{}
	if last != nil {
		for _, o := range last.granted {
			absent[o] = true
		}
		for _, o := range last.waiting {
			absent[o] = true
			delete(last.results, o)
		}
	}
	for _, o := range batch {
		if o.kind == opSettle && !o.served {
			g.requeue(o)
			continue
		}
		if ambiguous && o.served {
			o.answer <- result{err: errors.Annotatef(errUnsure, "step write, shard %s", g.name)}
			continue // its sender settles it through the store
		}
		o.answer <- g.refusal(o, last, absent[o], cause)
		if ambiguous && o.kind == opClaim {
			g.release(o)
		}
	}
}

func (g *group) refusal(o *op, last *plan, absent bool, cause error) result {
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
