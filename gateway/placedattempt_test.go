package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/placement"
)

// firstTokenRecorder records the first tokens that are reported to other entries. mu
// guards its fields.
type firstTokenRecorder struct {
	mu          sync.Mutex
	firstTokens []uint64 // sequence numbers of the attempts whose first token came
}

func (t *firstTokenRecorder) Began(placement.Attempt)   {}
func (t *firstTokenRecorder) Ended(placement.AttemptID) {}
func (t *firstTokenRecorder) FirstToken(id placement.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstTokens = append(t.firstTokens, id.Seq)
}

// Guards against a server that resumes a stream and then counts as slow on all entries. A
// stream breaks off and continues on another server, which reads the prompt and sends
// events at once. Only the first event of a stream reported that the prompt was read, so
// the second attempt counted as unread until its end.
func TestFirstTokenOfEachAttemptIsTold(t *testing.T) {
	gw := newTestGateway(t, streamEvents(1, 3, true), streamEvents(4, 6, false)).withSampleConfig()
	recorder := &firstTokenRecorder{}
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return nil })
	gw.gateway.cfg.Placer = firstPlacer{placement.NewPlanner(ledger, 1, time.Now, recorder)}
	r, text, err := gw.send(http.MethodPost, "/stream/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if text != eventText(1, 6) {
		t.Errorf("stream %q", text)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if diff := cmp.Diff([]uint64{1, 2}, recorder.firstTokens); diff != "" {
		t.Errorf("reported first tokens:\n%s", diff)
	}
}
