package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// acceptRetryDelay is the delay after a failed accept. Without it, a process
// that has no file descriptors left would retry in a busy loop.
const acceptRetryDelay = 50 * time.Millisecond

// Services are the services of a Server. Either may be nil.
type Services struct {
	Agent wirepb.DRPCAgentServer
	Entry wirepb.DRPCEntryServer
}

// Server serves drpc connections. Shutdown stops it without interrupting
// streams.
type Server struct {
	opts Options
	mux  *drpcmux.Mux
	drpc *drpcserver.Server

	openConns   metrics.Counter // connections open now
	openStreams metrics.Counter // streams open now
	accepted    metrics.Counter
	malformed   metrics.Counter // connections closed because of a drpc protocol error

	mu       sync.Mutex // guards the fields below
	conns    map[*serverConn]struct{}
	listener net.Listener
	stopping bool
	drained  chan struct{} // closed when stopping and conns is empty
}

// serverConn is an accepted connection. Lock order: Server.mu before its mu.
type serverConn struct {
	net.Conn
	mu            sync.Mutex // guards the fields below
	activeStreams int        // streams being handled, 0 or 1
	draining      bool       // close the connection when no stream is active
}

// NewServer returns a Server of the given services.
func NewServer(services Services, opts Options) (*Server, error) {
	opts = opts.withDefaults()
	mux := drpcmux.New()
	if services.Agent != nil {
		if err := wirepb.DRPCRegisterAgent(mux, services.Agent); err != nil {
			return nil, errors.Annotate(err, "step register agent service")
		}
	}
	if services.Entry != nil {
		if err := wirepb.DRPCRegisterEntry(mux, services.Entry); err != nil {
			return nil, errors.Annotate(err, "step register entry service")
		}
	}
	s := &Server{
		opts:        opts,
		mux:         mux,
		openConns:   metrics.GetOrRegisterCounter("wire.server.connections", opts.Metrics),
		openStreams: metrics.GetOrRegisterCounter("wire.server.streams", opts.Metrics),
		accepted:    metrics.GetOrRegisterCounter("wire.server.accepted", opts.Metrics),
		malformed:   metrics.GetOrRegisterCounter("wire.server.malformed", opts.Metrics),
		conns:       map[*serverConn]struct{}{},
		drained:     make(chan struct{}),
	}
	manager := opts.managerOptions()
	manager.InactivityTimeout = opts.IdleTimeout
	s.drpc = drpcserver.NewWithOptions(s, drpcserver.Options{Manager: manager})
	return s, nil
}

// Serve accepts and serves connections until ctx is canceled, which aborts all
// streams, or until Shutdown was called and the streams have ended. It closes the
// listener.
func Serve(ctx context.Context, lis net.Listener, services Services, opts Options) error {
	s, err := NewServer(services, opts)
	if err != nil {
		return errors.Trace(err)
	}
	return s.Serve(ctx, lis)
}

// Serve does the same as the function Serve. It must be called only once.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	if !s.setListener(lis) {
		lis.Close()
		return errors.Annotatef(ErrClosed, "step serve, listener %s", lis.Addr())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { lis.Close() })
	defer stop()

	var conns sync.WaitGroup
	err := s.acceptLoop(ctx, lis, &conns)
	if err != nil {
		cancel()
	}
	conns.Wait()
	return err
}

// setListener stores the listener for Shutdown. It returns false if Shutdown was
// already called.
func (s *Server) setListener(lis net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listener = lis
	return true
}

// acceptLoop accepts connections until ctx is canceled or Shutdown is called. It
// returns an error if the listener was closed for another reason.
func (s *Server) acceptLoop(ctx context.Context, lis net.Listener, conns *sync.WaitGroup) error {
	for {
		conn, err := lis.Accept()
		if err == nil {
			s.accepted.Inc(1)
			conns.Go(func() { s.serveConn(ctx, conn) })
			continue
		}
		if ctx.Err() != nil || s.isStopping() {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Annotatef(err, "step accept, listener %s", lis.Addr())
		}
		s.opts.Log.WithError(err).Warn("accepting a connection failed")
		select {
		case <-time.After(acceptRetryDelay):
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// serveConn handles the streams of one connection sequentially.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAliveConfig())
	}
	conn := &serverConn{Conn: raw}
	if !s.addConn(conn) {
		raw.Close()
		return
	}
	defer s.removeConn(conn)
	ctx = drpcctx.WithTransport(ctx, conn)
	if err := s.drpc.ServeOne(ctx, conn); err != nil {
		if drpc.ProtocolError.Has(err) {
			s.malformed.Inc(1)
		}
		s.opts.Log.WithFields(logrus.Fields{"peer": raw.RemoteAddr().String()}).
			WithError(err).Trace("connection ended")
	}
}

func (s *Server) addConn(conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[conn] = struct{}{}
	s.openConns.Inc(1)
	return true
}

func (s *Server) removeConn(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.openConns.Dec(1)
	if s.stopping && len(s.conns) == 0 {
		close(s.drained)
	}
}

// HandleRPC implements drpc.Handler. It ends the stream itself, so that a
// stopping server can close the connection after the last byte of the response.
// When drpc then ends the stream, it is already ended.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	s.openStreams.Inc(1)
	defer s.openStreams.Dec(1)
	conn, _ := s.connOfStream(stream)
	if conn == nil {
		return s.mux.HandleRPC(stream, rpc)
	}
	if !conn.beginStream() {
		return errors.Annotatef(ErrClosed, "step begin stream, peer %s", conn.RemoteAddr())
	}
	err := s.mux.HandleRPC(stream, rpc)
	err = finishStream(stream, err)
	conn.endStream()
	return err
}

// connOfStream returns the connection of a stream.
func (s *Server) connOfStream(stream drpc.Stream) (*serverConn, bool) {
	tr, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return nil, false
	}
	conn, ok := tr.(*serverConn)
	return conn, ok
}

// finishStream sends the handler's error, or the end of the response if err is
// nil.
func finishStream(stream drpc.Stream, err error) error {
	if err == nil {
		return stream.CloseSend()
	}
	if sender, ok := stream.(interface{ SendError(error) error }); ok {
		return sender.SendError(err)
	}
	return err
}

// beginStream counts an active stream. It returns false if Shutdown has closed
// the connection as idle: a call that had already been read would otherwise run,
// although its response can't be delivered.
func (c *serverConn) beginStream() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && c.activeStreams == 0 {
		return false
	}
	c.activeStreams++
	return true
}

func (c *serverConn) endStream() {
	c.mu.Lock()
	c.activeStreams--
	closing := c.draining
	c.mu.Unlock()
	if closing {
		c.Conn.Close()
	}
}

// drain closes the connection immediately if it is idle, and otherwise when its
// stream ends.
func (c *serverConn) drain() {
	c.mu.Lock()
	c.draining = true
	idle := c.activeStreams == 0
	c.mu.Unlock()
	if idle {
		c.Conn.Close()
	}
}

// Shutdown stops accepting connections, closes idle ones and waits until the
// open streams have ended or ctx is done. It doesn't abort streams; cancel the
// context of Serve to do so.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, conn := range s.stopAccepting() {
		conn.drain()
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "step drain streams")
	}
}

// stopAccepting closes the listener and returns the open connections.
func (s *Server) stopAccepting() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		if s.listener != nil {
			s.listener.Close()
		}
		if len(s.conns) == 0 {
			close(s.drained)
		}
	}
	conns := make([]*serverConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	return conns
}
