// Package chaos runs the whole system under load while processes, engines, the
// store and the network fail, and checks what must hold throughout.
//
// Rules:
//   - Faults come in rounds of two kinds at a time. Each is brought about,
//     ended, and brought about again at once, so that the second meets a system
//     that still recovers from the first. Kinds, targets and times follow from
//     the seed; what they meet does not, since processes run in real time.
//   - The load is open-loop and never waits for the system. Every answer is
//     verified against its prompt; every outcome that a caller was told is held
//     against what the stand-ins ran.
//   - A check concerns an outcome, never how long something took, but for the
//     bounds that the system promises: a request's own time limit, and settleLimit
//     after the last fault.
//   - A violation is counted and kept in words; the run goes on.
package chaos
