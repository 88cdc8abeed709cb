package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

const (
	// responseTime is the time that the response to a connection's last request takes.
	responseTime = 100 * time.Millisecond
	// firstRequestTimeout is the time after its opening for which a connection waits for
	// its first request during shutdown. A connection that was opened for a request has
	// received it by then; other connections are spares of the client.
	firstRequestTimeout = 500 * time.Millisecond
	// peerCloseTimeout is the time that a caller has to close its side after the refusal.
	peerCloseTimeout = time.Second
	// AnswerTime is the time from StopAccepting until a request on each connection that was
	// accepted has got its response, unless the request itself takes longer.
	AnswerTime = handshakeTime + firstRequestTimeout + responseTime
)

// Config configures a Server.
type Config struct {
	HTTP *http.Server // must not be serving yet; its ConnState hook is still called
	// Refuse writes the response to a request that arrives too late. The response states
	// that the request has not run. If Refuse is nil, connections are closed without a
	// response.
	Refuse func(http.ResponseWriter)
	Log    logrus.FieldLogger
}

// Server is an http.Server that shuts down without losing a request. A connection on
// which no complete header arrives within the http.Server's timeouts is refused in the
// same way, with status 408.
type Server struct {
	http                *http.Server
	refusalResponse     []byte // encoded as sent on a connection
	headTimeoutResponse []byte // sent if a request's header isn't complete in time
	log                 logrus.FieldLogger
	timeouts            timeouts

	mu           sync.Mutex // guards the fields below; locked before conn.mu
	listener     stoppableListener
	conns        map[*conn]struct{}
	shuttingDown bool
	stopping     bool          // new connections are refused, and the listener is about to close
	drained      chan struct{} // closed once the server is shutting down, doesn't listen and has no connections
	listening    bool
	stats        connStats
}

// timeouts limit the waits for callers: see firstRequestTimeout and peerCloseTimeout.
type timeouts struct{ firstRequest, peerClose time.Duration }

// answer returns the longest time from StopAccepting to the response to the first request
// on the connection that is accepted last.
func (t timeouts) answer() time.Duration { return handshakeTime + t.firstRequest + responseTime }

// New returns a Server. It takes ownership of cfg.HTTP.
func New(cfg Config) *Server {
	s := &Server{
		http:     cfg.HTTP,
		log:      cfg.Log,
		timeouts: timeouts{firstRequest: firstRequestTimeout, peerClose: peerCloseTimeout},
		conns:    map[*conn]struct{}{},
		drained:  make(chan struct{}),
	}
	if cfg.Refuse != nil {
		s.refusalResponse = renderResponse(cfg.Refuse)
		s.headTimeoutResponse = renderResponse(func(w http.ResponseWriter) { w.WriteHeader(http.StatusRequestTimeout) })
	}
	next := cfg.HTTP.ConnState
	cfg.HTTP.ConnState = func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok {
			c.setState(state)
		}
		if next != nil {
			next(raw, state)
		}
	}
	return s
}

// Serve accepts connections on lis until StopAccepting, Shutdown or Close, and closes lis. It
// returns nil if one of them stopped it. It must be called only once.
func (s *Server) Serve(lis net.Listener) error {
	stoppable, ok := lis.(stoppableListener)
	if !ok {
		_ = lis.Close() // no connection was accepted
		return errors.NotSupportedf("step serve, address %s: listener without a socket or deadlines", lis.Addr())
	}
	if !s.setListener(stoppable) {
		return errors.Trace(lis.Close())
	}
	err := s.http.Serve(trackingListener{stoppable, s})
	_ = lis.Close() // already closed if Shutdown or Close stopped serving
	if s.clearListener() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// setListener stores the listener for Shutdown. It returns false if the server has stopped
// accepting.
func (s *Server) setListener(lis stoppableListener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.shuttingDown {
		return false
	}
	s.listener = lis
	s.listening = true
	return true
}

// clearListener records that no more connections are accepted, and reports whether this was
// requested.
func (s *Server) clearListener() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening = false
	s.checkDrained()
	s.log.WithFields(logrus.Fields{"open": len(s.conns), "shutting_down": s.shuttingDown}).Info("listener closed")
	return s.stopping || s.shuttingDown
}

// Shutdown refuses further requests on every connection once its active request is
// answered, and on connections that are accepted while others are still open. It returns
// when all connections are closed. If ctx ends first, it closes the remaining connections,
// and returns the error of ctx if requests were being handled on them. It stops accepting
// early enough before the deadline of ctx that each accepted connection gets a response.
func (s *Server) Shutdown(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline)-s.timeouts.answer(), s.StopAccepting)
		defer timer.Stop()
	}
	for _, c := range s.beginShutdown() {
		c.shutdown()
	}
	var err error
	select {
	case <-s.drained:
	case <-ctx.Done():
		if aborted := s.countUnfinished(); aborted > 0 {
			err = errors.Annotatef(ctx.Err(), "step shut down server, %d connections closed during a request", aborted)
		}
	}
	_ = s.http.Close() // closes the remaining connections
	s.logStats()
	return err
}

// beginShutdown marks the server as shutting down and returns the open connections. It
// returns nil if the server was already shutting down.
func (s *Server) beginShutdown() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown {
		return nil
	}
	s.shuttingDown = true
	s.checkDrained()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// checkDrained continues the shutdown once no connection is open: while the server
// listens, it stops accepting; afterwards it closes s.drained. s.mu is held.
func (s *Server) checkDrained() {
	if !s.shuttingDown || len(s.conns) > 0 {
		return
	}
	if s.listening {
		s.stopAccepting()
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Close closes the listener and every connection immediately.
func (s *Server) Close() error {
	s.mu.Lock()
	s.shuttingDown = true
	s.checkDrained()
	s.mu.Unlock()
	return errors.Trace(s.http.Close())
}

// track wraps and registers an accepted connection.
func (s *Server) track(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &conn{Conn: raw, server: s, opened: time.Now(), shuttingDown: s.shuttingDown}
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkDrained()
}

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}
