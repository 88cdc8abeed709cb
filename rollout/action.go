package rollout

import (
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Verb is the kind of change that an order asks an agent to make.
type Verb string

// Verbs of an Action. Agents and engines receive these strings.
const (
	VerbLoad    Verb = "load"
	VerbUnload  Verb = "unload"
	VerbSetRole Verb = "role"
)

// Action is one order for one engine. A load or unload is for Adapter of Model if
// Adapter is set, otherwise for Model. VerbSetRole uses neither.
type Action struct {
	Server  string
	Address string // address of the agent, ip:port
	Verb    Verb
	Model   string
	Adapter string
	Version string
	Source  string // location in the weight store
	Role    backend.Role
}

// Name returns the name of the model or adapter that is loaded or unloaded.
func (a *Action) Name() string {
	if a.Adapter != "" {
		return a.Adapter
	}
	return a.Model
}

// id returns the order ID. Equal actions have equal IDs, so that the logs of the
// sender and the agent can be joined.
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

// applyStarted changes r to show an order in progress. The engine may already
// have withdrawn the weights that the order unloads or replaces. An engine whose
// role changes serves nothing.
func (a *Action) applyStarted(r *Replica) {
	r.Busy = true
	switch a.Verb {
	case VerbLoad:
		r.Loading = a.Name()
		r.Serving = removeName(r.Serving, a.Name())
	case VerbUnload:
		r.Serving = removeName(r.Serving, a.Name())
	case VerbSetRole:
		r.Serving = nil
	}
}

// applyCompleted changes r to show an order that was carried out and that
// reports may not show yet.
func (a *Action) applyCompleted(r *Replica) {
	name := a.Name()
	switch a.Verb {
	case VerbLoad:
		r.Weights = append(removeWeights(r.Weights, name),
			backend.Weights{Name: name, Version: backend.VersionKey(a.Version), Adapter: a.Adapter != ""})
		r.Serving = append(removeName(r.Serving, name), name)
		if r.Loading == name {
			r.Loading = ""
		}
	case VerbUnload:
		r.Weights = removeWeights(r.Weights, name)
		r.Serving = removeName(r.Serving, name)
	case VerbSetRole:
		r.Role = a.Role
	}
}

func removeName(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

func removeWeights(list []backend.Weights, name string) []backend.Weights {
	return slices.DeleteFunc(slices.Clone(list), func(w backend.Weights) bool { return w.Name == name })
}
