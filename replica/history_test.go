package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/objectapi"
)

// fakeStore is a store that keeps the state of every revision.
type fakeStore struct {
	revision uint64
	states   map[uint64]map[string]objectapi.Object
	events   []objectapi.Object // in order; Version is the revision of the change
}

func newFakeStore() *fakeStore {
	return &fakeStore{states: map[uint64]map[string]objectapi.Object{0: {}}}
}

func (o *fakeStore) change(name string, deleted bool) {
	state := map[string]objectapi.Object{}
	for k, v := range o.states[o.revision] {
		state[k] = v
	}
	o.revision++
	event := objectapi.Object{Kind: kind, Name: name, Version: o.revision, Deleted: deleted}
	if deleted {
		delete(state, name)
	} else {
		event.Data = fmt.Appendf(nil, "%d", o.revision)
		state[name] = event
	}
	o.states[o.revision] = state
	o.events = append(o.events, event)
}

// list delivers the full state to an entry.
func (o *fakeStore) list(e *entry) {
	l := objectapi.Listing{Revision: o.revision, CurrentAsOf: e.now}
	for _, object := range o.states[o.revision] {
		l.Objects = append(l.Objects, object)
	}
	e.replica.Snapshot(kind, l)
}

// watch delivers the changes since the entry's revision.
func (o *fakeStore) watch(e *entry) {
	l := objectapi.Listing{Revision: o.revision, CurrentAsOf: e.now}
	for _, event := range o.events {
		if event.Version > e.replica.Revision(kind) {
			l.Objects = append(l.Objects, event)
		}
	}
	e.replica.Events(kind, l)
}

// heldObjects returns the objects of the kind that an entry holds.
func (e *entry) heldObjects() map[string]objectapi.Object {
	e.replica.mu.Lock()
	defer e.replica.mu.Unlock()
	if s := e.replica.kinds[kind]; s != nil {
		return s.objects
	}
	return map[string]objectapi.Object{}
}

// Guards against an entry that sends to a deleted server or lacks an existing one, because
// changes were applied to a state that they don't follow. Objects are created, changed and
// deleted, and entries list, watch and pull from each other in random order.
func TestIncrementalChangesReproduceTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		entries := []*entry{newEntry(atSecond(100)), newEntry(atSecond(200)), newEntry(atSecond(300))}
		pullers := make([]*Puller, len(entries))
		registry := metrics.NewRegistry()
		for i, e := range entries {
			p := &fakePeers{entries: map[string]*entry{}, requester: e}
			var addresses []string
			for j, peer := range entries {
				if i != j {
					p.entries[fmt.Sprint(j)] = peer
					addresses = append(addresses, fmt.Sprint(j))
				}
			}
			pullers[i] = NewPuller(PullerConfig{
				Replica: e.replica, Kinds: []PulledKind{{Kind: kind}}, Client: p, Clock: e.clock, Metrics: registry,
				Sources: func() Sources { return Sources{AlwaysPull: true, Peers: addresses} },
			})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			e := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				store.list(entries[e])
			case 1:
				store.watch(entries[e])
			case 2:
				pullers[e].pullRound(t.Context())
			default:
				name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
				store.change(name, rapid.Bool().Draw(t, "deleted"))
			}
			for i, e := range entries {
				if d := cmp.Diff(store.states[e.replica.Revision(kind)], e.heldObjects()); d != "" {
					t.Fatalf("entry %d at revision %d: %s", i, e.replica.Revision(kind), d)
				}
			}
		}
		if n := pullers[0].divergences.Count(); n != 0 {
			t.Fatalf("%d divergences, want none", n)
		}
	})
}

// Guards against traffic between zones that grows with the product of servers and entries:
// one of many servers changes, and an entry that asks its reader receives all of them.
func TestOnlyChangesAreSent(t *testing.T) {
	store := newFakeStore()
	e, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	for i := range 100 {
		store.change(fmt.Sprint(i), false)
	}
	store.list(e)
	store.list(peer)
	store.change("5", false)
	store.change("6", true)
	store.watch(peer)
	e.now = e.now.Add(3 * time.Second)
	e.pullRound(t, &fakePeers{entries: map[string]*entry{"b": peer}})
	last := e.sink.listings[len(e.sink.listings)-1]
	if len(last.Objects) != 2 || len(e.heldObjects()) != 99 {
		t.Errorf("%d objects sent, %d held, want 2 and 99", len(last.Objects), len(e.heldObjects()))
	}
}

// Guards against an entry that keeps a deleted server until that server changes again,
// because after changes from a peer it holds other objects than the peer. Here the entry has
// one object that the peer lacks. The next response must contain the full state.
func TestDivergedEntryRequestsFullState(t *testing.T) {
	store := newFakeStore()
	e, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	store.change("a", false)
	store.list(e)
	store.list(peer)
	e.replica.kinds[kind].objects["stray"] = object("stray", 1)
	store.change("b", false)
	store.watch(peer)
	p := &fakePeers{entries: map[string]*entry{"b": peer}, requester: e}
	puller := NewPuller(PullerConfig{
		Replica: e.replica, Kinds: []PulledKind{{Kind: kind, MaxAge: 2 * time.Second}}, Client: p, Clock: e.clock, Metrics: metrics.NewRegistry(),
		Sources: func() Sources { return Sources{AlwaysPull: true, Peers: []string{"b"}} },
	})
	puller.pullRound(t.Context())
	if n := puller.divergences.Count(); n != 1 {
		t.Errorf("%d divergences, want 1", n)
	}
	puller.pullRound(t.Context())
	if d := cmp.Diff(store.states[store.revision], e.heldObjects()); d != "" {
		t.Error(d)
	}
}
