package gatewaynode

import (
	"strings"
	"testing"
	"time"

	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/routetable"
)

// Guards against callers whose keys are refused by an entry that the load balancer still sends them to:
// it takes an entry out two seconds after the entry isn't ready any more.
func TestNodeLeavesTheBalancerBeforeItRefusesKeys(t *testing.T) {
	var now boottime.Instant
	n := &Node{routes: routetable.NewHolder(func() boottime.Instant { return now })}
	n.routes.Offer(routetable.New(routetable.Config{Revision: 1}), now)
	const checks = 2 * time.Second
	for age, ready := range map[time.Duration]bool{
		gateway.DefaultKeyAge - checks - time.Millisecond: true,
		gateway.DefaultKeyAge - checks:                    false,
	} {
		now = boottime.Instant(age)
		stale := strings.Contains(n.Ready().Error(), "proved current") // no servers are listed either
		if stale == ready {
			t.Errorf("configuration proved current %v ago: counts as stale %v", age, stale)
		}
	}
}
