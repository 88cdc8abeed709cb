// Package allowance limits the requests that all entries together send to one backend server:
// to a server that is warming up, and to one that names a rate in its responses. Well above
// such a rate the server crashes or rejects requests.
//
// Each entry has the names of all entries and computes their shares of a server's allowance from
// them: an equal whole number of sends per window, plus one more for each of the entries that rank
// first for that server, up to the remainder. The shares of entries with the same names add up to
// the allowance.
//
// Callers are spread unevenly over the entries. So entries that receive each other's attempts as they
// begin share one pool, the sum of their shares, and each counts all sends against it. The
// share of an entry that is out of contact isn't in the pool: that entry may be using it.
//
// Invariants: an entry without the complete list of names sends nothing to such a server; the
// name of a removed entry still counts for a while, because its last sends may be in flight; a
// process sends nothing to such servers right after its start, because its predecessor of the
// same name may just have sent; a process that has not processed messages lately uses its own share only.
package allowance
