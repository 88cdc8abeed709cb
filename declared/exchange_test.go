package declared

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

const (
	validPolicy   = `{"weight":1}`
	invalidPolicy = `{"weight":0}`
	setFormat     = `{"pool":%q,"zones":["z"],"servers":[{"name":"s","zone":"z","address":"10.0.0.1:1"}]}`
)

// cluster simulates processes that follow one store and pull from each other.
// Entries hold all objects; agents hold those that concern pool a.
type cluster struct {
	store       *standin.Memory
	history     []writtenObject // all writes, in order
	nodes       []*node
	sentBatches []Batch // each may be delivered to any node, at any time and repeatedly
}

// writtenObject is one write, with the expected result on a process.
type writtenObject struct {
	objectapi.Object
	valid bool
	pool  string
}

type node struct {
	name           string
	scope          Scope
	catalog        *Catalog
	watchRevisions map[string]uint64 // for each kind that it listed, the revision to watch from
	inForce        map[objectKey]uint64
}

var agentScope = Scope{Kinds: []string{KindModelPool, KindBackendServerSet}, Pools: []string{"a"}}

func newCluster() *cluster {
	f := &cluster{store: standin.NewMemory(standin.Config{History: 6})}
	for i := range 5 {
		n := &node{name: fmt.Sprint("node-", i)}
		if i >= 3 {
			n.scope = agentScope
		}
		n.restart()
		f.nodes = append(f.nodes, n)
	}
	return f
}

// restart replaces the catalog of the node by an empty one.
func (n *node) restart() {
	n.catalog = NewCatalog(Config{Kinds: n.scope.Kinds, MaxTombstones: 2})
	n.watchRevisions = map[string]uint64{}
	n.inForce = map[objectKey]uint64{}
}

func (n *node) isAgent() bool { return len(n.scope.Pools) > 0 }

// write changes one object in the store.
func (f *cluster) write(rt *rapid.T) {
	kind := rapid.SampledFrom([]string{KindWorkspacePolicy, KindBackendServerSet}).Draw(rt, "kind")
	name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "name")
	value := rapid.SampledFrom([]string{validPolicy, validPolicy, invalidPolicy}).Draw(rt, "policy")
	if kind == KindBackendServerSet {
		value = fmt.Sprintf(setFormat, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "pool"))
	}
	ctx := context.Background()
	o, err := f.store.Get(ctx, kind, name)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		o, err = f.store.Create(ctx, kind, name, json.RawMessage(value))
	case rapid.Bool().Draw(rt, "delete"):
		o, err = f.store.Delete(ctx, kind, name, o.Version)
	default:
		o, err = f.store.Update(ctx, kind, name, json.RawMessage(value), o.Version)
	}
	if err != nil {
		rt.Fatal(err)
	}
	w := writtenObject{Object: o}
	if spec, err := Decode(o.Kind, o.Data); err == nil {
		w.valid, w.pool = true, spec.poolName(o.Name)
	}
	f.history = append(f.history, w)
}

// syncFromStore updates an entry from the store, as an objectapi.Watcher
// would.
func (f *cluster) syncFromStore(rt *rapid.T, n *node) {
	for _, kind := range Kinds() {
		f.syncKind(rt, n, kind)
		if rapid.IntRange(0, 3).Draw(rt, "between kinds") == 0 {
			f.write(rt)
		}
	}
}

func (f *cluster) syncKind(rt *rapid.T, n *node, kind string) {
	ctx := context.Background()
	if after, listed := n.watchRevisions[kind]; listed {
		l, err := f.store.Watch(ctx, kind, after, 0)
		if err == nil {
			n.watchRevisions[kind] = l.Revision
			n.catalog.Events(kind, l)
			return
		}
	}
	l, err := f.store.List(ctx, kind, "")
	if err != nil {
		rt.Fatal(err)
	}
	n.watchRevisions[kind] = l.Revision
	n.catalog.Snapshot(kind, l)
}

// pull makes a node pull from an entry. The batch is kept so that it can be
// delivered again later.
func (f *cluster) pull(from, to *node) {
	b := from.catalog.Since(to.catalog.Revision(), to.scope)
	if !to.isAgent() {
		f.sentBatches = append(f.sentBatches, b)
	}
	to.catalog.ApplyBatch(from.name, b)
}

