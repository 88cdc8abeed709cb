// Package serverlimit keeps the request rates that backend servers in need have named: how
// many requests per second a server takes from all entries together.
//
// A rate is named in the responses of a server, for as long as it applies, so that one entry
// learns it first. Entries exchange observations; each carries its age, because entries share
// no clock, and the newest one wins.
//
// Invariants: an observation never replaces a newer one; the end of a rate is kept as an
// observation for a while, because older reports of the rate may still arrive; a rate that no
// entry has observed for TTL has ended, so that a server isn't avoided forever.
package serverlimit
