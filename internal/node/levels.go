package node

import (
	"time"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/slo"
)

// promisesOf returns the declared service levels as requests are judged by them.
func promisesOf(state *declared.State) []slo.LatencyTarget {
	var out []slo.LatencyTarget
	for name, level := range state.ServiceLevels() {
		class, ok := declared.ParseLengthClass(level.Class)
		if !ok {
			continue
		}
		out = append(out, slo.LatencyTarget{
			Name:       name,
			Workspace:  level.Workspace,
			Class:      class,
			TTFT:       time.Duration(level.TTFT),
			InterToken: time.Duration(level.InterToken),
		})
	}
	return out
}

// observe counts a request under the declared service levels.
func (n *Entry) observe(o slo.Observation) {
	if promises := n.promises.Load(); promises != nil {
		n.slo.Observe(*promises, o, time.Now())
	}
}

// Snapshot implements admin.SLOProvider.
func (n *Entry) Snapshot(now time.Time) slo.Snapshot { return n.slo.Snapshot(n.cfg.Name, now) }
