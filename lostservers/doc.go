// Package lostservers decides which backend servers get no requests because evidence says that
// they don't serve: an address that refuses connections, connections that end before a response,
// or silence. Entries exchange their evidence, so that each doesn't find a lost server by failed
// attempts of its own.
//
// A refused connection counts wherever it was seen, because the server's VM has answered. Silence
// and resets may be one cut link, so for other entries they count from two sources that share no link.
// What this entry receives from a server itself outweighs older evidence of others. Evidence belongs to
// an instance and its start, not to an address, which another server may have by now.
//
// The package does no I/O; time is an argument, on a clock that includes suspensions.
package lostservers
