package node

import (
	"sync/atomic"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/membership"
)

// listedFloor is the newest revision at which this entry took a complete list.
// What came and went before left no trace here, so an agent that is complete
// through less must pull, whatever its pool's version. Without the floor an
// agent whose homes were all replaced keeps a deleted object for good.
type listedFloor struct{ revision atomic.Uint64 }

// listed notes a list; the greatest revision stays.
func (f *listedFloor) listed(revision uint64) {
	for {
		old := f.revision.Load()
		if revision <= old || f.revision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// tellRevision tells membership what is in force here and which of it concerns
// a pool. newest is the newest version of an object that it was told last; it
// returns that of now. Before the state is complete there is nothing to pull.
//
// Entries compare the newest object, not the revision up to which they are
// complete: that one moves with each answer of a watch, whatever was written to
// the store, and differs between entries by seconds. Each digest of an entry
// that is ahead would cost a pull that brings nothing.
func (n *Entry) tellRevision(state *declared.State, newest uint64) uint64 {
	revision := state.Revision()
	if revision == 0 {
		return newest
	}
	if n.floor.revision.Load() == 0 {
		n.floor.listed(revision) // a peer's complete state, in an outage
	}
	floor := n.floor.revision.Load()
	ofPool := func(pool string) uint64 { return min(max(state.PoolVersion(pool), floor), revision) }
	newest = newestObject(n.catalog.Since(newest, declared.Scope{}), newest)
	n.runner.With(func(o *membership.Observer) { o.SetConfig(newest, ofPool) })
	return newest
}

// newestObject returns the greatest version in a batch, at least newest.
func newestObject(b declared.Batch, newest uint64) uint64 {
	for _, o := range b.Objects {
		newest = max(newest, o.Version)
	}
	return newest
}
