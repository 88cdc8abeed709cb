package claim

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

// writerOf returns the preferred writer of a key's shard and another entry.
func writerOf(t *testing.T, f *fleet, k Key) (writer, other *Claimer) {
	t.Helper()
	for _, c := range f.entries {
		if err := c.Preload(t.Context()); err != nil {
			t.Fatal(err)
		}
		if name, elsewhere := c.group(k.hash()).writer(); elsewhere {
			other = c
			writer, _ = f.named(name)
		}
	}
	if writer == nil || other == nil {
		t.Fatal("no preferred writer")
	}
	return writer, other
}

func count(c *Claimer, name string) int64 {
	return c.cfg.Metrics.Get("claim." + name).(interface{ Count() int64 }).Count()
}

func TestClaimsAreForwarded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		k := ownKey("k")
		writer, other := writerOf(t, f, k)
		g := claim(t, other, k)
		settle(t, other, g, done)
		if !g.Fresh || count(other, "store_writes") != 0 || count(writer, "ops_landed") != 2 {
			t.Errorf("fresh %v, %d writes of its own, %d landed at the writer",
				g.Fresh, count(other, "store_writes"), count(writer, "ops_landed"))
		}
		if g := claim(t, writer, k); g.Prior.State != Done {
			t.Errorf("resend: %+v", g)
		}
	})
}

// Symptom: a booking that is running is granted to a resend. Sequence: the
// sender stops waiting for the preferred writer while its write is on its way,
// finds its claim on record and runs the call. Cause: a writer that frees a
// claim whose sender it holds for gone.
func TestWriterLeavesClaimOfImpatientSender(t *testing.T) {
	for timeout := 2 * time.Millisecond; timeout < 20*time.Millisecond; timeout += time.Millisecond {
		inBubble(t, func(t *testing.T) {
			f := newFleet(t, 3, func(c *Config) { c.ForwardTimeout = timeout })
			k := ownKey("k")
			writer, other := writerOf(t, f, k)
			settle(t, writer, claim(t, writer, ownKey("warm")), done)
			time.Sleep(time.Second)
			g := claim(t, other, k)
			time.Sleep(time.Second)
			for _, c := range f.entries {
				if again := claim(t, c, k); !g.Fresh || again.Fresh || again.Prior.State != Running {
					t.Errorf("timeout %v: first %v, resend %+v", timeout, g.Fresh, again)
				}
			}
		})
	}
}

// Symptom: no confirmation gets through from the death of the writer until
// membership knows of it. Sequence: the writer is cut off and still listed.
// Cause: a preferred writer that is taken for an owner.
func TestWriterGone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		k := ownKey("k")
		writer, other := writerOf(t, f, k)
		f.cut[writer.cfg.Entry] = true
		if g := claim(t, other, k); !g.Fresh {
			t.Errorf("got %+v", g)
		}
		f.cut[writer.cfg.Entry] = false
		if g := claim(t, writer, k); g.Fresh {
			t.Error("the writer granted it again")
		}
	})
}

// Symptom: a refused call can never be sent again. Sequence: its claim reaches
// the writer after its sender has given up. Cause: a claim that nobody takes
// back, as its sender did so before it was there.
func TestLateForwardedClaimIsNotRecorded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		k := ownKey("k")
		writer, other := writerOf(t, f, k)
		late := Batch{Shard: other.group(k.hash()).name, Shards: DefaultShards, ExpiresAt: time.Now().Add(forwardLife)}
		f.wire = nil
		settle(t, other, claim(t, other, ownKey("warm")), done)
		g := claim(t, other, k)
		late.Changes = []Change{{Kind: ChangeClaim, Hash: k.hash(), Mark: g.token.mark}}
		g.token.forwarded = true // as if a first message was still on its way
		settle(t, other, g, Outcome{Kind: OutcomeNotRun})
		if answers, err := writer.ServeForward(t.Context(), late); err != nil || answers[0].Kind != ResultUncertain {
			t.Errorf("withdrawn: %+v, %v", answers, err)
		}
		late.Changes[0].Mark = "another"
		late.ExpiresAt = time.Now().Add(-time.Second)
		if answers, err := writer.ServeForward(t.Context(), late); err != nil || answers[0].Kind != ResultUncertain {
			t.Errorf("too late: %+v, %v", answers, err)
		}
		if g := claim(t, other, k); !g.Fresh {
			t.Errorf("resend: %+v, want a fresh grant", g)
		}
	})
}

func TestForwardOfOtherLayoutIsRefused(t *testing.T) {
	f := newFleet(t, 1, nil)
	for _, b := range []Batch{{Shard: "0000", Shards: DefaultShards + 1}, {Shard: "none", Shards: DefaultShards}} {
		if _, err := f.entries[0].ServeForward(context.Background(), b); !errors.Is(err, ErrShardCountMismatch) {
			t.Errorf("%+v: %v, want ErrShardCountMismatch", b, err)
		}
	}
}

// Symptom: after an outage of the store claims are refused, as the shard is full.
// Sequence: calls through an entry that forwards, store down or slow, store up.
// Cause: each refused call leaves a withdrawn mark, as its entry can't tell
// whether the writer still holds its claim.
func TestOutageLeavesFewWithdrawnMarks(t *testing.T) {
	const calls, few = 400, 40
	for name, faults := range map[string]standin.Faults{"down": {Down: true}, "slow": {LatencyMS: 5_000}} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(t, 3, func(c *Config) { c.Shards = 1 })
			_, other := writerOf(t, f, ownKey("k"))
			f.store.SetFaults(faults)
			for i := range calls {
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					if g, err := other.Claim(ctx, ownKey(strconv.Itoa(i)), Request{}); err == nil {
						t.Errorf("%s: %+v", name, g)
					}
				}()
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			f.down(false)
			for _, c := range f.entries {
				if err := c.Flush(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			s, _, err := other.group(ownKey("k").hash()).read(t.Context())
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
		t.Errorf("%d marks, the oldest must go", len(s.Withdrawn))
	}
}
