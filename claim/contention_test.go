package claim

import (
	"context"
	"encoding/json"
	"testing"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// conflictingStore writes the shard on behalf of another entry just before each
// of the first left updates.
type conflictingStore struct {
	*standin.Memory
	left int
}

// Update implements objectapi.Store.
func (s *conflictingStore) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
	if s.left > 0 {
		s.left--
		now, err := s.Get(ctx, kind, name)
		if err != nil {
			return objectapi.Object{}, err
		}
		if _, err := s.Memory.Update(ctx, kind, name, now.Data, now.Version); err != nil {
			return objectapi.Object{}, err
		}
	}
	return s.Memory.Update(ctx, kind, name, data, version)
}

// Guards against a claim that is refused although the store works: its group
// loses one write after another to faster entries, for longer than
// StoreTimeout.
func TestClaimSurvivesRepeatedConflicts(t *testing.T) {
	const conflicts, latencyMS = 12, 100
	inBubble(t, func(t *testing.T) {
		store := &conflictingStore{Memory: standin.NewMemory(standin.Config{Seed: 1})}
		f := &testCluster{store: store.Memory, unreachable: map[string]bool{}, claimers: map[Issuer]*Claimer{}}
		c := f.start(t, "a", func(cfg *Config) { cfg.Store, cfg.Shards = store, 1 })
		g := mustClaim(t, c, testKey("first")) // creates the shard
		mustSettle(t, c, g, Outcome{Kind: OutcomeNotRun})
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.SetFaults(standin.Faults{LatencyMS: latencyMS})
		store.left = conflicts
		if g := mustClaim(t, c, testKey("k")); !g.Fresh {
			t.Errorf("%+v, want a fresh grant", g)
		}
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := counterValue(c, "store_conflicts"); n != conflicts {
			t.Errorf("%d conflicts, want %d", n, conflicts)
		}
	})
}

// Guards against a claim that waits longer than StoreTimeout for a store that
// doesn't respond: only a conflict gives a group more time.
func TestClaimTimesOutIfStoreHangs(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		store := standin.NewMemory(standin.Config{Seed: 1})
		f := &testCluster{store: store, unreachable: map[string]bool{}, claimers: map[Issuer]*Claimer{}}
		c := f.start(t, "a", func(cfg *Config) { cfg.Shards = 1 })
		store.SetFaults(standin.Faults{LatencyMS: 2 * DefaultStoreTimeout.Milliseconds()})
		begun := c.now()
		if _, err := c.Claim(t.Context(), testKey("k"), Request{ID: "1"}); err == nil {
			t.Fatal("claim succeeded although the store does not respond")
		}
		if took := c.now().Sub(begun); took > DefaultStoreTimeout {
			t.Errorf("claim refused after %v, want at most StoreTimeout", took)
		}
		store.SetFaults(standin.Faults{})
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
