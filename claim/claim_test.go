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

func TestResendReturnsRecordedOutcome(t *testing.T) {
	tests := map[string]struct {
		outcome Outcome
		want    Grant
	}{
		"done":    {doneOutcome, Grant{Prior: Prior{State: Done, Record: doneOutcome.Record}}},
		"unknown": {Outcome{Kind: OutcomeUnknown}, Grant{Prior: Prior{State: Unknown}}},
		"not run": {Outcome{Kind: OutcomeNotRun}, Grant{Fresh: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newTestCluster(t, 2, nil)
				for _, k := range []Key{testKey("k1"), testKey(f.entries[0].Issue(testWorkspace))} {
					first := mustClaim(t, f.entries[0], k)
					if !first.Fresh {
						t.Fatalf("first claim of %v: %+v", k, first)
					}
					running := mustClaim(t, f.entries[1], k)
					if diff := cmp.Diff(Prior{State: Running}, running.Prior); diff != "" || running.Fresh {
						t.Errorf("claim while running: %s", diff)
					}
					mustSettle(t, f.entries[0], first, test.outcome)
					got := mustClaim(t, f.entries[1], k)
					got.token = nil
					if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(Grant{})); diff != "" {
						t.Errorf("resend of %v: %s", k, diff)
					}
				}
			})
		})
	}
}

func TestSecondSettleIsRejected(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 1, nil)
		g := mustClaim(t, f.entries[0], testKey("k"))
		mustSettle(t, f.entries[0], g, doneOutcome)
		if err := f.entries[0].Settle(t.Context(), g, Outcome{Kind: OutcomeNotRun}); !errors.Is(err, ErrAlreadySettled) {
			t.Errorf("second settle: %v, want ErrAlreadySettled", err)
		}
	})
}

// Guards against an entry that reports "not run" during a store outage for a
// call that ran before it. The call is claimed and run, the store goes down,
// and the resend reaches another entry. That this entry did not run the call
// does not mean that it never ran.
func TestRefusalsInStoreOutageAreCorrect(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 2, nil)
		mustSettle(t, f.entries[0], mustClaim(t, f.entries[0], testKey("ran")), doneOutcome)
		f.setStoreDown(true)
		_, err := f.entries[1].Claim(t.Context(), testKey("ran"), Request{})
		if !errors.Is(err, ErrUnverified) {
			t.Errorf("resend in the outage: %v, want ErrUnverified", err)
		}
		_, err = f.entries[1].Claim(t.Context(), testKey("new"), Request{FirstSend: true})
		if !errors.Is(err, ErrNotRun) {
			t.Errorf("first send in the outage: %v, want ErrNotRun", err)
		}
	})
}

// Guards against claims of issued keys that wait for the store: with the store
// down, calls under issued keys must work at the issuer and through another
// entry. Resends, also after the issuer is gone, must not be granted.
func TestIssuedKeysNeedNoStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 2, nil)
		f.setStoreDown(true)
		atIssuer, atOther := testKey(f.entries[0].Issue(testWorkspace)), testKey(f.entries[0].Issue(testWorkspace))
		first := mustClaim(t, f.entries[0], atIssuer)
		second := mustClaim(t, f.entries[1], atOther)
		if !first.Fresh || !second.Fresh {
			t.Fatalf("first claims in the outage: %+v, %+v, want both fresh", first, second)
		}
		for _, k := range []Key{atIssuer, atOther} {
			if g := mustClaim(t, f.entries[1], k); g.Fresh {
				t.Errorf("resend of %v was granted", k)
			}
		}
		f.unreachable["a"] = true
		_, err := f.entries[1].Claim(t.Context(), atIssuer, Request{})
		if !errors.Is(err, ErrUnverified) {
			t.Errorf("resend with the issuer gone: %v, want ErrUnverified", err)
		}
		f.setStoreDown(false)
		mustSettle(t, f.entries[1], second, doneOutcome)
		if g := mustClaim(t, f.entries[1], atOther); g.Prior.State != Done {
			t.Errorf("resend with the issuer gone and the outcome recorded: %+v, want Done", g)
		}
	})
}

