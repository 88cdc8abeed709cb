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
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

func TestAnswerIsPassedOnByteForByte(t *testing.T) {
	var got *http.Request
	var body string
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, body = r, string(b)
		rw.Header().Set("X-Own", "kept")
		rw.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(rw, "the answer")
	}).configured()
	r, text, err := w.ask(http.MethodPost, "/keyed/a%2Fb//c?q=1&q=%20", "the body",
		hKey, "k", hWorkspace, "forged", "X-Other", "too", "Connection", "X-Hop", "X-Hop", "gone")
	wantStatus(t, r, err, http.StatusCreated)
	if text != "the answer" || r.Header.Get("X-Own") != "kept" || r.Header.Get(hID) != "id-1" {
		t.Errorf("answer %q with %v", text, r.Header)
	}
	if got.RequestURI != "/keyed/a%2Fb//c?q=1&q=%20" || got.Host != "h" || body != "the body" {
		t.Errorf("request %s %s %q", got.Host, got.RequestURI, body)
	}
	h := got.Header
	if h.Get(hKey) != "" || h.Get(hWorkspace) != "w" || h.Get(hInstance) != "s1" || h.Get("X-Other") != "too" || h.Get("X-Hop") != "" {
		t.Errorf("headers at the server: %v", h)
	}
	if h.Get("User-Agent") != "Go-http-client/1.1" || h.Get("Accept-Encoding") != "gzip" {
		// Both come from the test's own client; the gateway adds none.
		t.Errorf("headers at the server: %v", h)
	}
}

func TestRefusalsOfTheGateway(t *testing.T) {
	w := newWorld(t, answers("ok"))
	r, _, err := w.ask(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable) // it knows no configuration yet
	w.configured()
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
		r, _, err := w.ask(http.MethodPost, c.path, c.body, c.headers...)
		wantStatus(t, r, err, c.status)
	}
}

// Symptom: a key is accepted more than five seconds after operators removed it.
// Sequence: the entry can't reach the store any more; the key is removed; requests
// with it come in.
// Cause: a configuration was used however old the proof that it is current.
func TestKeysNeedAFreshConfiguration(t *testing.T) {
	w := newWorld(t, answers("ok")).configured()
	*w.clock = w.clock.Add(DefaultKeyAge + time.Millisecond)
	r, _, err := w.ask(http.MethodGet, "/keyed/", "", hKey, "k")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if r.Header.Get("Retry-After") != "1.00" {
		t.Errorf("Retry-After %q", r.Header.Get("Retry-After"))
	}
	r, _, err = w.ask(http.MethodGet, "/nowhere/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable) // it may have been added since
	r, _, err = w.ask(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusOK)
	w.routes.MarkCurrent(*w.clock)
	r, _, err = w.ask(http.MethodGet, "/keyed/", "", hKey, "k")
	wantStatus(t, r, err, http.StatusOK)
}

// waitOnce is a placer that lets the first question wait, and does something
// meanwhile.
type waitOnce struct {
	Placer
	meanwhile func()
	asked     bool
}

func (p *waitOnce) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	if !p.asked {
		p.asked = true
		p.meanwhile()
		return placement.Placement{}, placement.Deferred
	}
	return p.Placer.Place(q, candidates)
}

// Symptom: a request runs under a key that was removed seconds before.
// Sequence: it waits for a server; meanwhile operators remove its key, or the entry
// loses the store for too long; then it is placed.
// Cause: the key was judged when the request came, and not again.
func TestKeyIsJudgedAgainAfterAWait(t *testing.T) {
	for _, c := range []struct {
		name      string
		meanwhile func(*world)
		status    int
	}{
		{"nothing", func(*world) {}, http.StatusOK},
		{"removed", func(w *world) {
			d := declared(2)
			d.Keys = nil
			w.routes.Offer(routetable.New(d), *w.clock)
		}, http.StatusUnauthorized},
		{"lost store", func(w *world) { *w.clock = w.clock.Add(time.Minute) }, http.StatusServiceUnavailable},
	} {
		w := newWorld(t, answers("ok")).configured()
		w.gateway.cfg.Placer = &waitOnce{Placer: w.gateway.cfg.Placer, meanwhile: func() { c.meanwhile(w) }}
		r, _, err := w.ask(http.MethodPost, "/keyed/", "body", hKey, "k", hPrompt, "9")
		wantStatus(t, r, err, c.status)
		if ran := w.arrivals() != ""; ran != (c.status == http.StatusOK) {
			t.Errorf("%s: arrivals %q", c.name, w.arrivals())
		}
	}
}

