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

// countedConn counts the bytes that the kernel accepted. A write is counted in
// full before it starts and corrected afterwards, so that a byte in flight is
// never missed.
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

// connState tracks the connection of one request.
type connState struct {
	conn          *countedConn
	writtenBefore int64
	reused        bool
	idleTime      time.Duration // since its last request, or since it was opened
}

func (s *connState) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		s.conn, _ = info.Conn.(*countedConn)
		s.reused = info.Reused
		s.idleTime = info.IdleTime
		if s.conn != nil {
			s.writtenBefore = s.conn.written.Load()
		}
	}}
}

// nothingSent reports whether certainly no byte of the request was sent. It
// closes the connection first, so that a write that starts after the count was
// read fails.
func (s *connState) nothingSent() bool {
	if s.conn == nil {
		return true
	}
	_ = s.conn.Close()
	return s.conn.written.Load() == s.writtenBefore
}

// nonRewindableBody is a body that net/http cannot rewind. Otherwise net/http
// would resend a request that has an Idempotency-Key header after its
// connection broke, and a non-idempotent call would run twice: the service
// would see two runs with one key.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// outgoing is one HTTP request to the engine.
type outgoing struct {
	step   string
	method string
	path   string
	header http.Header
	body   [][]byte  // sent in order
	stream io.Reader // instead of body; cannot be resent
	length int64     // length of stream in bytes, -1 if unknown
}

func (m *outgoing) bodyReader() (io.Reader, int64) {
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

// send sends a request at most once and returns the response, with its header
// read. If a reused connection turns out to be stale and no byte was written to
// it, the request is sent once more on a new connection.
func (c *Client) send(ctx context.Context, m *outgoing) (*http.Response, error) {
	resp, state, err := c.roundTrip(ctx, m)
	if err == nil {
		return resp, nil
	}
	unsent := state.nothingSent()
	if unsent && state.reused && m.stream == nil && ctx.Err() == nil {
		c.counters.resent.Inc(1)
		c.transport.CloseIdleConnections()
		resp, state, err = c.roundTrip(ctx, m)
		if err == nil {
			return resp, nil
		}
		unsent = state.nothingSent()
	}
	if unsent {
		c.counters.notRun.Inc(1)
		return nil, c.annotate(errors.WithType(err, ErrNotRun), m.step)
	}
	err = errors.Annotatef(err, "connection used before %t, idle for %v", state.reused, state.idleTime)
	return nil, c.brokenError(err, m.step)
}

// brokenError wraps and counts an error that occurred after part of the request
// was sent. It is counted separately if the caller's context ended, because
// that is no fault of the engine.
func (c *Client) brokenError(err error, step string) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		c.counters.abandoned.Inc(1)
	} else {
		c.counters.broken.Inc(1)
	}
	return c.annotate(errors.WithType(err, ErrBroken), step)
}

func (c *Client) roundTrip(ctx context.Context, m *outgoing) (*http.Response, *connState, error) {
	state := &connState{}
	body, length := m.bodyReader()
	traced := httptrace.WithClientTrace(ctx, state.trace())
	req, err := http.NewRequestWithContext(traced, m.method, "http://"+c.cfg.Address+m.path, nonRewindableBody{body})
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
