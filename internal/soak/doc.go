// Package soak runs real entries as separate processes before stand-ins of the store and of
// backend servers, breaks them and what is between them from outside, and checks what
// callers and backend servers see.
//
// Rules:
//   - Faults come in series and overlap. Kinds, targets and times follow from the seed; what
//     they meet does not, since processes run in real time.
//   - Callers keep using an open connection until the process behind it is gone.
//   - A check concerns what was promised: an outcome, or a bound that the system states.
//   - Only processes that the run started are signalled, by their ids.
package soak
