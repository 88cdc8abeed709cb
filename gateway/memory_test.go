package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarturn/briarturn/placement"
)

// noCapacityPlacer reports for every request that there is no capacity, and counts its
// calls.
type noCapacityPlacer struct{ calls atomic.Int64 }

func (f *noCapacityPlacer) Place(placement.Query, []placement.Candidate) (placement.Placement, placement.Decision) {
	f.calls.Add(1)
	return placement.Placement{}, placement.NoCapacity
}

// Guards against a burst of long prompts after which few requests of any size are on
// time. All memory is in use, and the prompts that need the most wait at the gateways and
// take memory as it becomes free. A prompt without capacity waited for most of its
// objective and was refused when it could no longer be on time.
func TestPromptWithoutCapacityIsRefusedEarly(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
	placer := &noCapacityPlacer{}
	gw.gateway.cfg.Placer = placer
	r, _, err := gw.send(http.MethodPost, "/stream/", "body", hPrompt, "300000")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if r.Header.Get("Retry-After") == "" {
		t.Error("the response has no Retry-After header")
	}
	const maxCalls = DefaultMemoryWait/memoryRetryInterval + 2
	if n := placer.calls.Load(); n > int64(maxCalls) {
		t.Errorf("the placer was called %d times, want %d at most", n, maxCalls)
	}
}

// tooLatePlacer reports for every request that its response would come after the
// deadline.
type tooLatePlacer struct{ calls atomic.Int64 }

func (l *tooLatePlacer) Place(placement.Query, []placement.Candidate) (placement.Placement, placement.Decision) {
	l.calls.Add(1)
	return placement.Placement{Forecast: time.Minute}, placement.DeadlineUnmeetable
}

// Guards against a caller that waits for fifteen seconds and gets no response, and delays
// the requests beside it. The first token of its prompt is forecast for long after its
// deadline. The prompt was held and placed in the end although it could no longer
// succeed.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
	placer := &tooLatePlacer{}
	gw.gateway.cfg.Placer = placer
	r, body, err := gw.send(http.MethodPost, "/stream/", "body", hPrompt, "300000", hTimeout, "5000")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if !strings.Contains(body, string(ReasonDeadlineUnmeetable)) || !strings.Contains(body, "not_run") {
		t.Errorf("body %q", body)
	}
	const excess = 55 // seconds by which a minute exceeds the timeout
	if after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err != nil || after < excess {
		t.Errorf("Retry-After %q, want %d s or more", r.Header.Get("Retry-After"), excess)
	}
	if n := placer.calls.Load(); n != 1 {
		t.Errorf("the placer was called %d times", n)
	}
	gw.wantArrivals("")
}
