package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/routetable"
)

// joined is an engine that keeps a prompt together with others.
var joined = &placement.EngineProfile{
	Capacity: 12, MemoryTokens: 200_000, Stride: 48, Chunk: 2048,
	StepTime: time.Millisecond, PrefillRate: 1e9, HopTime: 75 * time.Microsecond,
}

// ownMemory is the memory of engines on which no prompt has begun. mu guards held.
type ownMemory struct {
	mu    sync.Mutex
	held  map[string]bool // by address and id
	taken int
}

func (m *ownMemory) Reserve(_ context.Context, e reservation.Engine, id string, _ int, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key := e.Address + "/" + id; !m.held[key] {
		m.held[key] = true
		m.taken++
	}
	return nil
}

func (m *ownMemory) Release(_ context.Context, e reservation.Engine, id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, e.Address+"/"+id)
	return nil
}

func (m *ownMemory) Usage(context.Context, reservation.Engine, string) (reservation.Usage, error) {
	return reservation.Unused, nil
}

// joining has the gateway place prompts with the real planner on engines that keep
// them together, and reserve in m.
func (w *world) joining(m *ownMemory) *world {
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return joined })
	w.gateway.cfg.Placer = placement.NewPlanner(ledger, 1, time.Now, nil)
	w.gateway.cfg.Reserver = reservation.New(m, 1, quiet.Logger(), metrics.NewRegistry())
	d := declared(1)
	d.Services = []routetable.Service{{Name: "s", Engine: joined}}
	w.routes.Offer(routetable.New(d), *w.clock)
	return w
}

// Symptom: engines keep memory for a prompt for twelve seconds and no prompt uses it;
// its caller leaves without an answer.
// Sequence: an engine goes silent and goes on saying that it is well. A prompt that
// is kept on several engines is placed with that one to answer. It takes the request
// and never begins with it. Nothing comes, so that the caller leaves after four times
// its objective; until then the reservations are renewed every second.
// Cause: an attempt had no limit but its caller's patience, and what it had reserved
// lasted as long. The evidence: of 22 prompts without a token after three seconds the
// engines said of 12 that none had begun to use its memory, and none of these was
// ever answered; the other ten were in use, and all were.
func TestPromptLeavesAnEngineThatDoesNotBegin(t *testing.T) {
	const patience = "15000" // ms; far more than it takes to go elsewhere
	var arrivals atomic.Int64
	engine := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if arrivals.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		events(1, 3, false)(rw, r)
	}
	memory := &ownMemory{held: map[string]bool{}}
	w := newWorld(t, engine, engine, engine, engine).joining(memory)
	r, text, err := w.ask(http.MethodPost, "/stream/", "body", hPrompt, "300000", hPatience, patience)
	wantStatus(t, r, err, http.StatusOK)
	if text != wantEvents(1, 3) {
		t.Errorf("stream %q", text)
	}
	w.gateway.cfg.Reserver.Wait()
	if memory.taken == 0 || len(memory.held) != 0 {
		t.Errorf("%d reservations were made, %d are held at the end", memory.taken, len(memory.held))
	}
}
