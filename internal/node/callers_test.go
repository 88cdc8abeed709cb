package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/briarturn/briarturn/entry"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/internal/standin/objectapi"
)

// startAlone starts an entry without any other process.
func startAlone(t *testing.T) *Entry {
	t.Helper()
	const free = "127.0.0.1:0"
	n, err := StartEntry(EntryConfig{
		Name: "entry-1", Zone: "zone-1", Region: "tas",
		HTTPListen: free, RPCListen: free, DatagramListen: free, AdminListen: free,
		Store: objectapi.NewMemory(objectapi.Config{}), Limits: entry.Limits{}, Log: quiet.Logger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// Guards against a request that meets the end of its entry getting a closed
// connection for an answer: on fresh, kept and half-used connections the caller is
// told "not run", and then the connection ends.
func TestCallersAreToldTheEndOfTheirEntry(t *testing.T) {
	const whole = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
	before := map[string]string{"fresh": "", "kept": whole, "half a head": whole[:30]}
	for name, text := range before {
		t.Run(name, func(t *testing.T) {
			n := startAlone(t)
			conn, err := net.Dial("tcp", n.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			if _, err := io.WriteString(conn, text); err != nil {
				t.Fatal(err)
			}
			if text == whole {
				wantAnswer(t, answers, "")
			}
			if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			closed := make(chan struct{})
			go func() { defer close(closed); n.Close() }()
			wantAnswer(t, answers, reasonOfDrain)
			if n, err := answers.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("%d bytes after the last answer, %v", n, err)
			}
			_ = conn.Close()
			<-closed
		})
	}
}

const reasonOfDrain = `"reason":"draining"`

// wantAnswer reads an answer that holds a text; one with a reason says "not run".
func wantAnswer(t *testing.T, answers *bufio.Reader, text string) {
	t.Helper()
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(body), text) {
		t.Errorf("answer %q, %v; want %s", body, err, text)
	}
	if text == "" {
		return
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close || !strings.Contains(string(body), `"code":"not_run"`) {
		t.Errorf("status %d, close %t, %q", resp.StatusCode, resp.Close, body)
	}
}
