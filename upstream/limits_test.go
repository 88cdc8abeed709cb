package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/rawserver"
)

const (
	// hangLimit bounds an exchange of a test that no limit ends.
	hangLimit = 20 * time.Second
	// endlessBytes is what servers send that send without end. It is far more than any limit, and
	// bounds the memory of a test that fails.
	endlessBytes = 8 << 20
)

// startEndless starts a server that answers each request with begin, and then sends more again and
// again.
func startEndless(t testing.TB, begin, more string) string {
	more = strings.Repeat(more, 1+4096/len(more))
	return rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, err := io.WriteString(conn, begin)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(more) {
			_, err = io.WriteString(conn, more)
		}
	})
}

// Guards against a server whose bytes are no answer, and that an entry reads until its memory or the
// request's time is used up.
func TestBytesWithoutEndEndTheExchange(t *testing.T) {
	const ownHead = "HTTP/1.1 200 OK\r\nX-Own: 1\r\n"
	for _, c := range []struct {
		name, begin, more string
		limit             Limit
		most              int64
	}{
		{"status line", "HTTP/1.1 200 ", "OK ", LimitHead, maxHeadBytes},
		{"no line at all", "", "x", LimitHead, maxHeadBytes},
		{"one line of the head", ownHead + "X-Long: ", "x", LimitHead, maxHeadBytes},
		{"lines of the head", ownHead, "A: b\r\n", LimitHead, maxHeadBytes},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", LimitInterim, maxHeadBytes},
		{"head after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + ownHead, "A: b\r\n", LimitInterim, maxHeadBytes},
		{"body of another response", "HTTP/1.1 200 OK\r\n\r\n", "x", LimitOtherResponse, maxOtherResponseBytes},
		{"chunks of another response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", LimitOtherResponse, maxOtherResponseBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), hangLimit)
			defer cancel()
			r := metrics.NewRegistry()
			request := get()
			request.MatchesResponse = func(_ int, h http.Header) bool { return h.Get("X-Own") != "" }
			_, err := NewPool(r).Do(ctx, startEndless(t, c.begin, c.more), request)
			over := (*LimitError)(nil)
			if !errors.As(err, &over) || !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
				t.Fatalf("error %v", err)
			}
			if over.Limit != c.limit || over.Bytes > c.most {
				t.Errorf("limit %s after %d bytes, want %s and at most %d", over.Limit, over.Bytes, c.limit, c.most)
			}
			if n := metrics.GetOrRegisterCounter("upstream.over_limit."+string(c.limit), r).Count(); n != 1 {
				t.Errorf("%d counted, want 1", n)
			}
		})
	}
}

// Guards against trailers without end. net/http ends them when its reader's buffer is full.
func TestTrailersWithoutEndEndTheExchange(t *testing.T) {
	address := startEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "A: b\r\n")
	if _, err := do(t, NewPool(metrics.NewRegistry()), address, get()); !errors.Is(err, ErrBroken) {
		t.Errorf("error %v", err)
	}
}

// Guards against the next request on a connection that still carries the bytes of a body over a limit.
func TestLongBodyIsAnErrorAndItsConnectionIsNotReused(t *testing.T) {
	r := metrics.NewRegistry()
	p := NewPool(r)
	address := rawserver.Start(t, respondToEach("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345"))
	for _, c := range []struct {
		most int
		want string
	}{{4, ""}, {4, ""}, {5, "12345"}, {5, "12345"}} {
		response, err := p.Do(t.Context(), address, get())
		if err != nil {
			t.Fatal(err)
		}
		body, err := response.ReadBody(c.most)
		response.Close()
		if over := (*LimitError)(nil); errors.As(err, &over) != (c.want == "") || string(body) != c.want {
			t.Errorf("at most %d: %q, %v", c.most, body, err)
		}
	}
	if n := opened(r); n != 3 {
		t.Errorf("%d connections, want 3", n)
	}
}

// Guards against cutting off sound responses: long ones, and heads of the size that servers send.
func TestLongResponsesMeetNoLimit(t *testing.T) {
	const long = 4 * maxOtherResponseBytes
	head := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n"
	address := rawserver.Start(t, respondToEach(head+"\r\n"+strings.Repeat("x", long)))
	for range 2 {
		response, err := NewPool(metrics.NewRegistry()).Do(t.Context(), address, get())
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.CopyN(io.Discard, response.Body, long); n != long {
			t.Errorf("%d bytes, %v", n, err)
		}
		response.Close()
	}
}

// headOver reads a head that write sends over a connection.
func headOver(t *testing.T, write func(net.Conn)) error {
	t.Helper()
	near, far := net.Pipe()
	written := make(chan struct{})
	go func() {
		defer close(written)
		write(far)
		_ = far.Close()
	}()
	x := &exchange{conn: newConn(near, "server")}
	_, err := x.readHead(http.MethodGet)
	_ = near.Close()
	<-written
	return err
}

// trickle writes texts one after the other, with a pause before each.
func trickle(conn net.Conn, pause time.Duration, texts ...string) {
	for _, text := range texts {
		time.Sleep(pause)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// Guards against a head, or interim responses, that come so slowly that they use up the request's time
// before they exceed a limit in bytes.
func TestHeadThatTricklesEndsTheExchange(t *testing.T) {
	for limit, text := range map[Limit]string{LimitHead: "HTTP/1.1 200 OK", LimitInterim: "HTTP/1.1 102 Processing\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			err := headOver(t, func(conn net.Conn) { trickle(conn, 100*time.Millisecond, slices.Repeat([]string{text}, 100)...) })
			over := (*LimitError)(nil)
			if !errors.As(err, &over) || over.Limit != limit || over.Time < maxUselessTime {
				t.Errorf("%s: error %v", limit, err)
			}
		})
	}
}

// Guards against cutting off a server that is silent for long, in the middle of a head or between
// interim responses, and then answers.
func TestSilentServerIsWaitedFor(t *testing.T) {
	texts := []string{"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 O", "K\r\n", "\r\n"}
	synctest.Test(t, func(t *testing.T) {
		if err := headOver(t, func(conn net.Conn) { trickle(conn, time.Minute, texts...) }); err != nil {
			t.Errorf("error %v", err)
		}
	})
}

func TestQuota(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name      string
		bytes     int
		gap       time.Duration
		times     int
		exhausted bool
	}{
		{"few bytes", 10, 0, 9, false},
		{"many bytes", 10, 0, 10, true},
		{"short time", 1, 500 * time.Millisecond, 4, false},
		{"long time", 1, 500 * time.Millisecond, 5, true},
		{"pauses", 1, 2 * maxGap, 50, false},
	} {
		q := &Quota{MaxBytes: 100, MaxTime: 2 * time.Second}
		for range 2 {
			q.Reset()
			for i := range c.times {
				q.Add(c.bytes, start.Add(time.Duration(i)*c.gap))
			}
			if q.Exhausted() != c.exhausted {
				t.Errorf("%s: exhausted %v", c.name, !c.exhausted)
			}
		}
	}
}
