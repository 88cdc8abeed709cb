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
	// errNoGate: no store was given to learn the floor of a fence from.
	errNoGate = errors.ConstError("fences not known")
	// errOrderBusy: another order is carried out, or requests still run on what
	// is to be unloaded. The engine was told nothing.
	errOrderBusy = errors.ConstError("backend server busy")
)

// Order carries out an order given under a lease, if its fence is not stale.
// Orders go to the engine one at a time and are checked after the wait for
// their turn: a stale one could else be passed on after a newer one. An order
// for what is already so is done without the engine, so that one whose answer
// was lost may be given again. One that has begun goes on when its giver is
// gone: a load that is cut off halfway would have to begin anew.
func (a *Agent) Order(ctx context.Context, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	turn, cancel := context.WithTimeout(ctx, a.cfg.Limits.OrderTimeout)
	defer cancel()
	if in.Lease == "" || len(in.Lease) > maxIDBytes || !knownAction(in.Action) {
		return &wirepb.OrderResponse{Code: wirepb.RefuseCode_REFUSE_BAD_REQUEST, Detail: "lease or action not valid"}, nil
	}
	select {
	case a.ordering <- struct{}{}:
	case <-turn.Done():
		return a.orderRefused(errOrderBusy, in.Lease), nil
	}
	defer func() { <-a.ordering }()
	err := a.admitOrder(turn, in)
	if a.leftToEngine(err) {
		err = a.checkIdle(in)
	}
	if err != nil {
		return a.orderRefused(err, in.Lease), nil
	}
	work, stop := context.WithTimeout(a.ctx, a.cfg.Limits.OrderTimeout)
	defer stop()
	if err := a.carryOut(work, in); err != nil {
		return a.orderRefused(err, in.Lease), nil
	}
	a.counter.orders.Inc(1)
	return &wirepb.OrderResponse{Done: true, HighestFence: in.Fence}, nil
}

func knownAction(action string) bool {
	return action == actionLoad || action == actionUnload || action == actionRole
}

// admitOrder checks the fence. Without it a holder that was paused past its
// term would wake and undo its successor's orders, at engines that don't check.
// While the store is down the floor of a lease not seen yet can't be learnt: an
// order is then refused, unless the engine checks as well.
func (a *Agent) admitOrder(ctx context.Context, in *wirepb.OrderRequest) error {
	if a.cfg.Fences == nil {
		return errNoGate
	}
	if err := a.cfg.Fences.Admit(ctx, in.Lease, in.Fence); err != nil {
		if errors.Is(err, lease.ErrStaleFence) {
			return errors.Trace(err)
		}
		return errors.WithType(err, errNoGate)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = max(a.fence, in.Fence)
	return nil
}

// leftToEngine tells whether only the store's outage speaks against an order
// that the engine checks itself.
func (a *Agent) leftToEngine(err error) bool {
	return a.cfg.ChecksFencing != nil && a.cfg.ChecksFencing() && errors.Is(err, errNoGate) && errors.Is(err, objectapi.ErrUnavailable)
}

// checkIdle refuses an order for what requests run on. An order left to the
// engine's check may be stale: waiting for those requests would keep new ones
// away for minutes before the engine refuses it.
func (a *Agent) checkIdle(in *wirepb.OrderRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := a.runsOn(in); n > 0 {
		return errors.Annotatef(errOrderBusy, "step check fence, lease %s not known, %d requests", in.Lease, n)
	}
	return nil
}

// carryOut brings the engine and the descriptor to what the order wants.
func (a *Agent) carryOut(ctx context.Context, in *wirepb.OrderRequest) error {
	if a.alreadySo(in) {
		return nil
	}
	served := a.serves(in)
	if in.Action != actionRole {
		if err := a.withdraw(ctx, in); err != nil {
			return errors.Trace(err)
		}
	}
	a.beginLoading(in)
	err := a.cfg.Engine.Order(ctx, EngineOrder{
		Action: in.Action, Model: in.Model, Adapter: in.Adapter, Version: in.Version,
		Role: in.Role, Lease: in.Lease, Fence: in.Fence,
	})
	switch {
	case err == nil:
		a.orderDone(in)
	case errors.Is(err, ErrStaleFence) && served:
		a.serveAgain(in)
		a.orderNotDone()
	case orderNotRun(err):
		a.orderNotDone()
	default:
		a.orderUnknown(in)
	}
	return err
}

// orderNotRun tells whether the engine surely did not begin to carry it out.
func orderNotRun(err error) bool {
	return errors.Is(err, ErrStaleFence) || errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotRun)
}

func (a *Agent) orderRefused(err error, name string) *wirepb.OrderResponse {
	out := &wirepb.OrderResponse{
		Code:   wirepb.RefuseCode_REFUSE_UNSPECIFIED, // outcome not known
		Detail: err.Error(),
	}
	switch {
	case errors.Is(err, lease.ErrStaleFence), errors.Is(err, ErrStaleFence):
		out.Code = wirepb.RefuseCode_REFUSE_STALE_FENCE
		a.counter.staleFences.Inc(1)
	case errors.Is(err, errNoGate), errors.Is(err, errOrderBusy):
		out.Code = wirepb.RefuseCode_REFUSE_BUSY
	case errors.Is(err, ErrUnreachable), errors.Is(err, ErrNotRun):
		out.Code = wirepb.RefuseCode_REFUSE_ENGINE_DOWN
	}
	if a.cfg.Fences != nil {
		out.HighestFence = a.cfg.Fences.HighestFence(name)
	}
	return out
}

// alreadySo tells whether the order asks for what is so.
func (a *Agent) alreadySo(in *wirepb.OrderRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &a.descriptor
	if in.Action == actionRole {
		return d.Role == backend.Role(in.Role)
	}
	name := orderedName(in)
	w, loaded := loadedOf(d, name)
	if in.Action == actionUnload {
		return !loaded
	}
	return loaded && w.Version == backend.VersionKey(in.Version) && w.Version != 0 && takesRequests(d, name)
}

// orderedName is what the order loads or unloads. An order that names an
// adapter is for that only.
func orderedName(in *wirepb.OrderRequest) string {
	if in.Adapter != "" {
		return in.Adapter
	}
	return in.Model
}
