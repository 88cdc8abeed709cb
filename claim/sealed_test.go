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
			g, err := c.Claim(t.Context(), ownKey(string(rune('A'+i))), Request{})
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
		small := func(c *Config) { c.Shards = 1; c.SealThreshold = 500 }
		f := newFleet(t, 1, small)
		const calls = 30
		for i := range calls {
			settle(t, f.entries[0], claim(t, f.entries[0], ownKey(string(rune('A'+i)))), done)
		}
		if sealed := objects(t, f.store) - 2; sealed < 2 {
			t.Fatalf("%d sealed objects, want some", sealed)
		}
		late := f.start(t, "late", small)
		if err := late.Preload(t.Context()); err != nil {
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
		f := newFleet(t, 1, func(c *Config) { c.Shards = 1; c.SealThreshold = sealBytes })
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
		small := func(c *Config) { c.Shards = 1; c.SealThreshold = 300; c.foldRefs = fold }
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
