package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/node"
	"github.com/briarturn/briarturn/internal/rawserver"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// endlessBytes is what servers send that send without end. It is far more than any limit, and bounds
// the memory of a test that fails.
const endlessBytes = 8 << 20

// endless is what a server sends in response to a request until its caller closes the connection.
type endless struct {
	begin, more string // begin is sent once, with the request's ID
	pause       time.Duration
	times       int // how often more is sent before the server falls silent; 0: without end
}

// start starts a server. It returns its address, the number of requests that it got, and how many of
// their connections have ended.
func (s endless) start(t testing.TB) (address string, requests, ended func() int) {
	got, gone := make(chan struct{}, 1000), make(chan struct{}, 1000)
	address = rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		got <- struct{}{}
		if strings.Contains(s.begin, "%s") {
			_, err = fmt.Fprintf(conn, s.begin, r.Header.Get(hID))
		} else {
			_, err = io.WriteString(conn, s.begin)
		}
		for i := 0; err == nil && (s.times == 0 && i*len(s.more) < endlessBytes || i < s.times); i++ {
			_, err = io.WriteString(conn, s.more)
			time.Sleep(s.pause)
		}
		_, _ = io.Copy(io.Discard, in) // until the caller closes the connection
		gone <- struct{}{}
	})
	return address, func() int { return len(got) }, func() int { return len(gone) }
}

// Bytes that are no answer.
var (
	endlessHead          = endless{begin: "HTTP/1.1 200 OK\r\nX-Long: ", more: strings.Repeat("x", 4096)}
	endlessLines         = endless{begin: "HTTP/1.1 200 OK\r\n", more: strings.Repeat("A: b\r\n", 700)}
	endlessInterim       = endless{more: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)}
	endlessOtherResponse = endless{begin: "HTTP/1.1 200 OK\r\nT-Id: another\r\n\r\n", more: strings.Repeat("x", 4096)}
	endlessEvent         = endless{begin: unframedStream + "data: ", more: strings.Repeat("x", 4096)}
	endlessEventLines    = endless{begin: unframedStream, more: strings.Repeat("data:\n", 700)}
	endlessCommentLines  = endless{begin: unframedStream, more: strings.Repeat(":\n", 2000)}
	endlessComments      = endless{begin: unframedStream, more: strings.Repeat(": wait\n\n", 500)}
	endlessOldEvents     = endless{begin: unframedStream + eventText(1, 3), more: strings.Repeat(eventText(1, 3), 50)}
	slowComments         = endless{begin: unframedStream, more: ": wait\n\n", pause: 20 * time.Millisecond}
)

// overLimit returns how many exchanges a limit has ended.
func (gw *testGateway) overLimit(l upstream.Limit) int64 {
	return metrics.GetOrRegisterCounter("upstream.over_limit."+string(l), gw.metrics).Count()
}

// Guards against a request that one server's bytes without end keep until its time is up, or that is
// repeated though it may run only once.
func TestBytesWithoutEndCostOneAttempt(t *testing.T) {
	for _, c := range []struct {
		name  string
		sends endless
		path  string
		limit upstream.Limit
	}{
		{"head", endlessHead, "/safe/", upstream.LimitHead},
		{"lines of a head", endlessLines, "/safe/", upstream.LimitHead},
		{"interim responses", endlessInterim, "/safe/", upstream.LimitInterim},
		{"another response", endlessOtherResponse, "/safe/", upstream.LimitOtherResponse},
		{"head, not repeatable", endlessHead, "/once/", upstream.LimitHead},
		{"interim responses, not repeatable", endlessInterim, "/once/", upstream.LimitInterim},
		{"another response, not repeatable", endlessOtherResponse, "/once/", upstream.LimitOtherResponse},
		{"event", endlessEvent, "/stream/", upstream.LimitEvent},
		{"lines of an event", endlessEventLines, "/stream/", upstream.LimitEvent},
		{"event, not repeatable", endlessEvent, "/whole/", upstream.LimitEvent},
		{"lines of comments", endlessCommentLines, "/stream/", upstream.LimitComments},
		{"lines of comments, not repeatable", endlessCommentLines, "/whole/", upstream.LimitComments},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gw := newTestGateway(t, respondWith("unused"), streamEvents(1, 3, false)).withSampleConfig()
			address, requests, _ := c.sends.start(t)
			gw.put("s1", address)
			r, body, err := gw.send(http.MethodPost, c.path, "q")
			if repeatable := c.path == "/safe/" || c.path == "/stream/"; repeatable {
				wantStatus(t, r, err, http.StatusOK)
				if body != eventText(1, 3) {
					t.Errorf("body %.100q", body)
				}
			} else {
				wantStatus(t, r, err, http.StatusBadGateway)
				gw.wantArrivals("")
			}
			if n := requests(); n != 1 {
				t.Errorf("%d requests, want 1", n)
			}
			if n := gw.overLimit(c.limit); n != 1 {
				t.Errorf("limit %s ended %d exchanges, want 1", c.limit, n)
			}
		})
	}
}

