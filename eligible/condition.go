package eligible

import "github.com/briarturn/briarturn/upstream"

// Cause is the reason why no server is eligible.
type Cause uint8

// Causes.
const (
	None             Cause = iota // some server is eligible, or there were none to choose from
	OutOfRegion                   // no server is in a region that the request is allowed in
	ZoneEvacuated                 // all remaining servers are in evacuated zones
	ServersDraining               // all remaining servers have announced that they drain
	ServersBackOff                // all remaining servers want no requests from this entry for a time
	ColdLimitReached              // all remaining servers are cold and this entry's share of their requests is used up
	RateLimitReached              // all remaining servers name a rate and this entry's share of it is used up
)

// Condition is one condition on servers.
type Condition interface {
	// Cause is the reason to report if the condition excludes all remaining servers.
	Cause() Cause
	// Admits reports whether a server meets the condition.
	Admits(s upstream.Server) bool
}

// Filter returns the servers that meet all conditions. If a condition excludes the last ones, it
// returns that condition's cause; for an empty list it returns None. It overwrites the contents
// of servers.
func Filter(servers []upstream.Server, stages ...Condition) ([]upstream.Server, Cause) {
	for _, stage := range stages {
		if len(servers) == 0 {
			return nil, None
		}
		admitted := servers[:0]
		for _, s := range servers {
			if stage.Admits(s) {
				admitted = append(admitted, s)
			}
		}
		if servers = admitted; len(servers) == 0 {
			return nil, stage.Cause()
		}
	}
	return servers, None
}

// Lasts reports whether it ends with a word of operators or servers only, or at a time that is known, so
// that a request is refused at once and told when to come back.
func (c Cause) Lasts() bool { return c != None && c != ColdLimitReached }
