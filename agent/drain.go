package agent

import (
	"context"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// AnnounceDrain reports the drain in the load from now on, but does not refuse
// anything yet: entries that receive it in time send no work that would have to
// be refused.
func (a *Agent) AnnounceDrain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainAnnounced = true
}

// BeginDrain refuses new work from now on. Runs in progress and granted holds
// continue.
func (a *Agent) BeginDrain(reason string) {
	a.mu.Lock()
	first := !a.draining
	a.draining = true
	a.checkDrainedLocked()
	a.mu.Unlock()
	if first {
		a.cfg.Logger.WithField("reason", reason).Info("draining")
		a.notifyDescriptorChanged()
	}
}

func (a *Agent) notifyDescriptorChanged() {
	if a.cfg.OnChange != nil {
		a.cfg.OnChange()
	}
}

// Drained returns a channel that is closed when the agent is draining and has
// no runs and no holds left.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

// checkDrainedLocked closes drained if the drain is complete. Call with mu
// held.
func (a *Agent) checkDrainedLocked() {
	if !a.draining || a.drainedClosed || len(a.runs) > 0 {
		return
	}
	if a.ledger.State().Holds > 0 {
		return
	}
	a.drainedClosed = true
	close(a.drained)
}

// DrainGracefully announces the drain, gives entries time to receive it
// (Config.AwaitDrainPropagation) and then refuses new work. It does nothing if
// the agent is already draining.
//
// If the agent refused work without an announcement, each request in flight, or
// sent by an entry that has not received it, would cost a round trip and a
// retry.
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

// Drain calls DrainGracefully and returns the status. The drain continues if
// the caller disconnects.
func (a *Agent) Drain(ctx context.Context, in *wirepb.DrainRequest) (*wirepb.AgentStatus, error) {
	a.DrainGracefully(a.ctx, in.Reason)
	return a.Status(ctx, &wirepb.StatusRequest{})
}

// Status returns a snapshot of the agent's state.
func (a *Agent) Status(context.Context, *wirepb.StatusRequest) (*wirepb.AgentStatus, error) {
	out := &wirepb.AgentStatus{Descriptor_: wire.DescriptorToProto(a.Descriptor(), a.cfg.Incarnation)}
	if a.cfg.ConfigVersion != nil {
		out.ConfigVersion = a.cfg.ConfigVersion()
	}
	if a.cfg.Homes != nil {
		out.Homes = a.cfg.Homes()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out.HighestFence = a.highestFence
	out.Load = wire.LoadToProto(a.loadLocked())
	out.EngineUp = a.engine.up
	now := a.cfg.Now()
	for _, r := range a.runs {
		out.Running = append(out.Running, &wirepb.RunningRequest{
			RequestId: r.start.RequestId,
			Entry:     r.start.Entry,
			AgeMs:     uint64(now.Sub(r.arrived).Milliseconds()),
			Tokens:    uint64(r.reservedTokens),
		})
	}
	return out, nil
}
