package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/briarturn/briarturn/internal/rawserver"
)

// testHead is a head of a response with the request's ID. A length, if any, is that of "body".
type testHead struct{ name, head string }

// invalidStatuses are heads with a status that no final response has.
var invalidStatuses = []testHead{
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n"},
	{"status 000 without a length", "HTTP/1.1 000 OK\r\nT-Id: %s\r\n\r\n"},
	{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n"},
	{"status +20", "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n"},
	{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n"},
	{"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n"},
	{"status 101 without an upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nT-Id: %s\r\n\r\n"},
}

// invalidFields are heads with a line that is no field.
var invalidFields = []testHead{
	{"blank in a name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Bad: 1\r\nT-Id: %s\r\n\r\n"},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Bad : 1\r\nT-Id: %s\r\n\r\n"},
	{"blank before the colon of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nT-Id: %s\r\n\r\n"},
	{"blank before the colon of the encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nT-Id: %s\r\n\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-\x01Bad: 1\r\nT-Id: %s\r\n\r\n"},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-\x7fBad: 1\r\nT-Id: %s\r\n\r\n"},
	{"tab in a name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-\tBad: 1\r\nT-Id: %s\r\n\r\n"},
	{"CR in a name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-\rBad: 1\r\nT-Id: %s\r\n\r\n"},
	{"no name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n: 1\r\nT-Id: %s\r\n\r\n"},
	{"no colon", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Bad\r\nT-Id: %s\r\n\r\n"},
	{"blank at the start of the first line", "HTTP/1.1 200 OK\r\n X-Bad: 1\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n"},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Bad: \x00\r\nT-Id: %s\r\n\r\n"},
	{"CR in a value", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Bad: 1\r2\r\nT-Id: %s\r\n\r\n"},
}

// responseLikeBody looks like a response of its own to a reader that skips the head before it.
const responseLikeBody = "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nContent-Length: 5\r\n\r\nfalse"

// Guards against a response with an invalid head that reaches the caller, or whose body is taken for
// another response, or for a proof that the request did not run.
func TestInvalidHeadIsNotRelayed(t *testing.T) {
	for _, c := range slices.Concat(invalidStatuses, invalidFields) {
		for _, extra := range []string{"", hNotRun + ": 1\r\n"} {
			for _, content := range []string{"body", responseLikeBody} {
				gw := newTestGateway(t).withSampleConfig()
				address, _ := startUnframedServer(t, strings.Replace(c.head, "T-Id", extra+"T-Id", 1)+content)
				gw.put("s1", address)
				wantOutcomeUnknown(t, gw, "/once/", c.name)
			}
		}
	}
}

// wantOutcomeUnknown sends a request and checks that it may have run and has no response of a server.
func wantOutcomeUnknown(t *testing.T, gw *testGateway, path, name string) {
	t.Helper()
	r, body, err := gw.send(http.MethodPost, path, "q")
	switch {
	case err != nil:
		t.Errorf("%s: no response: %v", name, err)
	case r.StatusCode != http.StatusBadGateway || !strings.Contains(body, "outcome_unknown"):
		t.Errorf("%s: status %d, body %q", name, r.StatusCode, body)
	}
}

// Guards against an idempotent request that fails because of a response with an invalid head, while
// another server answers.
func TestInvalidHeadIsRepeated(t *testing.T) {
	for _, c := range slices.Concat(invalidStatuses, invalidFields) {
		for path, want := range map[string]string{"/safe/": "of the other", "/stream/": eventText(1, 1)} {
			gw := newTestGateway(t).withSampleConfig()
			broken, _ := startUnframedServer(t, c.head+responseLikeBody)
			other, _ := startUnframedServer(t, unframedHead+"of the other")
			if path == "/stream/" {
				other, _ = startUnframedServer(t, unframedStream+eventText(1, 1))
			}
			gw.put("s1", broken)
			gw.put("s2", other)
			if r, body, err := gw.send(http.MethodPost, path, "q"); err != nil || r.StatusCode != http.StatusOK || body != want {
				t.Errorf("%s: %s: %v, body %q, error %v", c.name, path, r, body, err)
			}
		}
	}
}

// Guards against a response whose server stopped inside its head, taken for one without a body.
func TestHeadThatEndsEarlyIsNotRelayed(t *testing.T) {
	const (
		framed   = "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nContent-Length: 10\r\n\r\n"
		unframed = "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	for _, c := range []struct{ path, head string }{{"/once/", framed}, {"/whole/", unframed}} {
		for n := range len(c.head) {
			gw := newTestGateway(t).withSampleConfig()
			gw.put("s1", rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, c.head[:n])
				}
			}))
			wantOutcomeUnknown(t, gw, c.path, strconv.Quote(c.head[:n]))
		}
	}
}

// Guards against refusing a valid head in an unusual form.
func TestUnusualHeadIsRelayed(t *testing.T) {
	for _, c := range []struct {
		name, head string
		status     int
	}{
		{"interim responses before it", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n", 200},
		{"unknown status", "HTTP/1.1 599 X\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n", 599},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 4\r\nT-Id: %s\r\n\r\n", 200},
		{"every character of a name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n!#$%%&'*+-.^_`|~09azAZ: 1\r\nT-Id: %s\r\n\r\n", 200},
		{"blanks around values", "HTTP/1.1 200 OK\r\nContent-Length:\t4 \r\nX-A:\r\nT-Id:   %s  \r\n\r\n", 200},
		{"folded value", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: 1,\r\n 2\r\nT-Id: %s\r\n\r\n", 200},
		{"lines without CR", "HTTP/1.1 200 OK\nContent-Length: 4\nT-Id: %s\n\n", 200},
	} {
		gw := newTestGateway(t).withSampleConfig()
		address, _ := startUnframedServer(t, c.head+"body")
		gw.put("s1", address)
		r, body, err := gw.send(http.MethodPost, "/once/", "q")
		if err != nil || r.StatusCode != c.status || body != "body" {
			t.Errorf("%s: %v, body %q, error %v", c.name, r, body, err)
		}
	}
}
