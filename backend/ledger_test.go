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

// Guards against a hold that is granted after its release and occupies memory
// without an owner until it expires. An entry gives up a Hold that it assumes
// lost and sends Release on another connection; Release arrives first, and the
// late Hold looks like a new one.
func TestHoldAfterReleaseIsRejected(t *testing.T) {
	l := NewLedger(LedgerConfig{Capacity: 100})
	if _, err := l.Release(ledgerStart, "h", entryA); !errors.Is(err, ErrHoldUnknown) {
		t.Fatal(err)
	}
	_, err := l.Hold(ledgerStart, HoldSpec{ID: "h", Owner: entryA, Tokens: 10, TTL: time.Second})
	if !errors.Is(err, ErrHoldEnded) {
		t.Fatal(err)
	}
}

// Guards against an engine that loses memory permanently when an entry is
// replaced. An entry has a hold, an exported segment and a run; it dies, and
// its successor has the same name. The dead entry can no longer release
// anything.
func TestNewIncarnationReleasesOldOwner(t *testing.T) {
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

// shortLoad keeps an engine full of short runs of 10 tokens that take about a
// second each, and replaces each run that ends.
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

// Guards against a long prompt that waits forever behind short ones. The engine
// is full of short runs, each of which is replaced as soon as it ends; a hold
// of 60% of the memory retries every 100 ms. Without an earmark, freed memory
// goes to the first request that fits, which is always a short run.
func TestShortRunsDoNotStarveLongHold(t *testing.T) {
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

// Guards against short prompts that are refused for minutes. Holds of 60% of
// the memory are requested in a steady stream, each used for 3 s; the queue of
// long requests must not earmark everything that is freed.
func TestLongHoldsDoNotStarveShortRuns(t *testing.T) {
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

// Guards against a hold as large as the engine that is never granted, or that
// blocks short runs forever. Under the same load of short runs, a hold of the
// whole memory is requested; it is released, and the next such hold is
// requested at once. Such a hold fits only into an empty engine.
func TestOversizedHoldsAlternateWithShortRuns(t *testing.T) {
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
				if now.Sub(released) < defaultEarmarkCooldown {
					t.Fatalf("oversized hold granted only %v after the last one, without a turn for short runs", now.Sub(released))
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

// Guards against an engine whose memory fills with runs that no client reads.
// An agent dies and its successor starts with an empty ledger, while the engine
// still reports a run and an exported segment: requests at the engine outlive
// the process that sent them.
func TestReconcileReportsOrphans(t *testing.T) {
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
