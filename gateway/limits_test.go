package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/serverlimit"
)

// respondWithRate answers every request and names a request rate.
func respondWithRate(rate string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hRate, rate)
		_, _ = io.WriteString(w, "ok")
	}
}

// Guards against a request that waits, or goes to the server, when no server has room within
// the rates that they name.
func TestRequestBeyondAllRatesIsRefusedAtOnce(t *testing.T) {
	gw := newTestGateway(t, respondWithRate("0.5")).withSampleConfig()
	r, _, err := gw.send(http.MethodPost, "/safe/", "first") // learns the rate
	wantStatus(t, r, err, http.StatusOK)
	for range serverlimit.Allowance(0.5).Sends {
		r, _, err = gw.send(http.MethodPost, "/safe/", "within", hPrompt, "9")
		wantStatus(t, r, err, http.StatusOK)
	}
	begun := time.Now()
	r, _, err = gw.send(http.MethodPost, "/safe/", "beyond", hPrompt, "9")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if waited := time.Since(begun); waited >= refusedAtOnce {
		t.Errorf("refused after %v", waited)
	}
	after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	if err != nil || after < DefaultRetryAfter.Seconds() || after > maxLimitRetryAfter.Seconds() {
		t.Errorf("Retry-After %q", r.Header.Get("Retry-After"))
	}
}

// Guards against leaving out of a rate the sends that repeat a request or move it.
func TestRetriesCountInRate(t *testing.T) {
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(hRate, "0.5")
		respondNotRun(w, r)
	}).withSampleConfig()
	for range 10 {
		_, _, _ = gw.send(http.MethodPost, "/safe/", "body")
	}
	gw.mu.Lock()
	defer gw.mu.Unlock()
	if got, most := len(gw.arrivalLog), 1+serverlimit.Allowance(0.5).Sends; got > most {
		t.Errorf("%d requests arrived, want %d at most", got, most)
	}
}

// Guards against limiting a server for longer than it says, and against reports that no change
// calls for.
func TestRateEndsWithResponseThatNamesNone(t *testing.T) {
	rate := "0.5"
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) { respondWithRate(rate)(w, r) }).withSampleConfig()
	for range 2 {
		r, _, err := gw.send(http.MethodPost, "/safe/", "body")
		wantStatus(t, r, err, http.StatusOK)
	}
	rate = ""
	for range 10 {
		r, _, err := gw.send(http.MethodPost, "/safe/", "body")
		wantStatus(t, r, err, http.StatusOK)
	}
	key := placement.ServerKey("s1")
	want := []serverlimit.Observation{{Server: key, PerSecond: 0.5}, {Server: key}}
	if got := gw.limits.observations; len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("reports %v, want %v", got, want)
	}
}
