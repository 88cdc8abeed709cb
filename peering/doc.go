// Package peering lets entries know of each other's work. Each entry announces
// itself in the object store, follows the others there, and tells them by datagram
// of every attempt it makes, so that all place the next one with the same
// knowledge.
//
// Guarantees: nothing here is needed for a correct answer. A lost datagram makes a
// placement worse for a moment; the beat, which lists the attempts that go on, ends
// what was missed. An entry that falls silent has its attempts forgotten.
package peering
