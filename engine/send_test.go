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

// brokenConn takes some bytes after it was broken, then none.
type brokenConn struct {
	net.Conn
	broken *atomic.Bool
	takes  int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if !c.broken.Load() {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:min(c.takes, len(p))])
	return n, syscall.EPIPE
}

// breakFirst makes a client that has made one call, whose connection is kept and
// broken since.
func breakFirst(t *testing.T, takes int) (c *Client, calls *atomic.Int64) {
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
			conn = &brokenConn{Conn: conn, broken: broken, takes: takes}
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

// Symptom: after an engine restarts, as many requests fail as there were idle
// connections. Sequence: a run leaves a connection, the engine restarts, the
// next run takes it. Cause: no byte could be sent, and yet nobody tries again.
func TestStaleConnectionIsReplaced(t *testing.T) {
	c, calls := breakFirst(t, 0)
	if err := post(c, t.Context(), &ServiceRequest{}); err != nil {
		t.Error(err)
	}
	if calls.Load() != 2 {
		t.Errorf("%d calls arrived, want 2", calls.Load())
	}
}

// Symptom: a call whose body was read is sent again without it. Sequence: the
// connection takes no byte, the body was read into a buffer. Cause: a stream
// can't be rewound; the caller has to decide.
func TestStreamedBodyIsNotSentAgain(t *testing.T) {
	c, calls := breakFirst(t, 0)
	err := post(c, t.Context(), &ServiceRequest{Body: strings.NewReader("x"), ContentLength: 1})
	if !errors.Is(err, ErrNotRun) || calls.Load() != 1 {
		t.Errorf("%v after %d calls", err, calls.Load())
	}
}

// Symptom: "not run" is said of a call that ran. Sequence: the connection breaks
// after it took a byte. Cause: a broken write is taken for none.
func TestOneByteSentIsUnknown(t *testing.T) {
	c, _ := breakFirst(t, 1)
	err := post(c, t.Context(), &ServiceRequest{})
	if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotRun) {
		t.Error(err)
	}
}
