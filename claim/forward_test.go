package claim

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

// writerAndOther returns the preferred writer of a key's shard and another
// entry.
func writerAndOther(t *testing.T, f *testCluster, k Key) (writer, other *Claimer) {
	t.Helper()
	for _, c := range f.entries {
		if err := c.Preload(t.Context()); err != nil {
			t.Fatal(err)
		}
		if name, elsewhere := c.groupFor(k.hash()).preferredWriter(); elsewhere {
			other = c
			writer, _ = f.claimerOf(name)
		}
	}
	if writer == nil || other == nil {
		t.Fatal("no preferred writer")
	}
	return writer, other
}

func counterValue(c *Claimer, name string) int64 {
	return c.cfg.Metrics.Get("claim." + name).(interface{ Count() int64 }).Count()
}

func TestClaimsAreForwarded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 3, nil)
		k := testKey("k")
		writer, other := writerAndOther(t, f, k)
		g := mustClaim(t, other, k)
		mustSettle(t, other, g, doneOutcome)
		if !g.Fresh || counterValue(other, "store_writes") != 0 || counterValue(writer, "ops_landed") != 2 {
			t.Errorf("fresh %v, %d writes by the forwarding entry, %d ops committed at the writer",
				g.Fresh, counterValue(other, "store_writes"), counterValue(writer, "ops_landed"))
		}
		if g := mustClaim(t, writer, k); g.Prior.State != Done {
			t.Errorf("resend: %+v", g)
		}
	})
}

// Guards against a preferred writer that releases a claim because it assumes
// that the sender is gone. The sender stops waiting while the writer's write is
// in progress, finds its claim recorded and runs the call; a resend would then
// be granted.
func TestWriterKeepsClaimAfterSenderTimeout(t *testing.T) {
	for timeout := 2 * time.Millisecond; timeout < 20*time.Millisecond; timeout += time.Millisecond {
		inBubble(t, func(t *testing.T) {
			f := newTestCluster(t, 3, func(c *Config) { c.ForwardTimeout = timeout })
			k := testKey("k")
			writer, other := writerAndOther(t, f, k)
			mustSettle(t, writer, mustClaim(t, writer, testKey("warm")), doneOutcome)
			time.Sleep(time.Second)
			g := mustClaim(t, other, k)
			time.Sleep(time.Second)
			for _, c := range f.entries {
				if again := mustClaim(t, c, k); !g.Fresh || again.Fresh || again.Prior.State != Running {
					t.Errorf("timeout %v: first %v, resend %+v", timeout, g.Fresh, again)
				}
			}
		})
	}
}

// Guards against treating the preferred writer as the owner of a shard: the
// writer is cut off but still listed, and claims must work until membership
// detects its death.
func TestUnreachableWriterIsBypassed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 3, nil)
		k := testKey("k")
		writer, other := writerAndOther(t, f, k)
		f.unreachable[writer.cfg.Entry] = true
		if g := mustClaim(t, other, k); !g.Fresh {
			t.Errorf("got %+v", g)
		}
		f.unreachable[writer.cfg.Entry] = false
		if g := mustClaim(t, writer, k); g.Fresh {
			t.Error("the writer granted the key again")
		}
	})
}

// Guards against a call that can never be sent again after it was refused. Its
// claim reaches the writer after the sender has released it, so the claim would
// be recorded with no entry to release it.
func TestLateForwardedClaimIsNotRecorded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 3, nil)
		k := testKey("k")
		writer, other := writerAndOther(t, f, k)
		late := Batch{Shard: other.groupFor(k.hash()).name, Shards: DefaultShards, ExpiresAt: time.Now().Add(forwardTTL)}
		f.lossyNet = nil
		mustSettle(t, other, mustClaim(t, other, testKey("warm")), doneOutcome)
		g := mustClaim(t, other, k)
		late.Changes = []Change{{Kind: ChangeClaim, Hash: k.hash(), Mark: g.token.mark}}
		g.token.forwardUncertain = true // as if an earlier message was still in transit
		mustSettle(t, other, g, Outcome{Kind: OutcomeNotRun})
		if answers, err := writer.ServeForward(t.Context(), late); err != nil || answers[0].Kind != ResultUncertain {
			t.Errorf("withdrawn mark: %+v, %v, want ResultUncertain", answers, err)
		}
		late.Changes[0].Mark = "another"
		late.ExpiresAt = time.Now().Add(-time.Second)
		if answers, err := writer.ServeForward(t.Context(), late); err != nil || answers[0].Kind != ResultUncertain {
			t.Errorf("expired batch: %+v, %v, want ResultUncertain", answers, err)
		}
		if g := mustClaim(t, other, k); !g.Fresh {
			t.Errorf("resend: %+v, want a fresh grant", g)
		}
	})
}

func TestForwardWithOtherShardCountIsRejected(t *testing.T) {
	f := newTestCluster(t, 1, nil)
	for _, b := range []Batch{{Shard: "0000", Shards: DefaultShards + 1}, {Shard: "none", Shards: DefaultShards}} {
		if _, err := f.entries[0].ServeForward(context.Background(), b); !errors.Is(err, ErrShardCountMismatch) {
			t.Errorf("%+v: %v, want ErrShardCountMismatch", b, err)
		}
	}
}

// Guards against claims that are refused after a store outage because the shard
// is full. During the outage each refused call of a forwarding entry leaves a
// withdrawn mark if the entry can't determine whether the writer still holds
// its claim.
func TestOutageLeavesFewWithdrawnMarks(t *testing.T) {
	const calls, few = 400, 40
	for name, faults := range map[string]standin.Faults{"down": {Down: true}, "slow": {LatencyMS: 5_000}} {
		inBubble(t, func(t *testing.T) {
			f := newTestCluster(t, 3, func(c *Config) { c.Shards = 1 })
			_, other := writerAndOther(t, f, testKey("k"))
			f.store.SetFaults(faults)
			for i := range calls {
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					if g, err := other.Claim(ctx, testKey(strconv.Itoa(i)), Request{}); err == nil {
						t.Errorf("%s: %+v", name, g)
					}
				}()
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			f.setStoreDown(false)
			for _, c := range f.entries {
				if err := c.Flush(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			s, _, err := other.groupFor(testKey("k").hash()).readShard(t.Context())
			if err != nil || len(s.Withdrawn) > few {
				t.Errorf("%s: %d withdrawn marks of %d calls, %v", name, len(s.Withdrawn), calls, err)
			}
		})
	}
}

func TestWithdrawnMarksAreBounded(t *testing.T) {
	s := &shard{}
	now := time.Now()
	for i := range maxWithdrawn + 5 {
		s.withdraw(strconv.Itoa(i), now.Add(time.Duration(i)*time.Second))
	}
	if len(s.Withdrawn) != maxWithdrawn || s.isWithdrawn("4") || !s.isWithdrawn("5") {
		t.Errorf("%d withdrawn marks, want the oldest dropped", len(s.Withdrawn))
	}
}
