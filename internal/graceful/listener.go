package graceful

import (
	"cmp"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is the time that connections whose handshake has begun have to complete
	// it before the listener is closed. It is longer than a round trip between regions.
	handshakeTime = 100 * time.Millisecond
	// noInterface is the index of a network interface that doesn't exist.
	noInterface = math.MaxInt32
)

// stoppableListener is a listener that can be stopped without resetting connections: its
// socket can be controlled, and Accept can be given a deadline. *net.TCPListener is one.
type stoppableListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// StopAccepting refuses new connections as if nothing listened on the address, accepts
// those whose handshake has begun, and closes the listener. It doesn't wait for this. Open
// connections are served as before.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAccepting()
}

// stopAccepting is StopAccepting with s.mu held.
func (s *Server) stopAccepting() {
	if s.stopping {
		return
	}
	s.stopping = true
	if !s.listening {
		return
	}
	if err := refuseHandshakes(s.listener); err != nil {
		s.log.WithError(err).Warn("connections that are opened while the listener closes may be reset")
	}
	_ = s.listener.SetDeadline(time.Now().Add(handshakeTime)) // fails only on a closed listener, which accepts nothing
}

// refuseHandshakes makes the kernel refuse new connections to the listener as if it were
// closed, while handshakes that have begun still end in its queue. It binds the listener to
// a network interface that doesn't exist, so that no packet that opens a connection is for
// it. Linux allows this from version 5.7 without privileges, unless the listener is bound to
// an interface already.
func refuseHandshakes(lis syscall.Conn) error {
	const step = "step refuse new connections"
	raw, err := lis.SyscallConn()
	if err != nil {
		return errors.Annotate(err, step)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	return errors.Annotate(cmp.Or(err, setErr), step)
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// trackingListener wraps each accepted connection in a conn.
type trackingListener struct {
	stoppableListener
	server *Server
}

// Accept implements net.Listener. Once the server has stopped accepting, it returns the
// connections that are left in the queue, and then net.ErrClosed.
func (l trackingListener) Accept() (net.Conn, error) {
	raw, err := l.stoppableListener.Accept()
	if isTimeout(err) && l.server.isStopping() {
		// Accept doesn't read the queue once its deadline has passed.
		raw, err = acceptQueued(l)
	}
	if err != nil {
		return nil, err
	}
	return l.server.track(raw), nil
}

// acceptQueued returns the next connection in the listener's queue, without waiting for
// one. The error is net.ErrClosed if there is none: the http.Server would retry after a
// timeout.
func acceptQueued(lis syscall.Conn) (net.Conn, error) {
	raw, err := lis.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	var fd int
	var acceptErr error
	err = raw.Control(func(listener uintptr) { fd, acceptErr = acceptNow(int(listener)) })
	if err != nil || acceptErr != nil {
		return nil, net.ErrClosed
	}
	file := os.NewFile(uintptr(fd), "accepted connection")
	defer file.Close() // net.FileConn duplicates it
	return net.FileConn(file)
}

// acceptNow accepts a connection on a non-blocking socket.
func acceptNow(listener int) (fd int, err error) {
	for {
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		// A caller that has given up its connection leaves others in the queue.
		if err != unix.EINTR && err != unix.ECONNABORTED {
			return fd, err
		}
	}
}
