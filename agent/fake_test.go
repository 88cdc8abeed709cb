package agent

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// fakeEngine answers each run with the chunks that the test sends to its
// stream.
type fakeEngine struct {
	mu         sync.Mutex // guards all fields below
	boot       string
	down       error // returned by all methods except Order and Service
	requests   []EngineRequest
	usedTokens int64
	streams    map[string]*fakeStream
	runs       []*EngineRun
	canceled   map[string]bool
	freed      map[string]bool
	orders     []EngineOrder

	orderErr     error // result of Order
	weights      []backend.Weights
	segmentReady chan struct{}   // if set, PrefillSegment waits for it
	live         map[string]bool // runs and segments in the engine's memory
	sent         map[string]bool // attempts that reached the engine, or may have
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		boot:     "1",
		weights:  []backend.Weights{{Name: "briar"}},
		streams:  map[string]*fakeStream{},
		canceled: map[string]bool{},
		freed:    map[string]bool{},
		live:     map[string]bool{},
		sent:     map[string]bool{},
	}
}

type fakeStream struct {
	id     string
	ctx    context.Context
	chunks chan EngineChunk
	broken chan struct{}
	// finished ends the answer normally; completed records that
	// it did and is guarded by fakeEngine.mu.
	finished  chan struct{}
	completed bool
}

func (s *fakeStream) Next() (EngineChunk, error) {
	select {
	case c, ok := <-s.chunks:
		if !ok {
			return EngineChunk{}, io.EOF
		}
		return c, nil
	case <-s.finished:
		return EngineChunk{}, io.EOF
	case <-s.broken:
		return EngineChunk{}, ErrBroken
	case <-s.ctx.Done():
		return EngineChunk{}, ErrBroken
	}
}

func (s *fakeStream) Close() error { return nil }

func (e *fakeEngine) Run(ctx context.Context, run *EngineRun) (EngineStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.recordAttempt(run.ID); err != nil {
		return nil, err
	}
	e.live[run.ID] = true
	s := &fakeStream{id: run.ID, ctx: ctx, chunks: make(chan EngineChunk), broken: make(chan struct{}), finished: make(chan struct{})}
	e.streams[run.ID] = s
	e.runs = append(e.runs, run)
	return s, nil
}

// recordAttempt records an attempt that reaches the engine. Call with mu held.
func (e *fakeEngine) recordAttempt(id string) error {
	if !errors.Is(e.down, ErrUnreachable) {
		e.sent[id] = true
	}
	return e.down
}

func (e *fakeEngine) stream(id string) *fakeStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *fakeEngine) PrefillSegment(_ context.Context, run *EngineRun) (Segment, error) {
	if e.segmentReady != nil {
		<-e.segmentReady
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.recordAttempt(run.ID); err != nil {
		return Segment{}, err
	}
	e.live["kv-"+run.ID] = true
	return Segment{Handle: "kv-" + run.ID, Tokens: 100, PrefillUS: 7}, nil
}

func (e *fakeEngine) FreeSegment(_ context.Context, handle string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down != nil {
		return e.down
	}
	delete(e.live, handle)
	e.freed[handle] = true
	return nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down != nil {
		return e.down
	}
	delete(e.live, id)
	e.canceled[id] = true
	return nil
}

func (e *fakeEngine) Order(_ context.Context, order EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	return e.orderErr
}

func (e *fakeEngine) Health(context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (e *fakeEngine) Load(context.Context) (EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineLoad{UsedTokens: e.usedTokens, Requests: e.requests, BootID: e.boot}, e.down
}

func (e *fakeEngine) Inventory(context.Context) (EngineInventory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineInventory{Weights: slices.Clone(e.weights)}, e.down
}

func (e *fakeEngine) Service(context.Context, *ServiceCall) (ServiceStream, error) {
	return nil, ErrNotRun
}

// die breaks all streams and refuses connections.
func (e *fakeEngine) die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = ErrUnreachable
	for _, s := range e.streams {
		close(s.broken)
	}
}

func (e *fakeEngine) wasCanceled(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canceled[id]
}

func (e *fakeEngine) wasFreed(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freed[handle]
}

func (e *fakeEngine) startedRuns() []*EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

func testConfig(e Engine) Config {
	return Config{
		Descriptor: backend.Descriptor{
			Name: "engine-1", Pool: "briar-pool", Models: []string{"briar"},
			MemoryTokens: 10_000, PrefillRate: 10_000,
		},
		Incarnation: 1,
		Engine:      e,
		Logger:      quiet.Logger(),
		Metrics:     metrics.NewRegistry(),
		Limits:      Limits{LongPrefillTokens: 1000},
	}
}

func startAgent(t testing.TB, cfg Config) *Agent {
	t.Helper()
	a, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// withAgent runs a test in virtual time, with an agent and a fake engine.
func withAgent(t *testing.T, test func(t *testing.T, e *fakeEngine, a *Agent)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		test(t, e, startAgent(t, testConfig(e)))
	})
}

