package gatewaynode

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/internal/sleep"
)

// The end of a process, from the signal on. The platform kills it after its grace.
const (
	// refuseStreamsAfter: a stream that begins later might not end in the grace;
	// those that begin before may run on to its last sixth.
	refuseStreamsAfter = 2500 * time.Millisecond
	// leaveAfter is the least time that the node goes on serving: the balancer
	// asks once a second and needs two refusals, and a connection may be on its
	// way.
	leaveAfter = 3500 * time.Millisecond
	// refuseBefore and exitBefore are counted from the end of the grace. Between them
	// callers that are still connected have time to hear of the end.
	refuseBefore = 1500 * time.Millisecond
	exitBefore   = 300 * time.Millisecond
	// noticeTime is what they have of it where the grace is so short that the node
	// leaves later than it begins to refuse.
	noticeTime = 100 * time.Millisecond
	// quietTime is how long nothing must run before the node ends early.
	quietTime = 300 * time.Millisecond
	pollEnd   = 50 * time.Millisecond
)

// DrainAndWait takes the node out of the balancer, goes on serving what callers
// send on open connections until nothing runs or every new request is refused, and
// then ends the connections as they become idle, until the grace ends.
func (n *Node) DrainAndWait(ctx context.Context) error {
	begun := time.Now()
	n.gateway.BeginShutdown()
	n.serveOn(ctx, begun)
	ending, cancel := context.WithDeadline(context.Background(), begun.Add(n.cfg.Grace-exitBefore))
	defer cancel()
	return n.callers.Shutdown(ending)
}

// serveOn returns when the balancer has heard and nothing runs any more or every new
// request is refused, or when ctx ends.
func (n *Node) serveOn(ctx context.Context, begun time.Time) {
	leave := min(leaveAfter, n.cfg.Grace-exitBefore-noticeTime)
	var quietSince time.Time
	for sleep.For(ctx, pollEnd) {
		passed := time.Since(begun)
		refusing := n.advance(passed)
		if refusing && passed >= leave {
			return
		}
		if n.gateway.ActiveRequests() > 0 {
			quietSince = time.Time{}
			continue
		}
		if quietSince.IsZero() {
			quietSince = time.Now()
		}
		if passed >= leave && time.Since(quietSince) >= quietTime {
			return
		}
	}
}

// advance refuses what begins too late to end in the grace, and reports whether that is
// every new request.
func (n *Node) advance(passed time.Duration) bool {
	if passed >= n.cfg.Grace-refuseBefore {
		n.gateway.RefuseAll()
		return true
	}
	if passed >= refuseStreamsAfter {
		n.gateway.RefuseStreams()
	}
	return false
}

// Close ends the servers and the watches.
func (n *Node) Close() {
	n.stop()
	// Both end at once; connections that are open are cut.
	_ = n.callers.Close()
	_ = n.ready.Close()
	_ = n.admin.Close()
	if err := n.exchange.Close(); err != nil {
		n.cfg.Log.WithError(err).Warn("exchange with peers did not end well")
	}
}
