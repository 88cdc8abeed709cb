package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// maxHoldRefs limits the number of holds in one call.
const maxHoldRefs = 1024

// Hold reserves memory for one member of a long-prompt group. After a refusal
// with NO_MEMORY the caller keeps its place in the queue if it retries, with
// the same ID, at least once per WaitTTL of the ledger.
func (a *Agent) Hold(_ context.Context, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
	owner := backend.Owner{Entry: in.Entry, Incarnation: in.EntryIncarnation}
	if in.HoldId == "" || len(in.HoldId) > maxIDBytes || in.Entry == "" || len(in.Entry) > maxIDBytes {
		return &wirepb.HoldResponse{Code: wirepb.RefuseCode_REFUSE_BAD_REQUEST, Load: a.loadMessage()}, nil
	}
	a.recordOwnerAlive(owner)
	expiry, refused := a.grantHold(owner, in)
	out := &wirepb.HoldResponse{Granted: refused == nil, Load: a.loadMessage()}
	if refused != nil {
		out.Code = refused.code
		a.counters.refused(refused.code).Inc(1)
		return out, nil
	}
	out.TtlMs = uint64(max(0, expiry.Sub(a.cfg.Now())).Milliseconds())
	return out, nil
}

// grantHold checks and grants a hold in one critical section, so that no hold
// is granted after a drain has been reported as complete.
func (a *Agent) grantHold(owner backend.Owner, in *wirepb.HoldRequest) (time.Time, *refusal) {
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
		TTL:    durationFromMillis(in.TtlMs),
	})
	if err != nil {
		return time.Time{}, &refusal{refuseCode(err), err.Error()}
	}
	return expiry, nil
}

// durationFromMillis converts a duration received from the network, limited so
// that it can't overflow.
func durationFromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// recordOwnerAlive records that an entry is alive and frees what its earlier
// incarnations hold.
func (a *Agent) recordOwnerAlive(owner backend.Owner) {
	if freed, err := a.ledger.ObserveOwner(a.cfg.Now(), owner); err == nil {
		a.applyFreed(freed, errOwnerGone)
	}
}

// ExtendHolds renews the expiry of holds. The response lists unknown holds.
func (a *Agent) ExtendHolds(_ context.Context, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	return a.forEachHold(in, func(owner backend.Owner, ref *wirepb.HoldRef) error {
		_, err := a.ledger.Extend(a.cfg.Now(), ref.HoldId, owner, durationFromMillis(ref.TtlMs))
		return err
	})
}

// ReleaseHolds ends holds, cancels the runs that use them and frees their
// segments.
func (a *Agent) ReleaseHolds(_ context.Context, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	return a.forEachHold(in, func(owner backend.Owner, ref *wirepb.HoldRef) error {
		freed, err := a.ledger.Release(a.cfg.Now(), ref.HoldId, owner)
		a.applyFreed(freed, errHoldLapsed)
		return err
	})
}

func (a *Agent) forEachHold(in *wirepb.HoldRefs, update func(backend.Owner, *wirepb.HoldRef) error) (*wirepb.HoldStates, error) {
	if len(in.Holds) > maxHoldRefs {
		return nil, errors.NotValidf("%d holds in one call, peer %s", len(in.Holds), in.Entry)
	}
	owner := backend.Owner{Entry: in.Entry, Incarnation: in.EntryIncarnation}
	a.recordOwnerAlive(owner)
	out := &wirepb.HoldStates{}
	for _, ref := range in.Holds {
		if err := update(owner, ref); err != nil {
			out.Unknown = append(out.Unknown, ref.HoldId)
		}
	}
	out.Load = a.loadMessage()
	return out, nil
}
