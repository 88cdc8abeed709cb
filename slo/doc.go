// Package slo counts good and bad requests per workspace, length class and objective, merges
// the counts of all entries, and computes burn rates over several windows.
//
// Rules:
//   - Time is an argument. The package doesn't read a clock.
//   - A Snapshot merges with any other, in any order and grouping, with the same result.
//     Merging never drops a count, so the tail of the latency distribution is kept.
//   - A burn rate is the share of bad requests over a window, divided by the share that the
//     objective allows: at 1 the error budget lasts exactly its period, at 14.4 a 30-day
//     budget lasts two days.
//   - An alert needs both windows of an AlertRule: the long one shows that the problem is
//     significant, the short one that it still continues.
//   - The caller decides whether a request is good or bad, because it has the objective's
//     threshold.
//
// Memory per (workspace, class, objective): for each window 31 cells of 8 bytes, 992 bytes for
// the four default windows, and a sparse histogram of at most 2,560 buckets of 8 bytes, of which
// the requests of a class fill some tens to a few hundred. BenchmarkTrackerBytes measures it.
// Config.MaxSeries bounds the number of series. At the limit, idle series are dropped first;
// requests that would still need a new series are not recorded but counted by Tracker.Uncounted.
//
// Lock order: Tracker.mu is the only lock.
package slo
