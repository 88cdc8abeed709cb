package gatewaynode

import (
	"context"
	"time"

	"github.com/juju/errors"

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
	// refuseBefore and exitBefore are counted from the end of the grace.
	refuseBefore = 1500 * time.Millisecond
	exitBefore   = 300 * time.Millisecond
	// quietTime is how long nothing must run before the node ends early.
	quietTime = 300 * time.Millisecond
	pollEnd   = 50 * time.Millisecond
	// leastTelling is how long callers are told at the end of the grace, whatever
	// still runs: they close their connections as soon as they hear of it.
	leastTelling = 100 * time.Millisecond
)

// DrainAndWait takes the node out of the balancer, goes on serving what callers
// send on open connections until nothing runs or the grace ends, and then tells those
// that are still connected.
func (n *Node) DrainAndWait(ctx context.Context) error {
	begun := time.Now()
	left := n.serveOn(ctx, begun)
	telling, cancel := context.WithDeadline(context.Background(), begun.Add(n.cfg.Grace-exitBefore+leastTelling))
	defer cancel()
	if err := n.callers.Shutdown(telling); left == nil {
		return err
	}
	return left
}

// serveOn returns when nothing runs any more; if ctx or the grace ends first, it
// returns what is cut.
func (n *Node) serveOn(ctx context.Context, begun time.Time) error {
	n.gateway.Leave()
	var quietSince time.Time
	for sleep.For(ctx, pollEnd) {
		passed := time.Since(begun)
		if passed >= n.cfg.Grace-exitBefore {
			return n.cut()
		}
		n.advance(passed)
		if n.gateway.Running() > 0 {
			quietSince = time.Time{}
			continue
		}
		if quietSince.IsZero() {
			quietSince = time.Now()
		}
		if passed >= leaveAfter && time.Since(quietSince) >= quietTime {
			return nil
		}
	}
	return n.cut()
}

func (n *Node) advance(passed time.Duration) {
	if passed >= refuseStreamsAfter {
		n.gateway.RefuseStreams()
	}
	if passed >= n.cfg.Grace-refuseBefore {
		n.gateway.RefuseAll()
	}
}

func (n *Node) cut() error {
	left := n.gateway.Running()
	if left == 0 {
		return nil
	}
	return errors.Errorf("step drain: %d requests still ran at the end of the grace", left)
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
