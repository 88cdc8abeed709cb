package eligible

import "github.com/briarturn/briarturn/upstream"

// Cause says why no server is left.
type Cause uint8

// Causes.
const (
	None             Cause = iota // some server is left, or there was none to begin with
	OutOfRegion                   // none stands in a region that the request is allowed in
	ZoneEvacuated                 // all that are left stand in zones that operators have evacuated
	ColdLimitReached              // all that are left are cold and have their share of requests
)

// Condition is one condition on servers.
type Condition interface {
	// Cause is what is said where the stage leaves no server.
	Cause() Cause
	// Admits reports whether a server meets the condition.
	Admits(s upstream.Server) bool
}

// Filter returns the servers that all stages admit. Where none is left it names the
// stage after which that was so; servers may be overwritten.
func Filter(servers []upstream.Server, stages ...Condition) ([]upstream.Server, Cause) {
	for _, stage := range stages {
		if len(servers) == 0 {
			return nil, None
		}
		left := servers[:0]
		for _, s := range servers {
			if stage.Admits(s) {
				left = append(left, s)
			}
		}
		if servers = left; len(servers) == 0 {
			return nil, stage.Cause()
		}
	}
	return servers, None
}

// ByOperator reports whether operators have left the request no server: waiting a moment
// doesn't help.
func (c Cause) ByOperator() bool { return c == OutOfRegion || c == ZoneEvacuated }
