package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

var (
	ledgerStart = time.Unix(1000, 0)
	entryA      = Owner{Entry: "a", Incarnation: 1}
	entryB      = Owner{Entry: "b", Incarnation: 1}
)

func mustHold(t *testing.T, l *Ledger, now time.Time, id string, owner Owner, tokens int64) {
	t.Helper()
	if _, err := l.Hold(now, HoldSpec{ID: id, Owner: owner, Tokens: tokens, TTL: 5 * time.Second}); err != nil {
		t.Fatal(err)
	}
}

// Symptom: memory held with no owner until the hold's time is up.
// Sequence: an entry gives up a Hold that it thinks lost and sends Release on
// another connection; Release arrives first, then the Hold.
// Cause: the late Hold looks like a new one.
func TestHoldAfterItsReleaseIsRefused(t *testing.T) {
	l := NewLedger(LedgerConfig{Capacity: 100})
	if _, err := l.Release(ledgerStart, "h", entryA); !errors.Is(err, ErrHoldUnknown) {
		t.Fatal(err)
	}
	_, err := l.Hold(ledgerStart, HoldSpec{ID: "h", Owner: entryA, Tokens: 10, TTL: time.Second})
	if !errors.Is(err, ErrHoldEnded) {
		t.Fatal(err)
	}
}

// Symptom: an engine loses memory for good when an entry is replaced.
// Sequence: an entry holds, keeps a segment and runs; it dies and its successor
// with the same name is heard.
// Cause: nobody is left who would release.
func TestNewIncarnationFreesTheOld(t *testing.T) {
	l := NewLedger(LedgerConfig{Capacity: 100})
	if _, err := l.ObserveOwner(ledgerStart, entryA); err != nil {
		t.Fatal(err)
	}
	mustHold(t, l, ledgerStart, "h", entryA, 40)
	for _, run := range []RunSpec{{ID: "s", Owner: entryA, HoldID: "h", Tokens: 20}, {ID: "r", Owner: entryA, Tokens: 10}} {
		if err := l.Admit(ledgerStart, run); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.RetainSegment(ledgerStart, "s", "handle", 20); err != nil {
		t.Fatal(err)
	}
	freed, err := l.ObserveOwner(ledgerStart, Owner{Entry: "a", Incarnation: 2})
	if err != nil {
		t.Fatal(err)
	}
	want := Cleanup{Runs: []string{"r"}, Handles: []string{"handle"}}
	if diff := cmp.Diff(want, freed); diff != "" {
		t.Fatal(diff)
	}
	l.Finish(ledgerStart, "r")
	if s := l.State(); s.Held+s.Used != 0 {
		t.Fatalf("%+v", s)
	}
	if err := l.Admit(ledgerStart, RunSpec{ID: "late", Owner: entryA, Tokens: 1}); !errors.Is(err, ErrOwnerReplaced) {
		t.Fatal(err)
	}
}

// shortLoad keeps an engine full of short runs of 10 tokens that take a second
// each, and asks for the same again in place of each that ends.
type shortLoad struct {
	ledger *Ledger
	ends   map[string]time.Time
	next   int
	done   int
}

func (s *shortLoad) step(now time.Time) {
	for id, end := range s.ends {
		if !now.Before(end) {
			s.ledger.Finish(now, id)
			delete(s.ends, id)
			s.done++
		}
	}
	for {
		id := fmt.Sprintf("s%d", s.next)
		if s.ledger.Admit(now, RunSpec{ID: id, Owner: entryB, Tokens: 10}) != nil {
			return
		}
		s.ends[id] = now.Add(time.Second + time.Duration(s.next%7)*50*time.Millisecond)
		s.next++
	}
}

// Symptom: a long prompt waits for ever while short ones come and go.
// Sequence: the engine is full of short runs; each one that ends is replaced at
// once; a hold of 60% of the memory asks again every 100 ms.
// Cause: freed memory goes to whoever fits first, which is always a short run.
func TestShortRunsDontStarveALongHold(t *testing.T) {
	l := NewLedger(LedgerConfig{Capacity: 1000})
	short := &shortLoad{ledger: l, ends: map[string]time.Time{}}
	granted := time.Duration(-1)
	for at := time.Duration(0); at < 20*time.Second && granted < 0; at += 100 * time.Millisecond {
		now := ledgerStart.Add(at)
		short.step(now)
		spec := HoldSpec{ID: "long", Owner: entryA, Tokens: 600, TTL: 5 * time.Second}
		if _, err := l.Hold(now, spec); err == nil {
			granted = at
		}
	}
	if granted < 0 || granted > 5*time.Second {
		t.Fatalf("granted after %v", granted)
	}
	t.Logf("granted after %v; %d short runs done meanwhile", granted, short.done)
}

// Symptom: short prompts are refused for minutes.
// Sequence: holds of 60% ask in a steady stream, each used for 3 s.
// Cause: the queue of long requests keeps all that is freed.
func TestLongHoldsDontStarveShortRuns(t *testing.T) {
	l := NewLedger(LedgerConfig{Capacity: 1000})
	short := &shortLoad{ledger: l, ends: map[string]time.Time{}}
	ends := map[string]time.Time{}
	holds := 0
	idle := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := ledgerStart.Add(at)
		for id, end := range ends {
			if !now.Before(end) {
				_, _ = l.Release(now, id, entryA)
				delete(ends, id)
			}
		}
		for i := range 3 {
			id := fmt.Sprintf("h%d", holds+i)
			if _, known := ends[id]; known {
				continue
			}
			if _, err := l.Hold(now, HoldSpec{ID: id, Owner: entryA, Tokens: 600, TTL: 9 * time.Second}); err == nil {
				ends[id] = now.Add(3 * time.Second)
				holds++
			}
		}
		done := short.done
		short.step(now)
		if idle++; short.done > done {
			idle = 0
		}
		if idle > 20 {
			t.Fatalf("no short run ended for 2 s at %v: %+v", at, l.State())
		}
	}
	if holds < 10 || short.done < 600 {
		t.Fatalf("%d holds, %d short runs", holds, short.done)
	}
	t.Logf("%d holds, %d short runs in a minute", holds, short.done)
}

