// Package retrybudget bounds the retries of a service by all entries together: in any window at
// most a fraction of the service's requests plus a fixed slack.
//
// Each entry has a share that depends on nothing but what it has counted itself: half of the fraction
// of its own requests, and an equal part of the slack. The shares add up to the bound in every window,
// whichever entries are in contact. Half of the fraction, because the windows of two entries don't
// end at the same time: in a span of one window they count the requests of up to two.
//
// An entry that runs out of its share borrows from others. The lender counts the retries as its own
// from then on, for as long as the borrower could send them, so that a lost, late or repeated message
// costs budget and never adds any.
//
// Invariants: retries count until a window has passed since the latest time at which they may have
// arrived; a process uses no slack until what its predecessor sent no longer counts, and none before
// the store has listed the entries; an entry that was removed keeps its part for a while.
//
// Times are instants since the VM booted: they run while a VM is suspended, and a step of the time
// of day doesn't change them.
package retrybudget
