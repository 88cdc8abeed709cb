package rollout

import (
	"slices"

	"github.com/briarturn/briarturn/backend"
)

// Replica is one engine of a pool as it is observed.
type Replica struct {
	Name    string
	Zone    string
	Address string // of its agent, ip:port
	Role    backend.Role
	Weights []backend.Weights // loaded, in no order
	Serving []string          // of these, what takes new requests
	Loading string            // model or adapter that it loads now; empty for none
	// Unresponsive engines keep their place and get no orders.
	Unresponsive bool
	// Busy engines get no order now: one is under way, or the last one failed
	// a moment ago.
	Busy bool
}

// ReplicaFromRow returns what an entry's row shows; ok is false for a server that is
// no engine, is leaving or is dead.
func ReplicaFromRow(row *backend.Row) (r Replica, ok bool) {
	if row.Service || row.Load.Draining || row.State == backend.StateLeaving || row.State == backend.StateDead {
		return Replica{}, false
	}
	return Replica{
		Name:         row.Name,
		Zone:         row.Zone,
		Address:      row.RPCAddress,
		Role:         row.Role,
		Weights:      slices.Clone(row.Weights),
		Serving:      slices.Concat(row.Models, row.Adapters),
		Loading:      row.Loading,
		Unresponsive: row.State != backend.StateLive,
	}, true
}

func (r *Replica) loaded(name string) (backend.Weights, bool) {
	i := slices.IndexFunc(r.Weights, func(w backend.Weights) bool { return w.Name == name })
	if i < 0 {
		return backend.Weights{}, false
	}
	return r.Weights[i], true
}

func (r *Replica) serves(name string) bool { return slices.Contains(r.Serving, name) }

// current reports whether the engine serves this version.
func (r *Replica) current(name, version string) bool {
	w, ok := r.loaded(name)
	return ok && w.Version == backend.VersionKey(version) && r.serves(name)
}

func (r *Replica) hasModel(name string) bool {
	w, ok := r.loaded(name)
	return ok && !w.Adapter
}
