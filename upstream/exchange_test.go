package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/rawserver"
)

func acceptAny(int, http.Header) bool { return true }

func get() *Request {
	return &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MatchesResponse: acceptAny}
}

// do sends a request and returns the complete body of the response.
func do(t *testing.T, p *Pool, address string, r *Request) (string, error) {
	t.Helper()
	response, err := p.Do(t.Context(), address, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func opened(r metrics.Registry) int64 {
	return metrics.GetOrRegisterCounter("upstream.connections.opened", r).Count()
}

// respondToEach returns a connection handler that writes text in response to every
// request.
func respondToEach(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, text)
		}
	}
}

func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		opened       int64
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"keep for no time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 3},
		{"more behind it", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!!", 3},
	} {
		r := metrics.NewRegistry()
		p := NewPool(r)
		address := rawserver.Start(t, respondToEach(c.answer))
		for range 3 {
			if body, err := do(t, p, address, get()); err != nil || body != "ok" {
				t.Fatalf("%s: %q, %v", c.name, body, err)
			}
		}
		if n := opened(r); n != c.opened {
			t.Errorf("%s: %d connections, want %d", c.name, n, c.opened)
		}
	}
}

// Guards against accepting a truncated response as complete: the server closes the
// connection before the announced length or the last chunk.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(conn, answer)
			}
		})
		_, err := do(t, NewPool(metrics.NewRegistry()), address, get())
		if !errors.Is(err, ErrBroken) {
			t.Errorf("%q: error %v", answer, err)
		}
	}
}

func TestMissingResponseIsBrokenAndFailedDialIsNotSent(t *testing.T) {
	p := NewPool(metrics.NewRegistry())
	silent := rawserver.Start(t, func(_ net.Conn, in *bufio.Reader) { _, _ = http.ReadRequest(in) })
	if _, err := do(t, p, silent, get()); !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	garbage := rawserver.Start(t, respondToEach("what?\r\n\r\n"))
	if _, err := do(t, p, garbage, get()); !errors.Is(err, ErrBroken) {
		t.Errorf("error %v", err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = lis.Close()
	if _, err := do(t, p, lis.Addr().String(), get()); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
}

// Guards against a server running a request that was never sent. The server responds
// before it has read a long body and keeps reading from the connection; if the rest of
// the body is never written and the connection is reused, the server reads the next
// request as a part of that body.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	r := metrics.NewRegistry()
	p := NewPool(r)
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		<-time.After(50 * time.Millisecond) // it reads none of the body in the meantime
	})
	long := &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, MatchesResponse: acceptAny,
		Body: []byte(strings.Repeat("x", 32<<20)), // more than the socket buffers hold
	}
	for range 2 {
		if _, err := do(t, p, address, long); err != nil {
			t.Fatal(err)
		}
	}
	if n := opened(r); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against sending a request on an idle connection that the server has already
// closed. Nothing reads an idle connection, so its end must be checked before reuse.
func TestClosedIdleConnectionsAreNotReused(t *testing.T) {
	p := NewPool(metrics.NewRegistry())
	closed := make(chan struct{}, 2)
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = conn.Close()
		closed <- struct{}{}
	})
	for range 2 {
		if _, err := do(t, p, address, get()); err != nil {
			t.Fatal(err)
		}
		<-closed
	}
}

func TestContextCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		_, _ = in.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := NewPool(metrics.NewRegistry()).Do(ctx, address, get())
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	<-ended
	if _, err := io.ReadAll(response.Body); !errors.Is(err, ErrBroken) {
		t.Errorf("error %v", err)
	}
	response.Close()
}

func TestIdleTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": defaultMaxIdle, "timeout=5": 3 * time.Second, "max=3, Timeout=10": 6 * time.Second, "timeout=x": defaultMaxIdle,
	} {
		if got := idleTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

// Checks that the head is sent as received, except for the framing headers.
func TestRequestHeadOnTheWire(t *testing.T) {
	got := make(chan string, 1)
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		var head strings.Builder
		for {
			line, err := in.ReadString('\n')
			head.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		got <- head.String()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	r := &Request{
		Method: http.MethodPost, Target: "/a%2Fb?c", Host: "h:1", Body: []byte("ab"), MatchesResponse: acceptAny,
		Header: http.Header{"X-A": {"1"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"9"}},
	}
	if _, err := do(t, NewPool(metrics.NewRegistry()), address, r); err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("POST /a%%2Fb?c HTTP/1.1\r\nHost: h:1\r\nContent-Length: %d\r\nX-A: 1\r\n\r\n", len(r.Body))
	if head := <-got; head != want {
		t.Errorf("head %q, want %q", head, want)
	}
}
