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
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

func TestResponseIsRelayedUnchanged(t *testing.T) {
	var got *http.Request
	var body string
	gw := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, body = r, string(b)
		rw.Header().Set("X-Own", "kept")
		rw.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(rw, "the answer")
	}).withSampleConfig()
	r, text, err := gw.send(http.MethodPost, "/keyed/a%2Fb//c?q=1&q=%20", "the body",
		hKey, "k", hWorkspace, "forged", "X-Other", "too", "Connection", "X-Hop", "X-Hop", "gone")
	wantStatus(t, r, err, http.StatusCreated)
	if text != "the answer" || r.Header.Get("X-Own") != "kept" || r.Header.Get(hID) != "id-1" {
		t.Errorf("response %q with headers %v", text, r.Header)
	}
	if got.RequestURI != "/keyed/a%2Fb//c?q=1&q=%20" || got.Host != "h" || body != "the body" {
		t.Errorf("request %s %s %q", got.Host, got.RequestURI, body)
	}
	h := got.Header
	if h.Get(hKey) != "" || h.Get(hWorkspace) != "w" || h.Get(hInstance) != "s1" || h.Get("X-Other") != "too" || h.Get("X-Hop") != "" {
		t.Errorf("headers at the server: %v", h)
	}
	if h.Get("User-Agent") != "Go-http-client/1.1" || h.Get("Accept-Encoding") != "gzip" {
		// Both come from the test's own client. The gateway adds no headers.
		t.Errorf("headers at the server: %v", h)
	}
}

func TestGatewayRefusals(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok"))
	r, _, err := gw.send(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable) // the gateway has no configuration yet
	gw.withSampleConfig()
	for _, c := range []struct {
		path, body string
		headers    []string
		status     int
	}{
		{"/nowhere/", "", nil, http.StatusNotFound},
		{"/keyed/", "", nil, http.StatusUnauthorized},
		{"/keyed/", "", []string{hKey, "other"}, http.StatusUnauthorized},
		{"/keyed/", "", []string{hKey, "k"}, http.StatusOK},
		{"/safe/", "", []string{hID, ""}, http.StatusBadRequest},
		{"/safe/", strings.Repeat("x", 64<<10+1), nil, http.StatusRequestEntityTooLarge},
		{"/safe/", "", []string{"X-Long", strings.Repeat("x", 8<<10)}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		r, _, err := gw.send(http.MethodPost, c.path, c.body, c.headers...)
		wantStatus(t, r, err, c.status)
	}
}

// Guards against accepting a key more than five seconds after operators removed it. The
// entry lost the store, the key was removed, and requests with the key were checked
// against a configuration of any age.
func TestKeysNeedAFreshConfiguration(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
	*gw.clock = gw.clock.Add(DefaultKeyAge + time.Millisecond)
	r, _, err := gw.send(http.MethodGet, "/keyed/", "", hKey, "k")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if r.Header.Get("Retry-After") != "1.00" {
		t.Errorf("Retry-After %q", r.Header.Get("Retry-After"))
	}
	r, _, err = gw.send(http.MethodGet, "/nowhere/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable) // the route may have been added since
	r, _, err = gw.send(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.routes.MarkCurrent(*gw.clock)
	r, _, err = gw.send(http.MethodGet, "/keyed/", "", hKey, "k")
	wantStatus(t, r, err, http.StatusOK)
}

// deferOncePlacer is a Placer that defers the first request and calls meanwhile.
type deferOncePlacer struct {
	Placer
	meanwhile func()
	deferred  bool
}

func (p *deferOncePlacer) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	if !p.deferred {
		p.deferred = true
		p.meanwhile()
		return placement.Placement{}, placement.Deferred
	}
	return p.Placer.Place(q, candidates)
}

// Guards against a request that runs under a key which was removed seconds before. While
// the request waits for a server, operators remove its key or the entry loses the store
// for too long. The key was checked only when the request arrived.
func TestKeyIsReauthorizedAfterWait(t *testing.T) {
	for _, c := range []struct {
		name      string
		meanwhile func(*testGateway)
		status    int
	}{
		{"nothing", func(*testGateway) {}, http.StatusOK},
		{"removed", func(gw *testGateway) {
			d := sampleConfig(2)
			d.Keys = nil
			gw.routes.Offer(routetable.New(d), *gw.clock)
		}, http.StatusUnauthorized},
		{"lost store", func(gw *testGateway) { *gw.clock = gw.clock.Add(time.Minute) }, http.StatusServiceUnavailable},
	} {
		gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
		gw.gateway.cfg.Placer = &deferOncePlacer{Placer: gw.gateway.cfg.Placer, meanwhile: func() { c.meanwhile(gw) }}
		r, _, err := gw.send(http.MethodPost, "/keyed/", "body", hKey, "k", hPrompt, "9")
		wantStatus(t, r, err, c.status)
		if ran := gw.arrivals() != ""; ran != (c.status == http.StatusOK) {
			t.Errorf("%s: arrivals %q", c.name, gw.arrivals())
		}
	}
}

func TestUnexecutedRequestIsRetriedOnAnotherServer(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/whole/"} {
		gw := newTestGateway(t, respondNotRun, respondWith("ok")).withSampleConfig()
		r, text, err := gw.send(http.MethodPost, path, "body")
		wantStatus(t, r, err, http.StatusOK)
		if text != "ok" {
			t.Errorf("%s: %q", path, text)
		}
		gw.wantArrivals("s1 id-1, s2 id-1")
	}
}

// Guards against a booking that is made twice. A server takes a request that may run only
// once and breaks the connection without a response. The missing response was taken for
// "did not run". The request must not be sent again, and the response must not state that
// it did not run.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		path     string
		status   int
		arrivals string
	}{
		{"/once/", http.StatusBadGateway, "s1 id-1"},
		{"/whole/", http.StatusBadGateway, "s1 id-1"},
		{"/safe/", http.StatusOK, "s1 id-1, s2 id-1"},
	} {
		gw := newTestGateway(t, dropConnection, respondWith("ok")).withSampleConfig()
		r, _, err := gw.send(http.MethodPost, c.path, "body")
		wantStatus(t, r, err, c.status)
		gw.wantArrivals(c.arrivals)
	}
}

