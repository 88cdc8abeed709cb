package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// eraSink keeps the last listing, and whether it was complete.
type eraSink struct {
	complete bool
	last     objectapi.Listing
}

func (s *eraSink) Snapshot(_ string, l objectapi.Listing) { s.complete, s.last = true, l }
func (s *eraSink) Events(_ string, l objectapi.Listing)   { s.complete, s.last = false, l }

func eraReplica(revision uint64, names ...string) (*Replica, *eraSink) {
	next := &eraSink{}
	r := New(next, func() boottime.Instant { return boottime.Instant(time.Hour) })
	l := objectapi.Listing{Revision: revision}
	for _, name := range names {
		l.Objects = append(l.Objects, objectapi.Object{Name: name, Version: revision})
	}
	r.Snapshot("K", l)
	return r, next
}

// Guards against a state of an older era that overrides a newer one because its number is greater.
func TestOlderEraIsIgnored(t *testing.T) {
	r, _ := eraReplica(objectapi.JoinRevision(2, 44), "a")
	r.Snapshot("K", objectapi.Listing{Revision: objectapi.JoinRevision(1, 90)})
	r.Events("K", objectapi.Listing{Revision: objectapi.JoinRevision(1, 91)})
	if got := r.Revision("K"); got != objectapi.JoinRevision(2, 44) {
		t.Errorf("revision %s", objectapi.FormatRevision(got))
	}
	r, _ = eraReplica(objectapi.JoinRevision(1, 90), "a")
	r.Snapshot("K", objectapi.Listing{Revision: objectapi.JoinRevision(2, 44)})
	if got := r.Revision("K"); got != objectapi.JoinRevision(2, 44) {
		t.Errorf("revision %s; a lower number of a newer era is newer", objectapi.FormatRevision(got))
	}
}

// Guards against an entry of an older era that confirms a state, above all one without objects, which is
// the same in each era.
func TestPeerOfAnotherEraConfirmsNothing(t *testing.T) {
	older, _ := eraReplica(objectapi.JoinRevision(1, 90))
	newer, _ := eraReplica(objectapi.JoinRevision(2, 44))
	if newer.Confirm("K", older.Digest("K"), boottime.Instant(time.Hour)) {
		t.Error("an older era confirms a newer one")
	}
	if older.Confirm("K", newer.Digest("K"), boottime.Instant(time.Hour)) {
		t.Error("a newer era confirms an older one")
	}
}

// Guards against a peer of an older era that confirms a kind, after another kind has shown that the era
// ended.
func TestEraOfOneKindEndsThatOfAll(t *testing.T) {
	r, _ := eraReplica(objectapi.JoinRevision(1, 90), "a")
	digest := r.Digest("K")
	r.Snapshot("L", objectapi.Listing{Revision: objectapi.JoinRevision(2, 44)})
	if r.Confirm("K", digest, boottime.Instant(time.Hour)) {
		t.Error("a state of an older era is confirmed")
	}
	r.Events("K", objectapi.Listing{Revision: objectapi.JoinRevision(1, 91), CurrentAsOf: boottime.Instant(time.Hour)})
	r.Snapshot("K", objectapi.Listing{Revision: objectapi.JoinRevision(1, 92), CurrentAsOf: boottime.Instant(time.Hour)})
	if age, _ := r.Age("K"); age == 0 {
		t.Error("a state of an older era counts as current")
	}
}

// eraRecorder is an EraSource.
type eraRecorder struct{ marked []uint64 }

func (e *eraRecorder) MarkRecovered(era uint64) { e.marked = append(e.marked, era) }
func (e *eraRecorder) EraRecovered() bool       { return true }

// Guards against an entry that waits out a recovery that its peers have behind them, or that goes on
// waiting for a watch of an era that a peer knows to have ended.
func TestPeersShareWhatTheyKnowOfTheEra(t *testing.T) {
	asked, _ := eraReplica(objectapi.JoinRevision(2, 44), "a")
	asked.SetEras(&eraRecorder{})
	held, ok := asked.copyState("K", 0, 0, 0)
	if !ok || !held.recovered {
		t.Fatal("a peer that knows the era for long doesn't say so")
	}
	state := encodeState(&wirepb.StateHeld{Kind: "K"}, held)
	asking, _ := eraReplica(objectapi.JoinRevision(1, 90), "a")
	eras, observed := &eraRecorder{}, uint64(0)
	asking.SetEras(eras)
	p := NewPuller(PullerConfig{Replica: asking, OnEra: func(era uint64) { observed = era }, Metrics: metrics.NewRegistry()})
	p.apply(state, 0)
	if d := cmp.Diff([]uint64{2}, eras.marked); d != "" || observed != 2 {
		t.Errorf("observed %d; marked %s", observed, d)
	}
	state.Recovered = false
	p.apply(state, 0)
	if len(eras.marked) != 1 {
		t.Error("a peer that is recovering itself counts as recovered")
	}
}

// Guards against the differences between two eras that are forwarded as events: what the newer one lacks
// would count as deleted.
func TestChangesAcrossErasAreForwardedAsAState(t *testing.T) {
	r, next := eraReplica(objectapi.JoinRevision(1, 90), "a", "b")
	r.Events("K", objectapi.Listing{Revision: objectapi.JoinRevision(2, 44), Objects: []objectapi.Object{
		{Name: "a", Version: objectapi.JoinRevision(2, 40)}, {Name: "b", Version: objectapi.JoinRevision(1, 91), Deleted: true},
	}})
	want := objectapi.Listing{Revision: objectapi.JoinRevision(2, 44), Objects: []objectapi.Object{{Name: "a", Version: objectapi.JoinRevision(2, 40)}}}
	if d := cmp.Diff(want, next.last); d != "" || !next.complete {
		t.Errorf("complete %v\n%s", next.complete, d)
	}
}
