package replica

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const kind, otherKind = "config", "servers"

// atSecond returns the instant n seconds after the start of a VM's clock.
func atSecond(n float64) boottime.Instant { return boottime.Instant(n * float64(time.Second)) }

// recordingSink is a sink that records the listings that it receives.
type recordingSink struct{ listings []objectapi.Listing }

func (r *recordingSink) Snapshot(_ string, l objectapi.Listing) { r.listings = append(r.listings, l) }
func (r *recordingSink) Events(_ string, l objectapi.Listing)   { r.listings = append(r.listings, l) }

// entry is a replica with its service on a clock that tests advance.
type entry struct {
	now     boottime.Instant
	sink    recordingSink
	replica *Replica
	service *Service
}

func newEntry(now boottime.Instant) *entry {
	e := &entry{now: now}
	e.replica = New(&e.sink, e.clock)
	e.service = NewService(e.clock, e.replica)
	return e
}

func (e *entry) clock() boottime.Instant { return e.now }

// fakePeers is a Client that calls the service of the entry at an address. Each response takes
// responseTime on the requester's clock.
type fakePeers struct {
	requester    *entry
	entries      map[string]*entry
	responseTime time.Duration
	requests     []*wirepb.StatesRequest
}

func (p *fakePeers) PullStates(ctx context.Context, address string, in *wirepb.StatesRequest) (*wirepb.States, error) {
	peer := p.entries[address]
	if peer == nil {
		return nil, errors.New("no such peer")
	}
	p.requests = append(p.requests, in)
	out, err := peer.service.PullStates(ctx, in)
	p.requester.now = p.requester.now.Add(p.responseTime)
	return out, err
}

func (e *entry) pullRound(t *testing.T, p *fakePeers) {
	t.Helper()
	p.requester = e
	var addresses []string
	for address := range p.entries {
		addresses = append(addresses, address)
	}
	NewPuller(PullerConfig{
		Replica: e.replica, Kinds: []PulledKind{{Kind: kind, MaxAge: 2 * time.Second}, {Kind: otherKind, MaxAge: 2 * time.Second}}, Client: p,
		Sources: func() Sources { return Sources{Peers: addresses} }, Clock: e.clock, Metrics: metrics.NewRegistry(),
	}).pullRound(t.Context())
}

func object(name string, version uint64) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: name, Version: version, Data: []byte(`{}`)}
}

func (e *entry) age(t *testing.T) time.Duration {
	t.Helper()
	age, ok := e.replica.Age(kind)
	if !ok {
		t.Fatal("no listing yet")
	}
	return age
}

// Guards against an entry that refuses requests because of a stale configuration while the
// other entries serve: the object API refuses one VM, a key is removed, five seconds pass,
// and only the object API could confirm the state of an entry.
func TestRefusedEntryReadsThroughPeer(t *testing.T) {
	refused, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	refused.replica.Snapshot(kind, objectapi.Listing{Revision: 10, CurrentAsOf: atSecond(996), Objects: []objectapi.Object{object("main", 9)}})
	newest := objectapi.Listing{Revision: 14, CurrentAsOf: atSecond(6), Objects: []objectapi.Object{object("main", 13)}}
	peer.replica.Snapshot(kind, newest)

	refused.pullRound(t, &fakePeers{entries: map[string]*entry{"b": peer}})
	if age := refused.age(t); age != time.Second {
		t.Errorf("confirmed %v ago, want the peer's 1s", age)
	}
	last := refused.sink.listings[len(refused.sink.listings)-1]
	newest.CurrentAsOf = atSecond(999)
	if d := cmp.Diff(newest, last); d != "" {
		t.Error(d)
	}
}

// Guards against a key that stays valid after its removal must be in force: the response of a
// peer waits for 8 s in the buffer of a suspended VM and is assumed to be as fresh as when
// it was sent.
func TestDelayedResponseDoesNotLookFresh(t *testing.T) {
	asker, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	for _, e := range []*entry{asker, peer} {
		e.replica.Snapshot(kind, objectapi.Listing{Revision: 10, CurrentAsOf: e.now.Add(-4 * time.Second), Objects: []objectapi.Object{object("main", 9)}})
	}
	peer.replica.Events(kind, objectapi.Listing{Revision: 10, CurrentAsOf: atSecond(6.5)})
	asker.pullRound(t, &fakePeers{entries: map[string]*entry{"b": peer}, responseTime: 8 * time.Second})
	if age := asker.age(t); age != 8500*time.Millisecond {
		t.Errorf("confirmed %v ago, want 8.5s", age)
	}
}

// Guards against removed routes and keys that reappear for moments: a response of a lagging
// peer, or of a watch that began before a peer's newer response, replaces the newer state
// because it arrives last.
func TestOlderStatesAreIgnored(t *testing.T) {
	e, lagging := newEntry(atSecond(1000)), newEntry(atSecond(7))
	held := objectapi.Listing{Revision: 10, CurrentAsOf: atSecond(990), Objects: []objectapi.Object{object("main", 9)}}
	old := objectapi.Listing{Revision: 8, CurrentAsOf: atSecond(7), Objects: []objectapi.Object{object("main", 8), object("removed", 3)}}
	e.replica.Snapshot(kind, held)
	lagging.replica.Snapshot(kind, old)
	e.pullRound(t, &fakePeers{entries: map[string]*entry{"b": lagging}})
	e.replica.Events(kind, objectapi.Listing{Revision: 9, CurrentAsOf: atSecond(999), Objects: []objectapi.Object{object("removed", 3)}})
	if d := cmp.Diff([]objectapi.Listing{held}, e.sink.listings); d != "" {
		t.Error(d)
	}
	if age := e.age(t); age != 10*time.Second {
		t.Errorf("an older state confirmed it %v ago", age)
	}
}

