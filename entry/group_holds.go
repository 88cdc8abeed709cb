package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/wire/wirepb"
)

func (g *group) holdID(m *member) string {
	return fmt.Sprintf("%s.%d.%d", g.name, m.index, m.holdGeneration)
}

// acquireHolds acquires the holds of all members or of none. Between rounds
// nothing is held, so two groups can't deadlock. A refused hold is requested
// again under the same id and so keeps its position in the agent's queue.
func (g *group) acquireHolds(ctx context.Context) *result {
	for round := 0; ; round++ {
		refused := g.requestHolds(ctx)
		if refused == nil {
			return nil
		}
		g.releaseHolds(g.grantedMembers())
		passes := isCapacityRefusal(refused.refuse)
		if ctx.Err() != nil || !passes || g.call.shouldGiveUp() {
			if passes {
				g.call.refusals = g.call.e.limits.MaxRefusals // no time is left to retry
			}
			return refused
		}
		g.call.rounds++
		sleep.For(ctx, g.call.backoffDelay())
	}
}

// requestHolds requests the hold of each member in key order. It continues
// after a refusal for lack of capacity, so that each agent without enough
// memory starts to reserve it. It stops at any other refusal or error and
// returns that one, otherwise the last refusal.
func (g *group) requestHolds(ctx context.Context) *result {
	var worst *result
	for _, m := range g.byKey {
		refused := g.requestHold(ctx, m)
		if refused == nil {
			continue
		}
		worst = refused
		if !isCapacityRefusal(refused.refuse) {
			return worst
		}
	}
	return worst
}

func (g *group) requestHold(ctx context.Context, m *member) *result {
	ctx, cancel := context.WithTimeout(ctx, g.call.e.limits.AdmissionTimeout)
	defer cancel()
	m.holdRequested = true
	out, err := g.call.e.cfg.AgentClient.Hold(ctx, m.RPCAddress, &wirepb.HoldRequest{
		HoldId:           m.holdID,
		RequestId:        g.call.spec.ID,
		Entry:            g.call.e.cfg.Name,
		EntryIncarnation: g.call.e.cfg.Incarnation,
		Tokens:           uint64(m.holdTokens),
		TtlMs:            uint64(g.call.e.limits.HoldTTL.Milliseconds()),
	})
	if err != nil {
		return &result{server: m.Name, err: errors.Annotatef(err, "step hold, peer %s", m.Name)}
	}
	g.call.e.observeLoad(m.Name, out.GetLoad())
	if out.GetGranted() {
		m.holdGranted = true
		return nil
	}
	return &result{server: m.Name, refuse: &wirepb.Refuse{Code: out.GetCode(),
		Detail: fmt.Sprintf("%s has no room for %d tokens of a long prompt", m.Name, m.holdTokens)}}
}

// isCapacityRefusal reports whether a refusal is due to a lack of capacity, which
// waiting may resolve.
func isCapacityRefusal(r *wirepb.Refuse) bool {
	code := r.GetCode()
	return code == wirepb.RefuseCode_REFUSE_NO_MEMORY || code == wirepb.RefuseCode_REFUSE_BUSY
}

func (g *group) grantedMembers() []*member {
	var out []*member
	for _, m := range g.members {
		if m.holdGranted {
			out = append(out, m)
		}
	}
	return out
}

// releaseHolds releases the holds of members, each in its own goroutine, so
// that an agent that doesn't respond can't delay the release on the others. If
// a release is lost, the hold expires. The ids aren't reused: an agent refuses
// a released id, so that a delayed Hold request can't reserve memory that
// nothing uses.
func (g *group) releaseHolds(members []*member) {
	ctx, cancel := context.WithTimeout(context.Background(), g.call.e.limits.AdmissionTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range members {
		refs := g.holdRefs(m, 0)
		wg.Go(func() {
			if _, err := g.call.e.cfg.AgentClient.ReleaseHolds(ctx, m.RPCAddress, refs); err != nil {
				g.call.e.metrics.count("entry.holds.release_failed")
			}
		})
		m.holdGranted, m.holdRequested = false, false
		m.holdGeneration++
		m.holdID = g.holdID(m)
	}
	wg.Wait()
}

// releaseInBackground releases every hold that an agent may have, including
// queued ones and ones whose response was lost, without delaying the caller.
func (g *group) releaseInBackground() {
	var asked []*member
	for _, m := range g.members {
		if m.holdRequested {
			asked = append(asked, m)
		}
	}
	if len(asked) == 0 {
		return
	}
	g.call.e.inFlight.Go(func() { g.releaseHolds(asked) })
}

func (g *group) holdRefs(m *member, ttl time.Duration) *wirepb.HoldRefs {
	return &wirepb.HoldRefs{
		Entry:            g.call.e.cfg.Name,
		EntryIncarnation: g.call.e.cfg.Incarnation,
		Holds:            []*wirepb.HoldRef{{HoldId: m.holdID, TtlMs: uint64(ttl.Milliseconds())}},
	}
}

// extendHolds extends the holds until ctx ends. If a hold is lost, it cancels
// ctx with errHoldLost, since the agent may give the memory to other runs
// while the group still uses it. stop cancels ctx and waits for pending
// extensions to return.
func (g *group) extendHolds(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	var wg sync.WaitGroup
	for _, m := range g.members {
		refs := g.holdRefs(m, g.call.e.limits.HoldTTL)
		wg.Go(func() { g.extendHold(ctx, cancel, m, refs) })
	}
	return func() {
		cancel(nil)
		wg.Wait()
	}
}

func (g *group) extendHold(ctx context.Context, cancel context.CancelCauseFunc, m *member, refs *wirepb.HoldRefs) {
	ttl := g.call.e.limits.HoldTTL
	extended := time.Now()
	for {
		sleep.For(ctx, ttl/extendsPerTTL)
		if ctx.Err() != nil {
			return
		}
		// The TTL is measured from before the call, since the agent restarts it
		// no earlier.
		sent := time.Now()
		callCtx, done := context.WithTimeout(ctx, ttl/extendsPerTTL)
		out, err := g.call.e.cfg.AgentClient.ExtendHolds(callCtx, m.RPCAddress, refs)
		done()
		lost := err != nil && time.Since(extended) >= ttl
		if lost || len(out.GetUnknown()) > 0 {
			cancel(errors.Annotatef(errHoldLost, "peer %s", m.Name))
			return
		}
		if err == nil {
			extended = sent
		}
	}
}