// dial connects to an agent over a pipe. closeConn breaks the connection.
func dial(t testing.TB, a *Agent) (client wirepb.DRPCAgentClient, closeConn func()) {
	t.Helper()
	client, closeConn, _ = dialServed(t, a)
	return client, closeConn
}

// dialServed is dial with a channel that is closed when the agent's side has
// ended.
func dialServed(t testing.TB, a *Agent) (client wirepb.DRPCAgentClient, closeConn func(), served chan struct{}) {
	t.Helper()
	mux := drpcmux.New()
	if err := wirepb.DRPCRegisterAgent(mux, a); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	served = make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).ServeOne(ctx, far)
	}()
	conn := drpcconn.New(near)
	closeConn = func() { _ = conn.Close() }
	t.Cleanup(func() {
		closeConn()
		cancel()
		<-served
	})
	return wirepb.NewDRPCAgentClient(conn), closeConn, served
}

func chatStart(id string) *wirepb.Start {
	return &wirepb.Start{
		RequestId: id, Attempt: 1, Pool: "briar-pool", Model: "briar", Kind: wirepb.Kind_KIND_CHAT,
		TimeoutMs: 30_000, PromptTokens: 100, MaxTokens: 50, Entry: "entry-a", EntryIncarnation: 1,
		BodyBytes: 4, Fingerprint: 42,
	}
}

// attempt is one Run call on the entry's side.
type attempt struct {
	t        testing.TB
	stream   wirepb.DRPCAgent_RunClient
	close    func()          // breaks the connection
	sendSlot chan struct{}   // semaphore held by a concurrent sender
	served   <-chan struct{} // closed when the agent has finished with the connection
}

func open(t testing.TB, a *Agent, start *wirepb.Start) *attempt {
	t.Helper()
	client, closeConn, served := dialServed(t, a)
	stream, err := client.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	at := &attempt{t: t, stream: stream, close: closeConn, served: served, sendSlot: make(chan struct{}, 1)}
	at.send(&wirepb.RunUp{Body: &wirepb.RunUp_Start{Start: start}})
	return at
}

func (at *attempt) send(up *wirepb.RunUp) {
	at.t.Helper()
	if err := at.stream.Send(up); err != nil {
		at.t.Fatal(err)
	}
}

// sendConcurrently sends without failing the test. It serializes senders with a
// channel: blocking on drpc's own mutex would stop the virtual clock.
func (at *attempt) sendConcurrently(up *wirepb.RunUp) {
	at.sendSlot <- struct{}{}
	_ = at.stream.Send(up)
	<-at.sendSlot
}

func (at *attempt) recv() *wirepb.RunDown {
	at.t.Helper()
	down, err := at.stream.Recv()
	if err != nil {
		at.t.Fatal(err)
	}
	return down
}

func (at *attempt) body(data string, last bool) {
	at.t.Helper()
	at.send(&wirepb.RunUp{Body: &wirepb.RunUp_Part{Part: &wirepb.BodyPart{Data: []byte(data), Last: last}}})
}

func (at *attempt) end() *wirepb.End {
	at.t.Helper()
	for {
		if end := at.recv().GetEnd(); end != nil {
			return end
		}
	}
}

// begin opens an attempt, waits for Admit and sends the body.
func begin(t testing.TB, a *Agent, start *wirepb.Start) *attempt {
	t.Helper()
	at := open(t, a, start)
	if down := at.recv(); down.GetAdmit() == nil {
		t.Fatalf("not admitted: %v", down)
	}
	at.body("body", true)
	return at
}

func expectEnd(t testing.TB, end *wirepb.End, code wirepb.EndCode, began bool) {
	t.Helper()
	if end.Code != code || end.Began != began {
		t.Fatalf("end %v, began %v (%s); want %v, %v", end.Code, end.Began, end.Detail, code, began)
	}
}

func expectRefusal(t testing.TB, at *attempt, code wirepb.RefuseCode) {
	t.Helper()
	down := at.recv()
	if r := down.GetRefuse(); r == nil || r.Code != code || r.Load == nil || r.RetryAfterMs == 0 {
		t.Fatalf("want refusal %v with load, got %v", code, down)
	}
}

func expectFree(t testing.TB, a *Agent) {
	t.Helper()
	s := a.ledger.State()
	l := a.Load()
	a.mu.Lock()
	bodies := a.bufferedBodyBytes
	a.mu.Unlock()
	if s.Held+s.Used != 0 || l.Running != 0 || l.PrefillShort+l.PrefillLong != 0 || bodies != 0 {
		t.Fatalf("not all freed: %+v, %+v, bodies %d", s, l, bodies)
	}
}

// expectStopped waits until all goroutines are blocked and checks that the run
// is gone, at the agent and at the engine.
func expectStopped(t testing.TB, e *fakeEngine, a *Agent, run string) {
	t.Helper()
	synctest.Wait()
	expectFree(t, a)
	if !e.wasCanceled(run) {
		t.Fatal("run not cancelled at the engine")
	}
}

const shortWait = time.Millisecond