// Guards against a key that is bound to the entry's name and not to its
// incarnation: an entry issues a key, runs the call and restarts under the same
// name, and the caller resends.
func TestIssuedKeyIsNotGrantedAfterRestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 1, nil)
		k := testKey(f.entries[0].Issue(testWorkspace))
		mustClaim(t, f.entries[0], k)
		f.remove(f.entries[0].Issuer())
		restarted := f.start(t, "a", nil)
		restarted.Issue(testWorkspace)
		if _, err := restarted.Claim(t.Context(), k, Request{}); !errors.Is(err, ErrUnverified) {
			t.Errorf("got %v, want ErrUnverified", err)
		}
	})
}

func TestForgedIssuedKeysAreRejected(t *testing.T) {
	f := newTestCluster(t, 1, nil)
	c := f.entries[0]
	used := c.Issue(testWorkspace)
	if g := mustClaim(t, c, testKey(used)); !g.Fresh {
		t.Fatal("issued key refused")
	}
	forged := []Key{
		testKey(issuedKey(c.Issuer(), 99)),
		testKey("bt1/"),
		testKey("bt1/a/b"),
		testKey(used + "/"),
		testKey("bt1/a/" + c.Issuer().Incarnation + "/01"),
		{Workspace: "other", IdempotencyKey: used},
		{Workspace: "other", IdempotencyKey: c.Issue(testWorkspace)}, // not used yet
	}
	for _, k := range forged {
		if _, err := c.Claim(t.Context(), k, Request{}); !errors.Is(err, ErrBadKey) {
			t.Errorf("%v: %v, want ErrBadKey", k, err)
		}
	}
}

// Guards against a refused claim that stays recorded, so that its call can
// never be sent again. The claim's write takes effect, its response is lost, and
// the store goes down before the shard is read back.
func TestRefusedClaimIsReleased(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 1, nil)
		mustSettle(t, f.entries[0], mustClaim(t, f.entries[0], testKey("warm")), doneOutcome)
		time.Sleep(time.Second)
		f.store.SetFaults(standin.Faults{LoseNext: 1})
		slow := &downAfterUpdate{Memory: f.store}
		f.entries[0].cfg.Store = slow
		_, err := f.entries[0].Claim(t.Context(), testKey("k"), Request{})
		if !errors.Is(err, ErrNotRun) {
			t.Fatalf("got %v, want ErrNotRun", err)
		}
		f.setStoreDown(false)
		f.entries[0].cfg.Store = f.store
		if err := f.entries[0].Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if g := mustClaim(t, f.entries[0], testKey("k")); !g.Fresh {
			t.Errorf("resend: %+v, want a fresh grant", g)
		}
	})
}

// As above, but the caller's time runs out while the write is in progress, and
// the write then takes effect.
func TestAbandonedClaimIsReleased(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 1, nil)
		mustSettle(t, f.entries[0], mustClaim(t, f.entries[0], testKey("warm")), doneOutcome)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Millisecond)
		defer cancel()
		_, err := f.entries[0].Claim(ctx, testKey("k"), Request{})
		if !errors.Is(err, ErrUnverified) {
			t.Fatalf("got %v, want ErrUnverified", err)
		}
		if err := f.entries[0].Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if g := mustClaim(t, f.entries[0], testKey("k")); !g.Fresh {
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

// Guards against an entry that starts with another number of shards: two
// entries would look for one key in two shards, and it would run twice.
func TestShardCountMismatchIsRejected(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 1, nil)
		mustClaim(t, f.entries[0], testKey("k"))
		odd := f.start(t, "odd", func(c *Config) { c.Shards = DefaultShards + 1 })
		if _, err := odd.Claim(t.Context(), testKey("k"), Request{}); !errors.Is(err, ErrUnverified) {
			t.Errorf("got %v, want ErrUnverified", err)
		}
	})
}

// Guards against an invariant check that never fires: the record of a grant is
// replaced without the entry's involvement.
func TestSecondGrantIsDetected(t *testing.T) {
	g := &group{name: "0000"}
	s := &shard{Claims: map[string]keyRecord{"h": {Mark: "other", State: Running}}}
	defer func() {
		if recover() == nil {
			t.Error("second grant not detected")
		}
	}()
	g.checkGrant(s, newOp(opSettle, "h", "mine"))
}
