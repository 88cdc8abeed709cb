package engine

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/rawserver"
)

const (
	// uploadBytes is more than the socket buffers hold.
	uploadBytes = 8 << 20
	// uploadRounds is how often a test repeats an answer during an upload: which goroutine the
	// kernel reports a reset to changes.
	uploadRounds = 12
	// arrivalTime is enough for what a server wrote to arrive.
	arrivalTime = 10 * time.Millisecond
)

// newRawClient returns a client of a server that writes an answer to each request before it has read
// the body, and then calls end.
func newRawClient(t *testing.T, answer string, end func(conn *net.TCPConn, body io.Reader)) *Client {
	t.Helper()
	c := New(Config{Address: rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		time.Sleep(arrivalTime)
		_, _ = io.WriteString(conn, answer)
		time.Sleep(arrivalTime)
		end(conn.(*net.TCPConn), r.Body)
	})})
	t.Cleanup(c.Close)
	return c
}

func resetConnection(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }

func readBody(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// callService calls a service with a body of n bytes and returns its status and body.
func callService(t *testing.T, c *Client, n int) (int, string, error) {
	t.Helper()
	r := &ServiceRequest{Method: http.MethodPost, Path: "/", Body: bytes.NewReader(make([]byte, n)), ContentLength: int64(n)}
	resp, err := c.Service(t.Context(), r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.Status, string(body), err
}

// wantBroken checks the error of an answer that is no answer. The request may have run.
func wantBroken(t *testing.T, what string, err error) {
	t.Helper()
	if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotRun) {
		t.Errorf("%s: error %v", what, err)
	}
}

// Guards against a part of a service's response taken for the whole, because the reset that ended it
// was reported to the write of the request's body.
func TestResetDuringUploadIsBroken(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n\r\npart",
		"HTTP/1.0 200 OK\r\n\r\npart",
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
	} {
		c := newRawClient(t, answer, resetConnection)
		for range uploadRounds {
			_, _, err := callService(t, c, uploadBytes)
			wantBroken(t, answer, err)
		}
	}
}

// Guards against breaking off a whole response because the upload isn't over.
func TestWholeResponseDuringUpload(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\n\r\nwhole"
		framed   = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole"
	)
	leave := func(*net.TCPConn, io.Reader) {}
	halfCloseThen := func(next func(*net.TCPConn, io.Reader)) func(*net.TCPConn, io.Reader) {
		return func(conn *net.TCPConn, body io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(arrivalTime)
			next(conn, body)
		}
	}
	for _, c := range []struct {
		name, answer string
		end          func(*net.TCPConn, io.Reader)
	}{
		{"upload read after the end", unframed, halfCloseThen(readBody)},
		{"upload never read", unframed, halfCloseThen(leave)},
		{"upload read before the end", unframed, readBody},
		{"length, upload read late", framed, readBody},
		{"length, upload never read", framed, leave},
	} {
		client := newRawClient(t, c.answer, c.end)
		for range uploadRounds {
			if status, body, err := callService(t, client, uploadBytes); status != http.StatusOK || body != "whole" || err != nil {
				t.Errorf("%s: status %d, body %q, error %v", c.name, status, body, err)
			}
		}
	}
}
