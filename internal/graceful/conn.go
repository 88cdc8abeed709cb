package graceful

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errNotified ends the http.Server's reading of a notified connection. It is a read
// error of the network, which the http.Server answers with nothing.
var errNotified = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection was notified that no request is read from it")}

// conn is a connection that can be notified between two requests.
type conn struct {
	net.Conn
	server *Server
	opened time.Time

	mu       sync.Mutex // guards all below
	reading  bool       // the http.Server waits for bytes
	begun    bool       // bytes have come
	active   bool       // a request has been read and its answer isn't written yet
	ending   bool       // to be notified before another request is read
	notified bool       // no request is read any more
	expired  bool       // notified since no whole head came in time

	refuse sync.Once
}

// note follows the http.Server: a request counts from its whole head on.
func (c *conn) note(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.active = true
	case http.StateIdle:
		c.active = false
	}
}

// Read implements net.Conn for the http.Server, which gets no bytes of a request that
// begins, or goes on before its head is whole, after the connection was notified.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		c.notify(0)
		return 0, errNotified
	}
	n, err := c.Conn.Read(p)
	if !c.endRead(n, err) {
		c.notify(n)
		return 0, errNotified
	}
	return n, err
}

func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && !c.active && !c.awaitsFirst() {
		c.notified = true
	}
	c.reading = !c.notified
	return c.reading
}

// endRead reports whether the http.Server may go on. Where its time limit for a
// request's head has passed, a request may be on its way as it may at the end.
func (c *conn) endRead(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.begun = c.begun || n > 0
	switch {
	case c.notified || c.active:
	case c.ending:
		c.notified = true
	case isTimeout(err):
		c.notified, c.expired = true, true
	}
	return !c.notified
}

// end has the connection notified: now, when its request is answered, or when its first
// request has come.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.active || !c.reading || c.awaitsFirst() {
		return
	}
	c.notified = true
	// Wakes the Read, which notifies; it waits for c.mu, so that this deadline doesn't
	// outlast that.
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection, whose Read ends too
}

// awaitsFirst reports whether the connection is so new that its first request is given
// time to come, and sets that time. An HTTP client that opens a connection for a request
// fails it when an answer is there before. c.mu is held.
func (c *conn) awaitsFirst() bool {
	until := c.opened.Add(c.server.waits.first)
	if c.begun || !time.Now().Before(until) {
		return false
	}
	_ = c.SetReadDeadline(until) // fails on a closed connection, whose Read ends too
	return true
}

// isCut reports whether closing the connection now cuts a request.
func (c *conn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active && !c.notified
}

// notify refuses whatever request is on its way, once.
func (c *conn) notify(unread int) { c.refuse.Do(func() { c.refuseAndAwait(unread) }) }

// refuseAndAwait sends the refusal and reads the connection until the caller closes
// it: closing with bytes unread would reset it under the refusal.
func (c *conn) refuseAndAwait(unread int) {
	_ = c.SetDeadline(time.Now().Add(c.server.waits.close)) // fails as what follows does
	seen := ended{notified: 1}
	if err := c.sayRefusal(); err == nil {
		n, err := io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
		unread += int(n)
		if err != nil && isTimeout(err) {
			seen.open = 1
		}
	}
	if unread > 0 {
		seen.crossed = 1
	}
	if c.server.isEnding() {
		c.server.count(seen)
	}
}

// sayRefusal sends the refusal and closes the connection for writing. It fails where
// the caller has gone, who needs none.
func (c *conn) sayRefusal() error {
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
	if c.expired {
		return c.server.tooLate
	}
	return c.server.refusal
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}

func isTimeout(err error) bool {
	timeout, ok := errors.AsType[net.Error](err)
	return ok && timeout.Timeout()
}
