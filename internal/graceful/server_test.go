package graceful_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/graceful"
	"github.com/briarturn/briarturn/internal/quiet"
)

const refusalText = "ended: not run"

// refuse writes what callers get whose request came too late.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, refusalText)
}

// served is a server on loopback.
type served struct {
	*graceful.Server
	address string
	ended   chan error // of Serve
}

func serve(t *testing.T, srv *http.Server) *served {
	t.Helper()
	return serveWaiting(t, srv, 0)
}

// patience is longer than any machine takes for one step of a test.
const patience = time.Minute

// serveWaiting is serve for a server that waits for the first request of a connection.
func serveWaiting(t *testing.T, srv *http.Server, first time.Duration) *served {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{
		Server:  graceful.New(graceful.Config{HTTP: srv, Refuse: refuse, Log: quiet.Logger()}),
		address: lis.Addr().String(),
		ended:   make(chan error, 1),
	}
	s.WaitFor(first, patience)
	go func() { s.ended <- s.Serve(lis) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// shutdown ends the server and reports what its two calls say.
func (s *served) shutdown(t *testing.T) {
	t.Helper()
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// caller is a raw connection: it sends what it is told to and retries nothing.
type caller struct {
	net.Conn
	answers *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, answers: bufio.NewReader(conn)}
}

func (c *caller) send(text string) error {
	_, err := io.WriteString(c.Conn, text)
	return err
}

// answer reads one answer; the status is 0 if none came.
func (c *caller) answer() (status int, body string, last bool, err error) {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Close, err
}

// wantRefusal reads the refusal and the end of the connection, and closes it.
func (c *caller) wantRefusal(t *testing.T) {
	t.Helper()
	status, body, last, err := c.answer()
	if err != nil || status != http.StatusServiceUnavailable || body != refusalText || !last {
		t.Errorf("got %d %q, close %t, %v", status, body, last, err)
	}
	if n, err := c.answers.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("%d bytes after the refusal, %v", n, err)
	}
	_ = c.Close()
}

func post(id string) string {
	const body = "{}"
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// counting is a handler that counts the requests that it ran by path.
type counting struct{ ran sync.Map }

func (h *counting) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, _ := h.ran.LoadOrStore(r.URL.Path, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	_, _ = io.WriteString(w, "ok")
}

func (h *counting) runs(id string) int64 {
	n, ok := h.ran.Load("/" + id)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

// busyServer is a server that runs one request until it is released, and answers others.
type busyServer struct {
	*served
	busy    *caller
	release chan struct{}
}

func serveBusy(t *testing.T, first time.Duration) *busyServer {
	t.Helper()
	running, release := make(chan struct{}), make(chan struct{})
	s := serveWaiting(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			close(running)
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})}, first)
	b := &busyServer{served: s, busy: dial(t, s.address), release: release}
	if err := b.busy.send(post("busy")); err != nil {
		t.Fatal(err)
	}
	<-running
	return b
}

// finish releases the request, which is answered, and its connection then refused.
func (b *busyServer) finish(t *testing.T) {
	t.Helper()
	close(b.release)
	if status, body, _, err := b.busy.answer(); status != http.StatusOK || body != "ok" {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	b.busy.wantRefusal(t)
}

// Guards against a connection that is closed under a request whose caller can't know
// whether it ran: each request sent before its caller was notified has an answer, and
// "not run" is true.
func TestNoRequestIsLostAtTheEnd(t *testing.T) {
	const rounds, callers = 20, 40
	for round := range rounds {
		h := &counting{}
		s := serve(t, &http.Server{Handler: h})
		var sending, running sync.WaitGroup
		sending.Add(callers)
		for i := range callers {
			c := dial(t, s.address)
			fresh := i%2 == 0 // its first request comes with the end
			running.Go(func() { sendUntilNotified(t, c, h, fmt.Sprintf("%d-%d", round, i), fresh, sending.Done) })
		}
		sending.Wait()
		s.shutdown(t)
		running.Wait()
	}
}

// sendUntilNotified sends requests on one connection for as long as it is answered.
func sendUntilNotified(t *testing.T, c *caller, h *counting, name string, fresh bool, underWay func()) {
	defer c.Close()
	if fresh {
		underWay()
	}
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		sent := c.send(post(id))
		status, _, _, err := c.answer()
		runs := h.runs(id)
		switch {
		case err != nil:
			t.Errorf("%s: no answer: %v, sending: %v; ran %d times", id, err, sent, runs)
			return
		case status == http.StatusServiceUnavailable && runs > 0:
			t.Errorf("%s: refused and ran", id)
			return
		case status == http.StatusServiceUnavailable:
			return
		case status != http.StatusOK || runs != 1:
			t.Errorf("%s: status %d, ran %d times", id, status, runs)
		}
		if n == 0 && !fresh {
			underWay()
		}
	}
}

