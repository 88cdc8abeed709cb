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

// acceptRetryDelay is the pause after a failed accept. Without it a process
// that has run out of file descriptors would spin.
const acceptRetryDelay = 50 * time.Millisecond

// Services are what a Server offers. Either may be nil.
type Services struct {
	Agent wirepb.DRPCAgentServer
	Entry wirepb.DRPCEntryServer
}

// Server serves drpc connections and can stop without cutting off a stream.
type Server struct {
	opts Options
	mux  *drpcmux.Mux
	drpc *drpcserver.Server

	connections metrics.Counter // open now
	streams     metrics.Counter // open now
	accepted    metrics.Counter
	malformed   metrics.Counter // connections ended for bytes that are not drpc

	mu       sync.Mutex // guards the fields below
	conns    map[*serverConn]struct{}
	listener net.Listener
	stopping bool
	empty    chan struct{} // closed when stopping and conns is empty
}

// serverConn is one accepted connection. Its mutex is taken after Server.mu.
type serverConn struct {
	net.Conn
	mu     sync.Mutex // guards the fields below
	active int        // streams being handled: 0 or 1
	ending bool       // close when the active stream ends
}

// NewServer returns a server of the services.
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
		connections: metrics.GetOrRegisterCounter("wire.server.connections", opts.Metrics),
		streams:     metrics.GetOrRegisterCounter("wire.server.streams", opts.Metrics),
		accepted:    metrics.GetOrRegisterCounter("wire.server.accepted", opts.Metrics),
		malformed:   metrics.GetOrRegisterCounter("wire.server.malformed", opts.Metrics),
		conns:       map[*serverConn]struct{}{},
		empty:       make(chan struct{}),
	}
	manager := opts.manager()
	manager.InactivityTimeout = opts.IdleTimeout
	s.drpc = drpcserver.NewWithOptions(s, drpcserver.Options{Manager: manager})
	return s, nil
}

// Serve serves the listener until ctx ends, which cuts off every stream, or
// until Shutdown has let them end. It closes the listener.
func Serve(ctx context.Context, lis net.Listener, services Services, opts Options) error {
	s, err := NewServer(services, opts)
	if err != nil {
		return errors.Trace(err)
	}
	return s.Serve(ctx, lis)
}

// Serve is as the function Serve. Call it once.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	if !s.begin(lis) {
		lis.Close()
		return errors.Annotatef(ErrClosed, "step serve, listener %s", lis.Addr())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { lis.Close() })
	defer stop()

	var running sync.WaitGroup
	err := s.acceptAll(ctx, lis, &running)
	if err != nil {
		cancel()
	}
	running.Wait()
	return err
}

// begin notes the listener for Shutdown. It fails after Shutdown.
func (s *Server) begin(lis net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listener = lis
	return true
}

// acceptAll accepts connections until the listener is closed on purpose.
func (s *Server) acceptAll(ctx context.Context, lis net.Listener, running *sync.WaitGroup) error {
	for {
		conn, err := lis.Accept()
		if err == nil {
			s.accepted.Inc(1)
			running.Go(func() { s.serveConn(ctx, conn) })
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

// serveConn handles the streams of one connection, one after the other.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive())
	}
	conn := &serverConn{Conn: raw}
	if !s.add(conn) {
		raw.Close()
		return
	}
	defer s.remove(conn)
	ctx = drpcctx.WithTransport(ctx, conn)
	if err := s.drpc.ServeOne(ctx, conn); err != nil {
		if drpc.ProtocolError.Has(err) {
			s.malformed.Inc(1)
		}
		s.opts.Log.WithFields(logrus.Fields{"peer": raw.RemoteAddr().String()}).
			WithError(err).Trace("connection ended")
	}
}

func (s *Server) add(conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[conn] = struct{}{}
	s.connections.Inc(1)
	return true
}

func (s *Server) remove(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.connections.Dec(1)
	if s.stopping && len(s.conns) == 0 {
		close(s.empty)
	}
}

// HandleRPC implements drpc.Handler. It ends the stream itself, so that the
// connection can be closed behind the last byte of the answer when the server
// is stopping; drpc's own end of the stream then finds it ended.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	s.streams.Inc(1)
	defer s.streams.Dec(1)
	conn, _ := s.connOf(stream)
	if conn == nil {
		return s.mux.HandleRPC(stream, rpc)
	}
	if !conn.begin() {
		return errors.Annotatef(ErrClosed, "step begin stream, peer %s", conn.RemoteAddr())
	}
	err := s.mux.HandleRPC(stream, rpc)
	err = endStream(stream, err)
	conn.end()
	return err
}

// connOf finds the connection that a stream runs on.
func (s *Server) connOf(stream drpc.Stream) (*serverConn, bool) {
	tr, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return nil, false
	}
	conn, ok := tr.(*serverConn)
	return conn, ok
}

// endStream sends the handler's error, or the end of the answer.
func endStream(stream drpc.Stream, err error) error {
	if err == nil {
		return stream.CloseSend()
	}
	if sender, ok := stream.(interface{ SendError(error) error }); ok {
		return sender.SendError(err)
	}
	return err
}

// begin counts a stream in. It fails once the connection was closed for being idle: a
// call that had been read by then would run, and its answer go nowhere.
func (c *serverConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && c.active == 0 {
		return false
	}
	c.active++
	return true
}

func (c *serverConn) end() {
	c.mu.Lock()
	c.active--
	closing := c.ending
	c.mu.Unlock()
	if closing {
		c.Conn.Close()
	}
}

// finish closes the connection now if it is idle, else when its stream ends.
func (c *serverConn) finish() {
	c.mu.Lock()
	c.ending = true
	idle := c.active == 0
	c.mu.Unlock()
	if idle {
		c.Conn.Close()
	}
}

// Shutdown stops accepting, closes idle connections and waits until the running
// streams have ended or ctx ends. It doesn't cut them off: end the context of
// Serve for that.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, conn := range s.stopAccepting() {
		conn.finish()
	}
	select {
	case <-s.empty:
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
			close(s.empty)
		}
	}
	conns := make([]*serverConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	return conns
}
