// Package replica lets entries read the object API through each other. An entry
// keeps what it last read of some kinds and when that was current (Replica), gives
// it to its peers over drpc (Service), and reads from them what the object API
// doesn't tell it (Puller).
//
// An object API may turn one VM away and serve the others. The VM would then refuse
// every request that needs a key five seconds later, though its peers know all that
// it lacks.
//
// What is passed on is proved as hard as what the object API says: Proof tells why an
// answer that was late, held back or doubled can't make anything look newer than it
// is. Nothing here writes.
package replica
