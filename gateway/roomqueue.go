package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/workspace"
)

// maxPeerRoomDelay is the longest time after which room that another entry's attempt has freed is
// looked for. That entry takes it first if requests wait there; the others look at random times,
// so that few of them take the same slot: they learn of each other's placements within
// milliseconds.
const maxPeerRoomDelay = 100 * time.Millisecond

// RoomQueue holds the requests of this entry that wait for room on the servers, and gives them
// turns when some may have come free. It is safe for concurrent use; mu guards due and is a leaf
// lock.
type RoomQueue struct {
	queue   func() workspace.Turns // creates the queue with the first request; most deployments have none
	pending atomic.Int64           // requests that wait or have the turn

	mu  sync.Mutex
	due map[string]bool // pools whose turns are given within maxPeerRoomDelay
}

// NewRoomQueue returns a RoomQueue that keeps its order in the queue that the given function
// returns. It is called once, for the first request.
func NewRoomQueue(newQueue func() workspace.Turns) *RoomQueue {
	return &RoomQueue{queue: sync.OnceValue(newQueue)}
}

// awaitTurn waits for the turn of an item. End the turn with leave, also after it has started.
func (r *RoomQueue) awaitTurn(ctx context.Context, item workspace.Item) (workspace.Turn, *request.Failure) {
	r.pending.Add(1)
	turn, failure := r.queue().AwaitTurn(ctx, item)
	if failure != nil {
		r.pending.Add(-1)
	}
	return turn, failure
}

func (r *RoomQueue) leave(turn workspace.Turn) {
	turn.Leave()
	r.pending.Add(-1)
}

// Pending reports whether requests wait. AttemptEnded has no effect otherwise.
func (r *RoomQueue) Pending() bool { return r.pending.Load() > 0 }

// AttemptEnded gives the next turn of a pool's queues after an attempt there has ended: at once
// after one of this entry, which knows of the room first, and later after one of another entry.
func (r *RoomQueue) AttemptEnded(pool string, own bool) {
	if own {
		r.queue().RoomFreed(pool)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.due[pool] {
		return
	}
	if r.due == nil {
		r.due = map[string]bool{}
	}
	r.due[pool] = true
	time.AfterFunc(rand.N(maxPeerRoomDelay), func() { r.giveTurn(pool) })
}

func (r *RoomQueue) giveTurn(pool string) {
	r.mu.Lock()
	delete(r.due, pool)
	r.mu.Unlock()
	r.queue().RoomFreed(pool)
}

// RecordPeerStart charges the workspace of another entry's attempt.
func (r *RoomQueue) RecordPeerStart(pool string, a placement.Attempt) {
	tokens := a.PromptTokens()
	r.queue().RecordPeerStart(pool, classOf(tokens), a.Workspace, int64(tokens))
}
