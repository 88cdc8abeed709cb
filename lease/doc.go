// Package lease grants one holder at a time the right to act on a name, by
// conditional updates of one object in the object API. It does not compare
// wall clocks of different processes.
//
// Rules:
//
//   - A holder counts its term on its own monotonic clock from before the
//     write was sent. A contender takes over after it has observed the object
//     unchanged for a full term plus a hundredth of it on its own clock,
//     counted from after its first read was answered. Terms therefore never
//     overlap while the clock rates agree within that hundredth.
//   - Each term has a fencing number greater than all before it, also across a
//     deletion of the object. Every order carries it. If a holder is paused
//     between Check and the order, the fence stops the order; the term does
//     not. The same holds for a VM whose monotonic clock stopped while it was
//     suspended.
//   - A write whose response was lost is resolved by reading back a mark
//     unique to that write, never by an unconditional second write.
//   - An expired lease is never revived: a late response ends it. Call Acquire
//     again.
//   - All managers that contend for a name use the same Term: after a deletion
//     the old holder's term is no longer recorded.
//   - A FenceChecker rejects orders with an older fence on behalf of a backend
//     server that does not check fences. It reads its minimum from the store
//     before the first order, so that a restart does not lose it.
//   - While the store is down, a holder stops when its term ends and reports
//     it by Done and Held.
//
// Lock order: Lease.writeMu, Lease.mu, Manager.mu; FenceChecker.mu is
// independent. Only writeMu is held across a call of the store.
package lease
