package graceful

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errRefused is returned by reads of a refused connection. It is a network read error,
// for which the http.Server closes the connection without writing a response.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no further request is read from this connection")}

// conn is a connection that can refuse further requests once it handles none.
type conn struct {
	net.Conn
	server *Server
	opened time.Time

	mu           sync.Mutex // guards the fields below
	reading      bool       // the http.Server is blocked in Read
	received     bool       // at least one byte was read
	active       bool       // a request is being handled: its header was read, its response isn't written yet
	shuttingDown bool       // refuse before the next request is read
	refused      bool       // no further request is read
	headTimedOut bool       // refused because no complete header arrived in time

	refusalOnce sync.Once
}

// setState records the state that the http.Server reports. A request is active once its
// complete header was read.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.active = true
	case http.StateIdle:
		c.active = false
	}
}

// Read implements net.Conn. Once the connection is refused, it returns no bytes of a
// request to the http.Server, also not the rest of an incomplete header.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		c.refuse(0)
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if !c.endRead(n, err) {
		c.refuse(n)
		return 0, errRefused
	}
	return n, err
}

func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shuttingDown && !c.active && !c.awaitsFirstRequest() {
		c.refused = true
	}
	c.reading = !c.refused
	return c.reading
}

// endRead reports whether the http.Server may continue with the connection. When its
// header or idle timeout has passed, a request may be in transit just as at shutdown, so
// that the connection is refused then too.
func (c *conn) endRead(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.received = c.received || n > 0
	switch {
	case c.refused || c.active:
	case c.shuttingDown:
		c.refused = true
	case isTimeout(err):
		c.refused, c.headTimedOut = true, true
	}
	return !c.refused
}

// shutdown makes the connection refuse further requests: immediately, after the response
// to its active request, or after its first request has arrived.
func (c *conn) shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	if c.active || !c.reading || c.awaitsFirstRequest() {
		return
	}
	c.refused = true
	// Unblocks Read, which sends the refusal. Read needs c.mu first, so that this deadline
	// is set before refuseAndDrain sets its own.
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose Read returns too
}

// awaitsFirstRequest reports whether the connection is still within the time allowed for
// its first request, and if so sets the read deadline to the end of that time. An HTTP
// client that opens a connection for a request fails the request if a response arrives
// before it is sent. c.mu is held.
func (c *conn) awaitsFirstRequest() bool {
	until := c.opened.Add(c.server.timeouts.firstRequest)
	if c.received || !time.Now().Before(until) {
		return false
	}
	_ = c.SetReadDeadline(until) // fails only on a closed connection, whose Read returns too
	return true
}

// connPhase says what closing a connection now would do to its caller.
type connPhase uint8

const (
	phaseReading  connPhase = iota // no request is handled, but one may be in transit
	phaseHandling                  // a request would be interrupted
	phaseRefused                   // nothing: the caller was sent the refusal
)

// phase returns the connection's phase, and whether it has received input.
func (c *conn) phase() (phase connPhase, received bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.refused:
		phase = phaseRefused
	case c.active:
		phase = phaseHandling
	}
	return phase, c.received
}

// refuse sends the refusal once; unread is the number of bytes read but not handled.
func (c *conn) refuse(unread int) { c.refusalOnce.Do(func() { c.refuseAndDrain(unread) }) }

// refuseAndDrain sends the refusal and discards input until the caller closes the
// connection. Closing it with unread bytes would reset it, and the caller could lose the
// refusal.
func (c *conn) refuseAndDrain(unread int) {
	_ = c.SetDeadline(time.Now().Add(c.server.timeouts.peerClose)) // if it fails, the write below fails too
	stats := connStats{refused: 1}
	if err := c.writeRefusal(); err == nil {
		n, err := io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
		unread += int(n)
		if err != nil && isTimeout(err) {
			stats.leftOpen = 1
		}
	}
	if unread > 0 {
		stats.crossing = 1
	}
	if c.server.isShuttingDown() {
		c.server.addStats(stats)
	}
}

// writeRefusal sends the refusal and closes the connection for writing. An error means
// that the caller has disconnected and needs no refusal.
func (c *conn) writeRefusal() error {
	if _, err := c.Write(c.refusal()); err != nil {
		return err
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

func (c *conn) refusal() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headTimedOut {
		return c.server.headTimeoutResponse
	}
	return c.server.refusalResponse
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.server.untrack(c)
	return err
}

func isTimeout(err error) bool {
	timeout, ok := errors.AsType[net.Error](err)
	return ok && timeout.Timeout()
}