// Guards against a refusal that states that a request did not run although it did. The
// first server breaks off, and the second refuses the request before running it. The last
// attempt alone determined the response.
func TestRefusalAfterUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	gw := newTestGateway(t, dropConnection, respondNotRun).withSampleConfig()
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusBadGateway)
}

func TestServerFailures(t *testing.T) {
	fails := func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "broken")
	}
	for _, c := range []struct {
		path     string
		status   int
		arrivals string
	}{
		{"/safe/", http.StatusOK, "s1 id-1, s2 id-1"},
		{"/once/", http.StatusInternalServerError, "s1 id-1"},
	} {
		gw := newTestGateway(t, fails, respondWith("ok")).withSampleConfig()
		r, _, err := gw.send(http.MethodPost, c.path, "body")
		wantStatus(t, r, err, c.status)
		gw.wantArrivals(c.arrivals)
	}
	gw := newTestGateway(t, fails, fails).withSampleConfig()
	r, text, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusInternalServerError)
	if text != "broken" {
		t.Errorf("body %q, want the server's own error", text)
	}
}

func TestAttemptsAreLimitedByRoute(t *testing.T) {
	gw := newTestGateway(t, respondNotRun, respondNotRun, respondWith("ok")).withSampleConfig()
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	gw.wantArrivals("s1 id-1, s2 id-1")
}

// Guards against a caller that gets an event twice, or not at all, after a server has
// died. A server sends three events and dies in the middle of the fourth. The incomplete
// event was relayed, or the next server started from the beginning.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	var last string
	gw := newTestGateway(t, streamEvents(1, 3, true), func(rw http.ResponseWriter, r *http.Request) {
		last = r.Header.Get(hLastEvent)
		rw.Header().Set("X-Own", "second")
		streamEvents(3, 6, false)(rw, r) // the first event is a repeat that must be left out
	}).withSampleConfig()
	r, text, err := gw.send(http.MethodPost, "/stream/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if want := eventText(1, 6); text != want {
		t.Errorf("stream %q, want %q", text, want)
	}
	if last != "3" || r.Header.Get("X-Own") != "" {
		t.Errorf("resumed after event %q with response headers %v", last, r.Header)
	}
}

// Guards against a broken stream that looks complete. The server breaks off and no other
// server may resume the stream. The response was ended as if it were complete.
func TestBrokenStreamAbortsConnection(t *testing.T) {
	for _, path := range []string{"/whole/", "/stream/"} {
		gw := newTestGateway(t, streamEvents(1, 3, true), respondNotRun).withSampleConfig()
		r, text, err := gw.send(http.MethodPost, path, "body")
		if r == nil || r.StatusCode != http.StatusOK || err == nil {
			t.Fatalf("%s: response %v with error %v, want one that breaks off", path, r, err)
		}
		if text != eventText(1, 3) {
			t.Errorf("%s: %q", path, text)
		}
	}
}

