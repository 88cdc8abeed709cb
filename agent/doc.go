// Package agent implements the process that runs beside one backend server. All
// requests, holds and orders for that server pass through it.
//
// Rules:
//
//   - A Refuse guarantees that the request was not run: nothing was sent to the
//     engine. So does an End whose Began is false. In all other cases the
//     outcome is unknown.
//   - What a run holds (memory, concurrency, prefill share) is freed exactly
//     once on every exit path, also when the entry no longer reads.
//   - The agent enforces each deadline by its own monotonic clock; entries send
//     only the remaining time.
//   - An order under a fence lower than the highest seen for its lease is
//     refused, whether or not the engine checks fences.
//   - The descriptor follows the engine: the agent reads the engine's inventory
//     at its own start and after each restart of the engine, and applies
//     executed orders to it.
//   - A model or adapter that is to be replaced or unloaded accepts no new
//     requests; the order is sent to the engine when its last request has ended.
//   - Draining refuses new work at once and never cuts off running work.
//
// Lock order: Agent.mu, then the ledger's. Agent.orderSlot is acquired while neither is held.
package agent
