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

// full has no room for anything, and counts how often it was asked.
type full struct{ asked atomic.Int64 }

func (f *full) Place(placement.Query, []placement.Candidate) (placement.Placement, placement.Decision) {
	f.asked.Add(1)
	return placement.Placement{}, placement.NoCapacity
}

// Symptom: in a burst of long prompts few requests of any size come in time.
// Sequence: all memory is taken; prompts that need the most wait at the gateways and
// take each room as it becomes free.
// Cause: a prompt without room waited for most of its objective, and was refused when
// its caller could no longer be on time.
func TestPromptWithoutRoomIsRefusedSoon(t *testing.T) {
	w := newWorld(t, answers("ok")).configured()
	placer := &full{}
	w.gateway.cfg.Placer = placer
	r, _, err := w.ask(http.MethodPost, "/stream/", "body", hPrompt, "300000")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if r.Header.Get("Retry-After") == "" {
		t.Error("the caller isn't told when to come back")
	}
	const looks = DefaultMemoryWait/memoryPause + 2
	if n := placer.asked.Load(); n > int64(looks) {
		t.Errorf("room was looked for %d times, want %d at most", n, looks)
	}
}

// late says of every request that its answer would come too late.
type late struct{ asked atomic.Int64 }

func (l *late) Place(placement.Query, []placement.Candidate) (placement.Placement, placement.Decision) {
	l.asked.Add(1)
	return placement.Placement{Forecast: time.Minute}, placement.DeadlineUnmeetable
}

// Symptom: a caller waits for fifteen seconds and gets nothing, and so do those beside it.
// Sequence: a prompt comes whose first token is forecast for long after its caller's time.
// Cause: it was held, and placed in the end, though that couldn't be of use.
func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, answers("ok")).configured()
	placer := &late{}
	w.gateway.cfg.Placer = placer
	r, body, err := w.ask(http.MethodPost, "/stream/", "body", hPrompt, "300000", hPatience, "5000")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if !strings.Contains(body, string(ReasonDeadlineUnmeetable)) || !strings.Contains(body, "not_run") {
		t.Errorf("body %q", body)
	}
	const excess = 55 // seconds that a minute is beyond its patience
	if after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err != nil || after < excess {
		t.Errorf("Retry-After %q, want %d s or more", r.Header.Get("Retry-After"), excess)
	}
	if n := placer.asked.Load(); n != 1 {
		t.Errorf("it was asked %d times for a place", n)
	}
	w.wantArrivals("")
}
