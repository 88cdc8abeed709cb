package gatewaynode

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
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

func (z *zone) PullConfig(ctx context.Context, address string, in *wirepb.PullRequest) (*wirepb.PullResponse, error) {
	s := z.services[address]
	if s == nil {
		return nil, errors.New("nobody there")
	}
	return s.PullConfig(ctx, in)
}

// join starts an entry that asks the peers; it reads the store itself if own is set.
func (z *zone) join(ctx context.Context, name string, store objectapi.Store, own bool, peers ...string) *heard {
	h := &heard{at: map[string]time.Time{}}
	r := replica.New(h, z.clock)
	z.services[name] = replica.NewService(r, z.clock)
	f := &follower{
		replica: r,
		kinds:   []replica.Followed{{Kind: testKind, Age: serversPullAge}},
		readers: func() (bool, []string) { return own, peers },
		clock:   z.clock,
	}
	config := watcherConfig(testKind, serversWait)
	config.Store, config.Sink, config.Hold, config.Clock = store, r, f.leavesStore, z.clock
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
			z.join(ctx, "elsewhere", store, true)
			entries := []*heard{
				z.join(ctx, "first", first, true, "second", "elsewhere"),
				z.join(ctx, "second", second, true, "first", "elsewhere"),
				z.join(ctx, "third", store, false, "first", "second", "elsewhere"),
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
