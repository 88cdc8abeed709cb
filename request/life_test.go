package request

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000, 0)

func TestLifeRefusesStepsItDoesNotHave(t *testing.T) {
	l := NewLifecycle(t0.Add(time.Minute), t0)
	if err := l.Transition(Answering, t0); !errors.Is(err, ErrInvalidTransition) {
		t.Fatalf("received to answering: got %v", err)
	}
	if got := l.State(); got != Received {
		t.Fatalf("state after a refused step: %s", got)
	}
}

// Symptom: a caller gets an error after its whole answer.
// Sequence: the last chunk is relayed; the deadline fires at the same moment;
// both paths end the request.
// Cause: two owners of the final answer. The life cycle lets one of them win.
func TestSecondFinalAnswerIsCaught(t *testing.T) {
	l := NewLifecycle(t0.Add(time.Minute), t0)
	for _, s := range []State{Admitted, Queued, Dispatched, Answering, Finished} {
		if err := l.Transition(s, t0); err != nil {
			t.Fatal(err)
		}
	}
	mustPanic(t, func() { _ = l.Transition(Failed, t0) })
}

// Symptom: "not run" is answered for a confirmation that was made.
// Sequence: the body is sent; the answer is lost; an error path builds a
// failure with not_run.
// Cause: the path judged by its own step, not by what had been sent before.
func TestUntrueNotRunIsCaught(t *testing.T) {
	l := NewLifecycle(t0.Add(time.Minute), t0)
	l.MarkMayHaveRun()
	mustPanic(t, func() { l.CheckFailure(&Failure{Code: NotRun}) })
	l.MarkNotRun(false)
	if got := l.CheckFailure(&Failure{Code: NotRun}).Code; got != NotRun {
		t.Fatalf("after proof: %s", got)
	}
}

func TestLateEndIsCaught(t *testing.T) {
	l := NewLifecycle(t0, t0)
	mustPanic(t, func() { _ = l.Transition(Failed, t0.Add(EndGrace+1)) })
}

// Symptom: a caller's text has a piece twice, or lacks one.
// Sequence: chunks arrive doubled, out of order and from an attempt that was
// given up, while a later attempt resumes behind what was given.
// Cause: chunks taken in the order of arrival instead of their numbers.
func TestAssemblerGivesEachChunkOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := uint64(rapid.IntRange(1, 40).Draw(t, "total"))
		asm := NewAssembler(DefaultAssemblerLimits)
		var got []byte
		emit := func(b []byte) error {
			got = append(got, b...)
			return nil
		}
		for attempt := uint32(1); asm.NextSequence() < total; attempt++ {
			asm.StartAttempt(attempt)
			reach := rapid.Uint64Range(asm.NextSequence(), total).Draw(t, "reach")
			offers := rapid.Permutation(numbers(asm.NextSequence(), reach)).Draw(t, "order")
			for _, n := range offers {
				from := attempt
				if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
					_ = asm.Offer(attempt-1, n, []byte{255}, emit)
				}
				if err := asm.Offer(from, n, []byte{byte(n)}, emit); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := asm.CheckComplete(total); err != nil {
			t.Fatal(err)
		}
		want := make([]byte, total)
		for i := range want {
			want[i] = byte(i)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func numbers(from, to uint64) []uint64 {
	var out []uint64
	for n := from; n < to; n++ {
		out = append(out, n)
		if n%3 == 0 {
			out = append(out, n)
		}
	}
	return out
}

func TestAssemblerBoundsWhatItKeeps(t *testing.T) {
	asm := NewAssembler(AssemblerLimits{Chunks: 2, Bytes: 100})
	asm.StartAttempt(1)
	none := func([]byte) error { t.Fatal("nothing is due"); return nil }
	for n := uint64(1); n <= 2; n++ {
		if err := asm.Offer(1, n, []byte("x"), none); err != nil {
			t.Fatal(err)
		}
	}
	if err := asm.Offer(1, 3, []byte("x"), none); !errors.Is(err, ErrTooFarAhead) {
		t.Fatalf("third early chunk: %v", err)
	}
	if err := asm.CheckComplete(4); !errors.Is(err, ErrIncomplete) {
		t.Fatalf("cut answer: %v", err)
	}
}

// Every row of the table in DecideRetry, and the two things that must hold in all of
// them: nothing non-idempotent is sent twice, and not_run is said only where
// nothing began.
func TestRetryTable(t *testing.T) {
	for n := range 1 << 7 {
		s := AttemptOutcome{
			Idempotent: n&1 != 0, Refused: n&2 != 0, Sent: n&4 != 0, FirstByte: n&8 != 0,
			EngineDead: n&16 != 0, Rejected: n&32 != 0, Deadline: n&64 != 0,
		}
		v := DecideRetry(s)
		began := s.Sent && !s.Refused
		if began && !s.Idempotent && v.Action != Fail {
			t.Errorf("%+v: may run twice: %+v", s, v)
		}
		if began && v.FailureCode == NotRun {
			t.Errorf("%+v: untrue not_run", s)
		}
		if s.FirstByte && v.Action == Retry && began {
			t.Errorf("%+v: bytes would be given twice", s)
		}
		if (s.Deadline || s.Rejected) && v.Action != Fail {
			t.Errorf("%+v: goes on: %+v", s, v)
		}
		if !began && !s.FirstByte && !s.Deadline && !s.Rejected && v.Action != Retry {
			t.Errorf("%+v: a safe retry is not used", s)
		}
	}
}

// Symptom: an engine outage becomes a fleet outage.
// Sequence: each request fails and is retried; load doubles; more fail.
// Cause: retries bounded a request, not in all.
func TestBudgetBoundsRetriesUnderOutage(t *testing.T) {
	b := NewRetryBudget(RetryBudgetOptions{Ratio: 0.2, Burst: 5, MinPerSecond: 1})
	retries := 0
	const requests = 1000
	for i := range requests {
		b.RecordRequest()
		now := t0.Add(time.Duration(i) * time.Millisecond)
		for b.TryWithdraw(now) {
			retries++
		}
	}
	if most := requests/5 + 5 + 2; retries > most {
		t.Fatalf("%d retries for %d requests, want at most %d", retries, requests, most)
	}
	if retries < requests/5 {
		t.Fatalf("%d retries: the budget gives less than its share", retries)
	}
}

func mustPanic(t *testing.T, f func()) {
	t.Helper()
	defer func() {
		if recover() == nil {
			t.Fatal("the invariant did not catch it")
		}
	}()
	f()
}
