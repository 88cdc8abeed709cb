package eligible

import (
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/upstream"
)

// NotLost admits servers that evidence doesn't exclude. A condition whose Excluded has been chosen
// among the servers that met all others, as lostservers.Table does, always leaves some.
type NotLost struct {
	Excluded map[uint64]bool // by placement.ServerKey
}

// Cause implements Condition. It is never reported, because some server is left.
func (NotLost) Cause() Cause { return None }

// Admits implements Condition.
func (l NotLost) Admits(s upstream.Server) bool {
	return len(l.Excluded) == 0 || !l.Excluded[placement.ServerKey(s.Instance)]
}