// Guards against an entry with the newest configuration that is treated as stale: nothing
// changes, but its watch returned later than the peer's, so that its revision of the object
// API is higher, and states are compared by that revision.
func TestSameObjectsAreConfirmedAcrossRevisions(t *testing.T) {
	e, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	objects := []objectapi.Object{object("a", 3), object("b", 4)}
	e.replica.Snapshot(kind, objectapi.Listing{Revision: 20, CurrentAsOf: atSecond(990), Objects: objects})
	peer.replica.Snapshot(kind, objectapi.Listing{Revision: 18, CurrentAsOf: atSecond(6), Objects: objects})
	e.pullRound(t, &fakePeers{entries: map[string]*entry{"b": peer}})
	if age := e.age(t); age != time.Second {
		t.Errorf("confirmed %v ago, want 1s", age)
	}
}

// Guards against a removed object that is assumed to exist: two entries hold the same number
// of objects, one of them in an older version, and states are distinguished only by the number
// of objects or their highest version.
func TestDigestDistinguishesStates(t *testing.T) {
	seen := map[uint64]int{}
	for i, objects := range [][]objectapi.Object{
		{}, {object("a", 1)}, {object("a", 2)}, {object("b", 2)}, {object("a", 1), object("b", 2)}, {object("a", 2), object("b", 1)},
	} {
		e := newEntry(0)
		e.replica.Snapshot(kind, objectapi.Listing{Revision: 5, Objects: objects})
		digest := e.replica.Digest(kind)
		if other, ok := seen[digest]; ok || digest == 0 {
			t.Errorf("states %d and %d have digest %d", i, other, digest)
		}
		seen[digest] = i
	}
}

// Guards against an entry that lags behind although a peer has a newer state: the first peer
// is dead, and no other is asked.
func TestNextPeerIsAskedAfterFailure(t *testing.T) {
	e, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	peer.replica.Snapshot(kind, objectapi.Listing{Revision: 18, CurrentAsOf: atSecond(6)})
	e.pullRound(t, &fakePeers{entries: map[string]*entry{"gone": nil, "b": peer}})
	if age := e.age(t); age != time.Second {
		t.Errorf("confirmed %v ago, want 1s", age)
	}
}

// Guards against one request for each kind if two kinds are stale at the same time; a single
// request to the reader is enough.
func TestOneRequestCoversAllKinds(t *testing.T) {
	e, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	for _, k := range []string{kind, otherKind} {
		peer.replica.Snapshot(k, objectapi.Listing{Revision: 18, CurrentAsOf: atSecond(6), Objects: []objectapi.Object{object("a", 3)}})
	}
	p := &fakePeers{entries: map[string]*entry{"b": peer}}
	e.pullRound(t, p)
	if len(p.requests) != 1 {
		t.Errorf("%d requests, want 1", len(p.requests))
	}
	for _, k := range []string{kind, otherKind} {
		if age, ok := e.replica.Age(k); !ok || age != time.Second {
			t.Errorf("%s: listed %v, confirmed %v ago", k, ok, age)
		}
	}
}

// largeObject returns an object that is left out unless the whole state is requested.
func largeObject(version uint64) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: "main", Version: version, Data: bytes.Repeat([]byte(" "), maxInlineBytes+1)}
}

// Guards against a large configuration that never reaches the entries while the links of
// their readers are full of it: it takes longer to send than the timeout, if one timeout
// covers both the liveness of a peer and the transfer of its state. Large objects are left
// out of the first response and requested separately.
func TestLargeStateIsRequestedSeparately(t *testing.T) {
	e, peer := newEntry(atSecond(1000)), newEntry(atSecond(7))
	peer.replica.Snapshot(kind, objectapi.Listing{Revision: 18, CurrentAsOf: atSecond(6), Objects: []objectapi.Object{largeObject(18)}})
	p := &fakePeers{entries: map[string]*entry{"b": peer}}
	e.pullRound(t, p)
	if len(p.requests) != 2 || p.requests[0].GetHeld()[0].GetWhole() || !p.requests[1].GetHeld()[0].GetWhole() {
		t.Fatalf("requests: %v", p.requests)
	}
	if e.replica.Revision(kind) != 18 || e.age(t) != time.Second {
		t.Errorf("revision %d, confirmed %v ago", e.replica.Revision(kind), e.age(t))
	}
}

// Guards against a reader whose link stays full: an entry has a large configuration that its
// reader doesn't have yet, and three times a second it requests the older one from the reader
// and discards it.
func TestLargeStateOfLaggingPeerIsNotRequested(t *testing.T) {
	e, lagging := newEntry(atSecond(1000)), newEntry(atSecond(7))
	e.replica.Snapshot(kind, objectapi.Listing{Revision: 20, CurrentAsOf: atSecond(990), Objects: []objectapi.Object{largeObject(20)}})
	lagging.replica.Snapshot(kind, objectapi.Listing{Revision: 18, CurrentAsOf: atSecond(6), Objects: []objectapi.Object{largeObject(18)}})
	p := &fakePeers{entries: map[string]*entry{"b": lagging}}
	e.pullRound(t, p)
	if len(p.requests) != 1 {
		t.Errorf("%d requests, want 1", len(p.requests))
	}
}
