// Package node runs one role of the daemon: it joins the aggregates (entry,
// agent, declared, membership, claim, quarantine, slo) to their sockets and to
// the object API, starts them in order and ends them in the opposite one.
//
// Rules:
//   - A node owns every goroutine that it starts; Close waits for all of them.
//   - Readiness goes first on a drain, sockets go last.
//   - Nothing here decides; decisions are the aggregates'.
package node
