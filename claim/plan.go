package claim

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/objectapi"
)

var grantStays = invariant.New("claim.grant_stays",
	"a granted claim that is not settled is on record under its own mark")

// plan is a group applied to one reading of the shard.
type plan struct {
	view    sealedView
	dirty   bool
	results map[*op]result
	granted []*op           // claims that hold once the write has landed
	hashes  map[string]bool // of granted
	waiting []*op           // claims refused because of one in granted
	settled []*op
	refused []*op // claims that the shard has no room for

	orphan  objectapi.Object // sealed object that counts only if the write lands
	expired []string         // sealed objects to delete once the write has landed
}

func (g *group) plan(s *shard, view sealedView, batch []*op) *plan {
	p := &plan{view: view, results: make(map[*op]result, len(batch)), hashes: map[string]bool{}}
	now := g.c.now()
	for _, o := range batch {
		switch o.kind {
		case opSettle:
			g.checkGrant(s, o)
			s.settle(o.hash, o.mark, o.outcome, o.issued, now)
			if o.withdraw {
				g.c.m.withdrawnDropped.Inc(int64(s.withdraw(o.mark, now)))
			}
			p.settled = append(p.settled, o)
			p.dirty = true // also if nothing changed: a write that is late must lose
		case opLookup:
			g.planLookup(p, s, o, now)
		default:
			g.planClaim(p, s, o, now)
		}
	}
	return p
}

// checkGrant looks for a second grant of a key: a claim that was granted and is
// not settled stays on record under its own mark until it is. A settlement as
// "not run" whose earlier write may have landed is no such claim: the key was
// free, and another may hold it by right.
func (g *group) checkGrant(s *shard, o *op) {
	freed := (o.sent || o.served) && o.outcome.Kind == OutcomeNotRun
	if o.issued || o.release || freed {
		return
	}
	e, ok := s.Claims[o.hash]
	grantStays.Check(!ok || e.Mark == o.mark,
		"shard %s, key %s: granted to %s and to %s", g.name, o.hash, o.mark, e.Mark)
}

func (g *group) planLookup(p *plan, s *shard, o *op, now time.Time) {
	prior := Prior{State: Unknown}
	if e, ok := s.Claims[o.hash]; ok {
		prior = e.prior(now, g.c.cfg.MaxRunTime)
	}
	name, _ := p.view.find(o.hash)
	p.results[o] = result{verdict: refuse, prior: prior, sealed: name}
}

func (g *group) planClaim(p *plan, s *shard, o *op, now time.Time) {
	if s.isWithdrawn(o.mark) || o.served && now.After(o.until) {
		verdict := ErrUnverified
		if o.served {
			verdict = errUnsure
		}
		p.results[o] = result{err: errors.Annotatef(verdict, "step claim, shard %s: late", g.name)}
		return
	}
	if name, ok := p.view.find(o.hash); ok {
		p.results[o] = result{verdict: refuse, prior: Prior{State: Unknown}, sealed: name}
		return
	}
	before := s.Claims[o.hash]
	switch s.claim(o.hash, o.mark, now) {
	case grant:
		p.dirty = true
		fallthrough
	case granted:
		p.granted = append(p.granted, o)
		p.hashes[o.hash] = true
	default:
		p.results[o] = result{verdict: refuse, prior: before.prior(now, g.c.cfg.MaxRunTime)}
		if p.hashes[o.hash] {
			p.waiting = append(p.waiting, o)
		}
	}
}

// encode brings the shard under its size limit: what is past its retention goes
// first, then answers, and if that is not enough this group's new claims.
// Settlements may use the room between the limit and what the store holds.
func (g *group) encode(s *shard, p *plan) (json.RawMessage, error) {
	limit := g.c.cfg.MaxShardBytes
	data, err := json.Marshal(s)
	if err == nil && len(data) > limit {
		s.expire(g.c.now(), g.c.cfg.Retention)
		data, err = json.Marshal(s)
	}
	if err == nil && len(data) > limit {
		g.c.m.answersDropped.Inc(1)
		s.dropAnswers(len(data) - limit)
		data, err = json.Marshal(s)
	}
	if err == nil && len(data) > limit {
		p.refuseNew(s)
		g.c.m.full.Inc(int64(len(p.refused)))
		data, err = json.Marshal(s)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "step encode claim shard %s", g.name)
	}
	if len(data) > objectapi.MaxValueBytes {
		return nil, errors.Annotatef(objectapi.ErrTooLarge, "step encode claim shard %s", g.name)
	}
	return pack(data)
}

// refuseNew takes this group's claims out of the shard again.
func (p *plan) refuseNew(s *shard) {
	for _, o := range p.granted {
		delete(s.Claims, o.hash)
	}
	for _, o := range p.waiting {
		delete(p.results, o)
	}
	p.refused = append(p.granted, p.waiting...)
	p.granted = nil
	p.waiting = nil
}
