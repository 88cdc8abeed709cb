package graceful_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
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

// slowClosingListener stops in Close, as a process that isn't scheduled, until resume is
// closed.
type slowClosingListener struct {
	*net.TCPListener
	closing chan struct{} // closed by the first Close
	once    sync.Once
	resume  chan struct{}
}

// Close implements net.Listener.
func (l *slowClosingListener) Close() error {
	l.once.Do(func() { close(l.closing) })
	<-l.resume
	return l.TCPListener.Close()
}

// Guards against resetting connections that are established after the last one was
// accepted and before the listener is closed: they are refused.
func TestDialsAreRefusedBeforeListenerCloses(t *testing.T) {
	lis := &slowClosingListener{TCPListener: listen(t), closing: make(chan struct{}), resume: make(chan struct{})}
	s := startServerOn(t, lis, &http.Server{Handler: &countingHandler{}}, firstWait)
	kept := dialAnswered(t, s.address)
	s.StopAccepting()
	<-lis.closing
	conn, err := net.Dial("tcp", s.address)
	close(lis.resume)
	if err == nil {
		c := newCaller(t, conn)
		_ = c.send(post("late"))
		_, _, _, answerErr := c.answer()
		t.Errorf("connected, then %v; want ECONNREFUSED", answerErr)
	} else {
		wantConnectionRefused(t, err)
	}
	if err := kept.send(post("kept")); err != nil {
		t.Error(err)
	}
	if status, _, _, err := kept.answer(); status != http.StatusOK {
		t.Errorf("status %d on a connection that was open before, %v", status, err)
	}
	_ = kept.Close()
	s.shutdown(t)
}

// lateDeadlineListener sets its deadline once resume is closed.
type lateDeadlineListener struct {
	*net.TCPListener
	resume chan struct{}
}

// SetDeadline implements graceful's listener.
func (l *lateDeadlineListener) SetDeadline(at time.Time) error {
	go func() {
		<-l.resume
		_ = l.TCPListener.SetDeadline(at) // fails only on a closed listener
	}()
	return nil
}

// Guards against resetting a connection whose handshake is under way while the listener
// refuses others: it is accepted and answered.
func TestHandshakeUnderWayIsCompleted(t *testing.T) {
	lis := &lateDeadlineListener{TCPListener: listen(t), resume: make(chan struct{})}
	deferHandshakes(t, lis.TCPListener)
	s := startServerOn(t, lis, &http.Server{Handler: &countingHandler{}}, firstWait)
	kept := dialAnswered(t, s.address)
	begun := dial(t, s.address)
	s.StopAccepting()
	if err := begun.send(post("begun")); err != nil {
		t.Fatal(err)
	}
	if status, _, _, err := begun.answer(); status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
	close(lis.resume)
	for _, c := range []*caller{kept, begun} {
		_ = c.Close()
	}
	s.shutdown(t)
}

// deferHandshakes makes the kernel complete a handshake only when data arrives.
func deferHandshakes(t *testing.T, lis *net.TCPListener) {
	t.Helper()
	const limit = 60 // s
	raw, err := lis.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var setErr error
	if err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, limit)
	}); err != nil || setErr != nil {
		t.Fatal(err, setErr)
	}
}

// Guards against losing requests of callers that dial again without a pause while the
// listener closes: each connection that is established gets a response.
func TestCallersThatDialDuringShutdownAreAnswered(t *testing.T) {
	const rounds, callers = 20, 4
	for range rounds {
		s := startServerWithFirstWait(t, &http.Server{Handler: &countingHandler{}}, firstWait)
		kept := dialAnswered(t, s.address) // open for all of the shutdown, so that the listener closes by time
		var calling, started sync.WaitGroup
		started.Add(callers)
		for range callers {
			calling.Go(func() { dialUntilRefused(t, s.address, started.Done) })
		}
		started.Wait()
		done := s.shutdownWithin(t, firstWait+time.Second/2)
		calling.Wait()
		_ = kept.Close()
		<-done
	}
}

// dialUntilRefused sends one request on each of a series of connections until the server
// listens no more. It calls underWay after the first response.
func dialUntilRefused(t *testing.T, address string, underWay func()) {
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			wantConnectionRefused(t, err)
			return
		}
		c := newCaller(t, conn)
		sent := c.send(post("again"))
		if _, _, _, err := c.answer(); err != nil {
			t.Errorf("no answer on connection %d: %v, sending: %v", n, err, sent)
		}
		_ = c.Close()
		if n == 0 {
			underWay()
		}
	}
}
