// Package warmup limits the requests that an entry sends to backend servers that are warming
// up. Operators declare how many requests per second a cold server can take from all entries
// together; well above that rate it crashes.
//
// Entries exchange no messages about this limit. Each entry has the names of all entries and
// computes its share of a server's allowance from them: an equal whole number of sends per
// second, plus one more for each of the entries that rank first for that server, up to the
// remainder. The shares of entries with the same names add up to the allowance.
//
// Invariants: an entry without the complete list of names sends nothing to a cold server; the
// name of a removed entry still counts for a while, because its last sends may be in flight; a
// process sends nothing to cold servers right after its start, because its predecessor of the
// same name may just have sent.
package warmup
