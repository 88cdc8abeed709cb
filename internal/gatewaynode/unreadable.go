package gatewaynode

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// unreadable counts requests that net/http refuses before a handler sees them: bad
// framing, broken heads, heads that take too long. They have no line and no id; the
// counter is all that tells operators of a caller, or an attacker, that sends them.
type unreadable struct {
	count metrics.Counter

	mu    sync.Mutex // guards conns
	conns map[net.Conn]*connMark
}

// connMark is what became of the request that a connection is active with.
type connMark struct {
	mu      sync.Mutex // guards what follows
	active  bool
	handled bool
}

type connMarkKey struct{}

// countUnreadable has a server count in a registry, nil for none.
func countUnreadable(srv *http.Server, r metrics.Registry) {
	u := &unreadable{
		count: metrics.GetOrRegisterCounter("gateway.requests.unreadable", r),
		conns: map[net.Conn]*connMark{},
	}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m, ok := r.Context().Value(connMarkKey{}).(*connMark); ok {
			m.set(true, true)
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		m := &connMark{}
		u.mu.Lock()
		u.conns[conn] = m
		u.mu.Unlock()
		return context.WithValue(ctx, connMarkKey{}, m)
	}
	srv.ConnState = u.note
}

func (u *unreadable) note(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	m := u.conns[conn]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(u.conns, conn)
	}
	u.mu.Unlock()
	if m == nil {
		return
	}
	switch state {
	case http.StateActive:
		m.set(true, false)
	case http.StateIdle:
		m.set(false, false)
	case http.StateClosed:
		if m.unhandled() {
			u.count.Inc(1)
		}
	}
}

func (m *connMark) set(active, handled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active, m.handled = active, handled
}

func (m *connMark) unhandled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active && !m.handled
}
