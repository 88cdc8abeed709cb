package gatewaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/replica"
)

// cutStore is a store whose watches get no reply while cut is set.
type cutStore struct {
	objectapi.Store
	cut atomic.Bool
}

func (s *cutStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Listing, error) {
	if !s.cut.Load() {
		l, err := s.Store.Watch(ctx, kind, after, wait)
		if !s.cut.Load() {
			return l, err
		}
	}
	const callTimeout = time.Second
	select {
	case <-ctx.Done():
	case <-time.After(wait + callTimeout):
	}
	return objectapi.Listing{}, context.DeadlineExceeded
}

// Changes of the configuration in quick succession.
const (
	bound          = 2 * time.Second // time within which a change must be in force
	changesBefore  = 6
	changeInterval = 330 * time.Millisecond
)

// loseReaders says how an entry loses its readers.
type loseReaders struct {
	name string
	lose func(z *peerNetwork, readers map[string]*cutStore, throttled map[string]*throttledStore)
}

// Guards against a configuration that is not in force two seconds after it was acknowledged,
// at an entry that the store serves: all its readers were cut off, frozen or turned away by
// the store just before.
func TestConfigurationReachesEntryWithoutReaders(t *testing.T) {
	const step = 130 * time.Millisecond // not aligned with any period in the code
	names := []string{"reader 0", "reader 1", "reader 2"}
	for _, c := range []loseReaders{
		{"cut off", func(_ *peerNetwork, stores map[string]*cutStore, _ map[string]*throttledStore) {
			for _, s := range stores {
				s.cut.Store(true)
			}
		}},
		{"frozen", func(z *peerNetwork, _ map[string]*cutStore, _ map[string]*throttledStore) {
			for _, name := range names {
				z.frozen.Store(name, true)
			}
		}},
		{"turned away", func(_ *peerNetwork, _ map[string]*cutStore, stores map[string]*throttledStore) {
			for _, s := range stores {
				s.throttled.Store(true)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst := time.Duration(0)
			for begins := time.Duration(0); begins < 2*time.Second; begins += step {
				synctest.Test(t, func(t *testing.T) {
					worst = max(worst, lateness(t, names, c, begins, true))
				})
			}
			if worst > bound {
				t.Errorf("a change was received %v after it was acknowledged, want %v at most", worst, bound)
			}
		})
		t.Run(c.name+", servers", func(t *testing.T) {
			worst := time.Duration(0)
			for begins := time.Duration(0); begins < 2*time.Second; begins += step {
				synctest.Test(t, func(t *testing.T) {
					worst = max(worst, lateness(t, names, c, begins, false))
				})
			}
			if worst > bound {
				t.Errorf("a change of servers was received after %v, want %v at most", worst, bound)
			}
		})
	}
}

// lateness returns how long after its acknowledgement a change is received by an entry that
// has lost its readers. config is set for a change of the configuration, and unset for one of
// the servers.
func lateness(t *testing.T, names []string, c loseReaders, begins time.Duration, config bool) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); synctest.Wait() }()
	store := standin.NewMemory(standin.Config{})
	z := &peerNetwork{services: map[string]*replica.Service{}, startedAt: time.Now(), config: config, within: bound}
	cuts, throttled := map[string]*cutStore{}, map[string]*throttledStore{}
	for _, name := range names {
		throttled[name] = &throttledStore{Store: store}
		cuts[name] = &cutStore{Store: throttled[name]}
		z.join(ctx, name, cuts[name], peering.Readers{Self: true, OtherZones: names})
	}
	entry := z.join(ctx, "entry", store, peering.Readers{SameZone: names[:1], OtherZones: names[1:]})
	create := func(name string) {
		if _, err := store.Create(ctx, testKind, name, json.RawMessage("{}")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(20*time.Second + begins)
	for i := range changesBefore { // each makes the waiting watches return
		create(fmt.Sprint("before ", i))
		time.Sleep(changeInterval)
	}
	synctest.Wait()
	c.lose(z, cuts, throttled)
	acknowledged := time.Now()
	create("change")
	time.Sleep(20 * time.Second)
	synctest.Wait()
	at := entry.at["change"]
	if at.IsZero() {
		t.Fatal("the change was never received")
	}
	return at.Sub(acknowledged)
}

// Guards against a large configuration that is late because the peer that is asked for it
// first doesn't respond, at an entry that the store turns away.
func TestLargeConfigurationArrivesDespiteFrozenPeer(t *testing.T) {
	const step = 130 * time.Millisecond // not aligned with any period in the code
	large := json.RawMessage(`"` + strings.Repeat("x", 100<<10) + `"`)
	for begins := time.Duration(0); begins < 2*time.Second; begins += step {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() { cancel(); synctest.Wait() }()
			store := standin.NewMemory(standin.Config{})
			z := &peerNetwork{services: map[string]*replica.Service{}, startedAt: time.Now(), config: true, within: bound}
			z.join(ctx, "near", store, peering.Readers{Self: true, OtherZones: []string{"far"}})
			z.join(ctx, "far", store, peering.Readers{Self: true, OtherZones: []string{"near"}})
			turnedAway := &throttledStore{Store: store}
			entry := z.join(ctx, "entry", turnedAway, peering.Readers{SameZone: []string{"near"}, OtherZones: []string{"far"}})
			if _, err := store.Create(ctx, testKind, "small", json.RawMessage("{}")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20*time.Second + begins)
			synctest.Wait()
			turnedAway.throttled.Store(true)
			z.frozen.Store("near", true)
			acknowledged := time.Now()
			if _, err := store.Create(ctx, testKind, "large", large); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Second)
			synctest.Wait()
			if at := entry.at["large"]; at.IsZero() || at.Sub(acknowledged) > bound {
				t.Errorf("a change after %v was received %v after it was acknowledged, want %v at most", begins, at.Sub(acknowledged), bound)
			}
		})
	}
}
