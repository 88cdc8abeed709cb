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
	// acceptQuiet is how long no connection must come before the listener is closed:
	// those that wait in its queue would be reset.
	acceptQuiet = 20 * time.Millisecond
	// acceptLimit bounds that where connections keep coming.
	acceptLimit = 200 * time.Millisecond
	// firstWait is how long after it was opened a connection waits for its first
	// request: one that is opened for a request has it by then, others are to spare.
	firstWait = 500 * time.Millisecond
	// closeLimit is how long a caller that was notified may take to close its side.
	closeLimit = time.Second
)

// Config sets up a Server.
type Config struct {
	HTTP *http.Server // doesn't serve yet; its ConnState is called as before
	// Refuse writes the answer to a request that came too late. It promises that the
	// request has not run. Without it connections are closed without a word.
	Refuse func(http.ResponseWriter)
	Log    logrus.FieldLogger
}

// Server is an http.Server that ends without losing a request. A connection on which
// no whole head comes in the http.Server's time is notified so too, by a 408.
type Server struct {
	http    *http.Server
	refusal []byte // as it goes over a connection
	tooLate []byte // to a request whose head isn't whole in time
	log     logrus.FieldLogger
	waits   waits

	mu          sync.Mutex // guards all below; taken before conn.mu
	listener    deadlineListener
	conns       map[*conn]struct{}
	ending      bool
	acceptUntil time.Time     // from the moment on at which no connection was left
	empty       chan struct{} // closed when ending, not listening, and without connections
	listening   bool
	ended       ended
}

// waits are how long callers are waited for: see firstWait and closeLimit.
type waits struct{ first, close time.Duration }

// ended counts what became of the connections when the server ended.
type ended struct {
	notified int // got the refusal
	crossed  int // of these, sent a request that the refusal answered
	open     int // of these, were not closed by the caller in time
	cut      int // were closed with a request being handled
}

// deadlineListener is a listener that can stop accepting at a moment.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// New returns a Server. It takes the http.Server over.
func New(cfg Config) *Server {
	s := &Server{
		http:  cfg.HTTP,
		log:   cfg.Log,
		waits: waits{first: firstWait, close: closeLimit},
		conns: map[*conn]struct{}{},
		empty: make(chan struct{}),
	}
	if cfg.Refuse != nil {
		s.refusal = rendered(cfg.Refuse)
		s.tooLate = rendered(func(w http.ResponseWriter) { w.WriteHeader(http.StatusRequestTimeout) })
	}
	next := cfg.HTTP.ConnState
	cfg.HTTP.ConnState = func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok {
			c.note(state)
		}
		if next != nil {
			next(raw, state)
		}
	}
	return s
}

// Serve serves a listener until Shutdown or Close, and closes it. It returns nil if one
// of these ended it. Call it once.
func (s *Server) Serve(lis net.Listener) error {
	stoppable, ok := lis.(deadlineListener)
	if !ok {
		_ = lis.Close() // nothing was accepted on it
		return errors.NotSupportedf("step serve, address %s: a listener without deadlines", lis.Addr())
	}
	if !s.listen(stoppable) {
		return errors.Trace(lis.Close())
	}
	err := s.http.Serve(accepting{lis, s})
	_ = lis.Close() // closed already where serving ended on purpose
	if s.stopListening() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// listen notes the listener for Shutdown. It fails when the server has ended.
func (s *Server) listen(lis deadlineListener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return false
	}
	s.listener = lis
	s.listening = true
	return true
}

// stopListening notes that no connection comes any more, and reports whether the
// server is ending.
func (s *Server) stopListening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening = false
	s.noteEmpty()
	return s.ending
}

// Shutdown notifies every connection, once its request is answered, those too that
// come while others are left. It returns when all are closed; if ctx ends first it cuts
// what is left, and returns ctx's error if requests were being handled there.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.end() {
		c.end()
	}
	var err error
	select {
	case <-s.empty:
	case <-ctx.Done():
		if cut := s.countCut(); cut > 0 {
			err = errors.Annotatef(ctx.Err(), "step end server, %d connections cut", cut)
		}
	}
	_ = s.http.Close() // of what is left, if anything
	s.report()
	return err
}

// end begins the end and returns the open connections.
func (s *Server) end() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return nil
	}
	s.ending = true
	s.noteEmpty()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// awaitQuiet has the listener closed when no connection comes for a while. s.mu is
// held.
func (s *Server) awaitQuiet() {
	if s.acceptUntil.IsZero() {
		s.acceptUntil = time.Now().Add(acceptLimit)
	}
	at := time.Now().Add(acceptQuiet)
	if at.After(s.acceptUntil) {
		at = s.acceptUntil
	}
	_ = s.listener.SetDeadline(at) // fails on a closed listener, which accepts nothing
}

// noteEmpty ends a server that is ending when no connection is left: first the
// listener, then the wait of Shutdown. s.mu is held.
func (s *Server) noteEmpty() {
	if !s.ending || len(s.conns) > 0 {
		return
	}
	if s.listening {
		s.awaitQuiet()
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Close cuts every connection at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.ending = true
	s.noteEmpty()
	s.mu.Unlock()
	return errors.Trace(s.http.Close())
}

// countCut counts the connections on which a request is being handled.
func (s *Server) countCut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isCut() {
			s.ended.cut++
		}
	}
	return s.ended.cut
}

// report logs what became of the connections, if there were any.
func (s *Server) report() {
	s.mu.Lock()
	e := s.ended
	s.mu.Unlock()
	if e == (ended{}) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"notified": e.notified, "crossed": e.crossed, "left_open": e.open, "cut": e.cut,
	}).Info("connections ended")
}

// add wraps a connection that was accepted.
func (s *Server) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &conn{Conn: raw, server: s, opened: time.Now(), ending: s.ending}
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.noteEmpty()
}

func (s *Server) count(add ended) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended.notified += add.notified
	s.ended.crossed += add.crossed
	s.ended.open += add.open
}

func (s *Server) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// accepting hands the connections of a listener to the http.Server, wrapped.
type accepting struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (a accepting) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		if a.server.isEnding() {
			// A deadline that has passed would be taken for a passing fault.
			return nil, net.ErrClosed
		}
		return nil, err
	}
	return a.server.add(raw), nil
}
