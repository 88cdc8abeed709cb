// Package replica lets entries read the object API through each other. An entry keeps
// the last state that it read of some kinds and the time at which that state was current
// (Replica), serves it to its peers over drpc (Service), and pulls from its peers what the
// object API doesn't deliver (Puller).
//
// The object API may refuse one VM and serve the others. Without this package that VM
// would, five seconds later, refuse every request that needs a key, although its peers
// have the current state.
//
// A state read from a peer is as reliable as one read from the object API: a response that
// is late, delayed or duplicated can't make a state look newer than it is (see
// ConfirmedOffset). This package never writes to the object API.
package replica
