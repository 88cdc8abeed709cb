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

// second is at so many seconds of a VM's clock.
func second(n float64) boottime.Instant { return boottime.Instant(n * float64(time.Second)) }

// recorder is a sink that keeps what it was given.
type recorder struct{ listings []objectapi.Listing }

func (r *recorder) Snapshot(_ string, l objectapi.Listing) { r.listings = append(r.listings, l) }
func (r *recorder) Events(_ string, l objectapi.Listing)   { r.listings = append(r.listings, l) }

// entry is a replica with its service, on a clock that tests move.
type entry struct {
	now     boottime.Instant
	sink    recorder
	replica *Replica
	service *Service
}

func newEntry(now boottime.Instant) *entry {
	e := &entry{now: now}
	e.replica = New(&e.sink, e.clock)
	e.service = NewService(e.replica, e.clock)
	return e
}

func (e *entry) clock() boottime.Instant { return e.now }

// peers answer at their index as address. Each answer may take a while on the
// asker's clock.
type peers struct {
	asker   *entry
	entries map[string]*entry
	takes   time.Duration
	asked   []*wirepb.StatesRequest
}

func (p *peers) PullStates(ctx context.Context, address string, in *wirepb.StatesRequest) (*wirepb.States, error) {
	peer := p.entries[address]
	if peer == nil {
		return nil, errors.New("no such peer")
	}
	p.asked = append(p.asked, in)
	out, err := peer.service.PullStates(ctx, in)
	p.asker.now = p.asker.now.Add(p.takes)
	return out, err
}

func (e *entry) renew(t *testing.T, p *peers) {
	t.Helper()
	p.asker = e
	var addresses []string
	for address := range p.entries {
		addresses = append(addresses, address)
	}
	NewPuller(PullerConfig{
		Replica: e.replica, Kinds: []PulledKind{{Kind: kind, MaxAge: 2 * time.Second}, {Kind: otherKind, MaxAge: 2 * time.Second}}, Client: p,
		Sources: func() Sources { return Sources{Peers: addresses} }, Clock: e.clock, Metrics: metrics.NewRegistry(),
	}).renew(t.Context())
}

func object(name string, version uint64) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: name, Version: version, Data: []byte(`{}`)}
}

func (e *entry) age(t *testing.T) time.Duration {
	t.Helper()
	age, ok := e.replica.Age(kind)
	if !ok {
		t.Fatal("nothing is known")
	}
	return age
}

// Symptom: callers of an entry are refused for a stale configuration though the other
// entries serve.
// Sequence: the object API turns one VM away; a key is removed; five seconds pass.
// Cause: what an entry believes could be proved by the object API only.
func TestEntryThatIsTurnedAwayReadsThroughAPeer(t *testing.T) {
	turnedAway, peer := newEntry(second(1000)), newEntry(second(7))
	turnedAway.replica.Snapshot(kind, objectapi.Listing{Revision: 10, Asked: second(996), Objects: []objectapi.Object{object("main", 9)}})
	newest := objectapi.Listing{Revision: 14, Asked: second(6), Objects: []objectapi.Object{object("main", 13)}}
	peer.replica.Snapshot(kind, newest)

	turnedAway.renew(t, &peers{entries: map[string]*entry{"b": peer}})
	if age := turnedAway.age(t); age != time.Second {
		t.Errorf("proved current %v ago, want the peer's 1s", age)
	}
	last := turnedAway.sink.listings[len(turnedAway.sink.listings)-1]
	newest.Asked = second(999)
	if d := cmp.Diff(newest, last); d != "" {
		t.Error(d)
	}
}

// Symptom: a key runs on after its removal has to be in force. Sequence: the answer of
// a peer waits for 8 s in the buffer of a VM that is suspended. Cause: it is taken for
// as fresh as it was when it was given.
func TestAnswerThatWaitedProvesNothingNew(t *testing.T) {
	asker, peer := newEntry(second(1000)), newEntry(second(7))
	for _, e := range []*entry{asker, peer} {
		e.replica.Snapshot(kind, objectapi.Listing{Revision: 10, Asked: e.now.Add(-4 * time.Second), Objects: []objectapi.Object{object("main", 9)}})
	}
	peer.replica.Events(kind, objectapi.Listing{Revision: 10, Asked: second(6.5)})
	asker.renew(t, &peers{entries: map[string]*entry{"b": peer}, takes: 8 * time.Second})
	if age := asker.age(t); age != 8500*time.Millisecond {
		t.Errorf("proved current %v ago, want 8.5s", age)
	}
}

// Symptom: routes and keys come back for moments. Sequence: a peer that lags answers,
// or a watch that was begun before a peer's newer answer. Cause: the last word is taken
// in place of the newest.
func TestOlderStatesChangeNothing(t *testing.T) {
	e, lagging := newEntry(second(1000)), newEntry(second(7))
	held := objectapi.Listing{Revision: 10, Asked: second(990), Objects: []objectapi.Object{object("main", 9)}}
	old := objectapi.Listing{Revision: 8, Asked: second(7), Objects: []objectapi.Object{object("main", 8), object("removed", 3)}}
	e.replica.Snapshot(kind, held)
	lagging.replica.Snapshot(kind, old)
	e.renew(t, &peers{entries: map[string]*entry{"b": lagging}})
	e.replica.Events(kind, objectapi.Listing{Revision: 9, Asked: second(999), Objects: []objectapi.Object{object("removed", 3)}})
	if d := cmp.Diff([]objectapi.Listing{held}, e.sink.listings); d != "" {
		t.Error(d)
	}
	if age := e.age(t); age != 10*time.Second {
		t.Errorf("an older state proved it current %v ago", age)
	}
}

