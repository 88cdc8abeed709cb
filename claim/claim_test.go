package claim

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

const storeLatencyMS = 5

// fleet is some entries of one region and their store.
type fleet struct {
	store   *standin.Memory
	entries []*Claimer

	mu       sync.Mutex      // guards cut and claimers
	cut      map[string]bool // entries that don't answer
	claimers map[Issuer]*Claimer

	hung string // an entry that gives no answer; guarded by mu

	wire *badWire // nil if forwarded claims are never lost
}

func newFleet(t testing.TB, n int, change func(*Config)) *fleet {
	f := &fleet{
		store:    standin.NewMemory(standin.Config{Seed: 1}),
		cut:      map[string]bool{},
		claimers: map[Issuer]*Claimer{},
	}
	f.store.SetFaults(standin.Faults{LatencyMS: storeLatencyMS})
	for i := range n {
		f.entries = append(f.entries, f.start(t, string(rune('a'+i)), change))
	}
	return f
}

// start brings up an incarnation of an entry.
func (f *fleet) start(t testing.TB, name string, change func(*Config)) *Claimer {
	cfg := Config{Store: f.store, Peers: f, Entry: name}
	if change != nil {
		change(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimers[c.Issuer()] = c
	return c
}

// forget lets an incarnation be gone.
func (f *fleet) forget(by Issuer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claimers, by)
}

func (f *fleet) reach(by Issuer) (*Claimer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claimers[by]
	if c == nil || f.cut[by.Entry] {
		return nil, errors.New("connection refused")
	}
	return c, nil
}

func (f *fleet) ClaimIssued(_ context.Context, by Issuer, key Key, mark string) (Grant, error) {
	c, err := f.reach(by)
	if err != nil {
		return Grant{}, err
	}
	return c.ServeClaim(key, mark)
}

func (f *fleet) SettleIssued(_ context.Context, by Issuer, key Key, mark string, o Outcome) error {
	c, err := f.reach(by)
	if err != nil {
		return err
	}
	return c.ServeSettle(key, mark, o)
}

// hop is one way between two entries.
const hop = time.Millisecond

func (f *fleet) Writers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for by := range f.claimers {
		names = append(names, by.Entry)
	}
	return names
}

func (f *fleet) Forward(ctx context.Context, entry string, b Batch) ([]Answer, error) {
	c, err := f.named(entry)
	if err != nil {
		return nil, err
	}
	time.Sleep(hop)
	if f.isHung(entry) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.wire != nil {
		return f.wire.forward(ctx, c, b)
	}
	answers, err := c.ServeForward(ctx, b)
	time.Sleep(hop)
	return answers, err
}

func (f *fleet) isHung(entry string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hung == entry
}

func (f *fleet) named(entry string) (*Claimer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for by, c := range f.claimers {
		if by.Entry == entry && !f.cut[entry] {
			return c, nil
		}
	}
	return nil, errors.New("connection refused")
}

func (f *fleet) down(down bool) {
	f.store.SetFaults(standin.Faults{Down: down, LatencyMS: storeLatencyMS})
}

// inBubble runs a test under virtual time and lets the groups end.
func inBubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute)
	})
}

const testWorkspace = "derwent"

func ownKey(text string) Key { return Key{Workspace: testWorkspace, IdempotencyKey: text} }

// claim asserts a grant and returns it.
func claim(t *testing.T, c *Claimer, k Key) Grant {
	t.Helper()
	g, err := c.Claim(t.Context(), k, Attempt{ID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func settle(t *testing.T, c *Claimer, g Grant, o Outcome) {
	t.Helper()
	if err := c.Settle(t.Context(), g, o); err != nil {
		t.Fatal(err)
	}
}

var done = Outcome{Kind: OutcomeDone, Record: Record{Status: 200, Answer: []byte("confirmed")}}

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
		if err := f.entries[0].Settle(t.Context(), g, Outcome{Kind: OutcomeNotRun}); !errors.Is(err, ErrSettled) {
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
		_, err := f.entries[1].Claim(t.Context(), ownKey("ran"), Attempt{})
		if !errors.Is(err, ErrUnverified) {
			t.Errorf("resend in the outage: %v, want ErrUnverified", err)
		}
		_, err = f.entries[1].Claim(t.Context(), ownKey("new"), Attempt{First: true})
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
		_, err := f.entries[1].Claim(t.Context(), atIssuer, Attempt{})
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
		if _, err := restarted.Claim(t.Context(), k, Attempt{}); !errors.Is(err, ErrUnverified) {
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
		if _, err := c.Claim(t.Context(), k, Attempt{}); !errors.Is(err, ErrBadKey) {
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
		_, err := f.entries[0].Claim(t.Context(), ownKey("k"), Attempt{})
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
		_, err := f.entries[0].Claim(ctx, ownKey("k"), Attempt{})
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
		if _, err := odd.Claim(t.Context(), ownKey("k"), Attempt{}); !errors.Is(err, ErrUnverified) {
			t.Errorf("got %v, want ErrUnverified", err)
		}
	})
}

// Symptom: the store refuses a shard that has grown over a megabyte, and no
// claim of it gets through any more. Sequence: many claims with answers within
// the retention. Cause: a shard without a limit of its own.
func TestShardStaysUnderItsLimit(t *testing.T) {
	const limit = 4_000
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 1, func(c *Config) { c.Shards = 1; c.MaxShardBytes = limit })
		c := f.entries[0]
		granted := 0
		for i := range 100 {
			g, err := c.Claim(t.Context(), ownKey(string(rune('A'+i))), Attempt{})
			if errors.Is(err, ErrNotRun) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			granted++
			settle(t, c, g, done)
		}
		o, err := f.store.Get(t.Context(), Kind, "0000")
		if err != nil {
			t.Fatal(err)
		}
		if len(o.Data) > limit+limit/10 {
			t.Errorf("shard of %d bytes, limit %d", len(o.Data), limit)
		}
		if granted == 0 || granted == 100 {
			t.Errorf("%d of 100 granted, want some refused", granted)
		}
		if g := claim(t, c, ownKey("A")); g.Prior.State != Done || !g.Prior.Record.Truncated {
			t.Errorf("oldest: %+v, want done without its answer", g.Prior)
		}
		time.Sleep(2 * DefaultRetention)
		if g := claim(t, c, ownKey("new")); !g.Fresh {
			t.Error("no room after the retention")
		}
	})
}