// Guards against a second response head in a stream that the caller has partly received.
// The stream breaks, and the server that should resume it answers with an error. The
// error was relayed although the head had been sent.
func TestFailedResumeIsNotRelayed(t *testing.T) {
	gw := newTestGateway(t, streamEvents(1, 2, true), func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "broken")
	}).withSampleConfig()
	_, text, err := gw.send(http.MethodPost, "/stream/", "body")
	if err == nil || text != eventText(1, 2) {
		t.Errorf("stream %q with error %v", text, err)
	}
}

// Guards against engines that keep working for callers that are gone. A caller closes its
// connection before the first event, and the connection to the server was not closed.
func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	left := make(chan struct{})
	arrived := make(chan struct{})
	gw := newTestGateway(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(left)
	}).withSampleConfig()
	conn, err := net.Dial("tcp", gw.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\n%s: x\r\nContent-Length: 1\r\n\r\nb", hID)
	if err != nil {
		t.Fatal(err)
	}
	<-arrived
	_ = conn.Close()
	select {
	case <-left:
	case <-time.After(20 * time.Second):
		t.Fatal("the request at the server was not canceled")
	}
}

// Guards against a request that may run only once but arrives twice at a server. A server
// keeps a connection open and closes it after reading the next request on it. HTTP
// libraries resend a request by themselves when a kept connection fails.
func TestRequestIsNotResentOnBrokenConnection(t *testing.T) {
	arrivals := make(chan string, 8)
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			arrivals <- r.Header.Get(hID)
			if i > 0 {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", hID, r.Header.Get(hID))
		}
	})
	gw := newTestGateway(t).withSampleConfig()
	gw.directory.Put(upstream.Server{Instance: "raw", Service: "s", Address: address, Capacity: 4})
	r, _, err := gw.send(http.MethodGet, "/once/", "", hID, "first")
	wantStatus(t, r, err, http.StatusOK)
	r, _, err = gw.send(http.MethodGet, "/once/", "", hID, "second")
	wantStatus(t, r, err, http.StatusBadGateway)
	if len(arrivals) != 2 {
		t.Errorf("%d arrivals, want 2", len(arrivals))
	}
}

// Guards against a caller that gets another caller's response. A server sends a second
// response to a request, and the next request goes out on the same connection. Whatever
// came next was taken for the next response.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		earlier := ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(hID)
			if earlier != "" {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nstale", hID, earlier)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", hID, id, len(id), id)
			earlier = id
		}
	})
	gw := newTestGateway(t).withSampleConfig()
	gw.directory.Put(upstream.Server{Instance: "raw", Service: "s", Address: address, Capacity: 4})
	for _, id := range []string{"one", "two", "three"} {
		r, text, err := gw.send(http.MethodGet, "/once/", "", hID, id)
		wantStatus(t, r, err, http.StatusOK)
		if text != id || r.Header.Get(hID) != id {
			t.Errorf("request %s got %q", id, text)
		}
	}
}

// startDyingServer starts a server that ends at its first request, and returns its
// address.
func startDyingServer(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		_ = lis.Close() // no further connections are accepted
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_ = conn.Close()
	}()
	return lis.Addr().String()
}

// Guards against refusing a common call of a workspace's callers, such as one for a
// state, for an hour at every entry. Operators kill three servers within ten minutes
// while such a call runs there, and in between it is answered a thousand times. Server
// deaths were added up by caller, path and body, and no response cleared them. A request
// that kills servers gets no response.
func TestCompletedRequestIsNotQuarantined(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	for i := range deathThreshold + 1 {
		name := fmt.Sprint("killed-", i)
		gw.directory.Put(upstream.Server{Instance: name, Service: "s", Address: startDyingServer(t), Capacity: 4})
		r, _, err := gw.send(http.MethodPost, "/once/", "state")
		wantStatus(t, r, err, http.StatusBadGateway)
		gw.directory.Remove(name, time.Now())
		gw.directory.Put(upstream.Server{Instance: "well", Service: "s", Address: startRespondingServer(t), Capacity: 4})
		r, _, err = gw.send(http.MethodPost, "/once/", "state")
		wantStatus(t, r, err, http.StatusOK)
		gw.directory.Remove("well", time.Now())
	}
}

// startRespondingServer starts a server that answers every request, and returns its
// address.
func startRespondingServer(t *testing.T) string {
	t.Helper()
	return rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		// A connection that is closed with unread bytes is reset, and the reset may overtake the response.
		_, _ = io.Copy(io.Discard, r.Body)
		// Without Connection: close the next request may be sent just before the connection ends.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", hID, r.Header.Get(hID))
	})
}

