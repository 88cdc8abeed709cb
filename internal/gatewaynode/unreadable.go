package gatewaynode

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// unreadableCounter counts requests that net/http rejects before a handler runs: bad framing,
// malformed headers, headers that take too long. They have no log line and no ID, so that
// this counter is the only sign of a caller, or an attacker, that sends them.
type unreadableCounter struct {
	count metrics.Counter

	mu    sync.Mutex // guards conns
	conns map[net.Conn]*requestState
}

// requestState is the state of the current request of a connection.
type requestState struct {
	mu      sync.Mutex // guards the fields below
	active  bool
	handled bool
}

type requestStateKey struct{}

// countUnreadable makes srv count unreadable requests in r, or in the default registry if r is nil.
func countUnreadable(srv *http.Server, r metrics.Registry) {
	u := &unreadableCounter{
		count: metrics.GetOrRegisterCounter("gateway.requests.unreadable", r),
		conns: map[net.Conn]*requestState{},
	}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m, ok := r.Context().Value(requestStateKey{}).(*requestState); ok {
			m.set(true, true)
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		m := &requestState{}
		u.mu.Lock()
		u.conns[conn] = m
		u.mu.Unlock()
		return context.WithValue(ctx, requestStateKey{}, m)
	}
	srv.ConnState = u.connStateChanged
}

func (u *unreadableCounter) connStateChanged(conn net.Conn, state http.ConnState) {
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

func (m *requestState) set(active, handled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active, m.handled = active, handled
}

func (m *requestState) unhandled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active && !m.handled
}
