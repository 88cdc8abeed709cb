// Package serverconn provides the connection of a client to a server, on which a connection that
// breaks is never taken for one that the server ended.
package serverconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Conn is a connection to a server. The kernel reports an error of a socket once: if a concurrent
// write gets it, the read sees a regular end (EOF). Read of a Conn returns the error in that case, too.
//
// Once Read has returned io.EOF, writes fail: no response can follow. Reads and writes may be
// concurrent; Read blocks no longer than that of the connection and a write that is told to return.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// New returns a Conn on a connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the server ended the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if broken := c.endWrites(); broken != nil {
		return n, broken
	}
	return n, io.EOF
}

// endWrites makes a write in progress return, and returns the error by which a write learned that
// the connection broke.
func (c *Conn) endWrites() error {
	past := time.Unix(1, 0)
	_ = c.SetWriteDeadline(past) // fails only on a closed connection, whose writes have ended
	c.mu.Lock()
	defer c.mu.Unlock()
	if isBreak(c.writeErr) {
		return c.writeErr
	}
	return nil
}

// isBreak reports whether the error of a write shows that the connection broke. EPIPE doesn't: the
// kernel reports it for a reset that follows the end of what the server sends.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE)
}
