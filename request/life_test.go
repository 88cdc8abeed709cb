package request

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000, 0)

func TestLifecycleRejectsInvalidTransitions(t *testing.T) {
	l := NewLifecycle(t0.Add(time.Minute), t0)
	if err := l.Transition(Answering, t0); !errors.Is(err, ErrInvalidTransition) {
		t.Fatalf("transition from received to answering: error %v", err)
	}
	if got := l.State(); got != Received {
		t.Fatalf("state after an invalid transition: %s", got)
	}
}

// Guards against a caller receiving an error after its complete answer. If the
// deadline fires while the last chunk is relayed, both paths end the request; the
// life cycle accepts only the first.
func TestSecondFinalAnswerViolatesInvariant(t *testing.T) {
	l := NewLifecycle(t0.Add(time.Minute), t0)
	for _, s := range []State{Admitted, Queued, Dispatched, Answering, Finished} {
		if err := l.Transition(s, t0); err != nil {
			t.Fatal(err)
		}
	}
	mustPanic(t, func() { _ = l.Transition(Failed, t0) })
}

// Guards against not_run being returned for a confirmation that was made. The body
// was sent and the answer lost; an error path that considers only its own step, and
// not what was sent before, then builds a failure with not_run.
func TestFalseNotRunViolatesInvariant(t *testing.T) {
	l := NewLifecycle(t0.Add(time.Minute), t0)
	l.MarkMayHaveRun()
	mustPanic(t, func() { l.CheckFailure(&Failure{Code: NotRun}) })
	l.MarkNotRun(false)
	if got := l.CheckFailure(&Failure{Code: NotRun}).Code; got != NotRun {
		t.Fatalf("code after MarkNotRun: %s", got)
	}
}

func TestLateEndViolatesInvariant(t *testing.T) {
	l := NewLifecycle(t0, t0)
	mustPanic(t, func() { _ = l.Transition(Failed, t0.Add(EndGrace+1)) })
}

// Guards against repeated or missing chunks in a caller's text. Chunks arrive
// duplicated, out of order and from an abandoned attempt while a later attempt
// resumes; delivering them in order of arrival would corrupt the answer.
func TestAssemblerDeliversEachChunkOnceInOrder(t *testing.T) {
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
			offers := rapid.Permutation(sequencesWithDuplicates(asm.NextSequence(), reach)).Draw(t, "order")
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

func sequencesWithDuplicates(from, to uint64) []uint64 {
	var out []uint64
	for n := from; n < to; n++ {
		out = append(out, n)
		if n%3 == 0 {
			out = append(out, n)
		}
	}
	return out
}

func TestAssemblerLimitsBufferedChunks(t *testing.T) {
	asm := NewAssembler(AssemblerLimits{Chunks: 2, Bytes: 100})
	asm.StartAttempt(1)
	none := func([]byte) error { t.Fatal("a chunk was delivered out of order"); return nil }
	for n := uint64(1); n <= 2; n++ {
		if err := asm.Offer(1, n, []byte("x"), none); err != nil {
			t.Fatal(err)
		}
	}
	if err := asm.Offer(1, 3, []byte("x"), none); !errors.Is(err, ErrTooFarAhead) {
		t.Fatalf("third early chunk: %v", err)
	}
	if err := asm.CheckComplete(4); !errors.Is(err, ErrIncomplete) {
		t.Fatalf("truncated answer: %v", err)
	}
}

// Checks every row of the table in DecideRetry, and two rules that hold in all of
// them: nothing non-idempotent is sent twice, and not_run is returned only if nothing
// started.
func TestDecideRetryTable(t *testing.T) {
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
			t.Errorf("%+v: false not_run", s)
		}
		if s.FirstByte && v.Action == Retry && began {
			t.Errorf("%+v: bytes would be delivered twice", s)
		}
		if (s.Deadline || s.Rejected) && v.Action != Fail {
			t.Errorf("%+v: does not fail: %+v", s, v)
		}
		if !began && !s.FirstByte && !s.Deadline && !s.Rejected && v.Action != Retry {
			t.Errorf("%+v: safe retry not made", s)
		}
	}
}

// Guards against an engine outage becoming a fleet outage: if retries are bounded only
// for each request and not in total, every failed request is retried, the load
// doubles, and more requests fail.
func TestRetryBudgetBoundsRetriesDuringOutage(t *testing.T) {
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
		t.Fatalf("%d retries: the budget allows less than its ratio", retries)
	}
}

func mustPanic(t *testing.T, f func()) {
	t.Helper()
	defer func() {
		if recover() == nil {
			t.Fatal("the invariant did not panic")
		}
	}()
	f()
}
