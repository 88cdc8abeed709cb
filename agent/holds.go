package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// maxHoldRefs bounds the holds named in one call.
const maxHoldRefs = 1024

// Hold reserves memory for one member of a long-prompt group. A refusal with
// NO_MEMORY keeps the caller's place in the queue while it asks again, with the
// same id, at least every WaitTTL of the ledger.
func (a *Agent) Hold(_ context.Context, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
	owner := backend.Owner{Entry: in.Entry, Incarnation: in.EntryIncarnation}
	if in.HoldId == "" || len(in.HoldId) > maxIDBytes || in.Entry == "" || len(in.Entry) > maxIDBytes {
		return &wirepb.HoldResponse{Code: wirepb.RefuseCode_REFUSE_BAD_REQUEST, Load: a.wireLoad()}, nil
	}
	a.heard(owner)
	expiry, refused := a.tryHold(owner, in)
	out := &wirepb.HoldResponse{Granted: refused == nil, Load: a.wireLoad()}
	if refused != nil {
		out.Code = refused.code
		a.counter.refused(refused.code).Inc(1)
		return out, nil
	}
	out.TtlMs = uint64(max(0, expiry.Sub(a.cfg.Now())).Milliseconds())
	return out, nil
}

// tryHold checks and grants in one critical section, so that no hold is granted
// after a drain has been reported as done.
func (a *Agent) tryHold(owner backend.Owner, in *wirepb.HoldRequest) (time.Time, *refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return time.Time{}, checkDraining(a, &run{start: &wirepb.Start{}})
	}
	if refused := checkEngine(a, nil); refused != nil {
		return time.Time{}, refused
	}
	expiry, err := a.ledger.Hold(a.cfg.Now(), backend.HoldSpec{
		ID:     in.HoldId,
		Owner:  owner,
		Tokens: int64(min(in.Tokens, maxTokens)),
		TTL:    millis(in.TtlMs),
	})
	if err != nil {
		return time.Time{}, &refusal{refuseCode(err), err.Error()}
	}
	return expiry, nil
}

// millis converts a span off the wire, bounded so that it can't overflow.
func millis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// heard notes a sign of life of an entry.
func (a *Agent) heard(owner backend.Owner) {
	if freed, err := a.ledger.ObserveOwner(a.cfg.Now(), owner); err == nil {
		a.apply(freed, errOwnerGone)
	}
}

// ExtendHolds moves the expiry of holds. Unknown ones are named in the answer.
func (a *Agent) ExtendHolds(_ context.Context, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	return a.eachHold(in, func(owner backend.Owner, ref *wirepb.HoldRef) error {
		_, err := a.ledger.Extend(a.cfg.Now(), ref.HoldId, owner, millis(ref.TtlMs))
		return err
	})
}

// ReleaseHolds ends holds, cancels what runs on them and frees their segments.
func (a *Agent) ReleaseHolds(_ context.Context, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	return a.eachHold(in, func(owner backend.Owner, ref *wirepb.HoldRef) error {
		freed, err := a.ledger.Release(a.cfg.Now(), ref.HoldId, owner)
		a.apply(freed, errHoldLapsed)
		return err
	})
}

func (a *Agent) eachHold(in *wirepb.HoldRefs, do func(backend.Owner, *wirepb.HoldRef) error) (*wirepb.HoldStates, error) {
	if len(in.Holds) > maxHoldRefs {
		return nil, errors.NotValidf("%d holds in one call, peer %s", len(in.Holds), in.Entry)
	}
	owner := backend.Owner{Entry: in.Entry, Incarnation: in.EntryIncarnation}
	a.heard(owner)
	out := &wirepb.HoldStates{}
	for _, ref := range in.Holds {
		if err := do(owner, ref); err != nil {
			out.Unknown = append(out.Unknown, ref.HoldId)
		}
	}
	out.Load = a.wireLoad()
	return out, nil
}
