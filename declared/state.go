package declared

import (
	"encoding/json"
	"iter"
	"maps"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/objectapi"
)

type objectKey struct{ kind, name string }

// record is all that is known of one object. It is immutable once it is part
// of a State.
type record struct {
	name    string
	version uint64 // highest version received
	deleted bool   // whether that version is a deletion
	data    json.RawMessage
	spec    Spec   // in force; nil if none
	inForce uint64 // version of spec
	faults  config.FieldErrors
	pool    string // pool or service that the object concerns or last concerned; "" if none
}

func (r *record) object(kind string) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: r.name, Version: r.version, Data: r.data, Deleted: r.deleted}
}

// State is the declared state at one point in time. It is immutable; a later
// state replaces it. Callers must not modify the specs that it returns.
type State struct {
	records         map[string]map[string]*record // by kind and name
	completeThrough map[string]uint64             // by kind; no entry if the kind was never complete
	poolVersions    map[string]uint64             // by pool, newest version of an object that concerned it
	kinds           []string

	maxTombstones  int
	tombstones     int    // number held
	droppedThrough uint64 // tombstones up to this revision may be missing
	changed        chan struct{}
}

// Changed returns a channel that is closed when a later state replaces this
// one.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Complete reports whether a complete list of every kind has been applied.
func (s *State) Complete() bool {
	for _, kind := range s.kinds {
		if _, ok := s.completeThrough[kind]; !ok {
			return false
		}
	}
	return true
}

// Revision returns the store revision up to which the state is complete, 0
// before Complete. Single objects may be newer.
func (s *State) Revision() uint64 {
	if !s.Complete() {
		return 0
	}
	least := s.completeThrough[s.kinds[0]]
	for _, kind := range s.kinds[1:] {
		least = min(least, s.completeThrough[kind])
	}
	return least
}

// PoolVersion returns the newest version of an object that concerns a pool or
// service. An agent with a lower version pulls.
func (s *State) PoolVersion(pool string) uint64 { return s.poolVersions[pool] }

// ModelPool returns the pool of that name with its version, nil if there is
// none.
func (s *State) ModelPool(name string) (*ModelPool, uint64) {
	return specOf[*ModelPool](s, KindModelPool, name)
}

// ModelPools returns all pools by name, in random order.
func (s *State) ModelPools() iter.Seq2[string, *ModelPool] {
	return allSpecs[*ModelPool](s, KindModelPool)
}

// WorkspacePolicy returns the policy of a workspace with its version, nil if
// there is none.
func (s *State) WorkspacePolicy(name string) (*WorkspacePolicy, uint64) {
	return specOf[*WorkspacePolicy](s, KindWorkspacePolicy, name)
}

// WorkspacePolicies returns all policies by workspace, in random order.
func (s *State) WorkspacePolicies() iter.Seq2[string, *WorkspacePolicy] {
	return allSpecs[*WorkspacePolicy](s, KindWorkspacePolicy)
}

// BackendServerSet returns the set of that name with its version, nil if there
// is none.
func (s *State) BackendServerSet(name string) (*BackendServerSet, uint64) {
	return specOf[*BackendServerSet](s, KindBackendServerSet, name)
}

// BackendServerSets returns all sets by name, in random order.
func (s *State) BackendServerSets() iter.Seq2[string, *BackendServerSet] {
	return allSpecs[*BackendServerSet](s, KindBackendServerSet)
}

// ServiceLevels returns all service levels by name, in random order.
func (s *State) ServiceLevels() iter.Seq2[string, *ServiceLevel] {
	return allSpecs[*ServiceLevel](s, KindServiceLevel)
}

// Refusal is a version of an object that was received but is invalid, so that
// it is not in force.
type Refusal struct {
	Kind    string             `json:"kind"`
	Name    string             `json:"name"`
	Version uint64             `json:"version"`
	InForce uint64             `json:"in_force"` // the last valid version; 0 if none
	Faults  config.FieldErrors `json:"faults"`
}

// Refusals returns the objects whose newest version is invalid.
func (s *State) Refusals() []Refusal {
	var out []Refusal
	for kind, records := range s.records {
		for _, r := range records {
			if r.faults != nil {
				out = append(out, r.refusal(kind))
			}
		}
	}
	return out
}

func (r *record) refusal(kind string) Refusal {
	return Refusal{Kind: kind, Name: r.name, Version: r.version, InForce: r.inForce, Faults: r.faults}
}

// specOf returns the spec in force and its version, or the zero value of T and
// 0 if there is none.
func specOf[T Spec](s *State, kind, name string) (spec T, version uint64) {
	r := s.records[kind][name]
	if r == nil || r.spec == nil {
		return spec, 0
	}
	return r.spec.(T), r.inForce
}

func allSpecs[T Spec](s *State, kind string) iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		for name, r := range s.records[kind] {
			if r.spec != nil && !yield(name, r.spec.(T)) {
				return
			}
		}
	}
}

// clone copies the state. The records of a kind are shared with the original
// until they are modified.
func (s *State) clone() *State {
	next := *s
	next.records = maps.Clone(s.records)
	next.completeThrough = maps.Clone(s.completeThrough)
	next.poolVersions = maps.Clone(s.poolVersions)
	next.changed = make(chan struct{})
	return &next
}