// Symptom: an entry with the newest configuration counts as stale. Sequence: nothing
// changes; its watch returned later than the peer's, so that its revision is higher.
// Cause: states compared by the revision of the whole object API.
func TestSameObjectsAreConfirmedAcrossRevisions(t *testing.T) {
	e, peer := newEntry(second(1000)), newEntry(second(7))
	objects := []objectapi.Object{object("a", 3), object("b", 4)}
	e.replica.Snapshot(kind, objectapi.Listing{Revision: 20, Asked: second(990), Objects: objects})
	peer.replica.Snapshot(kind, objectapi.Listing{Revision: 18, Asked: second(6), Objects: objects})
	e.renew(t, &peers{entries: map[string]*entry{"b": peer}})
	if age := e.age(t); age != time.Second {
		t.Errorf("proved current %v ago, want 1s", age)
	}
}

// Symptom: a removed object is taken for there. Sequence: two entries hold as many
// objects, one of them in an older version. Cause: states told apart by their number
// or their highest version only.
func TestDigestTellsStatesApart(t *testing.T) {
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

// Symptom: an entry lags though a peer knows better. Sequence: the peer that is asked
// first is gone. Cause: only one is asked.
func TestNextPeerIsAskedAfterOneThatIsGone(t *testing.T) {
	e, peer := newEntry(second(1000)), newEntry(second(7))
	peer.replica.Snapshot(kind, objectapi.Listing{Revision: 18, Asked: second(6)})
	e.renew(t, &peers{entries: map[string]*entry{"gone": nil, "b": peer}})
	if age := e.age(t); age != time.Second {
		t.Errorf("proved current %v ago, want 1s", age)
	}
}

// Symptom: every entry asks its reader several times where once would do. Sequence: two
// kinds are old at the same moment. Cause: a question for each kind.
func TestOneQuestionIsForAllKinds(t *testing.T) {
	e, peer := newEntry(second(1000)), newEntry(second(7))
	for _, k := range []string{kind, otherKind} {
		peer.replica.Snapshot(k, objectapi.Listing{Revision: 18, Asked: second(6), Objects: []objectapi.Object{object("a", 3)}})
	}
	p := &peers{entries: map[string]*entry{"b": peer}}
	e.renew(t, p)
	if len(p.asked) != 1 {
		t.Errorf("%d questions, want 1", len(p.asked))
	}
	for _, k := range []string{kind, otherKind} {
		if age, ok := e.replica.Age(k); !ok || age != time.Second {
			t.Errorf("%s: known %v, proved current %v ago", k, ok, age)
		}
	}
}

// large is an object that isn't sent unless it is asked for as a whole.
func large(version uint64) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: "main", Version: version, Data: bytes.Repeat([]byte(" "), smallState+1)}
}

// Symptom: entries don't learn of a large configuration from their readers, whose links
// are full of it all the same.
// Sequence: it takes longer to send than a peer may take to answer.
// Cause: one time limit for the word that a peer lives and for what it knows. It is left
// out of the first answer and asked for by itself.
func TestLargeStateIsAskedForByItself(t *testing.T) {
	e, peer := newEntry(second(1000)), newEntry(second(7))
	peer.replica.Snapshot(kind, objectapi.Listing{Revision: 18, Asked: second(6), Objects: []objectapi.Object{large(18)}})
	p := &peers{entries: map[string]*entry{"b": peer}}
	e.renew(t, p)
	if len(p.asked) != 2 || p.asked[0].GetHeld()[0].GetWhole() || !p.asked[1].GetHeld()[0].GetWhole() {
		t.Fatalf("questions: %v", p.asked)
	}
	if e.replica.Revision(kind) != 18 || e.age(t) != time.Second {
		t.Errorf("revision %d, proved current %v ago", e.replica.Revision(kind), e.age(t))
	}
}

// Symptom: a reader's link is full without end. Sequence: an entry has a large
// configuration that its reader lacks yet. Cause: it asks for the older one, three times a
// second, and throws it away.
func TestLargeStateOfALaggingPeerIsNotAskedFor(t *testing.T) {
	e, lagging := newEntry(second(1000)), newEntry(second(7))
	e.replica.Snapshot(kind, objectapi.Listing{Revision: 20, Asked: second(990), Objects: []objectapi.Object{large(20)}})
	lagging.replica.Snapshot(kind, objectapi.Listing{Revision: 18, Asked: second(6), Objects: []objectapi.Object{large(18)}})
	p := &peers{entries: map[string]*entry{"b": lagging}}
	e.renew(t, p)
	if len(p.asked) != 1 {
		t.Errorf("%d questions, want 1", len(p.asked))
	}
}
