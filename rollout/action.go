package rollout

import (
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Verb is what an order asks an agent for.
type Verb string

// Verbs of an Action, as agents and engines know them.
const (
	VerbLoad    Verb = "load"
	VerbUnload  Verb = "unload"
	VerbSetRole Verb = "role"
)

// Action is one order to one engine. With Adapter set it is for that adapter of
// Model, else for Model; with Verb Role it is for neither.
type Action struct {
	Server  string
	Address string // of the agent
	Verb    Verb
	Model   string
	Adapter string
	Version string
	Source  string // in the weight store
	Role    backend.Role
}

// Name is what is loaded or unloaded.
func (a *Action) Name() string {
	if a.Adapter != "" {
		return a.Adapter
	}
	return a.Model
}

// id is equal for equal actions, so that logs of both sides can be joined.
func (a *Action) id() string {
	return string(a.Verb) + "/" + a.Server + "/" + a.Name() + "/" + a.Version + string(a.Role)
}

func (a *Action) message(lease string, fence uint64) *wirepb.OrderRequest {
	return &wirepb.OrderRequest{
		OrderId: a.id(),
		Lease:   lease,
		Fence:   fence,
		Action:  string(a.Verb),
		Model:   a.Model,
		Adapter: a.Adapter,
		Version: a.Version,
		Role:    string(a.Role),
		Source:  a.Source,
	}
}

// begun shows an order that is under way: what it unloads or replaces may have
// been withdrawn already, and a change of role takes the engine from its place.
func (a *Action) begun(r *Replica) {
	r.Busy = true
	switch a.Verb {
	case VerbLoad:
		r.Loading = a.Name()
		r.Serving = drop(r.Serving, a.Name())
	case VerbUnload:
		r.Serving = drop(r.Serving, a.Name())
	case VerbSetRole:
		r.Serving = nil
	}
}

// done shows an order that was carried out and that a report may not show yet.
func (a *Action) done(r *Replica) {
	name := a.Name()
	switch a.Verb {
	case VerbLoad:
		r.Weights = append(dropWeights(r.Weights, name),
			backend.Weights{Name: name, Version: backend.VersionKey(a.Version), Adapter: a.Adapter != ""})
		r.Serving = append(drop(r.Serving, name), name)
		if r.Loading == name {
			r.Loading = ""
		}
	case VerbUnload:
		r.Weights = dropWeights(r.Weights, name)
		r.Serving = drop(r.Serving, name)
	case VerbSetRole:
		r.Role = a.Role
	}
}

func drop(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

func dropWeights(list []backend.Weights, name string) []backend.Weights {
	return slices.DeleteFunc(slices.Clone(list), func(w backend.Weights) bool { return w.Name == name })
}
