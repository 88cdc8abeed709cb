package upstream

import (
	"bufio"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer fits an answer's head and most events of a stream.
	readBuffer = 4 << 10
	// silenceLimit is how long a peer may leave data or probes unacknowledged. A
	// VM that lost power answers nothing; an exchange with it would otherwise
	// hang until the request's own time limit. Callers give a stream up after a
	// gap of two seconds, so that this leaves time for another server.
	silenceLimit = 1200 * time.Millisecond
	// probeIdle and probeEvery pace the probes of a connection that is silent;
	// one second is the least that the kernel takes.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// conn is one connection to a backend server. One exchange owns it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	idle   time.Time     // since when it is in the pool
	keep   time.Duration // how long it may stay there
}

func newConn(c net.Conn) *conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		watchSilence(tcp)
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// watchSilence makes the kernel end a connection whose peer is gone without a
// word. A failure leaves the request's own time limit as the only bound.
func watchSilence(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount})
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
}

// quiet reports whether nothing has come on an idle connection. A byte there
// belongs to no request, and an end means that the server has closed it; either
// way the next request must not go out on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	return !ok || nothingToRead(tcp)
}

func nothingToRead(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
