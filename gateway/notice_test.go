package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarturn/briarturn/servernotice"
)

// announcing returns a handler that sets a header of the test protocol and then responds as h does.
func announcing(header, value string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header, value)
		h(w, r)
	}
}

func respondFailed(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}

// registerAgain registers a server anew, as ready, under a later revision.
func (gw *testGateway) registerAgain(instance string, startedUnixMs int64) {
	s, ok := gw.directory.Lookup(instance)
	if !ok {
		gw.t.Fatalf("%s is not registered", instance)
	}
	s.Revision++
	s.StartedUnixMs = startedUnixMs
	gw.directory.Put(s)
}

// Guards against requests to a server that has announced in a response that it drains, while its
// registration still says that it is ready.
func TestServerThatAnnouncesDrainGetsNoNewRequests(t *testing.T) {
	for name, respond := range map[string]http.HandlerFunc{
		"success": respondWith("ok"), "refusal": respondNotRun, "failure": respondFailed, "stream": streamEvents(1, 2, false),
		"broken stream": streamEvents(1, 2, true),
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t, announcing(hDraining, "1", respond), respondWith("b")).withSampleConfig()
			_, _, _ = gw.send(http.MethodPost, "/stream/", "body", hID, "first") // its response depends on the case
			gw.registerAgain("s1", 0)
			gw.mu.Lock()
			gw.arrivalLog = nil
			gw.mu.Unlock()
			for _, path := range []string{"/safe/", "/once/", "/stream/"} {
				r, text, err := gw.send(http.MethodPost, path, "body")
				wantStatus(t, r, err, http.StatusOK)
				if text != "b" {
					t.Errorf("%s: response %q", path, text)
				}
			}
			gw.wantArrivals("s2 id-1, s2 id-1, s2 id-1")
		})
	}
}

// Guards against a second attempt at a server that announced with its refusal that it drains.
func TestRetryAvoidsServerThatAnnouncedDrain(t *testing.T) {
	gw := newTestGateway(t, announcing(hDraining, "1", respondNotRun)).withSampleConfig()
	r, body, err := gw.send(http.MethodPost, "/safe/", "body")
	wantReason(t, r, body, err, "servers_draining")
	gw.wantArrivals("s1 id-1")
}

// Guards against resuming a stream at a server that has announced that it drains.
func TestStreamIsNotResumedWhereDrainWasAnnounced(t *testing.T) {
	gw := newTestGateway(t, announcing(hDraining, "1", streamEvents(1, 3, true))).withSampleConfig()
	_, _, err := gw.send(http.MethodPost, "/stream/", "body")
	if err == nil {
		t.Error("the stream ended as if it were complete")
	}
	gw.wantArrivals("s1 id-1")
}

// Guards against a request that waits, or goes to the server, when the last server of its service
// has announced that it drains.
func TestRefusedAtOnceWhenLastServerDrains(t *testing.T) {
	gw := newTestGateway(t, announcing(hDraining, "1", respondWith("ok"))).withSampleConfig()
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusOK)
	r, body, err := gw.send(http.MethodPost, "/safe/", "body", hPrompt, "9")
	wantReason(t, r, body, err, "servers_draining")
	gw.wantArrivals("s1 id-1")
}

// Guards against sending a request to a server that announced that it drains between the placement
// and the send.
func TestDrainIsCheckedAgainBeforeSend(t *testing.T) {
	gw := newTestGateway(t, respondWith("a"), respondWith("b")).withSampleConfig()
	notice := func() {
		gw.gateway.cfg.Notices.SetDraining(servernotice.ServerOf("s1", 0), time.Now())
	}
	gw.gateway.cfg.Placer = &evacuatingPlacer{Placer: gw.gateway.cfg.Placer, begin: notice}
	r, _, err := gw.send(http.MethodGet, "/once/1", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s2 id-1")
}

// Guards against avoiding a server for what another one announces that has its address.
func TestNoticesOfAnotherInstanceAreIgnored(t *testing.T) {
	var misdirected atomic.Bool
	misdirected.Store(true)
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if misdirected.Swap(false) {
			w.Header().Set(hOther, "1")
			w.Header().Set(hDraining, "1")
			refuseFor("60000")(w, r)
			return
		}
		respondWith("ok")(w, r)
	}).withSampleConfig()
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s1 id-1, s1 id-1")
}

// Guards against avoiding a server that was started again under its name.
func TestNextStartOfDrainedServerGetsRequests(t *testing.T) {
	var draining atomic.Bool
	draining.Store(true)
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if draining.Load() {
			w.Header().Set(hDraining, "1")
		}
		respondWith("ok")(w, r)
	}).withSampleConfig()
	gw.registerAgain("s1", 1000)
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusOK)
	draining.Store(false)
	gw.registerAgain("s1", 2000)
	for range 2 {
		r, _, err = gw.send(http.MethodPost, "/safe/", "body")
		wantStatus(t, r, err, http.StatusOK)
	}
	gw.wantArrivals("s1 id-1, s1 id-1, s1 id-1")
}

// Guards against entries that learn of a drain only from their own requests, and against a report
// with each response.
func TestAnnouncedDrainIsReportedOnce(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 2)
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		announcing(hDraining, "1", respondWith("ok"))(w, r)
	}).withSampleConfig()
	done := make(chan struct{})
	for range 2 {
		go func() {
			_, _, _ = gw.send(http.MethodGet, "/safe/", "") // only what is reported counts
			done <- struct{}{}
		}()
	}
	for range 2 {
		<-arrived
	}
	close(release)
	for range 2 {
		<-done
	}
	gw.drains.mu.Lock()
	defer gw.drains.mu.Unlock()
	if got := gw.drains.servers; len(got) != 1 || got[0] != servernotice.ServerOf("s1", 0) {
		t.Errorf("reported %v", got)
	}
}
