package gatewaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/replica"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const testKind = "servers"

// turnedAway is a store that refuses one entry's watches while away is set.
type turnedAway struct {
	objectapi.Store
	away bool
}

func (s *turnedAway) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Listing, error) {
	if s.away {
		return objectapi.Listing{}, objectapi.ErrThrottled
	}
	return s.Store.Watch(ctx, kind, after, wait)
}

// heard notes when an object was first known to an entry.
type heard struct{ at map[string]time.Time }

func (h *heard) Snapshot(_ string, l objectapi.Listing) { h.Events("", l) }
func (h *heard) Events(_ string, l objectapi.Listing) {
	for _, o := range l.Objects {
		if h.at[o.Name].IsZero() {
			h.at[o.Name] = time.Now()
		}
	}
}

// zone is some entries that ask each other in memory.
type zone struct {
	services map[string]*replica.Service
	began    time.Time
}

// clock is the test's time.
func (z *zone) clock() boottime.Instant { return boottime.Instant(time.Since(z.began)) }

func (z *zone) PullStates(ctx context.Context, address string, in *wirepb.StatesRequest) (*wirepb.States, error) {
	s := z.services[address]
	if s == nil {
		return nil, errors.New("nobody there")
	}
	return s.PullStates(ctx, in)
}

// join starts an entry that knows the readers of its region.
func (z *zone) join(ctx context.Context, name string, store objectapi.Store, readers peering.Readers) *heard {
	return z.joinAs(ctx, name, store, false, func() peering.Readers { return readers })
}

// joinAs starts an entry whose view of the readers may change; gathers is set where the
// whole fleet starts for the first time.
func (z *zone) joinAs(ctx context.Context, name string, store objectapi.Store, gathers bool, readers func() peering.Readers) *heard {
	h := &heard{at: map[string]time.Time{}}
	r := replica.New(h, z.clock)
	z.services[name] = replica.NewService(r, z.clock)
	kinds := []replica.PulledKind{{Kind: testKind, MaxAge: serversPullAge}}
	f := newFollower(r, kinds, readers, z.clock)
	f.gathers = gathers
	config := watcherConfig(testKind, serversWait)
	config.EmptyWaitIsCurrent = true
	config.Store, config.Sink, config.Clock = store, r, z.clock
	config.Suspended, config.OnCallFailed, config.CurrentRevision = f.leavesStore, f.failed, r.Revision
	go objectapi.NewWatcher(config).Run(ctx)
	go f.puller(z, metrics.NewRegistry()).Run(ctx)
	return h
}

// Symptom: requests reach a server more than three seconds after the store has said
// that it leaves, from entries that the store serves.
// Sequence: servers come and go, so that watches return often; the store turns away the
// two entries of a zone that read for the others; then a server says that it leaves.
// Cause: the others left the store to the readers until what those know was older
// than two of their watches of two seconds, and the readers told what they had. The
// evidence: all entries of the zone, and none of another, knew of a server's leaving
// 4.3 to 5.3 s after it; one whose last news was of second 27.46 took the next at
// 31.96, 4.5 s later.
func TestZoneWhoseReadersAreTurnedAwayHearsOfAChange(t *testing.T) {
	const drain = 3 * time.Second       // in which entries have to leave a server alone
	const step = 130 * time.Millisecond // out of step with all that is periodic
	for begins := time.Duration(0); begins < 4*time.Second; begins += step {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() { cancel(); synctest.Wait() }()
			store := standin.NewMemory(standin.Config{})
			z := &zone{services: map[string]*replica.Service{}, began: time.Now()}
			first, second := &turnedAway{Store: store}, &turnedAway{Store: store}
			z.join(ctx, "elsewhere", store, peering.Readers{Self: true})
			far := []string{"elsewhere"}
			entries := []*heard{
				z.join(ctx, "first", first, peering.Readers{Self: true, SameZone: []string{"second"}, OtherZones: far}),
				z.join(ctx, "second", second, peering.Readers{Self: true, SameZone: []string{"first"}, OtherZones: far}),
				z.join(ctx, "third", store, peering.Readers{SameZone: []string{"first", "second"}, OtherZones: far}),
			}
			create := func(name string) {
				if _, err := store.Create(ctx, testKind, name, json.RawMessage("{}")); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(20*time.Second + begins)
			create("another")
			time.Sleep(2 * watchInterval)
			synctest.Wait()
			first.away, second.away = true, true
			create("last before") // ends the watches that wait
			time.Sleep(step)
			left := time.Now()
			create("leaving")
			time.Sleep(20 * time.Second)
			synctest.Wait()
			for i, e := range entries {
				at := e.at["leaving"]
				if at.IsZero() || at.Sub(left) > drain {
					t.Errorf("begun after %v: entry %d knows it %v after the change, want %v at most", begins, i, at.Sub(left), drain)
				}
			}
		})
	}
}

