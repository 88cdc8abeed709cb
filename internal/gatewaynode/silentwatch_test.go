package gatewaynode

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/replica"
)

// Guards against a change that isn't in force in time because no watch gets a response, although
// the store responds to other calls.
func TestChangeArrivesWhileWatchesAreSilent(t *testing.T) {
	const step = 130 * time.Millisecond // not aligned with any period in the code
	for _, c := range []struct {
		name   string
		config bool
	}{{"configuration", true}, {"servers", false}} {
		t.Run(c.name, func(t *testing.T) {
			worst := map[string]time.Duration{}
			for begins := time.Duration(0); begins < 2*time.Second; begins += step {
				synctest.Test(t, func(t *testing.T) {
					for name, late := range latenessUnderSilentWatches(t, c.config, begins) {
						worst[name] = max(worst[name], late)
					}
				})
			}
			for name, late := range worst {
				if late > bound {
					t.Errorf("%s received a change %v after it was acknowledged, want %v at most", name, late, bound)
				}
			}
		})
	}
}

// latenessUnderSilentWatches returns how long after its acknowledgement three readers and an
// entry that follows them receive a change that is made when the watches have just fallen silent.
func latenessUnderSilentWatches(t *testing.T, config bool, begins time.Duration) map[string]time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); synctest.Wait() }()
	store := standin.NewMemory(standin.Config{})
	z := &peerNetwork{services: map[string]*replica.Service{}, startedAt: time.Now(), config: config, within: bound}
	readers := []string{"reader 0", "reader 1", "reader 2"}
	stores := []*cutStore{}
	entries := map[string]*recordingSink{}
	join := func(name string, r peering.Readers) {
		s := &cutStore{Store: store}
		stores = append(stores, s)
		entries[name] = z.join(ctx, name, s, r)
	}
	for _, name := range readers {
		join(name, peering.Readers{Self: true, OtherZones: readers})
	}
	join("entry", peering.Readers{SameZone: readers[:1], OtherZones: readers[1:]})
	time.Sleep(20*time.Second + begins)
	synctest.Wait()
	for _, s := range stores {
		s.cut.Store(true)
	}
	acknowledged := time.Now()
	if _, err := store.Create(ctx, testKind, "change", json.RawMessage("{}")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Second)
	synctest.Wait()
	late := map[string]time.Duration{}
	for name, entry := range entries {
		at := entry.at["change"]
		if at.IsZero() {
			at = time.Now()
		}
		late[name] = at.Sub(acknowledged)
	}
	return late
}
