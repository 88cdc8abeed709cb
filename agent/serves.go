package agent

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// refreshInventory asks the engine what it has loaded: at the start, after a
// restart of the engine and after orders for models. A restarted engine no
// longer has what it was ordered to load: without this, entries would go on
// sending requests for models that it no longer has, and nothing would load
// them again.
func (a *Agent) refreshInventory(ctx context.Context, bootID string) {
	a.mu.Lock()
	known := a.inventoryBootID == bootID && bootID != "" && !a.inventoryStale
	a.mu.Unlock()
	if known || a.cfg.Descriptor.Service {
		return
	}
	select {
	case a.orderSlot <- struct{}{}:
	default:
		return // a concurrent order's changes would be overwritten by older data
	}
	defer func() { <-a.orderSlot }()
	inventory, err := a.cfg.Engine.Inventory(ctx)
	if err != nil {
		return // the next probe retries
	}
	if a.applyInventory(inventory, bootID) {
		a.notifyDescriptorChanged()
	}
}

// applyInventory copies the engine's inventory to the descriptor. Within one
// boot of the engine, withdrawn models stay withdrawn, and a version that the
// engine doesn't report is the one that it was ordered to load.
func (a *Agent) applyInventory(inventory EngineInventory, bootID string) (changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sameBoot := a.inventoryBootID == bootID && bootID != ""
	a.inventoryBootID, a.inventoryStale = bootID, false
	before := a.descriptor
	d := &a.descriptor
	d.Models, d.Adapters, d.Weights = nil, nil, nil
	for _, w := range inventory.Weights {
		w.Adapter = w.Adapter || slices.Contains(a.cfg.Descriptor.Adapters, w.Name)
		old, had := findWeights(&before, w.Name)
		if sameBoot && had && w.Version == 0 {
			w.Version = old.Version
		}
		setWeights(d, w)
		if !sameBoot || !had || acceptsRequests(&before, w.Name) {
			enableRequests(d, w)
		}
	}
	if inventory.Role != "" {
		d.Role = inventory.Role
	}
	return !slices.Equal(before.Weights, d.Weights) || before.Role != d.Role ||
		!slices.Equal(before.Models, d.Models) || !slices.Equal(before.Adapters, d.Adapters)
}

// withdraw removes what an order unloads or replaces from the models and
// adapters that accept requests, and waits until no request uses it: an engine
// would cut those off. If the wait is given up, it stays withdrawn; otherwise
// new requests could keep the wait from ever ending.
func (a *Agent) withdraw(ctx context.Context, in *wirepb.OrderRequest) error {
	name := orderTarget(in)
	a.mu.Lock()
	d := &a.descriptor
	_, loaded := findWeights(d, name)
	d.Models, d.Adapters = removeName(d.Models, name), removeName(d.Adapters, name)
	a.mu.Unlock()
	if !loaded {
		return nil
	}
	a.notifyDescriptorChanged()
	for {
		a.mu.Lock()
		runs, changed := a.runsUsingLocked(in), a.stateChanged
		a.mu.Unlock()
		if runs == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Annotatef(errOrderBusy, "step withdraw %s, %d requests", name, runs)
		}
	}
}

// runsUsingLocked counts the requests that use the target of the order. A
// request that names the pool may use any model. Call with mu held.
func (a *Agent) runsUsingLocked(in *wirepb.OrderRequest) int {
	n := 0
	for _, r := range a.runs {
		s := r.start
		switch {
		case in.Adapter != "":
			if s.Adapter == in.Adapter || s.Model == in.Adapter {
				n++
			}
		case s.Model == "" || s.Model == s.Pool || s.Model == in.Model || slices.Contains(a.descriptor.Adapters, s.Model):
			n++
		}
	}
	return n
}

