// Package workspace enforces the workspaces' policies at one entry: rate and
// concurrency limits, weighted fair sharing, and the queue in which admitted
// requests wait for the dispatch window of their pool, or for their turn to look
// for room on servers that all entries share.
//
// Rules:
//   - Workspaces that wait for a pool share its tokens by weight (start-time fair
//     queueing). An idle workspace accumulates no credit, and a workspace that
//     sends too much delays only its own requests.
//   - Within a workspace, requests are ordered by arrival plus a multiple of the
//     expected duration, or by the latest start that still meets the deadline,
//     whichever is earlier. Both are fixed at arrival, so a request is overtaken
//     only by requests that arrive within a bounded time after it.
//   - No slot is left free while a request waits that the concurrency limit of
//     its workspace allows to start.
//   - A request that can't meet its deadline is refused as soon as this can be
//     determined. Every refusal is not_run: nothing was dispatched.
//   - Limits hold across all entries without a central counter: each entry
//     enforces its share (see Scheduler.SetEntries).
//
// In a queue by turns (Turns):
//   - Requests that can still be on time come before those that can't. One start of
//     lateStartInterval is a late request's while some wait.
//   - The workspace comes first for which all entries together have started the least
//     tokens lately, divided by its weight; within it the subject.
//   - Late requests, and those of a workspace far over its share, leave freed room to
//     other entries for 20 to 100 ms.
//   - While requests wait, one of them has the turn or will look for room again.
//
// Scheduler.mu is the only mutex. Of other packages, only metrics and invariants are called while it
// is held, so it comes last in any lock order.
package workspace