// Symptom: a confirmation runs again some minutes later. Sequence: claimed and
// settled, moved out of the shard with others, resent through an entry that
// started since. Cause: a claim looked for in the shard only.
func TestSealedClaimIsRecognised(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		small := func(c *Config) { c.Shards = 1; c.SealBytes = 500 }
		f := newFleet(t, 1, small)
		const calls = 30
		for i := range calls {
			settle(t, f.entries[0], claim(t, f.entries[0], ownKey(string(rune('A'+i)))), done)
		}
		if sealed := objects(t, f.store) - 2; sealed < 2 {
			t.Fatalf("%d sealed objects, want some", sealed)
		}
		late := f.start(t, "late", small)
		if err := late.Warm(t.Context()); err != nil {
			t.Fatal(err)
		}
		for i := range calls {
			g := claim(t, late, ownKey(string(rune('A'+i))))
			if diff := cmp.Diff(Prior{State: Done, Record: done.Record}, g.Prior); diff != "" || g.Fresh {
				t.Errorf("call %d, fresh %v: %s", i, g.Fresh, diff)
			}
		}
		time.Sleep(2 * DefaultRetention)
		settle(t, late, claim(t, late, ownKey("new")), done)
		if left := objects(t, f.store) - 2; left > 1 {
			t.Errorf("%d sealed objects left after their retention", left)
		}
	})
}

// Symptom: after some hours each write of a shard makes one more sealed object
// of a handful of claims. Sequence: references fill the threshold. Cause: a
// threshold on the whole value, references included.
func TestSealedObjectsGrowWithTheirNumber(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const calls, sealBytes = 600, 300
		f := newFleet(t, 1, func(c *Config) { c.Shards = 1; c.SealBytes = sealBytes })
		for i := range calls {
			settle(t, f.entries[0], claim(t, f.entries[0], ownKey(string(rune('A'+i)))), done)
		}
		const perObject = 8 // claims, on average; the threshold alone holds about three
		if sealed := objects(t, f.store) - 2; sealed == 0 || sealed > calls/perObject {
			t.Errorf("%d sealed objects of %d claims", sealed, calls)
		}
	})
}

// Symptom: a shard that was written can't be read any more. Sequence: values of
// many sizes, small ones kept readable, larger ones packed.
func TestShardSurvivesPacking(t *testing.T) {
	for _, n := range []int{0, 1, 3, 5, 50, 2_000} {
		s := &shard{Claims: map[string]entry{}}
		for i := range n {
			hash := ownKey(strconv.Itoa(i)).hash()
			s.Claims[hash] = entry{Mark: "m", State: Done, At: int64(i), Status: 200, Answer: []byte{byte(i)}}
		}
		plain, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		data, err := pack(plain)
		if err != nil || !json.Valid(data) || len(data) > len(plain) {
			t.Fatalf("%d claims: %d bytes of %d, valid %v, %v", n, len(data), len(plain), json.Valid(data), err)
		}
		got, err := decodeShard(data)
		if diff := cmp.Diff(s, got); diff != "" || err != nil {
			t.Errorf("%d claims: %v %s", n, err, diff)
		}
	}
}

// Symptom: a confirmation runs again, or a shard's references to sealed objects
// fill it after some hours. Sequence: so many sealed objects that newer ones
// refer to older ones; resends of the oldest and the newest through an entry
// that started since; all of it expires. Cause: folded objects that are not
// looked into, or never dropped.
func TestFoldedClaimsAreRecognised(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const calls, fold = 400, 8
		small := func(c *Config) { c.Shards = 1; c.SealBytes = 300; c.foldRefs = fold }
		f := newFleet(t, 1, small)
		for i := range calls {
			settle(t, f.entries[0], claim(t, f.entries[0], ownKey(strconv.Itoa(i))), done)
		}
		o, err := f.store.Get(t.Context(), Kind, "0000")
		if err != nil {
			t.Fatal(err)
		}
		s, err := decodeShard(o.Data)
		if err != nil || !slices.ContainsFunc(s.Sealed, func(r sealedRef) bool { return r.Folds }) || len(s.Sealed) > 2*fold {
			t.Fatalf("%d references, some must fold others, %v", len(s.Sealed), err)
		}
		late := f.start(t, "late", small)
		for i := range calls {
			for _, c := range []*Claimer{f.entries[0], late} {
				if g := claim(t, c, ownKey(strconv.Itoa(i))); g.Fresh || g.Prior.State != Done {
					t.Errorf("call %d: %+v", i, g)
				}
			}
		}
		time.Sleep(2 * DefaultRetention)
		settle(t, late, claim(t, late, ownKey("new")), done)
		time.Sleep(deleteTime)
		if left := objects(t, f.store) - 2; left > 1 {
			t.Errorf("%d sealed objects left after their retention", left)
		}
	})
}

// objects counts the claim objects: a shard, the layout and what is sealed.
func objects(t *testing.T, store objectapi.Store) int {
	t.Helper()
	l, err := store.List(t.Context(), Kind, "")
	if err != nil {
		t.Fatal(err)
	}
	return len(l.Objects)
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