// Symptom: entries that the store serves send to a server more than two seconds after
// the store has said that it leaves.
// Sequence: the store turns away the one entry of a zone that reads for the others; a
// moment later a server says that it leaves.
// Cause: what the reader knows counts as new for two of its watches, and it is the only
// one that is asked.
func TestZoneWhoseOnlyReaderIsTurnedAwayHearsOfAChange(t *testing.T) {
	const drain = 2 * time.Second
	const step = 130 * time.Millisecond // out of step with all that is periodic
	for begins := time.Duration(0); begins < 2*time.Second; begins += step {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() { cancel(); synctest.Wait() }()
			store := standin.NewMemory(standin.Config{})
			z := &zone{services: map[string]*replica.Service{}, began: time.Now()}
			reader := &turnedAway{Store: store}
			z.join(ctx, "elsewhere", store, peering.Readers{Self: true})
			z.join(ctx, "reader", reader, peering.Readers{Self: true, OtherZones: []string{"elsewhere"}})
			other := z.join(ctx, "other", store, peering.Readers{SameZone: []string{"reader"}, OtherZones: []string{"elsewhere"}})
			time.Sleep(20*time.Second + begins)
			synctest.Wait()
			reader.away = true
			if _, err := store.Create(ctx, testKind, "last before", json.RawMessage("{}")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(step)
			left := time.Now()
			if _, err := store.Create(ctx, testKind, "leaving", json.RawMessage("{}")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Second)
			synctest.Wait()
			if at := other.at["leaving"]; at.IsZero() || at.Sub(left) > drain {
				t.Errorf("begun after %v: known %v after the change, want %v at most", begins, at.Sub(left), drain)
			}
		})
	}
}

// Symptom: an outage of the object API costs more calls than the rest of the day, and
// their number grows with the entries.
// Sequence: 3 entries read for 60 others; the object API refuses all for 9 s.
// Cause: each entry finds its readers' word old and asks for itself, as often as a reader.
func TestOutageIsNotAskedAboutByEveryEntryAllTheTime(t *testing.T) {
	const (
		others  = 60
		outage  = 9 * time.Second
		longest = 2 * time.Second // from the end of the outage to the news of a change
		// A reader tries some three times a second; another entry when its readers' word
		// is old, and then once in the mean pause, 2.25 s.
		mostCalls = 3*9*3 + others*(1+9*4/9)
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		store := standin.NewMemory(standin.Config{})
		z := &zone{services: map[string]*replica.Service{}, began: time.Now()}
		readers := []string{"reader 0", "reader 1", "reader 2"}
		var entries []*heard
		for i, name := range readers {
			far := slices.Concat(readers[:i], readers[i+1:])
			entries = append(entries, z.join(ctx, name, store, peering.Readers{Self: true, OtherZones: far}))
		}
		for i := range others {
			entries = append(entries, z.join(ctx, fmt.Sprintf("other %d", i), store, peering.Readers{SameZone: readers[:1], OtherZones: readers[1:]}))
		}
		time.Sleep(20 * time.Second)
		before := store.Counts().Watch
		store.SetFaults(standin.Faults{Down: true})
		time.Sleep(outage)
		if calls := store.Counts().Watch - before; calls > mostCalls {
			t.Errorf("%d watches in the outage, want %d at most", calls, mostCalls)
		}
		store.SetFaults(standin.Faults{})
		ended := time.Now()
		if _, err := store.Create(ctx, testKind, "after", json.RawMessage("{}")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		for i, e := range entries {
			if at := e.at["after"]; at.IsZero() || at.Sub(ended) > longest {
				t.Errorf("entry %d knows of a change %v after the outage, want %v at most", i, at.Sub(ended), longest)
			}
		}
	})
}
