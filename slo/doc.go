// Package slo counts good and bad requests per workspace, length class and
// objective, merges the counts of all entries, and works out burn rates over
// several windows.
//
// Rules:
//   - Time is an argument. Nothing here reads a clock.
//   - A Snapshot merges with any other, in any order and grouping, to the same
//     result; merging never drops a count, so no tail is lost.
//   - A burn rate is the share of bad requests over a window, divided by the
//     share that the objective allows: at 1 the budget lasts exactly its
//     period, at 14.4 a 30-day budget lasts two days.
//   - An alarm needs both windows of an AlertRule: the long one says that it matters,
//     the short one that it still goes on.
//   - A request's own judgement (good or bad) is the caller's, who knows the
//     objective's threshold.
//
// Memory per (workspace, class, objective): for each window 31 cells of 8
// bytes, 992 bytes for the four default windows, and a sparse histogram of at
// most 2,560 buckets of 8 bytes, of which a class of requests fills some tens
// to a few hundreds. BenchmarkTrackerBytes measures it. Config.MaxSeries bounds
// the number of series; beyond it idle ones are dropped, then new ones are
// refused and counted.
//
// Lock order: Tracker.mu is the only lock.
package slo
