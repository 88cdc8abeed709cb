package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/rawserver"
	"github.com/briarturn/briarturn/upstream"
)

// Responses with neither a length nor chunks end with their connection.
const (
	unframedHead   = "HTTP/1.1 200 OK\r\nT-Id: %s\r\n\r\n"
	unframedBody   = unframedHead + "whole body"
	unframedStream = "HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"
)

// startUnframedServer starts a server that writes response, with the request's ID, and closes
// the connection. It returns its address and a count of its connections.
func startUnframedServer(t *testing.T, response string) (address string, connections func() int) {
	t.Helper()
	accepted := make(chan struct{}, 100)
	address = rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			accepted <- struct{}{}
			_, _ = fmt.Fprintf(conn, response, r.Header.Get(hID))
		}
	})
	return address, func() int { return len(accepted) }
}

// Guards against refusing or breaking responses that end with their connection, and against sending
// another request on that connection.
func TestResponseThatEndsWithConnectionIsRelayed(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedResponse)
	for _, c := range []struct{ name, path, response, want string }{
		{"body", "/safe/", unframedBody, "whole body"},
		{"HTTP/1.0", "/safe/", strings.Replace(unframedBody, "1.1", "1.0", 1), "whole body"},
		{"empty body", "/safe/", unframedHead, ""},
		{"long body", "/safe/", unframedHead + long, long},
		{"stream", "/stream/", unframedStream + eventText(1, 3), eventText(1, 3)},
		{"stream that can't be resumed", "/whole/", unframedStream + eventText(1, 3), eventText(1, 3)},
		{"stream without an event", "/stream/", unframedStream, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withSampleConfig()
			address, requests := startUnframedServer(t, c.response)
			gw.put("s1", address)
			for i := range 2 {
				r, body, err := gw.send(http.MethodPost, c.path, "q", hID, fmt.Sprint("id-", i))
				wantStatus(t, r, err, http.StatusOK)
				if body != c.want {
					t.Errorf("%d bytes, want %d", len(body), len(c.want))
				}
			}
			if n := requests(); n != 2 {
				t.Errorf("%d requests reached the server, want 2", n)
			}
		})
	}
}

// Guards against a stream that ends inside an event with its connection, taken for complete.
func TestStreamThatEndsInsideEventIsResumed(t *testing.T) {
	const cut = unframedStream + "id: 1\ndata: piece 1\n\nid: 2\ndata: pie"
	for _, path := range []string{"/stream/", "/whole/"} {
		gw := newTestGateway(t).withSampleConfig()
		first, _ := startUnframedServer(t, cut)
		second, _ := startUnframedServer(t, unframedStream+eventText(2, 3))
		gw.put("s1", first)
		gw.put("s2", second)
		r, body, err := gw.send(http.MethodPost, path, "q")
		if path == "/whole/" {
			if err == nil {
				t.Errorf("%s: complete with %q", path, body)
			}
			continue
		}
		wantStatus(t, r, err, http.StatusOK)
		if body != eventText(1, 3) {
			t.Errorf("%s: %q", path, body)
		}
	}
}

// Guards against taking a response for whole that ended because its server did: nothing else marks
// the end.
func TestResponseThatEndsWithServerIsNotWhole(t *testing.T) {
	part := strings.Repeat("x", 2*maxBufferedResponse)
	for _, c := range []struct {
		name, path, partial string
		status              int // 0: the connection to the caller breaks
	}{
		{"idempotent body", "/safe/", unframedBody, http.StatusOK}, // of the other server
		{"non-idempotent body", "/once/", unframedBody, http.StatusBadGateway},
		{"empty body", "/once/", unframedHead, http.StatusBadGateway},
		{"long body", "/once/", unframedHead + part, 0},
		{"stream", "/stream/", unframedStream + eventText(1, 1), http.StatusOK}, // resumed
		{"stream that can't be resumed", "/whole/", unframedStream + eventText(1, 1), 0},
		{"stream without an event", "/whole/", unframedStream, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withSampleConfig()
			gw.put("s1", startMortalServer(t, c.partial, atOnce()).listener.Addr().String())
			other, _ := startUnframedServer(t, unframedStream+eventText(2, 2))
			if c.path == "/safe/" {
				other, _ = startUnframedServer(t, unframedHead+"of the other")
			}
			gw.put("s2", other)
			r, body, err := gw.send(http.MethodPost, c.path, "q", hParts, "a bad")
			if c.status == 0 {
				if err == nil {
					t.Errorf("complete with %d bytes", len(body))
				}
				return
			}
			wantStatus(t, r, err, c.status)
			switch {
			case c.path == "/safe/" && body != "of the other", c.path == "/stream/" && body != eventText(1, 2):
				t.Errorf("body %q", body)
			}
		})
	}
}

