// Package claim lets a non-idempotent call run at most once, whichever entries
// its sends reach. Before an entry dispatches a call with an idempotency key, it
// claims the key. Only a fresh grant may be dispatched, once, and is then
// settled.
//
// Rules:
//
//   - A caller's own key is claimed in the object API. One of a fixed number of
//     shard objects holds it, and one conditional write carries many claims. Any
//     entry may write any shard; the write condition alone prevents two entries
//     from claiming one key. A shard has no owner and no lease, so there is
//     nothing to fail over.
//   - Claims of a shard are forwarded to one preferred writer, which gives larger
//     groups. It writes under the same condition and with the claim's own mark.
//     Only the entry that made the mark dispatches the call, and only that entry
//     releases the claim. Without the writer's response it settles the claim
//     through the store itself.
//   - A key that an entry issued (Claimer.Issue) is granted only by that
//     incarnation of that entry, from memory. Other entries ask it. This needs no
//     store, so these calls work during a store outage. If the issuer is gone,
//     the key is never granted again: the recorded outcome is returned, or
//     "unknown" if there is none.
//   - A recorded claim is never taken over, whatever its age. Running changes to
//     Unknown after MaxRunTime, which only changes what is reported.
//   - A claim that may be recorded although its caller was refused is released by
//     a write that makes any late write of it fail. If another entry may still
//     write it, the shard stores its mark as withdrawn for a time.
//   - "Not run" is reported only if the shard was read after the call came in and
//     had no record of the key, or if the caller states that it sent nothing
//     before. This requires that reads of the object API return current data.
//   - A record is dropped after Retention, by the writers' wall clocks, and only
//     when its shard needs the space. A shard without space refuses new claims.
//     Shard objects must not be deleted by hand: their keys could run again.
//   - A call without a key needs no claim: its sends can't be told from one
//     another, so the entry only ensures that it never dispatches one of them
//     twice itself.
//
// Lock order: group.mu and issuer.mu are never held together, and neither is
// held during a call to the store or to a peer.
package claim
