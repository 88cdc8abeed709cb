package graceful_test

import (
	"context"
	"net"
	"net/http"
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
