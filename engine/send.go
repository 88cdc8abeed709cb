package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// countedConn counts the bytes that the kernel took. A write is counted in full
// before it is made and corrected after it, so that a byte on its way is never
// taken for none.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

// sent watches the connection of one request.
type sent struct {
	conn   *countedConn
	before int64
	reused bool
	idle   time.Duration // since its last request or, if it had none, its opening
}

func (s *sent) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		s.conn, _ = info.Conn.(*countedConn)
		s.reused = info.Reused
		s.idle = info.IdleTime
		if s.conn != nil {
			s.before = s.conn.written.Load()
		}
	}}
}

// nothing reports whether no byte of the request can have left. It closes the
// connection first: a write that starts after the count was read must fail.
func (s *sent) nothing() bool {
	if s.conn == nil {
		return true
	}
	_ = s.conn.Close()
	return s.conn.written.Load() == s.before
}

// oneShot is a body that net/http can't rewind. Without it, net/http replays a
// request with an Idempotency-Key header whose connection broke, and a
// non-idempotent call runs twice: seen as two runs under one key in the service.
type oneShot struct{ io.Reader }

// Close implements io.Closer.
func (oneShot) Close() error { return nil }

// message is one HTTP request to the engine.
type message struct {
	step   string
	method string
	path   string
	header http.Header
	body   [][]byte  // sent in order
	stream io.Reader // instead of body; can't be sent again
	length int64     // of stream, -1 if unknown
}

func (m *message) reader() (io.Reader, int64) {
	if m.stream != nil {
		return m.stream, m.length
	}
	var length int64
	parts := make([]io.Reader, len(m.body))
	for i, part := range m.body {
		length += int64(len(part))
		parts[i] = bytes.NewReader(part)
	}
	return io.MultiReader(parts...), length
}

// send sends a message at most once and returns the answer's head. After a
// stale connection that took no byte, it tries once more on a fresh one.
func (c *Client) send(ctx context.Context, m *message) (*http.Response, error) {
	resp, state, err := c.attempt(ctx, m)
	if err == nil {
		return resp, nil
	}
	nothing := state.nothing()
	if nothing && state.reused && m.stream == nil && ctx.Err() == nil {
		c.counters.resent.Inc(1)
		c.transport.CloseIdleConnections()
		resp, state, err = c.attempt(ctx, m)
		if err == nil {
			return resp, nil
		}
		nothing = state.nothing()
	}
	if nothing {
		c.counters.notRun.Inc(1)
		return nil, c.annotate(errors.WithType(err, ErrNotRun), m.step)
	}
	err = errors.Annotatef(err, "connection used before %t, idle for %v", state.reused, state.idle)
	return nil, c.broke(err, m.step)
}

// broke types and counts an error after something was sent. A caller that ended
// its context is counted apart: that is no fault of the engine.
func (c *Client) broke(err error, step string) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		c.counters.abandoned.Inc(1)
	} else {
		c.counters.broken.Inc(1)
	}
	return c.annotate(errors.WithType(err, ErrBroken), step)
}

func (c *Client) attempt(ctx context.Context, m *message) (*http.Response, *sent, error) {
	state := &sent{}
	body, length := m.reader()
	traced := httptrace.WithClientTrace(ctx, state.trace())
	req, err := http.NewRequestWithContext(traced, m.method, "http://"+c.cfg.Address+m.path, oneShot{body})
	if err != nil {
		return nil, state, err
	}
	if m.header != nil {
		req.Header = m.header
	}
	req.ContentLength = length
	resp, err := c.http.Do(req)
	return resp, state, err
}

func (c *Client) annotate(err error, step string) error {
	return errors.Annotatef(err, "step %s, peer %s", step, c.cfg.Address)
}
