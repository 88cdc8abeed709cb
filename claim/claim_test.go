package claim

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

func TestResendGetsRecordedTruth(t *testing.T) {
	tests := map[string]struct {
		outcome Outcome
		want    Grant
	}{
		"done":    {done, Grant{Prior: Prior{State: Done, Record: done.Record}}},
		"unknown": {Outcome{Kind: OutcomeUnknown}, Grant{Prior: Prior{State: Unknown}}},
		"not run": {Outcome{Kind: OutcomeNotRun}, Grant{Fresh: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, 2, nil)
				for _, k := range []Key{ownKey("k1"), ownKey(f.entries[0].Issue(testWorkspace))} {
					first := claim(t, f.entries[0], k)
					if !first.Fresh {
						t.Fatalf("first claim of %v: %+v", k, first)
					}
					running := claim(t, f.entries[1], k)
					if diff := cmp.Diff(Prior{State: Running}, running.Prior); diff != "" || running.Fresh {
						t.Errorf("while running: %s", diff)
					}
					settle(t, f.entries[0], first, test.outcome)
					got := claim(t, f.entries[1], k)
					got.token = nil
					if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(Grant{})); diff != "" {
						t.Errorf("resend of %v: %s", k, diff)
					}
				}
			})
		})
	}
}

func TestSettleOnlyOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		g := claim(t, f.entries[0], ownKey("k"))
		settle(t, f.entries[0], g, done)
		if err := f.entries[0].Settle(t.Context(), g, Outcome{Kind: OutcomeNotRun}); !errors.Is(err, ErrAlreadySettled) {
			t.Errorf("second settle: %v, want ErrSettled", err)
		}
	})
}

// Symptom: a caller is told "not run" through an outage, of a confirmation that
// ran before it. Sequence: claim and run, store down, resend at another entry.
// Cause: an entry that takes "I did not run it" for "it did not run".
func TestOutageRefusalsAreTrue(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		settle(t, f.entries[0], claim(t, f.entries[0], ownKey("ran")), done)
		f.down(true)
		_, err := f.entries[1].Claim(t.Context(), ownKey("ran"), Request{})
		if !errors.Is(err, ErrUnverified) {
			t.Errorf("resend in the outage: %v, want ErrUnverified", err)
		}
		_, err = f.entries[1].Claim(t.Context(), ownKey("new"), Request{FirstSend: true})
		if !errors.Is(err, ErrNotRun) {
			t.Errorf("first send in the outage: %v, want ErrNotRun", err)
		}
	})
}

// Symptom: no confirmation gets through a store outage. Sequence: store down,
// calls under issued keys at the issuer and at another entry, resends, the
// issuer dies, resend. Cause: every claim waits for the store.
func TestIssuedKeysPassOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		f.down(true)
		atIssuer, atOther := ownKey(f.entries[0].Issue(testWorkspace)), ownKey(f.entries[0].Issue(testWorkspace))
		first := claim(t, f.entries[0], atIssuer)
		second := claim(t, f.entries[1], atOther)
		if !first.Fresh || !second.Fresh {
			t.Fatalf("in the outage: %+v, %+v", first, second)
		}
		for _, k := range []Key{atIssuer, atOther} {
			if g := claim(t, f.entries[1], k); g.Fresh {
				t.Errorf("resend of %v granted", k)
			}
		}
		f.cut["a"] = true
		_, err := f.entries[1].Claim(t.Context(), atIssuer, Request{})
		if !errors.Is(err, ErrUnverified) {
			t.Errorf("issuer gone: %v, want ErrUnverified", err)
		}
		f.down(false)
		settle(t, f.entries[1], second, done)
		if g := claim(t, f.entries[1], atOther); g.Prior.State != Done {
			t.Errorf("issuer gone, outcome on record: %+v", g)
		}
	})
}

// Symptom: a restarted entry runs a confirmation again. Sequence: it issues a
// key, runs the call, restarts under the same name, the caller sends again.
// Cause: a key bound to the entry's name and not to its incarnation.
func TestIssuedKeyDiesWithIncarnation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		k := ownKey(f.entries[0].Issue(testWorkspace))
		claim(t, f.entries[0], k)
		f.forget(f.entries[0].Issuer())
		restarted := f.start(t, "a", nil)
		restarted.Issue(testWorkspace)
		if _, err := restarted.Claim(t.Context(), k, Request{}); !errors.Is(err, ErrUnverified) {
			t.Errorf("got %v, want ErrUnverified", err)
		}
	})
}

