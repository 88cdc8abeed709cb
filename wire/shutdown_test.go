package wire

import (
	"context"
	"net"
	"testing"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// pendingCall is the stream of a call that was read from a connection but isn't
// handled yet. Only Context is implemented.
type pendingCall struct {
	drpc.Stream
	ctx context.Context
}

// Context implements drpc.Stream.
func (c pendingCall) Context() context.Context { return c.ctx }

// Guards against a call that runs although Shutdown closed its connection as idle: the
// call had been read, but wasn't yet counted as an active stream.
func TestPendingCallIsRejectedAfterShutdown(t *testing.T) {
	server, err := NewServer(Services{}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	local, peer := net.Pipe()
	defer peer.Close()
	conn := &serverConn{Conn: local}
	server.addConn(conn)
	defer server.removeConn(conn)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := server.Shutdown(canceled); err == nil {
		t.Fatal("Shutdown returned nil while a connection was open")
	}
	call := pendingCall{ctx: drpcctx.WithTransport(t.Context(), conn)}
	if err := server.HandleRPC(call, "/no/call"); !errors.Is(err, ErrClosed) {
		t.Errorf("HandleRPC returned %v, want ErrClosed", err)
	}
}
