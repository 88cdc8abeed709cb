// Package peering shares the attempts of each entry with all other entries. Each entry
// announces itself in the object store, follows the other entries there, and sends them
// a datagram for every attempt that it starts or ends, so that all entries place the
// next attempt on the same view of the load.
//
// Correct answers don't depend on this package. A lost datagram makes placement worse
// for a moment. The periodic heartbeat lists the active attempts, so that receivers can
// end attempts whose end they missed. The attempts of an entry that stops sending are
// dropped after a timeout.
package peering