// Guards against a stream that a server keeps open with comments, fast or slowly, or with events that
// the caller has.
func TestStreamWithoutNewEventsGoesOnElsewhere(t *testing.T) {
	for _, c := range []struct {
		name  string
		sends endless
		limit upstream.Limit
	}{
		{"comments", endlessComments, upstream.LimitComments},
		{"slow comments", slowComments, upstream.LimitComments},
		{"old events", endlessOldEvents, upstream.LimitRepeatedEvents},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gw := newTestGateway(t, respondWith("unused"), streamEvents(1, 5, false))
			config := sampleConfig(1)
			for i := range config.Routes {
				config.Routes[i].Objective = time.Millisecond
			}
			gw.routes.Offer(routetable.New(config), *gw.clock)
			address, _, ended := c.sends.start(t)
			gw.put("s1", address)
			r, body, err := gw.send(http.MethodPost, "/stream/", "q")
			wantStatus(t, r, err, http.StatusOK)
			if got := strings.ReplaceAll(body, ": wait\n\n", ""); got != eventText(1, 5) {
				t.Errorf("body %.200q", got)
			}
			if n := gw.overLimit(c.limit); n != 1 {
				t.Errorf("limit %s ended %d exchanges, want 1", c.limit, n)
			}
			for ended() == 0 {
				time.Sleep(time.Millisecond) // the test hangs if the connection isn't closed
			}
		})
	}
}

// Guards against a response of a stream that can't be resumed and that ends well without an event.
func TestCommentsWithoutEndBreakStreamThatCannotBeResumed(t *testing.T) {
	gw := newTestGateway(t, respondWith("unused"), streamEvents(1, 3, false)).withSampleConfig()
	address, _, _ := endlessComments.start(t)
	gw.put("s1", address)
	if _, _, err := gw.send(http.MethodPost, "/whole/", "q"); err == nil {
		t.Error("the response ended well")
	}
	gw.wantArrivals("")
}

// Guards against an entry that goes on reading a body without a length, and without an end, that its
// caller no longer reads.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	gw := newTestGateway(t, respondWith("unused")).withSampleConfig()
	address, _, ended := endless{begin: unframedHead, more: strings.Repeat("x", 4096)}.start(t)
	gw.put("s1", address)
	response, err := gw.server.Client().Do(gw.request(http.MethodPost, "/safe/", "q"))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.CopyN(io.Discard, response.Body, 3*maxBufferedResponse); err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	_ = response.Body.Close()
	for ended() == 0 {
		time.Sleep(time.Millisecond) // the test hangs if the connection isn't closed
	}
}

// Guards against sending the next requests to a server whose bytes are no answer, too. The clock
// stands still, so that the refusal counts in full.
func TestServerOverLimitIsNotChosenNext(t *testing.T) {
	gw := newTestGateway(t, respondWith("unused"), respondWith("ok")).withSampleConfig()
	now := time.Now()
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return nil })
	gw.gateway.cfg.Placer = placement.NewPlanner(ledger, 1, func() time.Time { return now }, nil)
	address, requests, _ := endlessHead.start(t)
	gw.put("s1", address)
	for i := range 20 {
		r, _, err := gw.send(http.MethodPost, "/safe/", "q", hID, fmt.Sprint("id-", i))
		wantStatus(t, r, err, http.StatusOK)
	}
	if n := requests(); n > 1 {
		t.Errorf("%d requests, want 1 at most", n)
	}
}

// Guards against ending sound streams: with comments now and then, with events that are long or that the
// caller has.
func TestSoundStreamsMeetNoLimit(t *testing.T) {
	start := time.Now()
	objectives := &routetable.Route{Objective: time.Second, PauseObjective: 100 * time.Millisecond}
	none := &routetable.Route{}
	const relayed = 1 << 20
	for _, c := range []struct {
		name     string
		route    *routetable.Route
		bytes    int
		every    time.Duration
		times    int
		comments bool
		want     bool
	}{
		{"comments before the objective", objectives, 10, 100 * time.Millisecond, 39, true, false},
		{"comments for longer than callers wait", objectives, 10, 100 * time.Millisecond, 42, true, true},
		{"comments for a minute, no objective", none, 10, 100 * time.Millisecond, 600, true, false},
		{"comments each fifteen seconds", objectives, 10, 15 * time.Second, 1000, true, false},
		{"many comments", objectives, maxUselessBytes / 10, 0, 11, true, true},
		{"stream sent again", objectives, relayed / 100, time.Second, 100, false, false},
		{"stream sent again and again", objectives, relayed / 100, time.Second, 110, false, true},
	} {
		u := newUselessBytes(c.route, relayed)
		quota := &u.repeated
		if c.comments {
			quota = &u.comments
		}
		for i := range c.times {
			quota.Add(c.bytes, start.Add(time.Duration(i)*c.every))
		}
		if got := quota.Exhausted(); got != c.want {
			t.Errorf("%s: exceeded %v, want %v", c.name, got, c.want)
		}
	}
}

