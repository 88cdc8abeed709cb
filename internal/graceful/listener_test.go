package graceful_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
)

// Guards against accepting connections until Shutdown closes them: the listener closes
// early enough for a connection that was accepted last to send its request and get its
// response.
func TestListenerClosesInTimeForLastRequests(t *testing.T) {
	s := startServerWithFirstWait(t, &http.Server{Handler: &countingHandler{}}, firstWait)
	conns := []*caller{dialAnswered(t, s.address)} // without it, the listener closes because nothing is open
	done := s.shutdownWithin(t, firstWait+time.Second)
	for {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			wantConnectionRefused(t, err)
			break
		}
		conns = append(conns, newCaller(t, conn))
		time.Sleep(10 * time.Millisecond)
	}
	for _, c := range conns {
		_ = c.send(post("late")) // if it fails, there is no refusal either
		c.wantRefusal(t)
	}
	<-done
}

// dialAnswered opens a connection on which one request was answered, so that the server
// is known to accept connections.
func dialAnswered(t *testing.T, address string) *caller {
	t.Helper()
	c := dial(t, address)
	if err := c.send(post("first")); err != nil {
		t.Fatal(err)
	}
	if status, _, _, err := c.answer(); status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
	return c
}

// firstWait is the time that a server of these tests gives a connection for its first
// request. It is longer than a caller needs on a busy machine.
const firstWait = 20 * time.Second

// shutdownWithin begins a shutdown with a deadline. The channel is closed when it has ended.
func (s *testServer) shutdownWithin(t *testing.T, limit time.Duration) <-chan struct{} {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Error(err)
		}
	}()
	return done
}

// wantConnectionRefused expects the error of a dial to an address on which nothing listens.
// It tells a caller that nothing was sent.
func wantConnectionRefused(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: %v, want ECONNREFUSED", err)
	}
}

// stallingListener stops in Accept, as a process that isn't scheduled, until resume is
// closed, and tells when its deadline is set.
type stallingListener struct {
	*net.TCPListener
	accepts  atomic.Int64
	stall    int64 // the call of Accept that stalls, from 1
	resume   chan struct{}
	deadline chan time.Time
}

// Accept implements net.Listener.
func (l *stallingListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) == l.stall {
		<-l.resume
	}
	return l.TCPListener.Accept()
}

// SetDeadline implements graceful's listener.
func (l *stallingListener) SetDeadline(at time.Time) error {
	err := l.TCPListener.SetDeadline(at)
	select {
	case l.deadline <- at:
	default: // only the first one is waited for
	}
	return err
}

// Guards against resetting the connections in the listener's queue if its deadline passes
// while the process isn't scheduled: they are accepted and get a response.
func TestQueueIsEmptiedAfterItsDeadline(t *testing.T) {
	const queued = 10
	lis := &stallingListener{
		TCPListener: listen(t), stall: 2, resume: make(chan struct{}), deadline: make(chan time.Time, 1),
	}
	s := startServerOn(t, lis, &http.Server{Handler: &countingHandler{}}, firstWait)
	first := dialAnswered(t, s.address)
	var callers []*caller
	for range queued {
		callers = append(callers, dial(t, s.address))
	}
	done := s.shutdownWithin(t, stepTimeout)
	first.wantRefusal(t) // and closes, so that no connection is open
	time.Sleep(time.Until(<-lis.deadline) + time.Millisecond)
	close(lis.resume)
	for _, c := range callers {
		_ = c.send(post("queued")) // if it fails, there is no refusal either
		c.wantRefusal(t)
	}
	<-done
}
