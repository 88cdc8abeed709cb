package peering

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/internal/quiet"
	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// Guards against peers that are lost, or replaced by earlier processes, when the store comes back from an
// older copy: entries would share what they send to servers among too few.
func TestOlderCopyDoesNotReplacePeers(t *testing.T) {
	var peers []Peer
	r := newPresenceSink("self", quiet.Logger(), func(p []Peer) { peers = p })
	list := func(recovery objectapi.Recovery, incarnations map[string]uint64) {
		l := objectapi.Listing{Recovery: recovery}
		for name, incarnation := range incarnations {
			data, err := json.Marshal(presence{DatagramAddress: "127.0.0.1:1", Incarnation: incarnation})
			if err != nil {
				t.Fatal(err)
			}
			l.Objects = append(l.Objects, objectapi.Object{Name: name, Data: data})
		}
		r.Snapshot(KindGateway, l)
	}
	want := func(what string, incarnations map[string]uint64) {
		t.Helper()
		got := map[string]uint64{}
		for _, p := range peers {
			got[p.Name] = p.Incarnation
		}
		if d := cmp.Diff(incarnations, got); d != "" {
			t.Errorf("%s: %s", what, d)
		}
	}
	list(objectapi.Recovered, map[string]uint64{"a": 2, "b": 1})
	list(objectapi.Recovering, map[string]uint64{"a": 1, "c": 1})
	want("older copy", map[string]uint64{"a": 2, "b": 1, "c": 1})
	list(objectapi.JustRecovered, map[string]uint64{"a": 2, "c": 1})
	want("recovered", map[string]uint64{"a": 2, "c": 1})
}

// Guards against an entry that the others never find again because the store lost its presence.
func TestLostPresenceIsWrittenAgain(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	older := store.Copy()
	startEntry(t, store, "a", 1)
	hasA := func() bool {
		l, err := store.List(t.Context(), KindGateway, "a")
		return err == nil && len(l.Objects) == 1
	}
	waitFor(t, "a announced itself", hasA)
	store.Restore(older)
	waitFor(t, "a announced itself again", hasA)
}
