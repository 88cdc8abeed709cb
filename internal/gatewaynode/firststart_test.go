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

// unlistable is a store that answers one entry nothing.
type unlistable struct{ objectapi.Store }

func (unlistable) List(context.Context, string, string) (objectapi.Listing, error) {
	return objectapi.Listing{}, objectapi.ErrUnavailable
}

func (unlistable) Watch(context.Context, string, uint64, time.Duration) (objectapi.Listing, error) {
	return objectapi.Listing{}, objectapi.ErrUnavailable
}

// startFleet starts a fleet for the first time: entries hear each other after some time, and
// the first three are the readers then. It returns when each knew the object that is
// in the store, and how often that was listed. silent turns the readers away.
func startFleet(t *testing.T, entries int, gathers, silent bool) (known []time.Duration, lists int64) {
	const hear = 900 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); synctest.Wait() }()
	store := standin.NewMemory(standin.Config{})
	if _, err := store.Create(ctx, testKind, "x", json.RawMessage("{}")); err != nil {
		t.Fatal(err)
	}
	z := &zone{services: map[string]*replica.Service{}, began: time.Now()}
	near := []string{"e0", "e1", "e2"}
	var all []*heard
	for i := range entries {
		readers := func() peering.Readers {
			if time.Since(z.began) < hear {
				return peering.Readers{Self: true}
			}
			return peering.Readers{Self: i < len(near), SameZone: near, Others: []string{"e3", "e4"}}
		}
		from := objectapi.Store(store)
		if silent && i < len(near) {
			from = unlistable{store}
		}
		all = append(all, z.joinAs(ctx, fmt.Sprintf("e%d", i), from, gathers, readers))
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
	for i, h := range all {
		at, ok := h.at["x"]
		if !ok {
			t.Fatalf("entry %d knows nothing after 10 s", i)
		}
		known = append(known, at.Sub(z.began))
	}
	return known, store.Counts().List
}

// Each entry of a fleet that starts reads the whole state from the store, which is most of
// a day's calls where a fleet is large: a few have to do it for all.
func TestFewReadTheStoreAtTheFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, lists := startFleet(t, 40, true, false)
		for i, after := range known {
			if after > gatherTime+time.Second {
				t.Errorf("entry %d knows the state after %v", i, after)
			}
		}
		if lists > 3 {
			t.Errorf("%d lists by 40 entries of which 3 read for the others", lists)
		}
	})
}

// A fleet whose readers the store doesn't answer at the first start never serves.
func TestFirstStartWithoutReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, _ := startFleet(t, 40, true, true)
		for i, after := range known {
			if after > gatherLimit+2*time.Second {
				t.Errorf("entry %d knows the state after %v", i, after)
			}
		}
	})
}

// An entry that starts later, under load, doesn't wait for others.
func TestLaterStartReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, _ := startFleet(t, 5, false, false)
		for i, after := range known {
			if after > 100*time.Millisecond {
				t.Errorf("entry %d knows the state after %v", i, after)
			}
		}
	})
}
