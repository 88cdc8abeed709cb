// Package claim lets a non-idempotent call run at most once, whichever entry its
// sends reach. Before a call with an idempotency key is dispatched, the entry
// claims the key; only a fresh grant may be dispatched, once, and is then
// settled.
//
// Rules:
//
//   - A caller's own key is claimed in the object API: one of a fixed number of
//     shard objects holds it, and many claims go into one conditional write. Any
//     entry may write any shard; the condition alone keeps two from claiming one
//     key. There is no owner and no lease, so nothing has to fail over.
//   - Claims of a shard are forwarded to one preferred writer, for larger groups.
//     It writes on the same condition under the claim's own mark. Only the entry
//     that made the mark dispatches, and only it takes the claim back; without
//     the writer's answer it settles the claim through the store itself.
//   - A key that an entry issued (Claimer.Issue) is granted by that incarnation
//     of that entry alone, from memory. Others ask it. That needs no store, so
//     these calls go through an outage. If the issuer is gone, the key is never
//     granted again: what is on record is told, else "unknown".
//   - A claim on record is never taken over, whatever its age. Running turns to
//     Unknown after MaxRunTime, which only changes what is said.
//   - A claim that may be on record though its caller was refused is released by
//     a write that makes any late one fail. If another entry may still write it,
//     the shard remembers for a time that its mark is withdrawn.
//   - "Not run" is said only where the shard was read after the call came in and
//     had no record of the key, or by word of the caller that nothing was sent
//     before. This takes reads of the object API to be current.
//   - A record is dropped after Retention by the writers' wall clocks, and only
//     when its shard needs the room. A shard without room refuses new claims.
//     Nobody may delete a shard object by hand: its keys could run again.
//   - A call without a key needs no claim: its sends can't be told from one
//     another, so the entry only never dispatches one of them twice itself.
//
// Lock order: group.mu and issuer.mu are never held together, nor across a call
// of the store or of a peer.
package claim