// Guards against a request that kills one server after the other. Its caller sends it
// again and again, and each server that gets it dies. Nothing connected the deaths to the
// request.
func TestRequestThatKillsServersIsRefused(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	for i := range deathThreshold {
		gw.directory.Put(upstream.Server{Instance: fmt.Sprint("killed-", i), Service: "s", Address: startDyingServer(t), Capacity: 4})
		r, _, err := gw.send(http.MethodPost, "/once/", "poison")
		wantStatus(t, r, err, http.StatusBadGateway)
		gw.directory.Remove(fmt.Sprint("killed-", i), time.Now())
	}
	gw.directory.Put(upstream.Server{Instance: "next", Service: "s", Address: startDyingServer(t), Capacity: 4})
	r, _, err := gw.send(http.MethodPost, "/once/", "poison")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if len(gw.deaths.records) != deathThreshold {
		t.Errorf("%d deaths were reported, want %d", len(gw.deaths.records), deathThreshold)
	}
	gw.directory.Remove("next", time.Now())
	gw.directory.Put(upstream.Server{Instance: "well", Service: "s", Address: startRespondingServer(t), Capacity: 4})
	r, _, err = gw.send(http.MethodPost, "/once/", "innocent")
	wantStatus(t, r, err, http.StatusOK)
}

// Guards against retries that multiply an outage. A server refuses everything, and every
// request goes to a second one. Nothing bounded the retries.
func TestRetriesStayWithinBudget(t *testing.T) {
	gw := newTestGateway(t, respondNotRun, respondNotRun).withSampleConfig()
	gw.gateway.cfg.Budget = newRetryBudget(retrybudget.Options{Ratio: 0.2, Slack: 3, Window: time.Hour})
	for i := range 10 {
		r, _, err := gw.send(http.MethodPost, "/safe/", "body", hID, fmt.Sprint(i))
		wantStatus(t, r, err, http.StatusServiceUnavailable)
	}
	// half of 0.2 × 10 requests and 3 more at most
	if n := strings.Count(gw.arrivals(), "s2"); n == 0 || n > 4 {
		t.Errorf("%d retries", n)
	}
}

func TestRouteTimeout(t *testing.T) {
	hangs := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	}
	gw := newTestGateway(t, hangs, respondWith("ok"))
	d := sampleConfig(1)
	for i := range d.Routes {
		d.Routes[i].Timeout = 50 * time.Millisecond
	}
	gw.routes.Offer(routetable.New(d), *gw.clock)
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusGatewayTimeout)
	gw.wantArrivals("s1 id-1")
}

func TestShutdownPhases(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
	gw.gateway.BeginShutdown(time.Now().Add(shutdownTime))
	r, _, err := gw.send(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusOK)
	if !r.Close {
		t.Error("the response does not close the connection")
	}
	gw.gateway.RefuseLate()
	r, _, err = gw.send(http.MethodPost, "/stream/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if after := r.Header.Get("Retry-After"); after != "0.01" {
		t.Errorf("Retry-After %s, want an immediate retry", after)
	}
	r, _, err = gw.send(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.gateway.RefuseAll()
	r, _, err = gw.send(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}

func TestUnreachableServerMeansNotRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gw := newTestGateway(t).withSampleConfig()
	gone := lis.Addr().String()
	_ = lis.Close()
	gw.directory.Put(upstream.Server{Instance: "a-gone", Service: "s", Address: gone, Capacity: 4})
	r, _, err := gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusServiceUnavailable) // correct: nothing was sent
}

// Guards against requests that stay in progress, and hold their memory, forever. A caller
// requests a stream and reads nothing of the response. Writes to its connection had no
// time limit.
func TestNonReadingCallerIsDisconnected(t *testing.T) {
	gw := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		filler := strings.Repeat("x", 64<<10)
		for i := 1; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, filler); err != nil {
				return
			}
		}
	})
	d := sampleConfig(1)
	for i := range d.Routes {
		d.Routes[i].Timeout = 100 * time.Millisecond
	}
	gw.routes.Offer(routetable.New(d), *gw.clock)
	conn, err := net.Dial("tcp", gw.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\n%s: x\r\nContent-Length: 0\r\n\r\n", hID); err != nil {
		t.Fatal(err)
	}
	for gw.arrivals() == "" {
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(time.Minute); gw.gateway.ActiveRequests() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is still in progress")
		}
	}
}

// Guards against a kept connection that fails on its next request. The second of two
// requests on a connection arrives after the first one's deadline, which had stayed on
// the connection.
func TestDeadlinesAreClearedAfterRequest(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok"))
	d := sampleConfig(1)
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Millisecond * 500
	}
	gw.routes.Offer(routetable.New(d), *gw.clock)
	conn, err := net.Dial("tcp", gw.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for i := range 2 {
		if _, err := fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: %d\r\nContent-Length: 1\r\n\r\nb", hID, i); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d", i, r.StatusCode)
		}
		time.Sleep(500*time.Millisecond + DefaultWriteSlack + 100*time.Millisecond)
	}
}
