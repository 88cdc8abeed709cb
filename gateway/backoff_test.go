package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarturn/briarturn/servernotice"
)

// refuseFor refuses each request and wants no others for a time in ms.
func refuseFor(ms string) http.HandlerFunc { return announcing(hBackOff, ms, respondNotRun) }

// Guards against requests to a server within the time for which it wants none.
func TestServerGetsNothingDuringItsBackOff(t *testing.T) {
	var refusing atomic.Bool
	refusing.Store(true)
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if refusing.Load() {
			refuseFor("60000")(w, r)
			return
		}
		respondWith("a")(w, r)
	}, respondWith("b")).withSampleConfig()
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusOK)
	refusing.Store(false)
	for _, path := range []string{"/safe/", "/once/", "/stream/"} {
		r, _, err = gw.send(http.MethodPost, path, "body")
		wantStatus(t, r, err, http.StatusOK)
	}
	gw.wantArrivals("s1 id-1, s2 id-1, s2 id-1, s2 id-1, s2 id-1")
}

// Guards against a request that waits, or is sent, when all servers want no requests, and against
// callers that are told to come back sooner, or all at once.
func TestRefusedAtOnceDuringBackOffOfAllServers(t *testing.T) {
	gw := newTestGateway(t, refuseFor("20000"), refuseFor("60000")).withSampleConfig()
	r, body, err := gw.send(http.MethodPost, "/safe/", "body")
	wantReason(t, r, body, err, "servers_back_off")
	times := map[float64]bool{}
	for range 20 {
		begun := time.Now()
		r, body, err = gw.send(http.MethodPost, "/safe/", "body", hPrompt, "9")
		wantReason(t, r, body, err, "servers_back_off")
		if waited := time.Since(begun); waited >= refusedAtOnce {
			t.Errorf("refused after %v", waited)
		}
		after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		if err != nil || after < 15 || after > 30 {
			t.Errorf("Retry-After %q, the first server wants none for 20 s", r.Header.Get("Retry-After"))
		}
		times[after] = true
	}
	if len(times) < 10 {
		t.Errorf("20 callers may retry at %d moments", len(times))
	}
	gw.wantArrivals("s1 id-1, s2 id-1")
}

// Guards against a second attempt at the server that wanted no further requests.
func TestRetryAvoidsServerInBackOff(t *testing.T) {
	gw := newTestGateway(t, refuseFor("60000")).withSampleConfig()
	r, body, err := gw.send(http.MethodPost, "/safe/", "body")
	wantReason(t, r, body, err, "servers_back_off")
	gw.wantArrivals("s1 id-1")
}

// Guards against sending a request to a server whose back-off began between the placement and the
// send.
func TestBackOffIsCheckedAgainBeforeSend(t *testing.T) {
	gw := newTestGateway(t, respondWith("a"), respondWith("b")).withSampleConfig()
	begin := func() {
		now := time.Now()
		gw.gateway.cfg.Notices.BackOff(servernotice.ServerOf("s1", 0), now.Add(time.Minute), now)
	}
	gw.gateway.cfg.Placer = &evacuatingPlacer{Placer: gw.gateway.cfg.Placer, begin: begin}
	r, _, err := gw.send(http.MethodGet, "/once/1", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s2 id-1")
}

// Guards against a back-off that ends early because a request that was sent before it succeeds.
func TestEarlierRequestDoesNotEndBackOff(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/slow" {
			close(arrived)
			<-release
			respondWith("a")(w, r)
			return
		}
		refuseFor("60000")(w, r)
	}).withSampleConfig()
	slow := make(chan int)
	go func() {
		r, _, err := gw.send(http.MethodGet, "/safe/slow", "")
		if err != nil {
			slow <- 0
			return
		}
		slow <- r.StatusCode
	}()
	<-arrived
	r, body, err := gw.send(http.MethodGet, "/safe/", "")
	wantReason(t, r, body, err, "servers_back_off")
	close(release)
	if status := <-slow; status != http.StatusOK {
		t.Errorf("the request that was sent before: status %d", status)
	}
	r, body, err = gw.send(http.MethodGet, "/safe/", "")
	wantReason(t, r, body, err, "servers_back_off")
	gw.wantArrivals("s1 id-1, s1 id-1")
}

// Guards against avoiding a server beyond the time that it named, or after a new start.
func TestServerIsUsedAfterItsBackOff(t *testing.T) {
	for name, end := range map[string]func(*testGateway){
		"end":       func(*testGateway) {},
		"new start": func(gw *testGateway) { gw.registerAgain("s1", 2000) },
	} {
		t.Run(name, func(t *testing.T) {
			backOff := map[string]string{"end": "50", "new start": "60000"}[name]
			var refusing atomic.Bool
			refusing.Store(true)
			gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
				if refusing.Swap(false) {
					refuseFor(backOff)(w, r)
					return
				}
				respondWith("a")(w, r)
			}).withSampleConfig()
			gw.registerAgain("s1", 1000)
			r, body, err := gw.send(http.MethodGet, "/once/", "")
			wantReason(t, r, body, err, "servers_back_off")
			end(gw)
			for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
				r, _, err = gw.send(http.MethodGet, "/once/", "")
				if err == nil && r.StatusCode == http.StatusOK {
					break
				}
				if time.Since(begun) > time.Minute/2 {
					t.Fatal("the server is still avoided")
				}
			}
			gw.wantArrivals("s1 id-1, s1 id-1")
		})
	}
}
