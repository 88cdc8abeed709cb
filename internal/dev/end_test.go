package dev

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// keptConn is a raw connection of a caller, which retries nothing.
type keptConn struct {
	net.Conn
	answers *bufio.Reader
}

// confirm sends a call that may run once, and returns the answer's status and body.
func (c *keptConn) confirm(key string) (int, string, error) {
	request := fmt.Sprintf("POST /services/roster-app/confirm HTTP/1.1\r\nHost: h\r\nX-Workspace: appointments\r\n"+
		"Idempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}", key)
	_, sendErr := io.WriteString(c.Conn, request)
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, "", fmt.Errorf("%w (sending: %v)", err, sendErr)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against the request that meets the end of an entry on a connection that was
// idle through the drain: it gets EOF, and its caller can't know whether it ran.
func TestOpenConnectionsAreAnsweredUntilTheEntryIsGone(t *testing.T) {
	const callers = 60
	f := startSmall(t, nil)
	entry := f.Entries[0]
	var kept []*keptConn
	for i := range callers {
		conn, err := net.Dial("tcp", entry.Address())
		if err != nil {
			t.Fatal(err)
		}
		c := &keptConn{Conn: conn, answers: bufio.NewReader(conn)}
		defer c.Close()
		if i%2 == 0 { // the others have it to spare
			if status, body, err := c.confirm(fmt.Sprintf("before-%d", i)); status != http.StatusOK {
				t.Fatalf("status %d, %s, %v", status, body, err)
			}
		}
		kept = append(kept, c)
	}
	f.takeDown(0)
	if err := entry.DrainAndWait(t.Context()); err != nil {
		t.Fatal(err)
	}
	var sending sync.WaitGroup
	for i, c := range kept {
		sending.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Microsecond) // around the moment of the end
			status, body, err := c.confirm(fmt.Sprintf("meets-%d", i))
			notRun := strings.Contains(body, `"reason":"draining"`) && strings.Contains(body, `"code":"not_run"`)
			if err != nil || status != http.StatusServiceUnavailable || !notRun {
				t.Errorf("caller %d: status %d, %q, %v", i, status, body, err)
			}
			_ = c.Close()
		})
	}
	entry.Close()
	sending.Wait()
}
