package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
)

// errServerEnded means that a response which ends with its connection may be cut, because its server
// has ended, too.
const errServerEnded = errors.ConstError("response ended together with its server")

// listenerCloseTime is how long the listener of a server that ends may outlive its other
// connections. The kernel closes them one after the other.
const listenerCloseTime = 25 * time.Millisecond

// confirmEnd returns an error if the end of a response is no proof that the response is whole.
// Where neither a length nor chunks mark the end, the connection of a server that crashes ends
// in the same way. A server that leaves may end right after a whole response, so that it is asked
// only if another server can tell whether there is more: the request can be repeated.
func (e *exchange) confirmEnd(ctx context.Context, attempt *placedAttempt, r *upstream.Response, repeatable bool) error {
	if !r.EndsWithConnection || !repeatable && e.isLeaving(attempt.Server) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if e.gateway.cfg.Pool.ProbeFor(ctx, attempt.Server.Address, listenerCloseTime) == upstream.ProbeRefused {
		return errServerEnded
	}
	return nil
}

// isLeaving reports whether a server drains, or is no longer registered.
func (e *exchange) isLeaving(server placement.Candidate) bool {
	held, registered := e.gateway.cfg.Directory.Lookup(server.Instance)
	if !registered || held.Draining {
		return true
	}
	return e.gateway.cfg.Notices.View().Draining(servernotice.ServerOf(server.Instance, server.StartedUnixMs))
}
