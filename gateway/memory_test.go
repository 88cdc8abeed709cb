package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
)

// refusedAtOnce is the longest time that a refusal which needs no waiting may take in these tests.
const refusedAtOnce = 150 * time.Millisecond

// fullPlacer reports no capacity until a time, and counts its calls.
type fullPlacer struct {
	Placer
	until time.Time
	calls atomic.Int64
}

func (p *fullPlacer) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	p.calls.Add(1)
	if time.Now().Before(p.until) {
		return placement.Placement{}, placement.NoCapacity
	}
	return p.Placer.Place(q, candidates)
}

// Guards against refusing a prompt after a moment without free memory though its caller has time, and
// against holding its caller to the end of its time.
func TestPromptWaitsForMemoryWhileItsCallerHasTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		fullTo time.Duration // since the request
		status int
	}{
		{"memory after half of the time", callerTime / 2, http.StatusOK},
		{"memory shortly before its end", callerTime * 8 / 10, http.StatusOK},
		{"none", 2 * callerTime, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
			begun := time.Now()
			placer := &fullPlacer{Placer: gw.gateway.cfg.Placer, until: begun.Add(c.fullTo)}
			gw.gateway.cfg.Placer = placer
			r, _, err := gw.send(http.MethodPost, "/safe/", "body", append(hTimeoutOf(callerTime), hPrompt, "300000")...)
			wantStatus(t, r, err, c.status)
			if c.status != http.StatusOK && r.Header.Get("Retry-After") == "" {
				t.Error("the response has no Retry-After header")
			}
			if took := time.Since(begun); took > callerTime+refusedAtOnce {
				t.Errorf("the caller waited for %v", took)
			}
			const maxCalls = callerTime/memoryRetryInterval + 2
			if n := placer.calls.Load(); n > int64(maxCalls) {
				t.Errorf("the placer was called %d times, want %d at most", n, maxCalls)
			}
		})
	}
}

// Guards against callers that wait though no server is known that could take their request.
func TestRequestWithoutServerIsRefusedAtOnce(t *testing.T) {
	for name, queue := range map[string]routetable.Switch{"queue": routetable.SwitchOn, "no queue": routetable.SwitchOff} {
		gw := newRoomGateway(t, 0)
		gw.gateway.cfg.Options.Features = routetable.Features{Queue: queue}
		gw.directory.Remove("s1", time.Now())
		begun := time.Now()
		r, body, err := gw.send(http.MethodPost, "/safe/", "body", hPrompt, "1000")
		gw.wantRefusal(reply{r, body, err}, http.StatusServiceUnavailable, ReasonNoServer)
		if took := time.Since(begun); took >= refusedAtOnce || r.Header.Get("Retry-After") == "" {
			t.Errorf("%s: refused after %v, Retry-After %q", name, took, r.Header.Get("Retry-After"))
		}
	}
}

// Guards against a caller that is held to the end of its time for memory that its servers don't have.
func TestPromptThatNeverFitsIsRefusedAtOnce(t *testing.T) {
	gw := newRoomGateway(t, 0)
	config := sampleConfig(2)
	config.Services[0].Engine = &placement.EngineProfile{
		Capacity: 4, MemoryTokens: 1_000, Stride: 1, Chunk: 1_000, StepTime: time.Millisecond, PrefillRate: 1e6, HopTime: time.Millisecond,
	}
	gw.routes.Offer(routetable.New(config), *gw.clock)
	gw.gateway.cfg.Placer = gw.placer.planner
	begun := time.Now()
	r, body, err := gw.send(http.MethodPost, "/safe/", "body", append(hTimeoutOf(callerTime), hPrompt, "5000")...)
	gw.wantRefusal(reply{r, body, err}, http.StatusServiceUnavailable, ReasonNoServer)
	if took := time.Since(begun); took >= refusedAtOnce {
		t.Errorf("refused after %v", took)
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