// smallestEntryBytes is the memory of the smallest entry VM.
const smallestEntryBytes = 184 << 20

// Guards against responses that exchanges hold together beyond their limit, against one that is cut since
// others are held, and against a share that isn't given back.
func TestHeldResponsesAreLimitedTogether(t *testing.T) {
	const length = 4 * freeHeldBytes
	text := strings.Repeat("x", length)
	gw := newTestGateway(t, respondWith(text)).withSampleConfig()
	gw.gateway.heldResponses.max = length
	for range 3 {
		r, body, err := gw.send(http.MethodPost, "/safe/", "q")
		wantStatus(t, r, err, http.StatusOK)
		if body != text {
			t.Errorf("%d bytes, want %d", len(body), length)
		}
	}
	for gw.gateway.heldResponses.used.Load() != 0 {
		time.Sleep(time.Millisecond) // the test hangs if a share isn't given back
	}
	gw.gateway.heldResponses.used.Store(length) // by others
	r, body, err := gw.send(http.MethodPost, "/safe/", "q")
	wantStatus(t, r, err, http.StatusOK)
	if body != text {
		t.Errorf("%d bytes, want %d", len(body), length)
	}
	address, _, _ := endless{begin: unframedStream + "data: ", more: text}.start(t)
	gw.put("s1", address)
	r, _, err = gw.send(http.MethodPost, "/whole/", "q")
	wantStatus(t, r, err, http.StatusBadGateway)
	if n := gw.overLimit(upstream.LimitMemory); n != 1 {
		t.Errorf("limit ended %d exchanges, want 1", n)
	}
}

// Guards against an entry that ends since servers send it bytes without end: its heap, with that of the
// test's callers and servers, stays below the memory of the smallest entry with a hundred such exchanges
// at once.
func TestMemoryOfExchangesWithoutEnd(t *testing.T) {
	// exchangeTimeout gives every exchange time to begin, and to hold what it may hold beside the others.
	const exchanges, exchangeTimeout = 100, "5000"
	defer debug.SetGCPercent(debug.SetGCPercent(node.GCPercent))
	almost := func(s endless, bytes int) endless {
		s.times = bytes / len(s.more)
		return s
	}
	for _, c := range []struct {
		name, path string
		sends      endless
	}{
		{"head", "/safe/", endlessHead},
		{"lines of a head", "/safe/", endlessLines},
		{"interim responses", "/safe/", endlessInterim},
		{"another response", "/safe/", endlessOtherResponse},
		{"event", "/stream/", endlessEvent},
		{"lines of an event", "/stream/", endlessEventLines},
		{"comments", "/stream/", endlessComments},
		{"event that stops below the limit", "/stream/", almost(endlessEvent, maxEventBytes-8192)},
		{"body that stops below the limit", "/safe/", almost(endless{begin: unframedHead, more: endlessEvent.more}, maxBufferedResponse-8192)},
		{"lines of a head that stop below the limit", "/safe/", almost(endlessLines, 60<<10)},
	} {
		gw := newTestGateway(t, respondWith("unused")).withSampleConfig()
		address, requests, _ := c.sends.start(t)
		gw.put("s1", address)
		peak := heapPeak(func() {
			var callers sync.WaitGroup
			for i := range exchanges {
				callers.Go(func() { gw.discard(c.path, hID, fmt.Sprint("id-", i), hTimeout, exchangeTimeout) })
			}
			callers.Wait()
		})
		t.Logf("%s: %d requests, heap %d MB at most", c.name, requests(), peak>>20)
		if peak > smallestEntryBytes {
			t.Errorf("%s: heap %d MB, want %d at most", c.name, peak>>20, smallestEntryBytes>>20)
		}
		if n := requests(); n < exchanges {
			t.Errorf("%s: %d requests, want %d", c.name, n, exchanges)
		}
	}
}

// discard sends a request and reads its response, if there is one, without keeping it.
func (gw *testGateway) discard(path string, headers ...string) {
	response, err := gw.server.Client().Do(gw.request(http.MethodPost, path, "q", headers...))
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
}

// heapPeak returns the largest heap while run runs, in bytes.
func heapPeak(run func()) uint64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	peak := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}
