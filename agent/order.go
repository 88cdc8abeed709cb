package agent

import (
	"context"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Actions of an order.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

const (
	// errFenceUnknown means that the highest fence of a lease can't be
	// determined: no store is configured, or it can't be read.
	errFenceUnknown = errors.ConstError("fences not known")
	// errOrderBusy means that another order is being executed, or that requests
	// still use what is to be unloaded. Nothing was sent to the engine.
	errOrderBusy = errors.ConstError("backend server busy")
)

// Order executes an order given under a lease, if its fence is not stale.
// Orders are sent to the engine one at a time and are checked after the wait
// for their turn; otherwise a stale order could be sent after a newer one. An
// order whose state is already reached is completed without the engine, so that
// an order whose response was lost may be repeated. An order that has begun
// continues when its sender disconnects: a load that is interrupted would have
// to start over.
func (a *Agent) Order(ctx context.Context, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	turnCtx, cancel := context.WithTimeout(ctx, a.cfg.Limits.OrderTimeout)
	defer cancel()
	if in.Lease == "" || len(in.Lease) > maxIDBytes || !validAction(in.Action) {
		return &wirepb.OrderResponse{Code: wirepb.RefuseCode_REFUSE_BAD_REQUEST, Detail: "lease or action not valid"}, nil
	}
	select {
	case a.orderSlot <- struct{}{}:
	case <-turnCtx.Done():
		return a.newOrderRefusal(errOrderBusy, in.Lease), nil
	}
	defer func() { <-a.orderSlot }()
	err := a.admitOrder(turnCtx, in)
	if a.engineChecksFence(err) {
		err = a.checkIdle(in)
	}
	if err != nil {
		return a.newOrderRefusal(err, in.Lease), nil
	}
	orderCtx, stop := context.WithTimeout(a.ctx, a.cfg.Limits.OrderTimeout)
	defer stop()
	if err := a.executeOrder(orderCtx, in); err != nil {
		return a.newOrderRefusal(err, in.Lease), nil
	}
	a.counters.orders.Inc(1)
	return &wirepb.OrderResponse{Done: true, HighestFence: in.Fence}, nil
}

func validAction(action string) bool {
	return action == actionLoad || action == actionUnload || action == actionRole
}

// admitOrder checks the fence. Without it, a lease holder that was paused past
// its term could resume and undo its successor's orders, at engines that don't
// check fences. While the store is down, the highest fence of a lease not seen
// yet can't be read: an order is then refused, unless the engine checks fences
// as well.
func (a *Agent) admitOrder(ctx context.Context, in *wirepb.OrderRequest) error {
	if a.cfg.Fences == nil {
		return errFenceUnknown
	}
	if err := a.cfg.Fences.Admit(ctx, in.Lease, in.Fence); err != nil {
		if errors.Is(err, lease.ErrStaleFence) {
			return errors.Trace(err)
		}
		return errors.WithType(err, errFenceUnknown)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.highestFence = max(a.highestFence, in.Fence)
	return nil
}

// engineChecksFence reports whether an order was refused only because the store
// is unavailable, and the engine checks fences itself.
func (a *Agent) engineChecksFence(err error) bool {
	return a.cfg.ChecksFencing != nil && a.cfg.ChecksFencing() && errors.Is(err, errFenceUnknown) && errors.Is(err, objectapi.ErrUnavailable)
}

// checkIdle refuses an order whose target is used by requests. An order left to
// the engine's check may be stale: waiting for those requests would keep new
// ones out for minutes before the engine rejects the order.
func (a *Agent) checkIdle(in *wirepb.OrderRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := a.runsUsingLocked(in); n > 0 {
		return errors.Annotatef(errOrderBusy, "step check fence, lease %s not known, %d requests", in.Lease, n)
	}
	return nil
}

// executeOrder applies the order to the engine and to the descriptor.
func (a *Agent) executeOrder(ctx context.Context, in *wirepb.OrderRequest) error {
	if a.orderSatisfied(in) {
		return nil
	}
	served := a.servesTarget(in)
	if in.Action != actionRole {
		if err := a.withdraw(ctx, in); err != nil {
			return errors.Trace(err)
		}
	}
	a.setLoading(in)
	err := a.cfg.Engine.Order(ctx, EngineOrder{
		Action: in.Action, Model: in.Model, Adapter: in.Adapter, Version: in.Version,
		Role: in.Role, Lease: in.Lease, Fence: in.Fence,
	})
	switch {
	case err == nil:
		a.applyOrder(in)
	case errors.Is(err, ErrStaleFence) && served:
		a.undoWithdraw(in)
		a.clearLoading()
	case orderNotRun(err):
		a.clearLoading()
	default:
		a.markOrderUnknown(in)
	}
	return err
}

// orderNotRun reports whether the engine certainly did not begin the order.
func orderNotRun(err error) bool {
	return errors.Is(err, ErrStaleFence) || errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotRun)
}

func (a *Agent) newOrderRefusal(err error, name string) *wirepb.OrderResponse {
	out := &wirepb.OrderResponse{
		Code:   wirepb.RefuseCode_REFUSE_UNSPECIFIED, // outcome unknown
		Detail: err.Error(),
	}
	switch {
	case errors.Is(err, lease.ErrStaleFence), errors.Is(err, ErrStaleFence):
		out.Code = wirepb.RefuseCode_REFUSE_STALE_FENCE
		a.counters.staleFences.Inc(1)
	case errors.Is(err, errFenceUnknown), errors.Is(err, errOrderBusy):
		out.Code = wirepb.RefuseCode_REFUSE_BUSY
	case errors.Is(err, ErrUnreachable), errors.Is(err, ErrNotRun):
		out.Code = wirepb.RefuseCode_REFUSE_ENGINE_DOWN
	}
	if a.cfg.Fences != nil {
		out.HighestFence = a.cfg.Fences.HighestFence(name)
	}
	return out
}

// orderSatisfied reports whether the state that the order requests is already
// reached.
func (a *Agent) orderSatisfied(in *wirepb.OrderRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &a.descriptor
	if in.Action == actionRole {
		return d.Role == backend.Role(in.Role)
	}
	name := orderTarget(in)
	w, loaded := findWeights(d, name)
	if in.Action == actionUnload {
		return !loaded
	}
	return loaded && w.Version == backend.VersionKey(in.Version) && w.Version != 0 && acceptsRequests(d, name)
}

// orderTarget returns the name that the order loads or unloads. An order that
// names an adapter applies only to the adapter.
func orderTarget(in *wirepb.OrderRequest) string {
	if in.Adapter != "" {
		return in.Adapter
	}
	return in.Model
}
