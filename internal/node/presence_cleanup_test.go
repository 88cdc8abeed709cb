package node

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	api "github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

func startEntryOn(t *testing.T, store *standin.Memory, name string) *Entry {
	t.Helper()
	n, err := StartEntry(EntryConfig{
		Name:           name,
		Zone:           "hobart",
		Region:         "tas",
		HTTPListen:     "127.0.3.1:0",
		RPCListen:      "127.0.3.1:0",
		DatagramListen: "127.0.3.1:0",
		Store:          store,
		Log:            quiet.Logger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// awaitPresence waits until an entry's presence is there with another version
// than before, or is gone.
func awaitPresence(t *testing.T, store *standin.Memory, name string, before uint64, there bool) api.Object {
	t.Helper()
	for {
		o, err := store.Get(t.Context(), KindEntry, name)
		if there && err == nil && o.Version != before {
			return o
		}
		if !there && errors.Is(err, api.ErrNotFound) {
			return o
		}
		time.Sleep(5 * time.Millisecond) // the test's own time limit ends it
	}
}

// Symptom: an entry serves, but agents that start are never told of it.
// Sequence: it is cut off from its region for long; another entry takes it for
// dead and deletes its presence; the cut ends.
// Cause: presence is written once, at the start.
func TestDeletedPresenceIsWrittenAgain(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	startEntryOn(t, store, "entry-1")
	o := awaitPresence(t, store, "entry-1", 0, true)
	if _, err := store.Delete(t.Context(), KindEntry, "entry-1", o.Version); err != nil {
		t.Fatal(err)
	}
	awaitPresence(t, store, "entry-1", o.Version, true)
}

// Symptom: the list of entries grows by some hundred dead addresses a day.
// Sequence: VMs with entries fail and are replaced under other names.
// Cause: only an entry that drains withdraws its presence.
func TestPresenceOfALostEntryIsDeleted(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	n := startEntryOn(t, store, "entry-1")
	lost := &wirepb.Peer{
		Name: "entry-2", Zone: "hobart", Region: "tas", Incarnation: 7,
		RpcAddress: "127.0.3.2:9", DatagramAddress: "127.0.3.2:9",
	}
	if err := announce(t.Context(), store, lost, func(write func() error) error { return write() }); err != nil {
		t.Fatal(err)
	}
	replaced := &wirepb.Peer{Name: "entry-2", Region: "tas", Incarnation: 6}
	n.withdrawLost(replaced)
	awaitPresence(t, store, "entry-2", 0, true) // of a later life: it stays
	n.withdrawLost(lost)
	awaitPresence(t, store, "entry-2", 0, false)
}
