package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/briarturn/briarturn/internal/rawserver"
)

// notRunBody is the error body with which an engine rejects a request.
const notRunBody = `{"code":"not_run"}`

// wantAllCallsBroken checks that no call of a client takes what an engine sends for an answer.
func wantAllCallsBroken(t *testing.T, c *Client, what string) {
	t.Helper()
	_, _, err := callService(t, c, 1)
	wantBroken(t, "service: "+what, err)
	_, err = c.Run(t.Context(), &RunRequest{RequestID: "r", Body: []byte(`{"messages":[]}`)})
	wantBroken(t, "run: "+what, err)
	wantBroken(t, "health: "+what, c.Health(t.Context()))
	wantBroken(t, "order: "+what, c.Order(t.Context(), &Order{}))
	wantBroken(t, "free segment: "+what, c.FreeSegment(t.Context(), "h"))
}

// Guards against an answer with an invalid head that is passed on, taken for a success, or for a
// proof that the request did not run.
func TestInvalidHeadIsBroken(t *testing.T) {
	for _, head := range rawserver.InvalidHeads() {
		for _, body := range []string{"{}", notRunBody, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse"} {
			c := newRawClient(t, head+"\r\n"+body, readBody)
			wantAllCallsBroken(t, c, head+body)
		}
	}
}

// Guards against an answer whose engine stopped inside its head, taken for one without a body.
func TestHeadThatEndsEarlyIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\n"
	for n := range len(head) {
		c := newRawClient(t, head[:n], readBody)
		_, _, err := callService(t, c, 1)
		wantBroken(t, head[:n], err)
	}
}

// Guards against another request on the connection of an invalid head: what follows there is unknown.
func TestConnectionOfInvalidHeadIsNotReused(t *testing.T) {
	const calls = 3
	connections := make(chan struct{}, calls)
	c := New(Config{Address: rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		connections <- struct{}{}
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})})
	t.Cleanup(c.Close)
	for range calls {
		_, _, err := callService(t, c, 1)
		wantBroken(t, "status 000", err)
	}
	if n := len(connections); n != calls {
		t.Errorf("%d connections, want %d", n, calls)
	}
}

// Guards against refusing an answer because of the interim responses before it.
func TestInterimResponsesAreSkipped(t *testing.T) {
	c := newRawClient(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", readBody)
	if status, body, err := callService(t, c, 1); status != http.StatusOK || body != "whole" || err != nil {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
}
