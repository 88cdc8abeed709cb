package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/wire/wirepb"
	"github.com/briarturn/briarturn/workspace"
)

// fakeAgent runs script for each run and records the requests that it receives.
type fakeAgent struct {
	wirepb.DRPCAgentUnimplementedServer
	script     func(*fakeRun) error
	holdScript func(*wirepb.HoldRequest) *wirepb.HoldResponse

	mu         sync.Mutex
	starts     []*wirepb.Start
	bodies     []string
	ended      int
	held       map[string]uint64 // tokens of the current holds, by id
	lastHold   *wirepb.HoldRequest
	extensions int
}

// fakeRun is one run of a fakeAgent.
type fakeRun struct {
	wirepb.DRPCAgent_RunStream
	agent *fakeAgent
	start *wirepb.Start
	index int // number of the run on this agent, from 0
}

func (a *fakeAgent) Run(s wirepb.DRPCAgent_RunStream) error {
	up, err := s.Recv()
	if err != nil {
		return err
	}
	a.mu.Lock()
	r := &fakeRun{DRPCAgent_RunStream: s, agent: a, start: up.GetStart(), index: len(a.starts)}
	a.starts = append(a.starts, r.start)
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ended++
	}()
	return a.script(r)
}

func (r *fakeRun) admit() string {
	_ = r.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Admit{Admit: &wirepb.Admit{}}})
	var body strings.Builder
	for {
		up, err := r.Recv()
		if err != nil {
			return body.String()
		}
		body.Write(up.GetPart().GetData())
		if up.GetPart().GetLast() {
			break
		}
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.bodies = append(r.agent.bodies, body.String())
	return body.String()
}

func (r *fakeRun) refuse(code wirepb.RefuseCode) error {
	load := &wirepb.Load{Running: 7, Sequence: 1}
	return r.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Refuse{Refuse: &wirepb.Refuse{Code: code, Load: load}}})
}

func (r *fakeRun) chunk(seq uint64, data string) {
	_ = r.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Chunk{Chunk: &wirepb.Chunk{Sequence: seq, Data: []byte(data)}}})
}

func (r *fakeRun) end(e *wirepb.End) error {
	return r.Send(&wirepb.RunDown{Body: &wirepb.RunDown_End{End: e}})
}

// sendTokens sends the chunks [from, to) of the answer "t0 t1 t2 ...".
func (r *fakeRun) sendTokens(from, to int) {
	for i := from; i < to; i++ {
		r.chunk(uint64(i), tokenChunk(i))
	}
}

func tokenChunk(i int) string {
	return fmt.Sprintf(`{"id":"x","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"t%d "},"finish_reason":null}]}`, i)
}

func tokenText(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

func endOK(chunks int) *wirepb.End {
	return &wirepb.End{Code: wirepb.EndCode_END_OK, Began: true, Chunks: uint64(chunks), PromptTokens: 2, OutputTokens: uint64(chunks)}
}

// respondTokens returns a script that answers with n tokens.
func respondTokens(n int) func(*fakeRun) error {
	return func(r *fakeRun) error {
		r.admit()
		r.sendTokens(int(r.start.GetResumeFrom()), n)
		return r.end(endOK(n))
	}
}

func (a *fakeAgent) Hold(_ context.Context, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastHold = in
	out := &wirepb.HoldResponse{Granted: true, TtlMs: in.GetTtlMs()}
	if a.holdScript != nil {
		out = a.holdScript(in)
	}
	if out.GetGranted() {
		if a.held == nil {
			a.held = map[string]uint64{}
		}
		a.held[in.GetHoldId()] = in.GetTokens()
	}
	return out, nil
}

func (a *fakeAgent) ExtendHolds(_ context.Context, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.extensions++
	out := &wirepb.HoldStates{}
	for _, h := range in.GetHolds() {
		if _, ok := a.held[h.GetHoldId()]; !ok {
			out.Unknown = append(out.Unknown, h.GetHoldId())
		}
	}
	return out, nil
}

func (a *fakeAgent) ReleaseHolds(_ context.Context, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range in.GetHolds() {
		delete(a.held, h.GetHoldId())
	}
	return &wirepb.HoldStates{}, nil
}

func (a *fakeAgent) runs() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.starts)
}

// fakeFleet is an AgentClient, a ServerTable and a Policy over fake agents. It
// chooses servers in the order of the agents.
type fakeFleet struct {
	agents       map[string]*fakeAgent // by name, which is also the address
	order        []string
	memory       int64
	expectedTTFT time.Duration
	down         map[string]bool

	mu         sync.Mutex
	dispatches int
	suspects   []string
	dead       map[string]bool
	observed   map[string]backend.Load
	openConns  int
	queries    []routing.Query
}

