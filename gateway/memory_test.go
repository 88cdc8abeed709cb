package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/briarturn/briarturn/placement"
)

// full has no room for anything, and counts how often it was asked.
type full struct{ asked atomic.Int64 }

func (f *full) Place(placement.Query, []placement.Candidate) (placement.Placement, placement.Answer) {
	f.asked.Add(1)
	return placement.Placement{}, placement.NoRoom
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
