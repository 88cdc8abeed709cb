package claim

import (
	"encoding/json"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// Guards against a shard that grows over a megabyte, so that the store refuses
// it and none of its claims succeeds any more. Many claims with responses are
// made within the retention.
func TestShardStaysUnderItsLimit(t *testing.T) {
	const limit = 4_000
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, 1, func(c *Config) { c.Shards = 1; c.MaxShardBytes = limit })
		c := f.entries[0]
		granted := 0
		for i := range 100 {
			g, err := c.Claim(t.Context(), testKey(string(rune('A'+i))), Request{})
			if errors.Is(err, ErrNotRun) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			granted++
			mustSettle(t, c, g, doneOutcome)
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
		if g := mustClaim(t, c, testKey("A")); g.Prior.State != Done || !g.Prior.Record.Truncated {
			t.Errorf("oldest: %+v, want done without its response", g.Prior)
		}
		time.Sleep(2 * DefaultRetention)
		if g := mustClaim(t, c, testKey("new")); !g.Fresh {
			t.Error("claim refused after the retention, want a fresh grant")
		}
	})
}

// Guards against a claim that is looked up only in the shard: it is claimed and
// settled, moved out of the shard with others, and resent through an entry that
// has started since. It would run again.
func TestSealedClaimIsRecognised(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		small := func(c *Config) { c.Shards = 1; c.SealThreshold = 500 }
		f := newTestCluster(t, 1, small)
		const calls = 30
		for i := range calls {
			mustSettle(t, f.entries[0], mustClaim(t, f.entries[0], testKey(string(rune('A'+i)))), doneOutcome)
		}
		if sealed := objects(t, f.store) - 2; sealed < 2 {
			t.Fatalf("%d sealed objects, want some", sealed)
		}
		late := f.start(t, "late", small)
		if err := late.Preload(t.Context()); err != nil {
			t.Fatal(err)
		}
		for i := range calls {
			g := mustClaim(t, late, testKey(string(rune('A'+i))))
			if diff := cmp.Diff(Prior{State: Done, Record: doneOutcome.Record}, g.Prior); diff != "" || g.Fresh {
				t.Errorf("call %d, fresh %v: %s", i, g.Fresh, diff)
			}
		}
		time.Sleep(2 * DefaultRetention)
		mustSettle(t, late, mustClaim(t, late, testKey("new")), doneOutcome)
		if left := objects(t, f.store) - 2; left > 1 {
			t.Errorf("%d sealed objects left after their retention", left)
		}
	})
}

// Guards against a seal threshold on the whole value, references included:
// after some hours the references alone would exceed it, and each write of the
// shard would create a sealed object with a handful of claims.
func TestSealedObjectsGrowWithTheirNumber(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const calls, sealBytes = 600, 300
		f := newTestCluster(t, 1, func(c *Config) { c.Shards = 1; c.SealThreshold = sealBytes })
		for i := range calls {
			mustSettle(t, f.entries[0], mustClaim(t, f.entries[0], testKey(string(rune('A'+i)))), doneOutcome)
		}
		const perObject = 8 // claims per object on average; the threshold alone holds about three
		if sealed := objects(t, f.store) - 2; sealed == 0 || sealed > calls/perObject {
			t.Errorf("%d sealed objects of %d claims", sealed, calls)
		}
	})
}

// Guards against a shard that can't be read back after it was written, for
// values of many sizes: small ones are stored as plain JSON, larger ones
// compressed.
func TestShardSurvivesPacking(t *testing.T) {
	for _, n := range []int{0, 1, 3, 5, 50, 2_000} {
		s := &shard{Claims: map[string]keyRecord{}}
		for i := range n {
			hash := testKey(strconv.Itoa(i)).hash()
			s.Claims[hash] = keyRecord{Mark: "m", State: Done, UpdatedUnix: int64(i), Status: 200, Response: []byte{byte(i)}}
		}
		plain, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		data, err := compress(plain)
		if err != nil || !json.Valid(data) || len(data) > len(plain) {
			t.Fatalf("%d claims: %d bytes of %d, valid %v, %v", n, len(data), len(plain), json.Valid(data), err)
		}
		got, err := decodeShard(data)
		if diff := cmp.Diff(s, got); diff != "" || err != nil {
			t.Errorf("%d claims: %v %s", n, err, diff)
		}
	}
}

// Guards against folded objects that are not searched, so that a call runs
// again, or never dropped, so that their references fill the shard after some
// hours. So many objects are sealed that newer ones hold references to older
// ones; the oldest and the newest calls are resent through an entry that has
// started since; then all of it expires.
func TestFoldedClaimsAreRecognised(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const calls, fold = 400, 8
		small := func(c *Config) { c.Shards = 1; c.SealThreshold = 300; c.foldThreshold = fold }
		f := newTestCluster(t, 1, small)
		for i := range calls {
			mustSettle(t, f.entries[0], mustClaim(t, f.entries[0], testKey(strconv.Itoa(i))), doneOutcome)
		}
		o, err := f.store.Get(t.Context(), Kind, "0000")
		if err != nil {
			t.Fatal(err)
		}
		s, err := decodeShard(o.Data)
		if err != nil || !slices.ContainsFunc(s.Sealed, func(r sealedRef) bool { return r.HasFolded }) || len(s.Sealed) > 2*fold {
			t.Fatalf("%d references, want some with folded ones, %v", len(s.Sealed), err)
		}
		late := f.start(t, "late", small)
		for i := range calls {
			for _, c := range []*Claimer{f.entries[0], late} {
				if g := mustClaim(t, c, testKey(strconv.Itoa(i))); g.Fresh || g.Prior.State != Done {
					t.Errorf("call %d: %+v", i, g)
				}
			}
		}
		time.Sleep(2 * DefaultRetention)
		mustSettle(t, late, mustClaim(t, late, testKey("new")), doneOutcome)
		time.Sleep(deleteTimeout)
		if left := objects(t, f.store) - 2; left > 1 {
			t.Errorf("%d sealed objects left after their retention", left)
		}
	})
}

// objects counts the claim objects: a shard, the layout and the sealed objects.
func objects(t *testing.T, store objectapi.Store) int {
	t.Helper()
	l, err := store.List(t.Context(), Kind, "")
	if err != nil {
		t.Fatal(err)
	}
	return len(l.Objects)
}
