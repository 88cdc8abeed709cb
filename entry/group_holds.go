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
	return fmt.Sprintf("%s.%d.%d", g.name, m.index, m.renewals)
}

// acquire takes all holds or none. Between rounds nothing is held, so two
// groups can't wait for each other; a member that refused keeps the hold's place
// in its agent's line, since it is asked again under the same id.
func (g *group) acquire(ctx context.Context) *result {
	for round := 0; ; round++ {
		refused := g.round(ctx)
		if refused == nil {
			return nil
		}
		g.release(g.granted())
		passes := waitsForMemory(refused.refuse)
		if ctx.Err() != nil || !passes || g.c.givesUp() {
			if passes {
				g.c.refusals = g.c.e.limits.MaxRefusals // its time is used up
			}
			return refused
		}
		g.c.rounds++
		sleep.For(ctx, g.c.backoff())
	}
}

// round asks every member in order. It goes on after a refusal, so that each
// agent that has no room yet begins to keep some; it returns the refusal that
// matters most.
func (g *group) round(ctx context.Context) *result {
	var worst *result
	for _, m := range g.ordered {
		refused := g.hold(ctx, m)
		if refused == nil {
			continue
		}
		worst = refused
		if !waitsForMemory(refused.refuse) {
			return worst
		}
	}
	return worst
}

func (g *group) hold(ctx context.Context, m *member) *result {
	ctx, cancel := context.WithTimeout(ctx, g.c.e.limits.AdmissionTimeout)
	defer cancel()
	m.asked = true
	out, err := g.c.e.cfg.AgentClient.Hold(ctx, m.RPCAddress, &wirepb.HoldRequest{
		HoldId:           m.holdID,
		RequestId:        g.c.spec.ID,
		Entry:            g.c.e.cfg.Name,
		EntryIncarnation: g.c.e.cfg.Incarnation,
		Tokens:           uint64(m.reserve),
		TtlMs:            uint64(g.c.e.limits.HoldTTL.Milliseconds()),
	})
	if err != nil {
		return &result{peer: m.Name, err: errors.Annotatef(err, "step hold, peer %s", m.Name)}
	}
	g.c.e.observe(m.Name, out.GetLoad())
	if out.GetGranted() {
		m.granted = true
		return nil
	}
	return &result{peer: m.Name, refuse: &wirepb.Refuse{Code: out.GetCode(),
		Detail: fmt.Sprintf("%s has no room for %d tokens of a long prompt", m.Name, m.reserve)}}
}

// waitsForMemory reports whether a refusal passes by waiting.
func waitsForMemory(r *wirepb.Refuse) bool {
	code := r.GetCode()
	return code == wirepb.RefuseCode_REFUSE_NO_MEMORY || code == wirepb.RefuseCode_REFUSE_BUSY
}

func (g *group) granted() []*member {
	var out []*member
	for _, m := range g.members {
		if m.granted {
			out = append(out, m)
		}
	}
	return out
}

// release gives holds back, each in a goroutine of its own: an agent that
// doesn't answer must not keep the others' memory. A lost release is made good
// by the hold's expiry. The ids are used up: an agent refuses a released id, so
// that a Hold delayed on its way can't take memory for nobody.
func (g *group) release(members []*member) {
	ctx, cancel := context.WithTimeout(context.Background(), g.c.e.limits.AdmissionTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range members {
		refs := g.refs(m, 0)
		wg.Go(func() {
			if _, err := g.c.e.cfg.AgentClient.ReleaseHolds(ctx, m.RPCAddress, refs); err != nil {
				g.c.e.meters.count("entry.holds.release_failed")
			}
		})
		m.granted, m.asked = false, false
		m.renewals++
		m.holdID = g.holdID(m)
	}
	wg.Wait()
}

// releaseLater ends every hold that an agent may know, waiting ones and those
// whose answer was lost included, without making the caller wait.
func (g *group) releaseLater() {
	var asked []*member
	for _, m := range g.members {
		if m.asked {
			asked = append(asked, m)
		}
	}
	if len(asked) == 0 {
		return
	}
	g.c.e.inFlight.Go(func() { g.release(asked) })
}

func (g *group) refs(m *member, ttl time.Duration) *wirepb.HoldRefs {
	return &wirepb.HoldRefs{
		Entry:            g.c.e.cfg.Name,
		EntryIncarnation: g.c.e.cfg.Incarnation,
		Holds:            []*wirepb.HoldRef{{HoldId: m.holdID, TtlMs: uint64(ttl.Milliseconds())}},
	}
}

// extend keeps the holds alive until ctx ends, and ends it with errHoldLost if
// one is gone: the engines' memory would be given to others under the group.
// stop ends ctx and returns when no extension is on its way any more.
func (g *group) extend(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	var wg sync.WaitGroup
	for _, m := range g.members {
		refs := g.refs(m, g.c.e.limits.HoldTTL)
		wg.Go(func() { g.extendOne(ctx, cancel, m, refs) })
	}
	return func() {
		cancel(nil)
		wg.Wait()
	}
}

func (g *group) extendOne(ctx context.Context, cancel context.CancelCauseFunc, m *member, refs *wirepb.HoldRefs) {
	ttl := g.c.e.limits.HoldTTL
	extended := time.Now()
	for {
		sleep.For(ctx, ttl/extendsPerTTL)
		if ctx.Err() != nil {
			return
		}
		// Counted from before the call: the agent's clock for the hold starts
		// no earlier.
		sent := time.Now()
		callCtx, done := context.WithTimeout(ctx, ttl/extendsPerTTL)
		out, err := g.c.e.cfg.AgentClient.ExtendHolds(callCtx, m.RPCAddress, refs)
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
