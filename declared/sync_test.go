package declared

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// inForceWithin is the time within which an accepted change must be in force.
const inForceWithin = 9 * time.Second

// startWatcher starts a watcher of the store that updates a new catalog.
func startWatcher(store objectapi.Store) (c *Catalog, stop func()) {
	c = NewCatalog(Config{})
	w := objectapi.NewWatcher(objectapi.WatcherConfig{Store: store, Kinds: Kinds(), Sink: c})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return c, func() { cancel(); <-done }
}

// Guards against processes that run with an old configuration for long after
// an outage. The store is down for ten minutes and accepts a change as soon as
// it is available again; the backoff must not grow with the outage.
func TestChangeInForceSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := standin.NewMemory(standin.Config{})
		o, err := store.Create(ctx, KindWorkspacePolicy, "w", json.RawMessage(validPolicy))
		if err != nil {
			t.Fatal(err)
		}
		c, stop := startWatcher(store)
		defer stop()
		time.Sleep(inForceWithin)
		if f := c.Freshness(); !f.Ready || !f.Confirmed {
			t.Fatalf("before the outage: %+v", f)
		}
		store.SetFaults(standin.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		if f := c.Freshness(); !f.Ready || f.Confirmed {
			t.Fatalf("in the outage: %+v", f)
		}
		store.SetFaults(standin.Faults{})
		o, err = store.Update(ctx, KindWorkspacePolicy, "w", json.RawMessage(`{"weight":7}`), o.Version)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceWithin)
		if _, v := c.State().WorkspacePolicy("w"); v != o.Version || !c.Freshness().Confirmed {
			t.Fatalf("version %d in force, want %d; %+v", v, o.Version, c.Freshness())
		}
	})
}

// Checks that catalogs and the VM list can share one watcher of five kinds. A
// VM and an object change; a catalog must neither fail on events of a kind
// that it does not hold nor apply them.
func TestWatcherWithTwoCatalogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory(standin.Config{})
		first, second := NewCatalog(Config{}), NewCatalog(Config{Kinds: []string{KindModelPool}})
		w := objectapi.NewWatcher(objectapi.WatcherConfig{
			Store: store, Kinds: append(Kinds(), objectapi.KindVM), Sink: objectapi.MultiSink{first, second},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		synctest.Wait()
		store.SetVM(objectapi.VM{Name: "vm-1", State: objectapi.VMLeaving})
		if _, err := store.Create(ctx, KindWorkspacePolicy, "w", json.RawMessage(validPolicy)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceWithin)
		if p, _ := first.State().WorkspacePolicy("w"); p == nil || first.Revision() != 2 {
			t.Fatalf("policy %v at revision %d", p, first.Revision())
		}
		if p, _ := second.State().WorkspacePolicy("w"); p != nil || second.Revision() != 2 {
			t.Fatalf("a kind that is not held: %v at revision %d", p, second.Revision())
		}
	})
}

// Guards against a process that loses its confirmation while the store is
// available and nothing changes. A watch must not wait longer than
// MaxConfirmationAge.
func TestIdleStoreKeepsConfirming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := startWatcher(standin.NewMemory(standin.Config{}))
		defer stop()
		time.Sleep(time.Second)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if !c.Freshness().Confirmed {
				t.Fatal("not confirmed, with the store up")
			}
		}
	})
}

// Guards against a state that is modified after it was published: the race
// detector would report a read concurrent with a write, or a reader would
// observe a lower revision. Many readers and pullers run while changes are
// applied.
func TestConcurrentReadersAndWriter(t *testing.T) {
	c := NewCatalog(Config{MaxTombstones: 2})
	applySnapshots(c, 0)
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			var newest uint64
			for newest < 200 {
				state := c.State()
				if state.Revision() < newest {
					t.Error("the revision decreased")
					return
				}
				newest = state.Revision()
				for name := range state.WorkspacePolicies() {
					_ = name
				}
				c.Since(newest/2, Scope{})
				c.Freshness()
			}
		})
	}
	for v := uint64(1); v <= 200; v++ {
		o := newPolicy(fmt.Sprint("w-", v%5), v, validPolicy)
		if v%3 == 0 {
			o.Deleted, o.Data = true, nil
		}
		applyEvents(c, objectapi.Listing{Revision: v, Objects: []objectapi.Object{o}})
	}
	readers.Wait()
}
