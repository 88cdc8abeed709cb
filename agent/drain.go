package agent

import (
	"context"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// AnnounceDrain shows the drain flag in the load from now on and refuses
// nothing yet: entries that hear of it in time send no work that would have to
// be refused.
func (a *Agent) AnnounceDrain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// BeginDrain refuses new work from now on. What runs goes on, and so do holds
// that were granted.
func (a *Agent) BeginDrain(reason string) {
	a.mu.Lock()
	first := !a.draining
	a.draining = true
	a.noteDrained()
	a.mu.Unlock()
	if first {
		a.cfg.Logger.WithField("reason", reason).Info("draining")
		a.changedDescriptor()
	}
}

func (a *Agent) changedDescriptor() {
	if a.cfg.OnChange != nil {
		a.cfg.OnChange()
	}
}

// Drained returns a channel that is closed when the agent drains and nothing
// runs and nothing is held any more.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

// noteDrained closes drained when the time has come. Call with mu held.
func (a *Agent) noteDrained() {
	if !a.draining || a.drainedDone || len(a.runs) > 0 {
		return
	}
	if a.ledger.State().Holds > 0 {
		return
	}
	a.drainedDone = true
	close(a.drained)
}

// DrainGracefully announces the drain, gives entries time to hear of it (Config.AwaitDrainPropagation)
// and then refuses new work. One that drains already is not announced again.
//
// An agent that refuses before it has told costs each request that is on its
// way, or sent by an entry that hasn't heard, a round trip and a retry.
func (a *Agent) DrainGracefully(ctx context.Context, reason string) {
	a.mu.Lock()
	draining := a.draining
	a.mu.Unlock()
	if draining {
		return
	}
	a.AnnounceDrain()
	if a.cfg.AwaitDrainPropagation != nil {
		a.cfg.AwaitDrainPropagation(ctx)
	}
	a.BeginDrain(reason)
}

// Drain is DrainGracefully as a call. It goes on if the caller goes away.
func (a *Agent) Drain(ctx context.Context, in *wirepb.DrainRequest) (*wirepb.AgentStatus, error) {
	a.DrainGracefully(a.ctx, in.Reason)
	return a.Status(ctx, &wirepb.StatusRequest{})
}

// Status returns a copy of the agent's state.
func (a *Agent) Status(context.Context, *wirepb.StatusRequest) (*wirepb.AgentStatus, error) {
	out := &wirepb.AgentStatus{Descriptor_: wire.DescriptorMessage(a.Descriptor(), a.cfg.Incarnation)}
	if a.cfg.ConfigVersion != nil {
		out.ConfigVersion = a.cfg.ConfigVersion()
	}
	if a.cfg.Homes != nil {
		out.Homes = a.cfg.Homes()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out.HighestFence = a.fence
	out.Load = wire.LoadMessage(a.load())
	out.EngineUp = a.engine.up
	now := a.cfg.Now()
	for _, r := range a.runs {
		out.Running = append(out.Running, &wirepb.RunningRequest{
			RequestId: r.start.RequestId,
			Entry:     r.start.Entry,
			AgeMs:     uint64(now.Sub(r.arrived).Milliseconds()),
			Tokens:    uint64(r.tokens),
		})
	}
	return out, nil
}
