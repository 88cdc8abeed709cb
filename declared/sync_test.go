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

// inForceWithin is the users' bound on the time from acceptance to in force.
const inForceWithin = 9 * time.Second

// follow runs a watcher of the store into a catalog.
func follow(store objectapi.Store) (c *Catalog, stop func()) {
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

// Symptom: after an outage some processes run on an old configuration for long.
// Sequence: the store is down for ten minutes; a change is accepted as soon as
// it is back.
// Cause: a back-off that grew with the outage.
func TestInForceSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := standin.NewMemory(standin.Config{})
		o, err := store.Create(ctx, KindWorkspacePolicy, "w", json.RawMessage(goodPolicy))
		if err != nil {
			t.Fatal(err)
		}
		c, stop := follow(store)
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

// Symptom: the VM list shares a watch with the objects, and one of them stops.
// Sequence: a VM and an object change, in one watch of five kinds.
// Cause: a catalog that takes another kind's events for a fault or its own.
func TestOneWatchForAllKinds(t *testing.T) {
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
		if _, err := store.Create(ctx, KindWorkspacePolicy, "w", json.RawMessage(goodPolicy)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceWithin)
		if p, _ := first.State().WorkspacePolicy("w"); p == nil || first.Revision() != 2 {
			t.Fatalf("policy %v at revision %d", p, first.Revision())
		}
		if p, _ := second.State().WorkspacePolicy("w"); p != nil || second.Revision() != 2 {
			t.Fatalf("a kind that isn't held: %v at revision %d", p, second.Revision())
		}
	})
}

// Symptom: a process counts as confirmed though the store is silent.
// Sequence: quiet kinds; the watch waits and nothing changes.
// Cause: a watch that waits longer than what counts as lately.
func TestQuietStoreKeepsConfirming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := follow(standin.NewMemory(standin.Config{}))
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

// Symptom: the race detector reports a read beside a write of the state, or a
// reader sees a version go back.
// Sequence: many readers and pullers while changes come in.
// Cause: a state that is changed after it was published.
func TestReadersBesideWriter(t *testing.T) {
	c := NewCatalog(Config{MaxTombstones: 2})
	listAll(c, 0)
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			var newest uint64
			for newest < 200 {
				state := c.State()
				if state.Revision() < newest {
					t.Error("the revision went back")
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
		o := policy(fmt.Sprint("w-", v%5), v, goodPolicy)
		if v%3 == 0 {
			o.Deleted, o.Data = true, nil
		}
		hear(c, objectapi.Listing{Revision: v, Objects: []objectapi.Object{o}})
	}
	readers.Wait()
}