// Guards against taking a response for whole whose server ends, while its listener outlives the
// connection by a moment.
func TestEndOfServerIsNoticedBeforeItsListenerCloses(t *testing.T) {
	const moment = 5 * time.Millisecond
	gw := newTestGateway(t).withSampleConfig()
	m := startMortalServer(t, unframedStream+eventText(1, 1), make(chan struct{}))
	m.listenerDelay = moment
	gw.put("s1", m.listener.Addr().String())
	close(m.die)
	other, _ := startUnframedServer(t, unframedStream+eventText(2, 2))
	gw.put("s2", other)
	r, body, err := gw.send(http.MethodPost, "/stream/", "q")
	wantStatus(t, r, err, http.StatusOK)
	if body != eventText(1, 2) {
		t.Errorf("body %q", body)
	}
}

// Guards against taking a part of a response for the whole because its server, which ends, had said
// that it leaves: another one can tell whether there is more.
func TestResponseOfLeavingServerIsRepeated(t *testing.T) {
	for _, c := range []struct{ path, partial, other, want string }{
		{"/safe/", unframedBody, unframedHead + "of the other", "of the other"},
		{"/stream/", unframedStream + eventText(1, 1), unframedStream + eventText(2, 2), eventText(1, 2)},
		{"/stream/", unframedStream + eventText(1, 2), unframedStream, eventText(1, 2)}, // there is no more
	} {
		gw := newTestGateway(t).withSampleConfig()
		end := make(chan struct{})
		m := startMortalServer(t, c.partial, end)
		address := m.listener.Addr().String()
		gw.put("s1", address)
		other, _ := startUnframedServer(t, c.other)
		go func() {
			<-m.arrived
			gw.directory.Put(upstream.Server{Instance: "s1", Service: "s", Address: address, Capacity: 4, Draining: true})
			gw.put("s2", other)
			close(end)
		}()
		r, body, err := gw.send(http.MethodPost, c.path, "q")
		wantStatus(t, r, err, http.StatusOK)
		if body != c.want {
			t.Errorf("%s: body %q, want %q", c.path, body, c.want)
		}
	}
}

// Guards against breaking off a whole response whose server ends right after it, since it leaves.
func TestLastResponseOfLeavingServerIsWhole(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(gw *testGateway, address string)
	}{
		{"draining", func(gw *testGateway, address string) {
			gw.directory.Put(upstream.Server{Instance: "s1", Service: "s", Address: address, Capacity: 4, Draining: true})
		}},
		{"no longer registered", func(gw *testGateway, _ string) { gw.directory.Remove("s1", time.Now()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withSampleConfig()
			end := make(chan struct{})
			m := startMortalServer(t, unframedBody, end)
			gw.put("s1", m.listener.Addr().String())
			go func() {
				<-m.arrived
				c.leave(gw, m.listener.Addr().String())
				close(end)
			}()
			r, body, err := gw.send(http.MethodPost, "/once/", "q")
			wantStatus(t, r, err, http.StatusOK)
			if body != "whole body" {
				t.Errorf("body %q", body)
			}
		})
	}
}

// Guards against a crash before the first event, taken for an empty stream that shows that the parts of
// the prompt crash nothing.
func TestEmptyResponseOfEndedServerCountsAgainstParts(t *testing.T) {
	for _, partial := range []string{unframedHead, unframedStream} {
		gw := newTestGateway(t).withSampleConfig()
		if reached := gw.crashWithPart(2*partDeathLimit, "/whole/", partial, "a bad"); reached > partDeathLimit {
			t.Errorf("%d of %d servers were reached, allowed %d", reached, 2*partDeathLimit, partDeathLimit)
		}
	}
}

// Guards against a response that is reset instead of closed, taken for complete.
func TestResetResponseWithoutLengthIsNotWhole(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	gw.put("s1", rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, unframedBody, r.Header.Get(hID))
		time.Sleep(10 * time.Millisecond) // the response has arrived
		_ = conn.(*net.TCPConn).SetLinger(0)
	}))
	r, _, err := gw.send(http.MethodPost, "/once/", "q")
	wantStatus(t, r, err, http.StatusBadGateway)
}
