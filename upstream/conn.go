package upstream

import (
	"bufio"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/briarturn/briarturn/internal/serverconn"
)

const (
	// readBufferSize fits a response head and most events of a stream.
	readBufferSize = 4 << 10
	// unackedTimeout is how long a peer may leave data or probes unacknowledged
	// before the kernel closes the connection. A VM that lost power sends no reset,
	// and an exchange with it would otherwise hang until the request's own timeout.
	// Callers abandon a stream after a gap of two seconds, so this leaves time to
	// use another server.
	unackedTimeout = 1200 * time.Millisecond
	// keepAliveIdle is the time without traffic before the first keep-alive probe,
	// and keepAliveInterval is the time between probes. One second is the smallest
	// value that the kernel accepts.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// conn is one connection to a backend server. One exchange owns it at a time.
type conn struct {
	*serverconn.Conn
	tcp       *net.TCPConn   // nil if it is another kind of connection
	source    *boundedReader // of reader
	reader    *bufio.Reader
	idleSince time.Time     // when the connection entered the pool
	maxIdle   time.Duration // how long it may stay in the pool
}

func newConn(c net.Conn, address string) *conn {
	tcp, _ := c.(*net.TCPConn)
	if tcp != nil {
		setPeerTimeouts(tcp)
	}
	server := serverconn.New(c)
	source := &boundedReader{source: server, peer: address}
	return &conn{Conn: server, tcp: tcp, source: source, reader: bufio.NewReaderSize(source, readBufferSize)}
}

// setPeerTimeouts makes the kernel close a connection whose peer disappeared
// without closing it. Errors are ignored: the request's own timeout still applies.
func setPeerTimeouts(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	setUserTimeout(c, unackedTimeout)
}

// reusable reports whether an idle connection is open and has received no data.
// Data on an idle connection belongs to no request, and EOF means that the server
// closed it; in both cases no further request may be sent on it.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.tcp == nil || receiveBufferEmpty(c.tcp)
}

// receiveBufferEmpty reports whether the connection is open and has no data to
// read. It does not block and consumes nothing.
func receiveBufferEmpty(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
