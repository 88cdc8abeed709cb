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

// Memory that no prompt used stayed reserved until the caller's timeout. Memory is reserved
// on three engines, and the primary accepts the prompt and doesn't respond. Only the end of
// the attempt ended a reservation, and only the caller ended the attempt.
func TestUnusedMemoryCancelsContext(t *testing.T) {
	late := []Usage{Unused, Unused, Unused, Unused, Unused, Unused}
	silent := []Usage{UsageUnknown, UsageUnknown, UsageUnknown, UsageUnknown}
	for _, c := range []struct {
		name   string
		uses   map[string][]Usage
		unused bool
		asked  []string
	}{
		{"no prompt began", map[string][]Usage{"a": late, "b": late, "c": late}, true, []string{"c", "b"}},
		{"begun", nil, false, []string{"c"}},
		{"one report is late", map[string][]Usage{"c": late}, false, []string{"c", "b"}},
		{"one engine doesn't reply", map[string][]Usage{"a": late, "b": late, "c": silent}, true, []string{"c", "b", "a"}},
		{"no engine replies", map[string][]Usage{"a": silent, "b": silent, "c": silent}, false, []string{"c", "b", "a", "c", "b", "a", "c", "b", "a", "c", "b", "a", "c"}},
		{"the primary doesn't reply", map[string][]Usage{"a": silent, "b": {Unused, InUse}, "c": silent}, false, []string{"c", "b", "a", "c", "b"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := newFakeEngines(100)
			e.usageReplies = c.uses
			r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
			held, _, err := r.Acquire(t.Context(), "request", testParts(60))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := held.Context(t.Context())
			defer cancel()
			time.Sleep(3 * leaseDuration)
			if got := errors.Is(context.Cause(ctx), ErrUnused); got != c.unused || (ctx.Err() != nil) != c.unused {
				t.Errorf("%s: context ended with %v", c.name, context.Cause(ctx))
			}
			held.Release()
			r.Wait()
			if n := e.activeCount(); n != 0 {
				t.Errorf("%s: %d parts are held after the release", c.name, n)
			}
			if diff := cmp.Diff(c.asked, e.queried); diff != "" {
				t.Errorf("%s: engines queried:\n%s", c.name, diff)
			}
		})
	}
}

// A usage query costs as much as a health check, and most prompts have their first token
// before it is due.
func TestNoUsageQueryAfterFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", testParts(60))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(usageCheckDelay / 2)
		held.FirstToken()
		time.Sleep(leaseDuration)
		held.Release()
		r.Wait()
		if len(e.queried) != 0 {
			t.Errorf("queried %v", e.queried)
		}
	})
}

// A stream was cancelled as it began. An engine reports that nothing has begun, as of a
// moment ago, and the first token arrives during the query. The report was taken for newer
// than the first token.
func TestFirstTokenOverridesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		e.usageReplies = map[string][]Usage{"b": {Unused}, "c": {Unused}}
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", testParts(60))
		if err != nil {
			t.Fatal(err)
		}
		e.mu.Lock()
		e.onUsage = func() {
			if len(e.queried) == minUnusedReplies {
				held.FirstToken()
			}
		}
		e.mu.Unlock()
		ctx, cancel := held.Context(t.Context())
		defer cancel()
		time.Sleep(leaseDuration)
		if ctx.Err() != nil {
			t.Errorf("context ended with %v", context.Cause(ctx))
		}
		held.Release()
		r.Wait()
	})
}

// An attempt continued after its caller had left, or was treated as unused. The caller
// leaves and the reservation is released. The context of the attempt didn't end with the
// caller's context, or had the wrong cause.
func TestContextEndsWithItsParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(100)
		r := New(e, 1, quiet.Logger(), metrics.NewRegistry())
		held, _, err := r.Acquire(t.Context(), "request", testParts(60))
		if err != nil {
			t.Fatal(err)
		}
		parent, leave := context.WithCancel(t.Context())
		ctx, cancel := held.Context(parent)
		defer cancel()
		held.Release()
		r.Wait()
		if ctx.Err() != nil {
			t.Errorf("context ended with %v while its parent is active", context.Cause(ctx))
		}
		leave()
		synctest.Wait()
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), ErrUnused) {
			t.Errorf("context ended with %v", context.Cause(ctx))
		}
	})
}
