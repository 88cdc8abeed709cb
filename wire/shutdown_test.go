package wire

import (
	"context"
	"net"
	"testing"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// readCall is a stream of a call that was read from a connection and isn't handled
// yet; whatever handles it finds no messages.
type readCall struct {
	drpc.Stream
	ctx context.Context
}

// Context implements drpc.Stream.
func (c readCall) Context() context.Context { return c.ctx }

// Guards against a call that runs although its connection was closed as idle: it had
// been read, and wasn't counted yet when Shutdown looked.
func TestShutdownRunsNoCallOfAClosedConnection(t *testing.T) {
	server, err := NewServer(Services{}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	here, peer := net.Pipe()
	defer peer.Close()
	conn := &serverConn{Conn: here}
	server.add(conn)
	defer server.remove(conn)
	short, cancel := context.WithCancel(t.Context())
	cancel()
	if err := server.Shutdown(short); err == nil {
		t.Fatal("shutdown returned with a connection left")
	}
	call := readCall{ctx: drpcctx.WithTransport(t.Context(), conn)}
	if err := server.HandleRPC(call, "/no/call"); !errors.Is(err, ErrClosed) {
		t.Errorf("the call was handled: %v", err)
	}
}
