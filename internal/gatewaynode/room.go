package gatewaynode

import (
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/workspace"
)

// newTurns returns the queue of requests that wait for room, or nil if no service can have one.
func newTurns(features routetable.Features, registry metrics.Registry) *workspace.Scheduler {
	if features.Queue == "" || features.Queue == routetable.SwitchOff {
		return nil
	}
	return workspace.NewScheduler(workspace.Options{Metrics: registry})
}

// newRoomQueue returns the gateway's view of the queue; nil without one.
func newRoomQueue(turns *workspace.Scheduler) *gateway.RoomQueue {
	if turns == nil {
		return nil
	}
	return gateway.NewRoomQueue(turns)
}

// attemptEnded gives the room of an ended attempt to a request that waits.
func (n *Node) attemptEnded(a placement.Attempt) {
	if n.room == nil || !n.room.Pending() {
		return
	}
	if pool, ok := n.engines.service(n.directory, a.Server); ok {
		n.room.AttemptEnded(pool, a.ID.Owner == n.incarnation)
	}
}

// chargePeerAttempt counts an attempt of another entry against the share of its workspace.
func (n *Node) chargePeerAttempt(a placement.Attempt) {
	if n.room == nil || a.Workspace == 0 {
		return
	}
	if pool, ok := n.engines.service(n.directory, a.Server); ok {
		n.room.RecordPeerStart(pool, a)
	}
}
