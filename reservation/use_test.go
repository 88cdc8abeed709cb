package reservation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/quiet"
)

// Symptom: memory that no prompt uses stays reserved for as long as a caller has
// patience.
// Sequence: memory is reserved on three engines; the one that should answer takes the
// prompt and stays silent.
// Cause: only the end of the attempt ended a reservation, and only the caller ended
// the attempt.
func TestUnusedMemoryEndsTheAttempt(t *testing.T) {
	late := []Usage{Unused, Unused, Unused, Unused, Unused, Unused}
	silent := []Usage{UsageUnknown, UsageUnknown, UsageUnknown, UsageUnknown}
	for _, c := range []struct {
		name   string
		uses   map[string][]Usage
		unused bool
		asked  []string
	}{
		{"nobody began", map[string][]Usage{"a": late, "b": late, "c": late}, true, []string{"c", "b"}},
		{"begun", nil, false, []string{"c"}},
		{"one report lags", map[string][]Usage{"c": late}, false, []string{"c", "b"}},
		{"an engine that doesn't say", map[string][]Usage{"a": late, "b": late, "c": silent}, true, []string{"c", "b", "a"}},
		{"nobody says", map[string][]Usage{"a": silent, "b": silent, "c": silent}, false, []string{"c", "b", "a", "c", "b", "a", "c", "b", "a", "c", "b", "a", "c"}},
		{"the answering one doesn't say", map[string][]Usage{"a": silent, "b": {Unused, InUse}, "c": silent}, false, []string{"c", "b", "a", "c", "b"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := newEngines(100)
			e.uses = c.uses
			r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
			held, _, err := r.Acquire(t.Context(), "request", parts(60))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := held.Context(t.Context())
			defer cancel()
			time.Sleep(3 * lease)
			if got := errors.Is(context.Cause(ctx), ErrUnused); got != c.unused || (ctx.Err() != nil) != c.unused {
				t.Errorf("%s: ended with %v", c.name, context.Cause(ctx))
			}
			held.Release()
			r.Wait()
			if n := e.live(); n != 0 {
				t.Errorf("%s: %d parts are held after the release", c.name, n)
			}
			if diff := cmp.Diff(c.asked, e.asked); diff != "" {
				t.Errorf("%s: engines asked:\n%s", c.name, diff)
			}
		})
	}
}

// A question costs as much as a health check; most prompts have their first token
// before it is due.
func TestNoEngineIsAskedAfterTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", parts(60))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(useExpected / 2)
		held.FirstToken()
		time.Sleep(lease)
		held.Release()
		r.Wait()
		if len(e.asked) != 0 {
			t.Errorf("asked %v", e.asked)
		}
	})
}

// Symptom: a stream is broken off as it begins.
// Sequence: an engine says that nothing has begun, as of a moment ago; the first token
// comes while it is asked.
// Cause: what engines say was taken for newer than what came from them.
func TestFirstTokenCountsMoreThanReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		e.uses = map[string][]Usage{"b": {Unused}, "c": {Unused}}
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", parts(60))
		if err != nil {
			t.Fatal(err)
		}
		e.mu.Lock()
		e.during = func() {
			if len(e.asked) == unusedAnswers {
				held.FirstToken()
			}
		}
		e.mu.Unlock()
		ctx, cancel := held.Context(t.Context())
		defer cancel()
		time.Sleep(lease)
		if ctx.Err() != nil {
			t.Errorf("ended with %v", context.Cause(ctx))
		}
		held.Release()
		r.Wait()
	})
}

// Symptom: an attempt goes on after its caller has left, or is taken for unused.
// Sequence: the caller leaves; the reservations are released.
// Cause: the context of an attempt did not end with the caller's, or with its cause.
func TestContextEndsWithItsParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", parts(60))
		if err != nil {
			t.Fatal(err)
		}
		parent, leave := context.WithCancel(t.Context())
		ctx, cancel := held.Context(parent)
		defer cancel()
		held.Release()
		r.Wait()
		if ctx.Err() != nil {
			t.Errorf("ended with %v while its parent lives", context.Cause(ctx))
		}
		leave()
		synctest.Wait()
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), ErrUnused) {
			t.Errorf("ended with %v", context.Cause(ctx))
		}
	})
}
