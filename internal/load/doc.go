// Package load sends open-loop, seeded load to an entry, or directly to an
// engine, and reports what came of it.
//
// Rules:
//   - Arrivals follow a Poisson process drawn from the seed alone. They don't
//     wait for answers, so a slow server can't slow its own load down.
//   - Latency counts from the intended send time. A generator that falls
//     behind shows in Report.SendLag and in every latency.
//   - Runs of one seed, mix and rate send the same requests in the same order,
//     so two policies can be compared request by request (Compare).
//   - Each prompt is unique to its run and request, so no prefix cache and no
//     idempotency record of an earlier run can answer it.
//   - Each arrival is counted under exactly one Outcome.
//   - Memory: a request in flight holds its connection's buffers, its answer
//     and its token gaps, never its prompt; a finished one leaves 16 bytes.
package load