func (f *cluster) step(rt *rapid.T) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")]
	entry := f.nodes[rapid.IntRange(0, 2).Draw(rt, "entry")]
	switch rapid.IntRange(0, 9).Draw(rt, "step") {
	case 0, 1, 2:
		f.write(rt)
	case 3, 4:
		f.syncFromStore(rt, entry)
	case 5, 6:
		f.pull(entry, n)
	case 7:
		if len(f.sentBatches) > 0 && !n.isAgent() {
			n.catalog.ApplyBatch("late", f.sentBatches[rapid.IntRange(0, len(f.sentBatches)-1).Draw(rt, "batch")])
		}
	case 8:
		if len(f.history) > 0 && !n.isAgent() {
			n.catalog.Apply(f.history[rapid.IntRange(0, len(f.history)-1).Draw(rt, "object")].Object)
		}
	case 9:
		if rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
			n.restart()
		}
	}
}

// check compares a node with the content of the store at the revision of the
// node.
func (f *cluster) check(rt *rapid.T, n *node) {
	state := n.catalog.State()
	truth := map[objectKey]writtenObject{}
	for _, o := range f.history {
		if o.Version <= state.Revision() {
			truth[objectKey{o.Kind, o.Name}] = o
		}
	}
	for _, kind := range state.kinds {
		for _, name := range []string{"x", "y", "z"} {
			key := objectKey{kind, name}
			if !keepsOverInvalid(state, key, truth[key]) {
				n.checkObject(rt, key, truth[key], inForce(state, key))
			}
		}
	}
	if state.tombstones > 2*state.maxTombstones {
		rt.Fatalf("%s holds %d tombstones", n.name, state.tombstones)
	}
}

// keepsOverInvalid reports whether the node received only a later, invalid
// version of the object. It keeps the last valid version that it received,
// which may be older than the last valid version in the store, or from before
// a deletion: the object API does not return the versions in between.
func keepsOverInvalid(s *State, key objectKey, want writtenObject) bool {
	r := s.records[key.kind][key.name]
	return r != nil && r.faults != nil && r.version > want.Version
}

func (n *node) checkObject(rt *rapid.T, key objectKey, want writtenObject, got uint64) {
	if got > 0 && got < n.inForce[key] {
		rt.Fatalf("%s: %v went back from version %d to %d", n.name, key, n.inForce[key], got)
	}
	n.inForce[key] = max(got, n.inForce[key])
	outside := want.valid && !n.shouldHold(want)
	switch {
	case (want.Deleted || outside) && got > 0 && got <= want.Version:
		rt.Fatalf("%s: %v is in force at %d, but was deleted at %d", n.name, key, got, want.Version)
	case want.valid && !outside && got > 0 && got < want.Version:
		rt.Fatalf("%s: %v is in force at %d, but the store had %d", n.name, key, got, want.Version)
	}
}

// shouldHold reports whether the node must have the object in force.
func (n *node) shouldHold(w writtenObject) bool { return w.valid && (!n.isAgent() || w.pool == "a") }

func inForce(s *State, key objectKey) uint64 {
	if r := s.records[key.kind][key.name]; r != nil && r.spec != nil {
		return r.inForce
	}
	return 0
}

// Guards against a replaced or deleted configuration that is in force again on
// some processes. Objects are written, deleted and recreated while processes
// receive responses of the store and of each other late, twice, out of order
// and with gaps, and restart empty. A lagging peer or a list older than the
// known state must not be applied.
func TestPeersNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newCluster()
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			f.step(rt)
			for _, n := range f.nodes {
				f.check(rt, n)
			}
		}
		f.converge(rt)
	})
}

// converge updates all nodes to the newest revision and checks that all have
// the same objects in force.
func (f *cluster) converge(rt *rapid.T) {
	for _, n := range f.nodes[:3] {
		f.syncFromStore(rt, n)
	}
	for f.nodes[0].catalog.Revision() < f.store.Revision() {
		f.syncFromStore(rt, f.nodes[0])
	}
	live := map[objectKey]writtenObject{}
	for _, o := range f.history {
		live[objectKey{o.Kind, o.Name}] = o
	}
	for _, n := range f.nodes {
		if n != f.nodes[0] {
			f.pull(f.nodes[0], n)
		}
		f.check(rt, n)
		for key, o := range live {
			if got := inForce(n.catalog.State(), key); n.shouldHold(o) && got != o.Version {
				rt.Fatalf("%s: %v is in force at %d, want %d", n.name, key, got, o.Version)
			}
		}
	}
}
