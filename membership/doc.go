// Package membership tracks which agents and entries are alive and distributes
// the load of backend servers among the entries of a region.
//
// A Reporter runs in each agent. It sends load samples to a few entries of its
// region, its homes. Homes are chosen by rendezvous hashing, so the choice needs
// no agreement and changes little when entries are added or removed. An Observer
// runs in each entry. It turns received samples into rows of the entry's table.
// It sends the least loaded servers, crash evidence and the liveness of entries
// to random peers of the region.
//
// Rules:
//   - An incarnation identifies one run of a process. Its value is the start time
//     in milliseconds. Messages with an older incarnation than the known one are
//     counted and dropped. Within an incarnation an agent's samples are ordered
//     by their sequence.
//   - An agent is suspect after three of its periods without a sample and dead
//     after thirty. A sample relayed by another entry counts as well.
//   - An entry is dead only if this entry and at least one other suspect it. An
//     entry that receives nothing at all marks nobody dead, since it is isolated
//     itself.
//   - Agents are notified only of configuration that concerns their pool. An
//     entry announces it and repeats the announcement until the agent reports
//     that version.
//   - An entry that starts, or received nothing for a while, pulls from each
//     other entry of its region once the servers that report there.
//   - Every entry relays a drain for a while, not only the homes.
//   - Membership doesn't use the platform's store.
//
// Reporter and Observer do no I/O and take time and randomness as arguments.
// They aren't safe for concurrent use. AgentRunner and EntryRunner guard them
// with one mutex each and connect them to wire.Datagrams.
package membership