func TestWhatDidNotRunGoesToAnotherServer(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/whole/"} {
		w := newWorld(t, refuses, answers("ok")).configured()
		r, text, err := w.ask(http.MethodPost, path, "body")
		wantStatus(t, r, err, http.StatusOK)
		if text != "ok" {
			t.Errorf("%s: %q", path, text)
		}
		w.wantArrivals("s1 id-1, s2 id-1")
	}
}

// Symptom: a booking is made twice.
// Sequence: a server takes a request that may run once and breaks the connection
// without an answer.
// Cause: no answer was taken for "did not run". It must not be sent again, and the
// answer must not promise that it did not run.
func TestDoubtIsNotSentAgain(t *testing.T) {
	for _, c := range []struct {
		path     string
		status   int
		arrivals string
	}{
		{"/once/", http.StatusBadGateway, "s1 id-1"},
		{"/whole/", http.StatusBadGateway, "s1 id-1"},
		{"/safe/", http.StatusOK, "s1 id-1, s2 id-1"},
	} {
		w := newWorld(t, breaks, answers("ok")).configured()
		r, _, err := w.ask(http.MethodPost, c.path, "body")
		wantStatus(t, r, err, c.status)
		w.wantArrivals(c.arrivals)
	}
}

// Symptom: a request that ran is refused with a status that promises it did not.
// Sequence: the first server breaks off, the second refuses before it runs it.
// Cause: the last attempt alone decided what the answer says.
func TestRefusalAfterDoubtPromisesNothing(t *testing.T) {
	w := newWorld(t, breaks, refuses).configured()
	r, _, err := w.ask(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusBadGateway)
}

func TestFailuresOfServers(t *testing.T) {
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
		w := newWorld(t, fails, answers("ok")).configured()
		r, _, err := w.ask(http.MethodPost, c.path, "body")
		wantStatus(t, r, err, c.status)
		w.wantArrivals(c.arrivals)
	}
	w := newWorld(t, fails, fails).configured()
	r, text, err := w.ask(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusInternalServerError)
	if text != "broken" {
		t.Errorf("the server's own failure became %q", text)
	}
}

func TestNoMoreThanTheRoutesAttempts(t *testing.T) {
	w := newWorld(t, refuses, refuses, answers("ok")).configured()
	r, _, err := w.ask(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	w.wantArrivals("s1 id-1, s2 id-1")
}

// Symptom: callers get a piece twice, or none of it, after a server has died.
// Sequence: a server sends three events, tears the fourth in its middle and is gone.
// Cause: what was torn was passed on, or the next server began from the start.
func TestStreamGoesOnBehindTheLastWholeEvent(t *testing.T) {
	var last string
	w := newWorld(t, events(1, 3, true), func(rw http.ResponseWriter, r *http.Request) {
		last = r.Header.Get(hLastEvent)
		rw.Header().Set("X-Own", "second")
		events(3, 6, false)(rw, r) // one too early, to be left out
	}).configured()
	r, text, err := w.ask(http.MethodPost, "/stream/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if want := wantEvents(1, 6); text != want {
		t.Errorf("stream %q, want %q", text, want)
	}
	if last != "3" || r.Header.Get("X-Own") != "" {
		t.Errorf("resumed behind %q; the head is the second server's: %v", last, r.Header)
	}
}

// Symptom: a broken stream looks complete.
// Sequence: the server breaks off and no other may go on.
// Cause: the answer's end was written as if it were whole.
func TestBrokenStreamDoesNotEndInOrder(t *testing.T) {
	for _, path := range []string{"/whole/", "/stream/"} {
		w := newWorld(t, events(1, 3, true), refuses).configured()
		r, text, err := w.ask(http.MethodPost, path, "body")
		if r == nil || r.StatusCode != http.StatusOK || err == nil {
			t.Fatalf("%s: answer %v with error %v, want one that breaks off", path, r, err)
		}
		if text != wantEvents(1, 3) {
			t.Errorf("%s: %q", path, text)
		}
	}
}

// Symptom: a caller that had part of a stream gets a second head in it.
// Sequence: a stream breaks; the server that should go on answers with a failure.
// Cause: a failure was passed on though the head was out.
func TestFailureToResumeIsNotPassedOn(t *testing.T) {
	w := newWorld(t, events(1, 2, true), func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "broken")
	}).configured()
	_, text, err := w.ask(http.MethodPost, "/stream/", "body")
	if err == nil || text != wantEvents(1, 2) {
		t.Errorf("stream %q with error %v", text, err)
	}
}

