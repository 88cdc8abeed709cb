package wire

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// nextTimeout is longer than a call takes on a busy machine if its connection works.
const nextTimeout = 10 * time.Second

// silencer forwards connections to a peer. Those that are open when silence is called
// carry nothing any more and stay open; new ones work.
type silencer struct {
	peer string

	mu    sync.Mutex // guards conns
	conns []*silentConn
}

// silentConn discards what is written to it once silent is closed.
type silentConn struct {
	net.Conn
	silent chan struct{}
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func startSilencer(t *testing.T, peer string) (*silencer, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	s := &silencer{peer: peer}
	go func() {
		for {
			raw, err := lis.Accept()
			if err != nil {
				return
			}
			go s.forward(raw)
		}
	}()
	return s, lis.Addr().String()
}

func (s *silencer) forward(raw net.Conn) {
	defer raw.Close()
	up, err := net.Dial("tcp", s.peer)
	if err != nil {
		return
	}
	defer up.Close()
	silent := make(chan struct{})
	caller, peer := &silentConn{raw, silent}, &silentConn{up, silent}
	s.mu.Lock()
	s.conns = append(s.conns, caller)
	s.mu.Unlock()
	go copyBytes(caller, up)
	copyBytes(peer, raw)
}

func copyBytes(to *silentConn, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence ends what the open connections carry.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		close(c.silent)
	}
	s.conns = nil
}

// Guards against calling a peer again over a connection that has gone silent for good: the
// call that finds it so times out, and the next one succeeds on a new connection.
func TestSilentConnectionIsNotReused(t *testing.T) {
	const callTimeout = 100 * time.Millisecond
	_, peer := serveAgent(t, &fakeAgent{}, Options{})
	network, addr := startSilencer(t, peer)
	d := newDialer(t, Options{})
	if _, err := d.Status(t.Context(), addr); err != nil {
		t.Fatal(err)
	}
	network.silence()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	if _, err := d.Status(ctx, addr); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("call on a silent connection: %v, want DeadlineExceeded", err)
	}
	next, cancelNext := context.WithTimeout(t.Context(), nextTimeout)
	defer cancelNext()
	if _, err := d.Status(next, addr); err != nil {
		t.Errorf("next call: %v", err)
	}
}

// Guards against beginning a run over a connection that has gone silent for good: the run
// that finds it so is given up, and the next one succeeds on a new connection.
func TestSilentRunConnectionIsNotReused(t *testing.T) {
	const callTimeout = 100 * time.Millisecond
	_, peer := serveAgent(t, &fakeAgent{run: func(s wirepb.DRPCAgent_RunStream) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		return sendChunks(s, 1, 1)
	}}, Options{})
	network, addr := startSilencer(t, peer)
	d := newDialer(t, Options{})
	completeRun(t, d, addr, 1)
	network.silence()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	silent := openRun(t, ctx, dialRun(d, addr), "silent")
	if _, err := silent.Recv(); err == nil {
		t.Error("got a message on a silent connection")
	}
	<-silent.Context().Done() // the connection is returned to the pool, if it is
	next, cancelNext := context.WithTimeout(t.Context(), nextTimeout)
	defer cancelNext()
	if _, err := openRun(t, next, dialRun(d, addr), "next").Recv(); err != nil {
		t.Errorf("next run: %v", err)
	}
}
