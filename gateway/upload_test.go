package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/rawserver"
	"github.com/briarturn/briarturn/routetable"
)

const (
	// uploadBytes is more than the socket buffers hold, so that a server that reads no body stops
	// the upload.
	uploadBytes = 8 << 20
	// resetRounds is how often a test repeats a reset during an upload: which goroutine the kernel
	// reports it to changes.
	resetRounds = 10
	// wholeRounds is how often a test repeats a whole response during an upload.
	wholeRounds = 3
	// arrivalTime is enough for what a server wrote to arrive.
	arrivalTime = 10 * time.Millisecond
)

// withUploads puts a configuration in force that allows bodies of uploadBytes.
func (gw *testGateway) withUploads() *testGateway {
	c := sampleConfig(1)
	c.Limits.BodyBytes = 2 * uploadBytes
	gw.routes.Offer(routetable.New(c), *gw.clock)
	return gw
}

// startEarlyServer starts a server that writes a response, with the request's ID, before it has read
// the body. end finishes the connection, which is closed afterwards.
func startEarlyServer(t *testing.T, response string, end func(conn *net.TCPConn, body io.Reader)) string {
	t.Helper()
	return rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		time.Sleep(arrivalTime) // the upload fills the buffers
		_, _ = fmt.Fprintf(conn, response, r.Header.Get(hID))
		time.Sleep(arrivalTime)
		end(conn.(*net.TCPConn), r.Body)
	})
}

func resetConnection(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }

// Guards against relaying a part of a response as the whole, because the reset that ended it was
// reported to the write of the request's body.
func TestResetDuringUploadIsNotWhole(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	long := strings.Repeat("x", 2*maxBufferedResponse)
	for _, c := range []struct {
		name, path, partial string
		status              int // 0: the connection to the caller breaks
	}{
		{"body", "/once/", unframedBody, http.StatusBadGateway},
		{"HTTP/1.0", "/once/", strings.Replace(unframedBody, "1.1", "1.0", 1), http.StatusBadGateway},
		{"empty body", "/once/", unframedHead, http.StatusBadGateway},
		{"long body", "/once/", unframedHead + long, 0},
		{"error of the server", "/once/", strings.Replace(unframedBody, "200 OK", "404 Not Found", 1), http.StatusBadGateway},
		{"stream that can't be resumed", "/whole/", unframedStream + eventText(1, 2), 0},
		{"part of a head", "/once/", "HTTP/1.1 200 OK\r\nT-Id: %s\r\n", http.StatusBadGateway},
		{"body with a length", "/once/", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nT-Id: %s\r\n\r\nwhole body", http.StatusBadGateway},
		{"body in chunks", "/once/", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nT-Id: %s\r\n\r\na\r\nwhole body\r\n", http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withUploads()
			gw.put("s1", startEarlyServer(t, c.partial, resetConnection))
			whole := 0
			for range resetRounds {
				r, body, err := gw.send(http.MethodPost, c.path, upload)
				switch {
				case c.status == 0 && err == nil, c.status != 0 && err == nil && r.StatusCode != c.status:
					whole++
				case c.status != 0 && err != nil:
					t.Errorf("no response: %v", err)
				case c.status != 0 && !strings.Contains(body, "outcome_unknown"):
					t.Errorf("body %q", body)
				}
			}
			if whole > 0 {
				t.Errorf("taken for whole %d times of %d", whole, resetRounds)
			}
		})
	}
}

// Guards against failing an idempotent request, or a stream that can be resumed, whose server resets
// its connection during the upload while another server responds.
func TestResetDuringUploadIsRepeated(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for _, c := range []struct{ path, partial, other, want string }{
		{"/safe/", unframedBody, unframedHead + "of the other", "of the other"},
		{"/stream/", unframedStream + eventText(1, 1), unframedStream + eventText(2, 2), eventText(1, 2)},
	} {
		for range resetRounds {
			gw := newTestGateway(t).withUploads()
			gw.put("s1", startEarlyServer(t, c.partial, resetConnection))
			gw.put("s2", startEarlyServer(t, c.other, func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }))
			r, body, err := gw.send(http.MethodPost, c.path, upload)
			wantStatus(t, r, err, http.StatusOK)
			if body != c.want {
				t.Errorf("%s: body %q, want %q", c.path, body, c.want)
			}
		}
	}
}

// Guards against refusing a response that ends early in a regular way, because the upload isn't over.
func TestWholeResponseDuringUploadIsRelayed(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	halfClose := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(arrivalTime)
	}
	endThen := func(next func(*net.TCPConn, io.Reader)) func(*net.TCPConn, io.Reader) {
		return func(conn *net.TCPConn, body io.Reader) {
			halfClose(conn)
			next(conn, body)
		}
	}
	readBody := func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }
	leave := func(*net.TCPConn, io.Reader) {}
	const framed = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nT-Id: %s\r\n\r\nwhole body"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nT-Id: %s\r\n\r\na\r\nwhole body\r\n0\r\n\r\n"
	for _, c := range []struct {
		name, path, response, want string
		end                        func(*net.TCPConn, io.Reader)
	}{
		{"upload read after the end", "/once/", unframedBody, "whole body", endThen(readBody)},
		{"upload never read", "/once/", unframedBody, "whole body", endThen(leave)},
		{"reset after the end", "/once/", unframedBody, "whole body", endThen(resetConnection)},
		{"HTTP/1.0", "/once/", strings.Replace(unframedBody, "1.1", "1.0", 1), "whole body", endThen(leave)},
		{"upload read before the end", "/once/", unframedBody, "whole body", readBody},
		{"empty body", "/once/", unframedHead, "", endThen(leave)},
		{"stream", "/whole/", unframedStream + eventText(1, 2), eventText(1, 2), endThen(leave)},
		{"length, upload read late", "/once/", framed, "whole body", readBody},
		{"length, upload never read", "/once/", framed, "whole body", leave},
		{"length, reset after the end", "/once/", framed, "whole body", resetConnection},
		{"chunks, upload never read", "/once/", chunked, "whole body", leave},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withUploads()
			gw.put("s1", startEarlyServer(t, c.response, c.end))
			for range wholeRounds {
				r, body, err := gw.send(http.MethodPost, c.path, upload)
				wantStatus(t, r, err, http.StatusOK)
				if body != c.want {
					t.Fatalf("body %q, want %q", body, c.want)
				}
			}
		})
	}
}
