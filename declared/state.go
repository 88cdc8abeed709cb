package declared

import (
	"encoding/json"
	"iter"
	"maps"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/objectapi"
)

type objectKey struct{ kind, name string }

// record is all that is known of one object. It is never changed once it is
// part of a State.
type record struct {
	name    string
	seen    uint64 // highest version heard of
	deleted bool   // by that version
	data    json.RawMessage
	spec    Spec   // in force; nil if none
	inForce uint64 // version of spec
	faults  config.FieldErrors
	pool    string // that the object concerns or last concerned; "" if none
}

func (r *record) object(kind string) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: r.name, Version: r.seen, Data: r.data, Deleted: r.deleted}
}

// State is the declared state at one moment. It does not change; a later one
// replaces it. Specs that it returns must not be written to.
type State struct {
	records map[string]map[string]*record // by kind and name
	through map[string]uint64             // by kind; no entry: never complete
	pools   map[string]uint64             // by pool, newest version that concerned it
	kinds   []string

	maxTombstones int
	tombstones    int    // held
	dropped       uint64 // tombstones up to here may be missing
	changed       chan struct{}
}

// Changed is closed when a later state replaces this one.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Complete reports whether every kind was ever known in full.
func (s *State) Complete() bool {
	for _, kind := range s.kinds {
		if _, ok := s.through[kind]; !ok {
			return false
		}
	}
	return true
}

// Revision is the store revision up to which the state is complete, 0 before
// Complete. Single objects may be newer.
func (s *State) Revision() uint64 {
	if !s.Complete() {
		return 0
	}
	least := s.through[s.kinds[0]]
	for _, kind := range s.kinds[1:] {
		least = min(least, s.through[kind])
	}
	return least
}

// PoolVersion is the newest version of an object that concerns a pool or
// service; an agent that has less pulls.
func (s *State) PoolVersion(pool string) uint64 { return s.pools[pool] }

// ModelPool returns the pool of that name with its version, nil if none.
func (s *State) ModelPool(name string) (*ModelPool, uint64) {
	return get[*ModelPool](s, KindModelPool, name)
}

// ModelPools returns all pools by name, in no order.
func (s *State) ModelPools() iter.Seq2[string, *ModelPool] { return all[*ModelPool](s, KindModelPool) }

// WorkspacePolicy returns the policy of a workspace with its version, nil if
// none.
func (s *State) WorkspacePolicy(name string) (*WorkspacePolicy, uint64) {
	return get[*WorkspacePolicy](s, KindWorkspacePolicy, name)
}

// WorkspacePolicies returns all policies by workspace, in no order.
func (s *State) WorkspacePolicies() iter.Seq2[string, *WorkspacePolicy] {
	return all[*WorkspacePolicy](s, KindWorkspacePolicy)
}

// BackendServerSet returns the set of that name with its version, nil if none.
func (s *State) BackendServerSet(name string) (*BackendServerSet, uint64) {
	return get[*BackendServerSet](s, KindBackendServerSet, name)
}

// BackendServerSets returns all sets by name, in no order.
func (s *State) BackendServerSets() iter.Seq2[string, *BackendServerSet] {
	return all[*BackendServerSet](s, KindBackendServerSet)
}

// ServiceLevels returns all service levels by name, in no order.
func (s *State) ServiceLevels() iter.Seq2[string, *ServiceLevel] {
	return all[*ServiceLevel](s, KindServiceLevel)
}

// Refusal is a version of an object that was heard of and is not in force.
type Refusal struct {
	Kind    string             `json:"kind"`
	Name    string             `json:"name"`
	Version uint64             `json:"version"`
	InForce uint64             `json:"in_force"` // the last good version; 0 if none
	Faults  config.FieldErrors `json:"faults"`
}

// Refusals returns the objects whose newest version is bad.
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
	return Refusal{Kind: kind, Name: r.name, Version: r.seen, InForce: r.inForce, Faults: r.faults}
}

// get returns the zero value of T and 0 where nothing is in force.
func get[T Spec](s *State, kind, name string) (spec T, version uint64) {
	r := s.records[kind][name]
	if r == nil || r.spec == nil {
		return spec, 0
	}
	return r.spec.(T), r.inForce
}

func all[T Spec](s *State, kind string) iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		for name, r := range s.records[kind] {
			if r.spec != nil && !yield(name, r.spec.(T)) {
				return
			}
		}
	}
}

// clone copies the state; the records of a kind are shared until written to.
func (s *State) clone() *State {
	next := *s
	next.records = maps.Clone(s.records)
	next.through = maps.Clone(s.through)
	next.pools = maps.Clone(s.pools)
	next.changed = make(chan struct{})
	return &next
}
