package node

import (
	"net"
	"net/http"
	"sync"
)

// spareConns are the connections of an HTTP server that no request has come on.
//
// http.Server.Shutdown waits five seconds for a first request on each of them. A
// caller's HTTP client keeps such a connection for later, so that one would stay
// open at a process that is ending, and be cut under a request that is sent to the
// next process on the same address.
type spareConns struct {
	mu     sync.Mutex // guards all below
	conns  map[net.Conn]struct{}
	closed bool
}

// watchSpare notes the spare connections of a server that doesn't serve yet.
func watchSpare(srv *http.Server) *spareConns {
	s := &spareConns{conns: map[net.Conn]struct{}{}}
	next := srv.ConnState
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		s.note(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
	return s
}

func (s *spareConns) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(s.conns, conn)
	case s.closed:
		_ = conn.Close() // accepted while the listener was closed
	default:
		s.conns[conn] = struct{}{}
	}
}

// close closes all of them, and those that are still accepted.
func (s *spareConns) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close() // nothing was sent on it
	}
}
