package lease

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// ErrStaleFence means that an order carries a lower fencing number than the
// highest one known.
const ErrStaleFence = errors.ConstError("stale fencing number")

// FenceChecker keeps the highest fencing number of each lease for a backend
// server that does not check fences itself. It is safe for concurrent use.
type FenceChecker struct {
	store objectapi.Store

	mu            sync.Mutex // guards highestFences
	highestFences map[string]uint64
}

// NewFenceChecker returns a checker that reads its minimum fences from store.
func NewFenceChecker(store objectapi.Store) *FenceChecker {
	return &FenceChecker{store: store, highestFences: map[string]uint64{}}
}

// Admit returns nil if an order with this fence may be carried out, and
// ErrStaleFence if a higher fence is known. The first order for a name reads
// the minimum fence from the store. If that read fails, Admit returns its
// error and the order must not be carried out: a checker that lost its minimum
// in a restart would admit orders of an earlier holder.
func (g *FenceChecker) Admit(ctx context.Context, name string, fence uint64) error {
	if err := g.loadFloor(ctx, name); err != nil {
		return errors.Annotatef(err, "step learn fence, lease %s", name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.highestFences[name] {
		return errors.Annotatef(ErrStaleFence, "lease %s: %d after %d", name, fence, g.highestFences[name])
	}
	g.highestFences[name] = fence
	return nil
}

// HighestFence returns the highest known fence of a lease, zero if none.
func (g *FenceChecker) HighestFence(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highestFences[name]
}

// loadFloor reads the minimum fence of a lease from the store unless it is
// known.
func (g *FenceChecker) loadFloor(ctx context.Context, name string) error {
	g.mu.Lock()
	_, known := g.highestFences[name]
	g.mu.Unlock()
	if known {
		return nil
	}
	obj, err := g.store.Get(ctx, Kind, name)
	if err != nil {
		return err
	}
	var value leaseRecord
	if err := json.Unmarshal(obj.Data, &value); err != nil {
		return err
	}
	floor := value.Fence
	switch {
	case floor == 0:
		// The object was recreated after a deletion: every earlier fence is
		// below its version.
		floor = obj.Version
	case objectapi.EraOf(floor) < objectapi.EraOf(obj.Version):
		// The store came back from an older copy and may have lost later terms. Their holders
		// lose their leases with the next renewal.
		floor = objectapi.JoinRevision(objectapi.EraOf(obj.Version), 0)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.highestFences[name] = max(g.highestFences[name], floor)
	return nil
}
