// Package warmup bounds what an entry sends to backend servers that warm up. Operators
// declare how many requests a second a cold server bears, from all entries together;
// well above that it crashes.
//
// No message passes between entries for it. Each knows the names of all entries, and
// takes of a server's allowance the part that follows from them: an equal whole number of
// sends in any second, and of what is left over one more for those entries that rank
// first for that server. Entries that know the same names add up to the allowance.
//
// Rules kept here: an entry that doesn't know the others yet sends nothing to a cold
// server; a name counts for a while after it is gone, since its last sends do; a process
// sends nothing in the first moments of its life, in which an earlier life of it may have.
package warmup
