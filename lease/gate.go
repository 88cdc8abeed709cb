package lease

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// ErrStaleFence means that an order came under an older term than the newest known.
const ErrStaleFence = errors.ConstError("stale fencing number")

// FenceChecker keeps the highest fencing number of each lease for a backend server that
// does not check them itself. It is safe for concurrent use.
type FenceChecker struct {
	store objectapi.Store

	mu      sync.Mutex // guards highest
	highest map[string]uint64
}

// NewFenceChecker returns a gate that learns its floors from store.
func NewFenceChecker(store objectapi.Store) *FenceChecker {
	return &FenceChecker{store: store, highest: map[string]uint64{}}
}

// Admit returns nil if an order under this fence may be carried out, and
// ErrStaleFence if a newer term is known. The first order under a name reads
// the floor from the store; where that fails, the order must not be carried out
// and the store's error is returned: a gate that forgot its floor over a restart
// would let the holder of an old term through.
func (g *FenceChecker) Admit(ctx context.Context, name string, fence uint64) error {
	if err := g.learn(ctx, name); err != nil {
		return errors.Annotatef(err, "step learn fence, lease %s", name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.highest[name] {
		return errors.Annotatef(ErrStaleFence, "lease %s: %d after %d", name, fence, g.highest[name])
	}
	g.highest[name] = fence
	return nil
}

// HighestFence returns the highest fence known of a lease, zero if none.
func (g *FenceChecker) HighestFence(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest[name]
}

func (g *FenceChecker) learn(ctx context.Context, name string) error {
	g.mu.Lock()
	_, known := g.highest[name]
	g.mu.Unlock()
	if known {
		return nil
	}
	obj, err := g.store.Get(ctx, Kind, name)
	if err != nil {
		return err
	}
	var value record
	if err := json.Unmarshal(obj.Data, &value); err != nil {
		return err
	}
	floor := value.Fence
	if floor == 0 {
		// Made anew after a deletion: every earlier fence is below its version.
		floor = obj.Version
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.highest[name] = max(g.highest[name], floor)
	return nil
}
