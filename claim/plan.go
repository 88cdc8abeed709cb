package claim

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/objectapi"
)

var grantPersists = invariant.New("claim.grant_stays",
	"a granted claim that is not settled is on record under its own mark")

// plan is the result of applying a group to one read of the shard.
type plan struct {
	view           sealedView
	needsWrite     bool
	results        map[*op]result
	granted        []*op           // claims that are granted once the write has taken effect
	grantedHashes  map[string]bool // hashes of the claims in granted
	dependent      []*op           // claims refused because granted has a claim of the same key
	settled        []*op
	settledRecords map[string]keyRecord // records of settled after them, by hash; none if the key is free
	overCapacity   []*op                // claims that don't fit into the shard

	newSealed     objectapi.Object // new sealed object, in use only once the shard's write has taken effect
	expiredSealed []string         // sealed objects to delete once the write has taken effect
}

func (g *group) buildPlan(s *shard, view sealedView, batch []*op) *plan {
	p := &plan{view: view, results: make(map[*op]result, len(batch)), grantedHashes: map[string]bool{}, settledRecords: map[string]keyRecord{}}
	now := g.claimer.now()
	for _, o := range batch {
		switch o.kind {
		case opSettle:
			g.checkGrant(s, o)
			s.settle(o.hash, o.mark, o.outcome, o.issued, now)
			if o.withdrawMark {
				g.claimer.counters.withdrawnDropped.Inc(int64(s.withdraw(o.mark, now)))
			}
			p.settled = append(p.settled, o)
			if r, ok := s.Claims[o.hash]; ok {
				p.settledRecords[o.hash] = r
			}
			p.needsWrite = true // even if nothing changed: a late write of the claim must fail its condition
		case opLookup:
			g.planLookup(p, s, o, now)
		default:
			g.planClaim(p, s, o, now)
		}
	}
	return p
}

// checkGrant detects a second grant of a key: a claim that was granted and is
// not settled stays recorded under its own mark until it is. This does not hold
// for a settlement as "not run" whose earlier write may have taken effect: that
// write freed the key, and another call may have claimed it since.
func (g *group) checkGrant(s *shard, o *op) {
	freed := (o.maybeWritten || o.fromPeer) && o.outcome.Kind == OutcomeNotRun
	if o.issued || o.isRelease || freed {
		return
	}
	e, ok := s.Claims[o.hash]
	grantPersists.Check(!ok || e.Mark == o.mark,
		"shard %s, key %s: granted to %s and to %s", g.name, o.hash, o.mark, e.Mark)
}

func (g *group) planLookup(p *plan, s *shard, o *op, now time.Time) {
	prior := Prior{State: Unknown}
	if e, ok := s.Claims[o.hash]; ok {
		prior = e.prior(now, g.claimer.cfg.MaxRunTime)
	}
	name, _ := p.view.find(o.hash)
	p.results[o] = result{verdict: verdictRefuse, prior: prior, sealed: name}
}

func (g *group) planClaim(p *plan, s *shard, o *op, now time.Time) {
	if s.isWithdrawn(o.mark) || o.fromPeer && now.After(o.expiresAt) {
		p.results[o] = result{err: errors.Annotatef(g.heldError(o), "step claim, shard %s: late", g.name)}
		return
	}
	if name, ok := p.view.find(o.hash); ok {
		p.results[o] = result{verdict: verdictRefuse, prior: Prior{State: Unknown}, sealed: name}
		return
	}
	before, recorded := s.Claims[o.hash]
	if !recorded && now.Before(g.written.heldUntil) {
		// The store may have lost the record of an earlier send.
		p.results[o] = result{err: errors.Annotatef(g.heldError(o), "step claim, shard %s: the store came back from an older copy", g.name)}
		return
	}
	switch s.claim(o.hash, o.mark, now) {
	case verdictGrant:
		p.needsWrite = true
		fallthrough
	case verdictAlreadyGranted:
		p.granted = append(p.granted, o)
		p.grantedHashes[o.hash] = true
	default:
		p.results[o] = result{verdict: verdictRefuse, prior: before.prior(now, g.claimer.cfg.MaxRunTime)}
		if p.grantedHashes[o.hash] {
			p.dependent = append(p.dependent, o)
		}
	}
}

// heldError is the error of a claim that isn't recorded though no other claim is.
func (g *group) heldError(o *op) error {
	if o.fromPeer {
		return errOutcomeUncertain
	}
	return ErrUnverified
}

// encode reduces the shard to its size limit: it first drops claims past their
// retention, then stored responses, and if that is not enough refuses the group's
// new claims. Settlements may use the space between the limit and the store's
// maximum value size.
func (g *group) encode(s *shard, p *plan) (json.RawMessage, error) {
	limit := g.claimer.cfg.MaxShardBytes
	data, err := json.Marshal(s)
	if err == nil && len(data) > limit {
		s.dropExpiredClaims(g.claimer.now(), g.claimer.cfg.Retention)
		data, err = json.Marshal(s)
	}
	if err == nil && len(data) > limit {
		g.claimer.counters.responsesDropped.Inc(1)
		s.dropResponses(len(data) - limit)
		data, err = json.Marshal(s)
	}
	if err == nil && len(data) > limit {
		p.refuseNewClaims(s)
		g.claimer.counters.shardFull.Inc(int64(len(p.overCapacity)))
		data, err = json.Marshal(s)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "step encode claim shard %s", g.name)
	}
	if len(data) > objectapi.MaxValueBytes {
		return nil, errors.Annotatef(objectapi.ErrTooLarge, "step encode claim shard %s", g.name)
	}
	return compress(data)
}

// refuseNewClaims removes this group's claims from the shard.
func (p *plan) refuseNewClaims(s *shard) {
	for _, o := range p.granted {
		delete(s.Claims, o.hash)
	}
	for _, o := range p.dependent {
		delete(p.results, o)
	}
	p.overCapacity = append(p.granted, p.dependent...)
	p.granted = nil
	p.dependent = nil
}
