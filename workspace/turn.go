package workspace

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/request"
)

// Turns is the queue of requests whose room is not a fixed window: whoever has the turn looks
// for room itself, for example by placing the request on servers that all entries share. At
// most one request of a pool and length class has the turn at a time, so that the order of
// the queue, and not chance, decides who gets the room that comes free. It is safe for
// concurrent use.
type Turns interface {
	// AwaitTurn queues the item and waits for its turn. A failure is always not_run. The
	// caller must end the turn in every case with Started, Wait or Leave.
	AwaitTurn(ctx context.Context, it Item) (Turn, *request.Failure)
	// RoomFreed gives the next turn of a pool's queues: an attempt of any entry has ended
	// there, or a server has become available.
	RoomFreed(pool string)
	// RecordPeerStart charges a workspace for a request that another entry has started, so
	// that shares hold over all entries. workspace is a placement.WorkspaceKey.
	RecordPeerStart(pool string, class request.Class, workspace uint32, tokens int64)
	// Waiting returns who waits now, in no particular order.
	Waiting() []Waiting
	// EstimatedWait returns how long a request that arrives now would wait for its turn; 0 if
	// nothing waits or the rate of starts isn't known yet.
	EstimatedWait(it Item) time.Duration
	// RetryAfter returns the delay after which a caller that is refused now for lack of room
	// may return. Each call assumes a caller: the delays are spread over the time that the
	// queue needs to serve them.
	RetryAfter(it Item) time.Duration
}

// Turn is the right of one request to look for room. After Started, Leave, or a failure of
// Wait, its methods do nothing, so that Leave can be deferred. Its methods are called by one
// goroutine.
type Turn interface {
	// Started ends the turn: the request has room. Release the ticket when it has ended.
	Started() Ticket
	// Wait ends the turn without room and waits for the next one, or for a failure, which is
	// always not_run. The request keeps its position, but has no turn before RoomFreed is
	// called or the given time has passed. Before that, one other request may look for room;
	// if it finds none either, the pool's queue of its class gives no turn.
	Wait(ctx context.Context, atMost time.Duration) *request.Failure
	// Leave ends the turn and removes the request from the queue.
	Leave()
}

// Waiting is what waits of one workspace in one queue.
type Waiting struct {
	Pool      string
	Class     request.Class
	Workspace string
	Requests  int
	Late      int           // of these, requests that can't be on time any more
	Oldest    time.Duration // how long the first of them has waited
}