// Guards against a request whose head is half read when the server ends: it isn't
// handled, and its caller is notified.
func TestHalfReadRequestIsRefused(t *testing.T) {
	h := &counting{}
	read := make(chan struct{})
	s := serve(t, &http.Server{Handler: h, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			close(read)
		}
	}})
	c := dial(t, s.address)
	head, rest, _ := strings.Cut(post("half"), "Content")
	if err := c.send(head); err != nil {
		t.Fatal(err)
	}
	<-read
	done := make(chan struct{})
	go func() { defer close(done); s.shutdown(t) }()
	status, body, _, err := c.answer()
	if err != nil || status != http.StatusServiceUnavailable || body != refusalText {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	_ = c.send("Content" + rest) // may find the connection closed
	_ = c.Close()
	<-done
	if n := h.runs("half"); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against connections that wait in the listener's queue being reset with it:
// they are accepted and notified.
func TestQueuedConnectionsAreNotified(t *testing.T) {
	const queued = 20
	s := serve(t, &http.Server{Handler: &counting{}})
	var callers []*caller
	for i := range queued {
		c := dial(t, s.address)
		if err := c.send(post(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	var reading sync.WaitGroup
	for _, c := range callers {
		reading.Go(func() {
			defer c.Close()
			for {
				status, _, _, err := c.answer()
				if err != nil {
					t.Errorf("no answer: %v", err)
				}
				if status != http.StatusOK {
					return
				}
			}
		})
	}
	s.shutdown(t)
	reading.Wait()
}

// Guards against a request that is running being cut by the end of its server: it is
// answered first, and its connection is notified after that.
func TestRunningRequestIsAnsweredFirst(t *testing.T) {
	s := serveBusy(t, 0)
	idle := dial(t, s.address)
	done := make(chan struct{})
	go func() { defer close(done); s.shutdown(t) }()
	idle.wantRefusal(t)
	s.finish(t)
	<-done
}

// Guards against callers that find nobody, though a request still runs: a connection
// that comes meanwhile is accepted and notified.
func TestConnectionIsNotifiedWhileARequestRuns(t *testing.T) {
	s := serveBusy(t, 0)
	idle := dial(t, s.address)
	done := make(chan struct{})
	go func() { defer close(done); s.shutdown(t) }()
	idle.wantRefusal(t)
	dial(t, s.address).wantRefusal(t)
	s.finish(t)
	<-done
}

// Guards against HTTP clients failing a request since its connection, opened for it a
// moment before, has an answer that comes first.
func TestNewConnectionIsAnsweredAfterItsRequest(t *testing.T) {
	const callers, each = 8, 100
	s := serveBusy(t, patience)
	kept := dial(t, s.address)
	if err := kept.send(post("one")); err != nil {
		t.Fatal(err)
	}
	if status, _, _, err := kept.answer(); status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
	done := make(chan struct{})
	go func() { defer close(done); s.shutdown(t) }()
	kept.wantRefusal(t)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var sending sync.WaitGroup
	for range callers {
		sending.Go(func() {
			for range each {
				resp, err := client.Post("http://"+s.address+"/late", "text/plain", nil)
				if err != nil {
					t.Errorf("no answer: %v", err)
					continue
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("status %d", resp.StatusCode)
				}
			}
		})
	}
	sending.Wait()
	s.finish(t)
	<-done
}

// Guards against a caller that keeps a connection of the ended server for the next
// one on its address: the server is there until the caller has closed it.
func TestShutdownWaitsUntilCallersHaveClosed(t *testing.T) {
	s := serve(t, &http.Server{Handler: &counting{}})
	c := dial(t, s.address)
	done := make(chan struct{})
	go func() { defer close(done); s.shutdown(t) }()
	if _, _, _, err := c.answer(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-done:
		t.Error("ended while the caller's side is open")
	default:
	}
	_ = c.Close()
	<-done
}

// Guards against an end that takes for ever: what still runs when the context ends is
// cut, and the error says so.
func TestShutdownEndsWithItsContext(t *testing.T) {
	running := make(chan struct{})
	s := serve(t, &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
	})})
	c := dial(t, s.address)
	if err := c.send(post("long")); err != nil {
		t.Fatal(err)
	}
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(ctx); err == nil {
		t.Error("no error for a request that was cut")
	}
	if _, _, _, err := c.answer(); err == nil {
		t.Error("an answer from a server that is gone")
	}
}

// Guards against a request that meets the end of its connection's idle time getting a
// closed connection for an answer: the caller is notified that nothing was run.
func TestIdleConnectionIsNotified(t *testing.T) {
	limits := map[string]*http.Server{
		"first": {Handler: &counting{}, ReadHeaderTimeout: 20 * time.Millisecond},
		"next":  {Handler: &counting{}, IdleTimeout: 20 * time.Millisecond},
	}
	for name, srv := range limits {
		t.Run(name, func(t *testing.T) {
			s := serve(t, srv)
			c := dial(t, s.address)
			if name == "next" {
				if err := c.send(post("one")); err != nil {
					t.Fatal(err)
				}
				if status, _, _, err := c.answer(); status != http.StatusOK {
					t.Fatalf("status %d, %v", status, err)
				}
			}
			status, _, last, err := c.answer()
			if err != nil || status != http.StatusRequestTimeout || !last {
				t.Errorf("status %d, close %t, %v", status, last, err)
			}
		})
	}
}

// Guards against a server that can't stop accepting without resetting who waits: it
// takes no listener of which it would learn that at its end.
func TestListenerWithoutDeadlinesIsNotServed(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := graceful.New(graceful.Config{HTTP: &http.Server{}, Refuse: refuse, Log: quiet.Logger()})
	if err := s.Serve(struct{ net.Listener }{lis}); !errors.Is(err, errors.NotSupported) {
		t.Errorf("served: %v", err)
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}
