package graceful

import (
	"net"
	"time"
)

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
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
	return s.stopping || s.shuttingDown
}

// trackingListener wraps each accepted connection in a conn.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		if l.server.isStopping() {
			// The http.Server would retry after a timeout, which is a temporary error.
			return nil, net.ErrClosed
		}
		return nil, err
	}
	return l.server.track(raw), nil
}
