package claim

import (
	"testing"
	"time"

	"github.com/juju/errors"
)

// claimUntilKnown claims a key, and again while earlier calls aren't known, as a caller does.
func claimUntilKnown(t *testing.T, c *Claimer, k Key) Grant {
	t.Helper()
	for range 100 {
		g, err := c.Claim(t.Context(), k, Request{ID: "r"})
		if err == nil {
			return g
		}
		if !errors.Is(err, ErrUnverified) {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the key can't be claimed for ten seconds")
	return Grant{}
}

// Guards against a call that runs twice because the store lost the record of its claim: the second send
// reaches another entry, or the same one, before or after the outcome.
func TestLostClaimIsNotGrantedAgain(t *testing.T) {
	for name, second := range map[string]int{"same entry": 0, "other entry": 1} {
		for _, settled := range []string{"never", "before", "after"} {
			t.Run(name+", settled "+settled, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					f := newTestCluster(t, 3, nil)
					mustClaim(t, f.entries[2], testKey("earlier"))
					older := f.store.Copy()
					first := mustClaim(t, f.entries[0], testKey("k"))
					if settled == "before" {
						mustSettle(t, f.entries[0], first, doneOutcome)
						time.Sleep(time.Second)
					}
					f.store.Restore(older)
					for _, c := range f.entries {
						c.StoreRestored()
					}
					if settled == "after" {
						mustSettle(t, f.entries[0], first, doneOutcome)
					}
					again := claimUntilKnown(t, f.entries[second], testKey("k"))
					if again.Fresh {
						t.Fatal("granted twice")
					}
					if settled == "before" && again.Prior.State != Done {
						t.Errorf("the outcome is %v, want done", again.Prior.State)
					}
					if !claimUntilKnown(t, f.entries[second], testKey("new")).Fresh {
						t.Error("a key that was never claimed is refused")
					}
				})
			})
		}
	}
}

// Guards against a resend that comes in before any entry knows that the store came back from an older
// copy.
func TestResendThatShowsTheNewEraIsNotGranted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 2, nil)
		mustClaim(t, f.entries[0], testKey("earlier"))
		mustClaim(t, f.entries[1], testKey("earlier too"))
		older := f.store.Copy()
		mustClaim(t, f.entries[0], testKey("k"))
		f.store.Restore(older)
		if g, err := f.entries[1].Claim(t.Context(), testKey("k"), Request{ID: "r"}); err == nil && g.Fresh {
			t.Fatal("granted twice")
		}
	})
}

// Guards against records that are kept in memory for ever.
func TestWrittenRecordsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &writtenRecords{}
	w.remember(&plan{granted: []*op{newOp(opClaim, "a", "m")}}, now)
	w.remember(&plan{granted: []*op{newOp(opClaim, "b", "m")}}, now.Add(rememberFor+time.Second))
	if _, kept := w.records["a"]; kept || len(w.records) != 1 {
		t.Errorf("%d records kept", len(w.records))
	}
}
