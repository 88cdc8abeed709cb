package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/juju/errors"
)

// brokenConn accepts acceptBytes bytes of each write after it was broken, and
// fails the rest.
type brokenConn struct {
	net.Conn
	broken      *atomic.Bool
	acceptBytes int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if !c.broken.Load() {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:min(c.acceptBytes, len(p))])
	return n, syscall.EPIPE
}

// newClientWithBrokenConn returns a client that has made one call and whose
// idle connection has been broken since.
func newClientWithBrokenConn(t *testing.T, acceptBytes int) (c *Client, calls *atomic.Int64) {
	t.Helper()
	calls = &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
	}))
	t.Cleanup(srv.Close)
	c = New(Config{Address: srv.Listener.Addr().String()})
	t.Cleanup(c.Close)
	broken := &atomic.Bool{}
	first := true
	c.transport.DialContext = func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		if first && err == nil {
			conn = &brokenConn{Conn: conn, broken: broken, acceptBytes: acceptBytes}
		}
		first = false
		return &countedConn{Conn: conn}, err
	}
	if err := post(c, t.Context(), &ServiceRequest{}); err != nil {
		t.Fatal(err)
	}
	broken.Store(true)
	return c, calls
}

func post(c *Client, ctx context.Context, r *ServiceRequest) error {
	r.Method, r.Path = http.MethodPost, "/"
	resp, err := c.Service(ctx, r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}

// Guards against failed requests after a restart of the engine, one for each
// idle connection. A run leaves an idle connection, the engine restarts, and
// the next run uses that connection: no byte can be sent, so the request must
// be sent again on a new connection.
func TestStaleConnectionIsReplaced(t *testing.T) {
	c, calls := newClientWithBrokenConn(t, 0)
	if err := post(c, t.Context(), &ServiceRequest{}); err != nil {
		t.Error(err)
	}
	if calls.Load() != 2 {
		t.Errorf("%d calls arrived, want 2", calls.Load())
	}
}

// Guards against a call that is resent without its body. The connection accepts
// no byte, but the body was already read into a buffer. A stream cannot be
// rewound, so the caller has to decide.
func TestStreamedBodyIsNotSentAgain(t *testing.T) {
	c, calls := newClientWithBrokenConn(t, 0)
	err := post(c, t.Context(), &ServiceRequest{Body: strings.NewReader("x"), ContentLength: 1})
	if !errors.Is(err, ErrNotRun) || calls.Load() != 1 {
		t.Errorf("%v after %d calls", err, calls.Load())
	}
}

// Guards against "not run" for a call that may have run: the connection breaks
// after it accepted one byte, and the failed write must not count as nothing
// sent.
func TestPartialWriteIsBroken(t *testing.T) {
	c, _ := newClientWithBrokenConn(t, 1)
	err := post(c, t.Context(), &ServiceRequest{})
	if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotRun) {
		t.Error(err)
	}
}
