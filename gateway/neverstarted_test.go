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

// sharedMemoryEngine is an engine that holds a prompt jointly with other engines.
var sharedMemoryEngine = &placement.EngineProfile{
	Capacity: 12, MemoryTokens: 200_000, Stride: 48, Chunk: 2048,
	StepTime: time.Millisecond, PrefillRate: 1e9, HopTime: 75 * time.Microsecond,
}

// idleEngines is an EngineClient whose engines reserve memory but never begin a prompt.
// mu guards its fields.
type idleEngines struct {
	mu    sync.Mutex
	held  map[string]bool // by address and reservation ID
	taken int
}

func (m *idleEngines) Reserve(_ context.Context, e reservation.Engine, id string, _ int, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key := e.Address + "/" + id; !m.held[key] {
		m.held[key] = true
		m.taken++
	}
	return nil
}

func (m *idleEngines) Release(_ context.Context, e reservation.Engine, id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, e.Address+"/"+id)
	return nil
}

func (m *idleEngines) Usage(context.Context, reservation.Engine, string) (reservation.Usage, error) {
	return reservation.Unused, nil
}

// withIdleEngines makes the gateway place prompts with the real planner on engines that
// hold a prompt jointly, and reserve memory in m.
func (gw *testGateway) withIdleEngines(m *idleEngines) *testGateway {
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return sharedMemoryEngine })
	gw.gateway.cfg.Placer = placement.NewPlanner(ledger, 1, time.Now, nil)
	gw.gateway.cfg.Reserver = reservation.New(m, 1, quiet.Logger(), metrics.NewRegistry())
	d := sampleConfig(1)
	d.Services = []routetable.Service{{Name: "s", Engine: sharedMemoryEngine}}
	gw.routes.Offer(routetable.New(d), *gw.clock)
	return gw
}

// Guards against engines that hold memory for twelve seconds for a prompt that never uses
// it, and whose caller leaves without a response. An engine goes silent but still reports
// that it is healthy. It is chosen to answer a prompt that several engines hold, takes
// the request and never begins it. The caller leaves after four times its objective, and
// the reservations are renewed every second until then. An attempt was limited only by
// its caller's timeout, and its reservations lasted as long. Of 22 prompts without a
// token after three seconds, the engines reported for 12 that none had begun to use its
// memory. None of these 12 was ever answered. The other ten were in use, and all were
// answered.
func TestPromptLeavesAnEngineThatDoesNotBegin(t *testing.T) {
	const timeout = "15000" // ms; far more than another attempt takes
	var arrivals atomic.Int64
	engine := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if arrivals.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		streamEvents(1, 3, false)(rw, r)
	}
	memory := &idleEngines{held: map[string]bool{}}
	gw := newTestGateway(t, engine, engine, engine, engine).withIdleEngines(memory)
	r, text, err := gw.send(http.MethodPost, "/stream/", "body", hPrompt, "300000", hTimeout, timeout)
	wantStatus(t, r, err, http.StatusOK)
	if text != eventText(1, 3) {
		t.Errorf("stream %q", text)
	}
	gw.gateway.cfg.Reserver.Wait()
	if memory.taken == 0 || len(memory.held) != 0 {
		t.Errorf("%d reservations were made, %d are held at the end", memory.taken, len(memory.held))
	}
}
