package gatewaynode

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/internal/graceful"
	"github.com/briarturn/briarturn/internal/sleep"
)

// Times of the shutdown, counted from the termination signal unless stated otherwise. The
// platform kills the process when the grace period ends.
const (
	// refuseLateAfter is the time after which requests are refused that might not end within
	// the grace period. By then the load balancer has found two readiness checks failed, so that
	// their callers reach another entry; sooner they might come back to this one.
	refuseLateAfter = 2500 * time.Millisecond
	// minServeTime is the shortest time for which the node continues to serve open
	// connections: the load balancer checks readiness once a second and needs two failed
	// checks, and a connection may be in transit. With a short grace period, new ones are
	// refused earlier.
	minServeTime = 3500 * time.Millisecond
	// refuseAllBefore and exitBefore are counted back from the end of the grace period.
	// Between them, callers that are still connected have time to receive a refusal.
	refuseAllBefore = 1500 * time.Millisecond
	exitBefore      = 300 * time.Millisecond
	// answerBefore is counted back from the end, too. Requests whose response has not begun by
	// then are answered, and callers have time to receive it.
	answerBefore = exitBefore + 200*time.Millisecond
	// refusalTime is the time that they have for this if the grace period is so short that
	// minServeTime would end later.
	refusalTime = 100 * time.Millisecond
	// idleBeforeExit is the time without active requests after which the node shuts down
	// before the grace period ends.
	idleBeforeExit    = 300 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// DrainAndWait reports the node as not ready to the load balancer, continues to serve
// requests until none is active or every new request is refused, and then closes the
// connections as they become idle, until shortly before the grace period ends. It accepts
// no connection that couldn't get a response by then.
func (n *Node) DrainAndWait(ctx context.Context) error {
	begun := time.Now()
	n.gateway.BeginShutdown(begun.Add(n.cfg.Grace - answerBefore))
	end := begun.Add(n.cfg.Grace - exitBefore)
	stopAccepting := time.AfterFunc(time.Until(end)-graceful.AnswerTime, n.callers.StopAccepting)
	defer stopAccepting.Stop()
	n.waitUntilDrained(ctx, begun)
	ending, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	return n.callers.Shutdown(ending)
}

// waitUntilDrained returns when the load balancer has had time to remove the node and either
// no request is active or every new request is refused, or when ctx ends.
func (n *Node) waitUntilDrained(ctx context.Context, begun time.Time) {
	leave := min(minServeTime, n.cfg.Grace-exitBefore-refusalTime)
	var idleSince time.Time
	for sleep.For(ctx, drainPollInterval) {
		passed := time.Since(begun)
		refusing := n.refuseLateRequests(passed)
		if refusing && passed >= leave {
			return
		}
		if n.gateway.ActiveRequests() > 0 {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if passed >= leave && time.Since(idleSince) >= idleBeforeExit {
			return
		}
	}
}

// refuseLateRequests refuses new requests that might not end within the grace period, and
// reports whether it refuses all of them.
func (n *Node) refuseLateRequests(passed time.Duration) bool {
	if passed >= n.cfg.Grace-refuseAllBefore {
		n.gateway.RefuseAll()
		return true
	}
	if passed >= refuseLateAfter {
		n.gateway.RefuseLate()
	}
	return false
}

// Close stops the servers, the watches and the exchange with peers.
func (n *Node) Close() {
	n.stop()
	// These close open connections immediately.
	_ = n.callers.Close()
	_ = n.ready.Close()
	_ = n.admin.Close()
	if err := n.exchange.Close(); err != nil {
		n.cfg.Log.WithError(err).Warn("failed to close the exchange with peers")
	}
}
