package gatewaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/replica"
)

// unavailableStore is a store whose reads fail with ErrUnavailable for one entry.
type unavailableStore struct{ objectapi.Store }

func (unavailableStore) List(context.Context, string, string) (objectapi.Listing, error) {
	return objectapi.Listing{}, objectapi.ErrUnavailable
}

func (unavailableStore) Watch(context.Context, string, uint64, time.Duration) (objectapi.Listing, error) {
	return objectapi.Listing{}, objectapi.ErrUnavailable
}

// startFleet starts a fleet: the entries discover each other after 900 ms, and the first
// three are the readers then. It returns the time after which each entry received the
// object that is in the store, and the number of list calls. firstStart marks the
// first start of the whole fleet; readersUnavailable makes the store unavailable to the
// readers.
func startFleet(t *testing.T, entries int, firstStart, readersUnavailable bool) (received []time.Duration, lists int64) {
	const discoveryDelay = 900 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); synctest.Wait() }()
	store := standin.NewMemory(standin.Config{})
	if _, err := store.Create(ctx, testKind, "x", json.RawMessage("{}")); err != nil {
		t.Fatal(err)
	}
	z := &peerNetwork{services: map[string]*replica.Service{}, startedAt: time.Now()}
	near := []string{"e0", "e1", "e2"}
	var all []*recordingSink
	for i := range entries {
		readers := func() peering.Readers {
			if time.Since(z.startedAt) < discoveryDelay {
				return peering.Readers{Self: true}
			}
			return peering.Readers{Self: i < len(near), SameZone: near, Others: []string{"e3", "e4"}}
		}
		from := objectapi.Store(store)
		if readersUnavailable && i < len(near) {
			from = unavailableStore{store}
		}
		all = append(all, z.joinAs(ctx, fmt.Sprintf("e%d", i), from, firstStart, readers))
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
	for i, h := range all {
		at, ok := h.at["x"]
		if !ok {
			t.Fatalf("entry %d has not received the object after 10 s", i)
		}
		received = append(received, at.Sub(z.startedAt))
	}
	return received, store.Counts().List
}

// Guards against every entry of a starting fleet reading the whole state from the store,
// which in a large fleet makes up most of a day's calls: a few entries must read for all.
func TestFirstStartFewEntriesReadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, lists := startFleet(t, 40, true, false)
		for i, after := range known {
			if after > discoveryTime+time.Second {
				t.Errorf("entry %d received the state after %v", i, after)
			}
		}
		if lists > 3 {
			t.Errorf("%d list calls by 40 entries with 3 readers, want 3 at most", lists)
		}
	})
}

// Guards against a fleet that never serves because the store is unavailable to its readers
// at the first start.
func TestFirstStartWithoutReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, _ := startFleet(t, 40, true, true)
		for i, after := range known {
			if after > maxFirstReadWait+2*time.Second {
				t.Errorf("entry %d received the state after %v", i, after)
			}
		}
	})
}

// Guards against an entry that starts later, under load, waiting for other entries before it
// reads the store.
func TestLaterStartReadsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, _ := startFleet(t, 5, false, false)
		for i, after := range known {
			if after > 100*time.Millisecond {
				t.Errorf("entry %d received the state after %v", i, after)
			}
		}
	})
}