func newFakeFleet(agents ...*fakeAgent) *fakeFleet {
	f := &fakeFleet{agents: map[string]*fakeAgent{}, down: map[string]bool{}, dead: map[string]bool{},
		observed: map[string]backend.Load{}, memory: 400_000}
	for i, a := range agents {
		name := "e" + strconv.Itoa(i)
		f.agents[name] = a
		f.order = append(f.order, name)
	}
	return f
}

func (f *fakeFleet) conn(address string) (*drpcconn.Conn, error) {
	if f.down[address] {
		return nil, errors.New("connection refused")
	}
	mux := drpcmux.New()
	if err := wirepb.DRPCRegisterAgent(mux, f.agents[address]); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	f.addConns(1)
	go func() {
		_ = drpcserver.New(mux).ServeOne(context.Background(), far)
		f.addConns(-1)
	}()
	return drpcconn.New(near), nil
}

func (f *fakeFleet) addConns(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openConns += n
}

func (f *fakeFleet) Run(ctx context.Context, address string) (wirepb.DRPCAgent_RunClient, error) {
	conn, err := f.conn(address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return wirepb.NewDRPCAgentClient(conn).Run(ctx)
}

func callAgent[I, O any](f *fakeFleet, address string, in I, call func(wirepb.DRPCAgentClient, I) (O, error)) (O, error) {
	conn, err := f.conn(address)
	if err != nil {
		var none O
		return none, err
	}
	defer func() { _ = conn.Close() }()
	return call(wirepb.NewDRPCAgentClient(conn), in)
}

func (f *fakeFleet) Hold(ctx context.Context, address string, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
	return callAgent(f, address, in, func(c wirepb.DRPCAgentClient, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
		return c.Hold(ctx, in)
	})
}

func (f *fakeFleet) ExtendHolds(ctx context.Context, address string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	return callAgent(f, address, in, func(c wirepb.DRPCAgentClient, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
		return c.ExtendHolds(ctx, in)
	})
}

func (f *fakeFleet) ReleaseHolds(ctx context.Context, address string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	return callAgent(f, address, in, func(c wirepb.DRPCAgentClient, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
		return c.ReleaseHolds(ctx, in)
	})
}

func (f *fakeFleet) Rows(_ string, out []backend.Row) []backend.Row {
	for _, name := range f.order {
		out = append(out, backend.Row{Descriptor: backend.Descriptor{Name: name, RPCAddress: name,
			EngineAddress: "engine-" + name, MemoryTokens: f.memory}})
	}
	return out
}

func (f *fakeFleet) Sample(pool string, _ int, _ []uint64, _ *rand.Rand, out []backend.Row) []backend.Row {
	return f.Rows(pool, out)
}

func (f *fakeFleet) Lookup(name string) (backend.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := backend.Row{Descriptor: backend.Descriptor{Name: name}}
	if f.dead[name] {
		row.State = backend.StateDead
	}
	return row, true
}

func (f *fakeFleet) BeginDispatch(string, backend.DispatchLoad, time.Time) backend.Dispatch {
	f.addDispatches(1)
	return backend.Dispatch{}
}

func (f *fakeFleet) EndDispatch(backend.Dispatch) { f.addDispatches(-1) }

func (f *fakeFleet) MarkSuspect(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects = append(f.suspects, name)
}

func (f *fakeFleet) addDispatches(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatches += n
}

func (f *fakeFleet) ObserveResponse(name string, l backend.Load, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed[name] = l
}

func (f *fakeFleet) Name() string { return "in-order" }

func (f *fakeFleet) Choose(q *routing.Query, rows []backend.Row, _ *rand.Rand, most int, out []routing.Choice) []routing.Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries = append(f.queries, *q)
	skip := map[string]bool{}
	for _, name := range q.Exclude {
		skip[name] = true
	}
	for _, r := range rows {
		if len(out) < most && !skip[r.Name] {
			out = append(out, routing.Choice{Name: r.Name, RPCAddress: r.RPCAddress, EngineAddress: r.EngineAddress,
				ExpectedTTFT: f.expectedTTFT, FreeTokens: r.MemoryTokens})
		}
	}
	return out
}

type fakeCatalog struct{ unconfirmed bool }

// ownPool returns a pool with its own policy and ShortShare.
func ownPool() Pool {
	return Pool{Name: "own-pool", Models: []string{"m"}, ShortShare: 0.5, Policy: lastPolicy{}}
}

// lastPolicy chooses only the last row.
type lastPolicy struct{}

func (lastPolicy) Name() string { return "last" }

func (lastPolicy) Choose(q *routing.Query, rows []backend.Row, _ *rand.Rand, _ int, out []routing.Choice) []routing.Choice {
	if q.ShortShare != ownPool().ShortShare {
		return out
	}
	r := rows[len(rows)-1]
	return append(out, routing.Choice{Name: r.Name, RPCAddress: r.RPCAddress, EngineAddress: r.EngineAddress})
}