// Symptom: engines work on for callers that have left.
// Sequence: a caller closes its connection before the first event.
// Cause: nobody closed the connection to the server.
func TestServerHearsThatTheCallerLeft(t *testing.T) {
	left := make(chan struct{})
	arrived := make(chan struct{})
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(left)
	}).configured()
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
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
		t.Fatal("the server was not told")
	}
}

// Symptom: a request that may run once arrives twice at a server.
// Sequence: a server keeps a connection, and closes it as it has read the next
// request on it.
// Cause: HTTP libraries send a request again by themselves when a kept connection
// fails.
func TestNothingIsResentBehindOurBack(t *testing.T) {
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
	w := newWorld(t).configured()
	w.directory.Put(upstream.Server{Instance: "raw", Service: "s", Address: address, Capacity: 4})
	r, _, err := w.ask(http.MethodGet, "/once/", "", hID, "first")
	wantStatus(t, r, err, http.StatusOK)
	r, _, err = w.ask(http.MethodGet, "/once/", "", hID, "second")
	wantStatus(t, r, err, http.StatusBadGateway)
	if len(arrivals) != 2 {
		t.Errorf("%d arrivals, want 2", len(arrivals))
	}
}

// Symptom: a caller reads the answer that was meant for another.
// Sequence: a server sends a second answer to a request; the next request goes out
// on the same connection.
// Cause: whatever comes next was taken for the next answer.
func TestSecondAnswerBelongsToNobody(t *testing.T) {
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
	w := newWorld(t).configured()
	w.directory.Put(upstream.Server{Instance: "raw", Service: "s", Address: address, Capacity: 4})
	for _, id := range []string{"one", "two", "three"} {
		r, text, err := w.ask(http.MethodGet, "/once/", "", hID, id)
		wantStatus(t, r, err, http.StatusOK)
		if text != id || r.Header.Get(hID) != id {
			t.Errorf("request %s got %q", id, text)
		}
	}
}

// dies starts a server that ends with the first request that it gets, and returns its address.
func dies(t *testing.T) string {
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
		_ = lis.Close() // the whole server ends
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_ = conn.Close()
	}()
	return lis.Addr().String()
}

// Symptom: a call that all of a workspace's callers make, such as one for a state, is refused
// for an hour at every entry.
// Sequence: three servers are killed by their operators within ten minutes while one such call
// runs there; in between it is answered a thousand times.
// Cause: deaths beside requests with the same caller, path and body were added up, and no
// answer was held against them. A request that kills gets none.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	w := newWorld(t).configured()
	for i := range suspectDeaths + 1 {
		name := fmt.Sprint("killed-", i)
		w.directory.Put(upstream.Server{Instance: name, Service: "s", Address: dies(t), Capacity: 4})
		r, _, err := w.ask(http.MethodPost, "/once/", "state")
		wantStatus(t, r, err, http.StatusBadGateway)
		w.directory.Remove(name, time.Now())
		w.directory.Put(upstream.Server{Instance: "well", Service: "s", Address: answersAll(t), Capacity: 4})
		r, _, err = w.ask(http.MethodPost, "/once/", "state")
		wantStatus(t, r, err, http.StatusOK)
		w.directory.Remove("well", time.Now())
	}
}

// answersAll starts a server that answers every request, and returns its address.
func answersAll(t *testing.T) string {
	t.Helper()
	return rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", hID, r.Header.Get(hID))
		}
	})
}