// Symptom: a hold as large as the engine never gets in, or keeps short work out
// for ever.
// Sequence: short load as above; a hold of the whole memory asks; it is released
// and the next such hold asks at once.
// Cause: only an empty engine fits it.
func TestOversizedHoldsAndShortRunsTakeTurns(t *testing.T) {
	l := NewLedger(LedgerConfig{Capacity: 1000})
	short := &shortLoad{ledger: l, ends: map[string]time.Time{}}
	granted, held, released := 0, time.Time{}, time.Time{}
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := ledgerStart.Add(at)
		id := fmt.Sprintf("h%d", granted)
		switch {
		case held.IsZero():
			if _, err := l.Hold(now, HoldSpec{ID: id, Owner: entryA, Tokens: 1000, TTL: 9 * time.Second}); err == nil {
				held = now
				if now.Sub(released) < defaultRest {
					t.Fatalf("no turn for short runs: %v after the last", now.Sub(released))
				}
			}
		case now.Sub(held) > time.Second:
			_, _ = l.Release(now, id, entryA)
			held, released = time.Time{}, now
			granted++
		}
		short.step(now)
	}
	if granted < 3 || short.done < 1000 {
		t.Fatalf("%d oversized holds, %d short runs", granted, short.done)
	}
	t.Logf("%d oversized holds, %d short runs in a minute", granted, short.done)
}

// Symptom: an engine's memory fills with runs that nobody reads.
// Sequence: an agent dies and its successor starts with an empty ledger; the
// engine still reports a run and an exported segment.
// Cause: the requests outlive the process that asked for them.
func TestReconcileNamesOrphansAndKeepsTheirMemory(t *testing.T) {
	l := NewLedger(LedgerConfig{Capacity: 100})
	if err := l.Admit(ledgerStart, RunSpec{ID: "mine", Owner: entryA, Tokens: 10}); err != nil {
		t.Fatal(err)
	}
	report := []EngineRequest{{ID: "mine"}, {ID: "left"}, {ID: "segment", Handle: "x"}}
	orphans := l.Reconcile(70, report)
	if diff := cmp.Diff(report[1:], orphans); diff != "" {
		t.Fatal(diff)
	}
	if err := l.Admit(ledgerStart, RunSpec{ID: "next", Owner: entryA, Tokens: 31}); !errors.Is(err, ErrNoMemory) {
		t.Fatal(err)
	}
	l.Reconcile(10, report[:1])
	if err := l.Admit(ledgerStart, RunSpec{ID: "next", Owner: entryA, Tokens: 90}); err != nil {
		t.Fatal(err)
	}
}

func BenchmarkLedgerAdmitFinish(b *testing.B) {
	l := NewLedger(LedgerConfig{Capacity: 1_000_000})
	for i := range 200 {
		_ = l.Admit(ledgerStart, RunSpec{ID: fmt.Sprint(i), Owner: entryA, Tokens: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = l.Admit(ledgerStart, RunSpec{ID: "run", Owner: entryA, Tokens: 2000})
		l.Finish(ledgerStart, "run")
	}
}
