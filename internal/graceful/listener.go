package graceful

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deadlineListener is a listener whose Accept can be given a deadline, and whose queue can
// be read after it. *net.TCPListener is one.
type deadlineListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// StopAccepting closes the listener once the connections in its queue are accepted. Open
// connections are served as before.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAccepting()
}

// stopAccepting is StopAccepting with s.mu held.
func (s *Server) stopAccepting() {
	s.stopping = true
	if s.listening {
		s.extendAcceptDeadline()
	}
}

// extendAcceptDeadline sets the listener's deadline to acceptQuietPeriod from now, but at
// most to acceptDeadline. s.mu is held.
func (s *Server) extendAcceptDeadline() {
	if s.acceptDeadline.IsZero() {
		s.acceptDeadline = time.Now().Add(maxAcceptDrain)
	}
	at := time.Now().Add(acceptQuietPeriod)
	if at.After(s.acceptDeadline) {
		at = s.acceptDeadline
	}
	_ = s.listener.SetDeadline(at) // fails only on a closed listener, which accepts nothing
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// trackingListener wraps each accepted connection in a conn.
type trackingListener struct {
	deadlineListener
	server *Server
}

// Accept implements net.Listener. Once the server has stopped accepting, it returns the
// connections that are left in the queue, and then net.ErrClosed.
func (l trackingListener) Accept() (net.Conn, error) {
	raw, err := l.deadlineListener.Accept()
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
