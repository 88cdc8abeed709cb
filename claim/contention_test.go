package claim

import (
	"context"
	"encoding/json"
	"testing"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// overtakenStore lets another entry write a shard first, before each of some writes.
type overtakenStore struct {
	*standin.Memory
	left int
}

// Update implements objectapi.Store.
func (s *overtakenStore) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
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

// Guards against a claim that is refused while the store works: its group lost one
// write after the other to quicker entries, for longer than a store may be silent.
func TestClaimOutlastsConflicts(t *testing.T) {
	const conflicts, latencyMS = 12, 100
	inBubble(t, func(t *testing.T) {
		store := &overtakenStore{Memory: standin.NewMemory(standin.Config{Seed: 1})}
		f := &fleet{store: store.Memory, cut: map[string]bool{}, claimers: map[Issuer]*Claimer{}}
		c := f.start(t, "a", func(cfg *Config) { cfg.Store, cfg.Shards = store, 1 })
		g := claim(t, c, ownKey("first")) // the shard is on record
		settle(t, c, g, Outcome{Kind: OutcomeNotRun})
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.SetFaults(standin.Faults{LatencyMS: latencyMS})
		store.left = conflicts
		if g := claim(t, c, ownKey("k")); !g.Fresh {
			t.Errorf("%+v, want a fresh grant", g)
		}
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := count(c, "store_conflicts"); n != conflicts {
			t.Errorf("%d conflicts, want %d", n, conflicts)
		}
	})
}

// Guards against a claim that waits for a store that doesn't answer: only a conflict
// gives a group more time.
func TestClaimOfSilentStoreIsRefusedInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		store := standin.NewMemory(standin.Config{Seed: 1})
		f := &fleet{store: store, cut: map[string]bool{}, claimers: map[Issuer]*Claimer{}}
		c := f.start(t, "a", func(cfg *Config) { cfg.Shards = 1 })
		store.SetFaults(standin.Faults{LatencyMS: 2 * DefaultStoreTimeout.Milliseconds()})
		begun := c.now()
		if _, err := c.Claim(t.Context(), ownKey("k"), Request{ID: "1"}); err == nil {
			t.Fatal("claimed in a store that is silent")
		}
		if took := c.now().Sub(begun); took > DefaultStoreTimeout {
			t.Errorf("refused after %v", took)
		}
		store.SetFaults(standin.Faults{})
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
