package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/placement"
)

// told notes what other entries are told of attempts. mu guards its fields.
type told struct {
	mu    sync.Mutex
	first []uint64 // sequences of the attempts whose first token came
}

func (t *told) Began(placement.Attempt)   {}
func (t *told) Ended(placement.AttemptID) {}
func (t *told) FirstToken(id placement.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = append(t.first, id.Seq)
}

// Symptom: a server that resumes a stream counts as slow on all entries.
// Sequence: a stream breaks off and goes on at another server, which reads the prompt
// and writes at once.
// Cause: only the first event of a stream told that a prompt is read, not that of each
// attempt, so that the second one counted as unread until its end.
func TestFirstTokenOfEachAttemptIsTold(t *testing.T) {
	w := newWorld(t, events(1, 3, true), events(4, 6, false)).configured()
	tell := &told{}
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return nil })
	w.gateway.cfg.Placer = inOrder{placement.NewPlanner(ledger, 1, time.Now, tell)}
	r, text, err := w.ask(http.MethodPost, "/stream/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if text != wantEvents(1, 6) {
		t.Errorf("stream %q", text)
	}
	tell.mu.Lock()
	defer tell.mu.Unlock()
	if diff := cmp.Diff([]uint64{1, 2}, tell.first); diff != "" {
		t.Errorf("first tokens told:\n%s", diff)
	}
}