func TestForgedIssuedKeys(t *testing.T) {
	f := newFleet(t, 1, nil)
	c := f.entries[0]
	used := c.Issue(testWorkspace)
	if g := claim(t, c, ownKey(used)); !g.Fresh {
		t.Fatal("issued key refused")
	}
	forged := []Key{
		ownKey(issuedKey(c.Issuer(), 99)),
		ownKey("bt1/"),
		ownKey("bt1/a/b"),
		ownKey(used + "/"),
		ownKey("bt1/a/" + c.Issuer().Incarnation + "/01"),
		{Workspace: "other", IdempotencyKey: used},
		{Workspace: "other", IdempotencyKey: c.Issue(testWorkspace)}, // not used yet
	}
	for _, k := range forged {
		if _, err := c.Claim(t.Context(), k, Request{}); !errors.Is(err, ErrBadKey) {
			t.Errorf("%v: %v, want ErrBadKey", k, err)
		}
	}
}

// Symptom: a call that was refused can never be sent again. Sequence: the claim's
// write lands, its answer is lost, the store goes down before the read back.
// Cause: the claim stays on record with nobody to run it.
func TestRefusedClaimIsReleased(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		settle(t, f.entries[0], claim(t, f.entries[0], ownKey("warm")), done)
		time.Sleep(time.Second)
		f.store.SetFaults(standin.Faults{LoseNext: 1})
		slow := &downAfterUpdate{Memory: f.store}
		f.entries[0].cfg.Store = slow
		_, err := f.entries[0].Claim(t.Context(), ownKey("k"), Request{})
		if !errors.Is(err, ErrNotRun) {
			t.Fatalf("got %v, want ErrNotRun", err)
		}
		f.down(false)
		f.entries[0].cfg.Store = f.store
		if err := f.entries[0].Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if g := claim(t, f.entries[0], ownKey("k")); !g.Fresh {
			t.Errorf("resend: %+v, want a fresh grant", g)
		}
	})
}

// Symptom: as above. Sequence: the caller's time is up while the write is on its
// way, and the write lands. Cause: as above.
func TestAbandonedClaimIsReleased(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		settle(t, f.entries[0], claim(t, f.entries[0], ownKey("warm")), done)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Millisecond)
		defer cancel()
		_, err := f.entries[0].Claim(ctx, ownKey("k"), Request{})
		if !errors.Is(err, ErrUnverified) {
			t.Fatalf("got %v, want ErrUnverified", err)
		}
		if err := f.entries[0].Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if g := claim(t, f.entries[0], ownKey("k")); !g.Fresh {
			t.Errorf("resend: %+v, want a fresh grant", g)
		}
	})
}

// downAfterUpdate takes the store down once an update has taken effect.
type downAfterUpdate struct{ *standin.Memory }

func (s *downAfterUpdate) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
	o, err := s.Memory.Update(ctx, kind, name, data, version)
	s.Memory.SetFaults(standin.Faults{Down: true})
	return o, err
}

// Symptom: two entries look for one key in two shards, and it runs twice.
// Sequence: an entry starts with another number of shards. Cause: a setting that
// nothing compares.
func TestOtherNumberOfShardsIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 1, nil)
		claim(t, f.entries[0], ownKey("k"))
		odd := f.start(t, "odd", func(c *Config) { c.Shards = DefaultShards + 1 })
		if _, err := odd.Claim(t.Context(), ownKey("k"), Request{}); !errors.Is(err, ErrUnverified) {
			t.Errorf("got %v, want ErrUnverified", err)
		}
	})
}

// Symptom: the invariant against a second grant never fires, whatever happens.
// Sequence: the record under a grant is replaced behind the entry's back.
func TestSecondGrantIsSeen(t *testing.T) {
	g := &group{name: "0000"}
	s := &shard{Claims: map[string]entry{"h": {Mark: "other", State: Running}}}
	defer func() {
		if recover() == nil {
			t.Error("a second grant went unseen")
		}
	}()
	g.checkGrant(s, newOp(opSettle, "h", "mine"))
}