// setLoading reports in the descriptor that weights are being loaded: each
// sender of orders counts it against the slots of the weight store, also if
// another sent this order.
func (a *Agent) setLoading(in *wirepb.OrderRequest) {
	if in.Action != actionLoad {
		return
	}
	a.mu.Lock()
	a.descriptor.Loading = orderTarget(in)
	a.mu.Unlock()
	a.notifyDescriptorChanged()
}

// applyOrder updates the descriptor after an executed order.
func (a *Agent) applyOrder(in *wirepb.OrderRequest) {
	a.mu.Lock()
	d := &a.descriptor
	d.Loading = ""
	a.inventoryStale = a.inventoryStale || in.Adapter == ""
	switch in.Action {
	case actionLoad:
		w := backend.Weights{Name: orderTarget(in), Version: backend.VersionKey(in.Version), Adapter: in.Adapter != ""}
		setWeights(d, w)
		enableRequests(d, w)
	case actionUnload:
		removeWeights(d, orderTarget(in))
	case actionRole:
		d.Role = backend.Role(in.Role)
	}
	a.mu.Unlock()
	a.notifyDescriptorChanged()
}

// clearLoading ends an order that the engine did not begin.
func (a *Agent) clearLoading() {
	a.mu.Lock()
	a.descriptor.Loading = ""
	a.mu.Unlock()
	a.notifyDescriptorChanged()
}

// servesTarget reports whether requests for the target of the order are
// accepted.
func (a *Agent) servesTarget(in *wirepb.OrderRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return acceptsRequests(&a.descriptor, orderTarget(in))
}

// undoWithdraw reverts withdraw for an order that the engine rejected as stale:
// its sender no longer holds the lease, and the current holder has no record of
// the order. Without this a model would stay out of service until the next
// order.
func (a *Agent) undoWithdraw(in *wirepb.OrderRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &a.descriptor
	name := orderTarget(in)
	if _, loaded := findWeights(d, name); !loaded || in.Action == actionRole || acceptsRequests(d, name) {
		return
	}
	if in.Adapter != "" {
		d.Adapters = append(slices.Clone(d.Adapters), name)
		return
	}
	d.Models = append(slices.Clone(d.Models), name)
}

// markOrderUnknown ends an order whose outcome is unknown. Its target counts as
// loaded in an unknown version and accepts no requests, until the engine's
// inventory is read or a further order resolves it.
func (a *Agent) markOrderUnknown(in *wirepb.OrderRequest) {
	a.mu.Lock()
	d := &a.descriptor
	d.Loading = ""
	a.inventoryStale = true
	if in.Action == actionRole {
		d.Role = ""
	} else {
		setWeights(d, backend.Weights{Name: orderTarget(in), Adapter: in.Adapter != ""})
	}
	a.mu.Unlock()
	a.notifyDescriptorChanged()
}

func findWeights(d *backend.Descriptor, name string) (backend.Weights, bool) {
	i := slices.IndexFunc(d.Weights, func(w backend.Weights) bool { return w.Name == name })
	if i < 0 {
		return backend.Weights{}, false
	}
	return d.Weights[i], true
}

func acceptsRequests(d *backend.Descriptor, name string) bool {
	return slices.Contains(d.Models, name) || slices.Contains(d.Adapters, name)
}

// The functions below replace slices instead of modifying them, because copies
// of the descriptor share them.

func setWeights(d *backend.Descriptor, w backend.Weights) {
	removeWeights(d, w.Name)
	d.Weights = append(d.Weights, w)
}

func removeWeights(d *backend.Descriptor, name string) {
	d.Weights = slices.DeleteFunc(slices.Clone(d.Weights), func(w backend.Weights) bool { return w.Name == name })
}

func enableRequests(d *backend.Descriptor, w backend.Weights) {
	if w.Adapter {
		d.Adapters = appendUnique(d.Adapters, w.Name)
		return
	}
	d.Models = appendUnique(d.Models, w.Name)
}

func appendUnique(list []string, name string) []string {
	if name == "" || slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}

func removeName(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}