// Symptom: a request that kills servers kills one after the other.
// Sequence: its caller sends it again and again; each server that has it dies.
// Cause: nothing joins the deaths to the request.
func TestRequestThatKillsIsRefused(t *testing.T) {
	w := newWorld(t).configured()
	for i := range suspectDeaths {
		w.directory.Put(upstream.Server{Instance: fmt.Sprint("killed-", i), Service: "s", Address: dies(t), Capacity: 4})
		r, _, err := w.ask(http.MethodPost, "/once/", "poison")
		wantStatus(t, r, err, http.StatusBadGateway)
		w.directory.Remove(fmt.Sprint("killed-", i), time.Now())
	}
	w.directory.Put(upstream.Server{Instance: "next", Service: "s", Address: dies(t), Capacity: 4})
	r, _, err := w.ask(http.MethodPost, "/once/", "poison")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if len(w.witness.records) != suspectDeaths {
		t.Errorf("%d deaths were passed on, want %d", len(w.witness.records), suspectDeaths)
	}
	w.directory.Remove("next", time.Now())
	w.directory.Put(upstream.Server{Instance: "well", Service: "s", Address: answersAll(t), Capacity: 4})
	r, _, err = w.ask(http.MethodPost, "/once/", "innocent")
	wantStatus(t, r, err, http.StatusOK)
}

// Symptom: an outage is multiplied by retries.
// Sequence: a server refuses everything; every request goes to a second one.
// Cause: nothing bounds the sends beyond the first.
func TestRetriesAreWithinTheBudget(t *testing.T) {
	w := newWorld(t, refuses, refuses).configured()
	w.gateway.cfg.Budget = NewRetryBudget(0.2, 4, time.Hour, 1)
	for i := range 10 {
		r, _, err := w.ask(http.MethodPost, "/safe/", "body", hID, fmt.Sprint(i))
		wantStatus(t, r, err, http.StatusServiceUnavailable)
	}
	// 0.75 of 0.2 × 10 requests and 4 more at most.
	if n := strings.Count(w.arrivals(), "s2"); n == 0 || n > 4 {
		t.Errorf("%d sends beyond the first", n)
	}
}

func TestTimeoutOfTheRoute(t *testing.T) {
	hangs := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	}
	w := newWorld(t, hangs, answers("ok"))
	d := declared(1)
	for i := range d.Routes {
		d.Routes[i].Timeout = 50 * time.Millisecond
	}
	w.routes.Offer(routetable.New(d), *w.clock)
	r, _, err := w.ask(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusGatewayTimeout)
	w.wantArrivals("s1 id-1")
}

func TestShutdownPhases(t *testing.T) {
	w := newWorld(t, answers("ok")).configured()
	w.gateway.BeginShutdown()
	r, _, err := w.ask(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusOK)
	if !r.Close {
		t.Error("the answer doesn't ask for a new connection")
	}
	w.gateway.RefuseStreams()
	r, _, err = w.ask(http.MethodPost, "/stream/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if after := r.Header.Get("Retry-After"); after != "0.01" {
		t.Errorf("the caller may come back after %s s; other entries have room now", after)
	}
	r, _, err = w.ask(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusOK)
	w.gateway.RefuseAll()
	r, _, err = w.ask(http.MethodGet, "/safe/", "")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}

func TestUnreachableServerIsNoAttempt(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := newWorld(t).configured()
	gone := lis.Addr().String()
	_ = lis.Close()
	w.directory.Put(upstream.Server{Instance: "a-gone", Service: "s", Address: gone, Capacity: 4})
	r, _, err := w.ask(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusServiceUnavailable) // true: nothing was sent
}

// Symptom: requests stay in progress for ever, and so does their memory.
// Sequence: a caller sends a stream's request and reads nothing of the answer.
// Cause: a write to its connection waited without limit.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		filler := strings.Repeat("x", 64<<10)
		for i := 1; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, filler); err != nil {
				return
			}
		}
	})
	d := declared(1)
	for i := range d.Routes {
		d.Routes[i].Timeout = 100 * time.Millisecond
	}
	w.routes.Offer(routetable.New(d), *w.clock)
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\n%s: x\r\nContent-Length: 0\r\n\r\n", hID); err != nil {
		t.Fatal(err)
	}
	for w.arrivals() == "" {
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(time.Minute); w.gateway.ActiveRequests() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is still in progress")
		}
	}
}

// Symptom: a kept connection fails on its next request.
// Sequence: two requests on one connection, the second after the first one's time.
// Cause: the time limit of the first stayed on the connection.
func TestLimitsOfOneRequestEndWithIt(t *testing.T) {
	w := newWorld(t, answers("ok"))
	d := declared(1)
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Millisecond * 500
	}
	w.routes.Offer(routetable.New(d), *w.clock)
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
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
