// Package entry implements the caller-facing role: it reads HTTP requests, admits
// and queues them, chooses backend servers, runs attempts on the agents of those
// servers, and returns to each caller its complete answer exactly once.
//
// Rules:
//
//   - An entry holds soft state only. The loss of an entry loses its requests in
//     progress and nothing else.
//   - A request has run only if its last body part was sent to an agent that had
//     admitted it. A request that failed earlier has certainly not run.
//   - The deadline ends a request in every state, and a caller's disconnect
//     cancels it. Both release the scheduler ticket, the dispatch counts in the
//     server table and the memory holds.
//   - A failure is returned immediately, as either not_run or outcome_unknown.
//
// README.md describes each file.
package entry
