package rollout

import (
	"slices"

	"github.com/briarturn/briarturn/backend"
)

// Replica is the observed state of one engine of a pool.
type Replica struct {
	Name    string
	Zone    string
	Address string // address of its agent, ip:port
	Role    backend.Role
	Weights []backend.Weights // loaded weights, in no particular order
	Serving []string          // names of loaded weights that accept new requests
	Loading string            // model or adapter that is being loaded, or empty
	// Unresponsive engines keep their assignment but get no orders.
	Unresponsive bool
	// Busy engines get no new order: one is in progress, or the last one failed and
	// its retry delay has not passed.
	Busy bool
}

// ReplicaFromRow converts a row of an entry's table. ok is false for a server that
// is not an engine, is draining or leaving, or is dead.
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

func (r *Replica) findWeights(name string) (backend.Weights, bool) {
	i := slices.IndexFunc(r.Weights, func(w backend.Weights) bool { return w.Name == name })
	if i < 0 {
		return backend.Weights{}, false
	}
	return r.Weights[i], true
}

func (r *Replica) serves(name string) bool { return slices.Contains(r.Serving, name) }

// servesVersion reports whether the engine serves the given version.
func (r *Replica) servesVersion(name, version string) bool {
	w, ok := r.findWeights(name)
	return ok && w.Version == backend.VersionKey(version) && r.serves(name)
}

func (r *Replica) hasModel(name string) bool {
	w, ok := r.findWeights(name)
	return ok && !w.Adapter
}
