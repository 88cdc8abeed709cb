package gatewaynode

import (
	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/workspace"
)

// newRoomQueue returns the queue of requests that wait for room, or nil if no service has one.
func (n *Node) newRoomQueue() *gateway.RoomQueue {
	if queue := n.cfg.Options.Features.Queue; queue == "" || queue == routetable.SwitchOff {
		return nil
	}
	return gateway.NewRoomQueue(func() workspace.Turns {
		turns := workspace.NewScheduler(workspace.Options{Metrics: n.cfg.Metrics})
		n.turns.Store(turns)
		turns.SetEntries(int(n.entries.Load()))
		return turns
	})
}

// setEntries sets the number of entries whose requests share the servers.
func (n *Node) setEntries(count int) {
	n.entries.Store(int64(count))
	if turns := n.turns.Load(); turns != nil {
		turns.SetEntries(count)
	}
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
