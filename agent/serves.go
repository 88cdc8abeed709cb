package agent

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// list asks the engine what it has loaded: at the start, after a restart of the
// engine and after orders for models. An engine that restarted has forgotten what
// it was ordered to load: without this, entries would go on sending it requests
// for models that it no longer has, and nobody would load them again.
func (a *Agent) list(ctx context.Context, boot string) {
	a.mu.Lock()
	known := a.listed == boot && boot != "" && !a.listAgain
	a.mu.Unlock()
	if known || a.cfg.Descriptor.Service {
		return
	}
	select {
	case a.ordering <- struct{}{}:
	default:
		return // what an order changes meanwhile would be overwritten by older news
	}
	defer func() { <-a.ordering }()
	serves, err := a.cfg.Engine.Inventory(ctx)
	if err != nil {
		return // the next look asks again
	}
	if a.takeList(serves, boot) {
		a.changedDescriptor()
	}
}

// takeList puts what the engine listed into the descriptor. Within one life of
// the engine, what was withdrawn stays so, and a version that the engine doesn't
// tell is the one that it was ordered to load.
func (a *Agent) takeList(serves EngineInventory, boot string) (changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sameLife := a.listed == boot && boot != ""
	a.listed, a.listAgain = boot, false
	before := a.descriptor
	d := &a.descriptor
	d.Models, d.Adapters, d.Weights = nil, nil, nil
	for _, w := range serves.Weights {
		w.Adapter = w.Adapter || slices.Contains(a.cfg.Descriptor.Adapters, w.Name)
		old, had := loadedOf(&before, w.Name)
		if sameLife && had && w.Version == 0 {
			w.Version = old.Version
		}
		setLoaded(d, w)
		if !sameLife || !had || takesRequests(&before, w.Name) {
			admitRequests(d, w)
		}
	}
	if serves.Role != "" {
		d.Role = serves.Role
	}
	return !slices.Equal(before.Weights, d.Weights) || before.Role != d.Role ||
		!slices.Equal(before.Models, d.Models) || !slices.Equal(before.Adapters, d.Adapters)
}

// withdraw takes what an order unloads or replaces out of the descriptor and
// waits until no request runs on it: an engine would cut those off. What was
// withdrawn stays so when the wait is given up, or new requests would keep it
// from ever ending.
func (a *Agent) withdraw(ctx context.Context, in *wirepb.OrderRequest) error {
	name := orderedName(in)
	a.mu.Lock()
	d := &a.descriptor
	_, loaded := loadedOf(d, name)
	d.Models, d.Adapters = without(d.Models, name), without(d.Adapters, name)
	a.mu.Unlock()
	if !loaded {
		return nil
	}
	a.changedDescriptor()
	for {
		a.mu.Lock()
		runs, changed := a.runsOn(in), a.changed
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

// runsOn counts the requests that use what the order names. A request that names
// the pool may be on any model. Call with mu held.
func (a *Agent) runsOn(in *wirepb.OrderRequest) int {
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

// beginLoading shows that weights are on their way: whoever gives orders counts
// it against the weight store's slots, also if it is not who gave this one.
func (a *Agent) beginLoading(in *wirepb.OrderRequest) {
	if in.Action != actionLoad {
		return
	}
	a.mu.Lock()
	a.descriptor.Loading = orderedName(in)
	a.mu.Unlock()
	a.changedDescriptor()
}

// orderDone makes an order that was carried out visible.
func (a *Agent) orderDone(in *wirepb.OrderRequest) {
	a.mu.Lock()
	d := &a.descriptor
	d.Loading = ""
	a.listAgain = a.listAgain || in.Adapter == ""
	switch in.Action {
	case actionLoad:
		w := backend.Weights{Name: orderedName(in), Version: backend.VersionKey(in.Version), Adapter: in.Adapter != ""}
		setLoaded(d, w)
		admitRequests(d, w)
	case actionUnload:
		dropLoaded(d, orderedName(in))
	case actionRole:
		d.Role = backend.Role(in.Role)
	}
	a.mu.Unlock()
	a.changedDescriptor()
}

// orderNotDone ends an order that the engine did not begin.
func (a *Agent) orderNotDone() {
	a.mu.Lock()
	a.descriptor.Loading = ""
	a.mu.Unlock()
	a.changedDescriptor()
}

// serves tells whether requests are taken for what the order names.
func (a *Agent) serves(in *wirepb.OrderRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return takesRequests(&a.descriptor, orderedName(in))
}

// serveAgain takes back what withdraw did for an order that the engine found
// stale: its giver is no longer in charge, and the one who is knows nothing of
// it. Without this a model would stay out of service until the next order.
func (a *Agent) serveAgain(in *wirepb.OrderRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &a.descriptor
	name := orderedName(in)
	if _, loaded := loadedOf(d, name); !loaded || in.Action == actionRole || takesRequests(d, name) {
		return
	}
	if in.Adapter != "" {
		d.Adapters = append(slices.Clone(d.Adapters), name)
		return
	}
	d.Models = append(slices.Clone(d.Models), name)
}

// orderUnknown ends an order of which nobody knows how far the engine got. What
// it named counts as loaded in no known version and takes no requests, until the
// engine lists what it has or a further order settles it.
func (a *Agent) orderUnknown(in *wirepb.OrderRequest) {
	a.mu.Lock()
	d := &a.descriptor
	d.Loading = ""
	a.listAgain = true
	if in.Action == actionRole {
		d.Role = ""
	} else {
		setLoaded(d, backend.Weights{Name: orderedName(in), Adapter: in.Adapter != ""})
	}
	a.mu.Unlock()
	a.changedDescriptor()
}

func loadedOf(d *backend.Descriptor, name string) (backend.Weights, bool) {
	i := slices.IndexFunc(d.Weights, func(w backend.Weights) bool { return w.Name == name })
	if i < 0 {
		return backend.Weights{}, false
	}
	return d.Weights[i], true
}

func takesRequests(d *backend.Descriptor, name string) bool {
	return slices.Contains(d.Models, name) || slices.Contains(d.Adapters, name)
}

// The functions below replace slices rather than change them: copies of the
// descriptor are in use.

func setLoaded(d *backend.Descriptor, w backend.Weights) {
	dropLoaded(d, w.Name)
	d.Weights = append(d.Weights, w)
}

func dropLoaded(d *backend.Descriptor, name string) {
	d.Weights = slices.DeleteFunc(slices.Clone(d.Weights), func(w backend.Weights) bool { return w.Name == name })
}

func admitRequests(d *backend.Descriptor, w backend.Weights) {
	if w.Adapter {
		d.Adapters = with(d.Adapters, w.Name)
		return
	}
	d.Models = with(d.Models, w.Name)
}

func with(list []string, name string) []string {
	if name == "" || slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}
