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

// origin is a store whose every state is known, by revision.
type origin struct {
	revision uint64
	states   map[uint64]map[string]objectapi.Object
	events   []objectapi.Object // in order; Version is the revision of the change
}

func newOrigin() *origin {
	return &origin{states: map[uint64]map[string]objectapi.Object{0: {}}}
}

func (o *origin) change(name string, deleted bool) {
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

// list gives an entry the whole state, watch what changed since it last heard.
func (o *origin) list(e *entry) {
	l := objectapi.Listing{Revision: o.revision, Asked: e.now}
	for _, object := range o.states[o.revision] {
		l.Objects = append(l.Objects, object)
	}
	e.replica.Snapshot(kind, l)
}

func (o *origin) watch(e *entry) {
	l := objectapi.Listing{Revision: o.revision, Asked: e.now}
	for _, event := range o.events {
		if event.Version > e.replica.Revision(kind) {
			l.Objects = append(l.Objects, event)
		}
	}
	e.replica.Events(kind, l)
}

// held is what an entry has of the kind.
func (e *entry) held() map[string]objectapi.Object {
	e.replica.mu.Lock()
	defer e.replica.mu.Unlock()
	if s := e.replica.kinds[kind]; s != nil {
		return s.objects
	}
	return map[string]objectapi.Object{}
}

// Symptom: an entry sends to a server that is long gone, or lacks one that is there.
// Sequence: objects are made, changed and deleted; entries list them, watch them, lose
// their place, and ask each other in any order.
// Cause: changes put onto a state that they don't follow.
func TestChangesLeadToTheStateOfTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newOrigin()
		entries := []*entry{newEntry(second(100)), newEntry(second(200)), newEntry(second(300))}
		pullers := make([]*Puller, len(entries))
		registry := metrics.NewRegistry()
		for i, e := range entries {
			p := &peers{entries: map[string]*entry{}, asker: e}
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
				pullers[e].renew(t.Context())
			default:
				name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
				store.change(name, rapid.Bool().Draw(t, "deleted"))
			}
			for i, e := range entries {
				if d := cmp.Diff(store.states[e.replica.Revision(kind)], e.held()); d != "" {
					t.Fatalf("entry %d at revision %d: %s", i, e.replica.Revision(kind), d)
				}
			}
		}
		if n := pullers[0].strayed.Count(); n != 0 {
			t.Fatalf("%d times changes led elsewhere", n)
		}
	})
}

// Symptom: bytes between zones grow with servers times entries. Sequence: one server of
// many changes; an entry asks its reader. Cause: it is given all of them.
func TestOnlyWhatChangedIsSent(t *testing.T) {
	store := newOrigin()
	e, peer := newEntry(second(1000)), newEntry(second(7))
	for i := range 100 {
		store.change(fmt.Sprint(i), false)
	}
	store.list(e)
	store.list(peer)
	store.change("5", false)
	store.change("6", true)
	store.watch(peer)
	e.now = e.now.Add(3 * time.Second)
	e.renew(t, &peers{entries: map[string]*entry{"b": peer}})
	last := e.sink.listings[len(e.sink.listings)-1]
	if len(last.Objects) != 2 || len(e.held()) != 99 {
		t.Errorf("%d objects were sent, %d are held, want 2 and 99", len(last.Objects), len(e.held()))
	}
}

// Symptom: an entry keeps a server that is gone until that changes once more. Sequence:
// changes of a peer lead to other objects than it has. Cause: a fault; here one object
// that only the entry has. The next answer has to bring the whole.
func TestEntryThatStrayedAsksForTheWhole(t *testing.T) {
	store := newOrigin()
	e, peer := newEntry(second(1000)), newEntry(second(7))
	store.change("a", false)
	store.list(e)
	store.list(peer)
	e.replica.kinds[kind].objects["stray"] = object("stray", 1)
	store.change("b", false)
	store.watch(peer)
	p := &peers{entries: map[string]*entry{"b": peer}, asker: e}
	puller := NewPuller(PullerConfig{
		Replica: e.replica, Kinds: []PulledKind{{Kind: kind, MaxAge: 2 * time.Second}}, Client: p, Clock: e.clock, Metrics: metrics.NewRegistry(),
		Sources: func() Sources { return Sources{AlwaysPull: true, Peers: []string{"b"}} },
	})
	puller.renew(t.Context())
	if n := puller.strayed.Count(); n != 1 {
		t.Errorf("noticed %d times, want 1", n)
	}
	puller.renew(t.Context())
	if d := cmp.Diff(store.states[store.revision], e.held()); d != "" {
		t.Error(d)
	}
}