func (fakeCatalog) Pool(model string) (Pool, bool) {
	if model == "own-pool" {
		return ownPool(), true
	}
	return Pool{Name: "briar-pool", Models: []string{"m"}}, model == "m" || model == "briar-pool"
}
func (fakeCatalog) Pools() []Pool { return []Pool{{Name: "briar-pool", Models: []string{"m"}}} }
func (fakeCatalog) Workspace(n string) (Workspace, bool) {
	if n == "limited" {
		return Workspace{DefaultTimeout: time.Minute, MaxTimeout: 5 * time.Minute, Classes: []ServiceClass{
			{Name: "batch", Priority: 50, Timeout: 3 * time.Minute}, {Name: "plain", Priority: 10},
		}}, true
	}
	return Workspace{}, n != "nobody"
}
func (fakeCatalog) Service(name string) bool { return name == "roster-app" }
func (c fakeCatalog) Confirmed() bool        { return !c.unconfirmed }

// testEntry is an entry with a fake fleet.
type testEntry struct {
	*Entry
	fleet      *fakeFleet
	scheduler  *workspace.Scheduler
	store      *standin.Memory
	quarantine *quarantine.Tracker
}

func newTestEntry(t testing.TB, f *fakeFleet, limits Limits) *testEntry {
	t.Helper()
	log := quiet.Logger()
	b := &testEntry{fleet: f, scheduler: workspace.NewScheduler(workspace.Options{}), quarantine: quarantine.NewTracker(quarantine.DefaultOptions),
		store: standin.NewMemory(standin.Config{})}
	claims, err := claim.New(claim.Config{Store: b.store, Entry: "en1", Metrics: metrics.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(Config{Name: "en1", Zone: "hobart", Incarnation: 1, Servers: f, Policy: f, Scheduler: b.scheduler,
		AgentClient: f, Claimer: claims, Catalog: fakeCatalog{}, Quarantine: b.quarantine,
		Metrics: metrics.NewRegistry(), Log: log, Limits: limits})
	if err != nil {
		t.Fatal(err)
	}
	b.Entry = e
	return b
}

const (
	chatBodyText   = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":8}`
	streamBodyText = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}],"max_tokens":8}`
)

func post(ctx context.Context, b *testEntry, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, r)
	return w
}

func chat(b *testEntry, body string, headers ...string) *httptest.ResponseRecorder {
	return post(context.Background(), b, "/v1/chat/completions", body, headers...)
}

// assertFailure checks the status, code and reason of a failure response.
func assertFailure(t *testing.T, w *httptest.ResponseRecorder, status int, code request.FailureCode, reason string) {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatalf("status %d, not an error: %q", w.Code, w.Body)
	}
	if w.Code != status || body.Error.Code != code || body.Error.Reason != reason {
		t.Fatalf("got %d %s %s (%s), want %d %s %s", w.Code, body.Error.Code, body.Error.Reason,
			body.Error.Message, status, code, reason)
	}
}

// assertText checks the text of an answer that isn't streamed.
func assertText(t *testing.T, w *httptest.ResponseRecorder, text string) {
	t.Helper()
	var out completionJSON
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil || w.Code != http.StatusOK || len(out.Choices) != 1 {
		t.Fatalf("status %d, body %q, %v", w.Code, w.Body, err)
	}
	if got := out.Choices[0].Message.Content; got != text {
		t.Fatalf("got text %q, want %q", got, text)
	}
}

// streamText returns the text of an event stream, whether it ended with
// [DONE], and the failure that it reported.
func streamText(t *testing.T, body string) (text string, done bool, failure *errorFields) {
	t.Helper()
	for _, event := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			done = true
			continue
		}
		var m struct {
			chunkJSON
			Error *errorFields `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &m); err != nil {
			t.Fatalf("event %q: %v", event, err)
		}
		if m.Error != nil {
			failure = m.Error
		}
		for _, c := range m.Choices {
			text += c.Delta.Content
		}
	}
	return text, done, failure
}

// assertNothingHeld checks that all tickets, dispatches, holds and runs were
// released.
func (b *testEntry) assertNothingHeld(t *testing.T) {
	t.Helper()
	b.fleet.mu.Lock()
	if n := b.fleet.dispatches; n != 0 {
		t.Errorf("the server table still counts %d dispatches", n)
	}
	b.fleet.mu.Unlock()
	if waiting, running := b.scheduler.Depth(); waiting+running != 0 {
		t.Errorf("%d waiting and %d running tickets not released", waiting, running)
	}
	if n := b.Status().Running; n != 0 {
		t.Errorf("%d requests still counted as in progress", n)
	}
	for name, a := range b.fleet.agents {
		a.mu.Lock()
		if len(a.held) != 0 {
			t.Errorf("%s still holds %v", name, a.held)
		}
		if a.ended != len(a.starts) {
			t.Errorf("%s: %d of %d runs ended", name, a.ended, len(a.starts))
		}
		a.mu.Unlock()
	}
}

// TestMain starts the ticker that all go-metrics meters share. If it were
// started in a synctest bubble, it would belong to the bubble and keep its
// virtual time running.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}
