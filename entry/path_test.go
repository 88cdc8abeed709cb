package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/agent"
	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/quiet"
	standinanswer "github.com/briarturn/briarturn/internal/standin/answer"
	standin "github.com/briarturn/briarturn/internal/standin/engine"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/workspace"
)

// testStack is an entry with real agents and stand-in engines, connected over
// TCP.
type testStack struct {
	entry   *Entry
	url     string
	engines []*standin.Server
	agents  []*agent.Agent
}

func newTestStack(t testing.TB, engines int, cfg standin.Config) *testStack {
	t.Helper()
	cfg.Models = []string{"m"}
	p := &testStack{}
	table := backend.NewTable(backend.TableOptions{})
	for i := range engines {
		p.addEngine(t, fmt.Sprintf("e%d", i), cfg, table)
	}
	policy, err := routing.New(routing.PolicyCost, routing.Options{})
	if err != nil {
		t.Fatal(err)
	}
	dialer := wire.NewDialer(wire.Options{})
	scheduler := workspace.NewScheduler(workspace.Options{})
	removeCapacityLimits(scheduler)
	p.entry, err = New(Config{Name: "en1", Incarnation: 1, Servers: table, Policy: policy,
		Scheduler: scheduler, AgentClient: dialer, Catalog: fakeCatalog{},
		Quarantine: quarantine.NewTracker(quarantine.DefaultOptions), Metrics: metrics.NewRegistry(), Log: quiet.Logger()})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(p.entry.Handler())
	p.url = server.URL
	t.Cleanup(func() {
		server.Close()
		_ = dialer.Close()
	})
	return p
}

func (p *testStack) addEngine(t testing.TB, name string, cfg standin.Config, table *backend.Table) {
	t.Helper()
	eng, address, err := standin.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := backend.Descriptor{Name: name, RPCAddress: lis.Addr().String(), EngineAddress: address, Pool: "briar-pool",
		Models: []string{"m"}, Role: backend.RoleMixed, PrefillRate: int64(cfg.PrefillRate), DecodeRate: 5000,
		MemoryTokens: int64(cfg.MemoryTokens)}
	a, err := agent.New(agent.Config{Descriptor: d, Incarnation: 1, Logger: quiet.Logger(), Metrics: metrics.NewRegistry(),
		Limits: agent.Limits{MaxRunning: 1 << 20},
		Engine: agent.NewHTTPEngine(engine.New(engine.Config{Address: address, MaxIdleConns: 4096}), false)})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = wire.Serve(t.Context(), lis, wire.Services{Agent: a}, wire.Options{}) }()
	table.Observe(d, 1, a.Load(), time.Now())
	p.engines = append(p.engines, eng)
	p.agents = append(p.agents, a)
	t.Cleanup(func() {
		a.Close()
		eng.Close()
	})
}

func chatJSON(prompt string, tokens int, stream bool) []byte {
	return marshal(map[string]any{"model": "m", "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}}})
}

// request sends one request that isn't streamed and checks its answer.
func (p *testStack) request(prompt string, tokens int) error {
	resp, err := http.Post(p.url+"/v1/chat/completions", "application/json", bytes.NewReader(chatJSON(prompt, tokens, false)))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var out completionJSON
	if err := json.Unmarshal(body, &out); err != nil || len(out.Choices) != 1 {
		return fmt.Errorf("status %d, %s", resp.StatusCode, body)
	}
	return standinanswer.Verify(prompt, tokens, out.Choices[0].Message.Content)
}

func fastEngine() standin.Config {
	cfg := standin.DefaultConfig()
	cfg.PrefillRate = 50_000_000
	cfg.DecodeBase = 50 * time.Microsecond
	cfg.DecodePerSequence = time.Microsecond
	cfg.MemoryTokens = 40_000
	return cfg
}

func TestStackShortAndLongPrompts(t *testing.T) {
	p := newTestStack(t, 4, fastEngine())
	var wg sync.WaitGroup
	for i := range 20 {
		prompt := strings.Repeat(fmt.Sprintf("prompt %d ", i), 400)
		if i == 7 {
			prompt = strings.Repeat("a whole competition ", 20_000) // 100,000 tokens on engines of 40,000
		}
		wg.Go(func() {
			if err := p.request(prompt, 40); err != nil {
				t.Errorf("prompt %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	if err := p.entry.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := p.entry.metrics.groups.Count(); n != 1 {
		t.Errorf("%d groups formed", n)
	}
	for i, a := range p.agents {
		if l := a.Load(); l.Held != 0 {
			t.Errorf("agent %d still holds %d tokens", i, l.Held)
		}
	}
	for i, e := range p.engines {
		if n := e.Counters().DoubleRuns; n != 0 {
			t.Errorf("engine %d: %d double runs", i, n)
		}
	}
}

// Guards against lost or repeated text when an engine dies while it generates
// several of ten answers, and later restarts. Each answer must continue on
// another engine after the text that its caller has received.
func TestStackEngineDeathIsRecovered(t *testing.T) {
	cfg := fastEngine()
	cfg.DecodeBase = 3 * time.Millisecond
	p := newTestStack(t, 3, cfg)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			if err := p.request(fmt.Sprintf("prompt %d", i), 100); err != nil {
				t.Errorf("prompt %d: %v", i, err)
			}
		})
	}
	busy := func(e *standin.Server) bool { return e.Counters().Output > 0 }
	for !slices.ContainsFunc(p.engines, busy) {
		runtime.Gosched()
	}
	p.engines[slices.IndexFunc(p.engines, busy)].DieFor(100 * time.Millisecond)
	wg.Wait()
	if p.entry.metrics.retries.Count() == 0 {
		t.Error("no request was retried after the engine died")
	}
}

// BenchmarkAddedByPath alternates between a short request through entry, agent
// and engine and one directly to the same engine, and reports quantiles of
// both.
func BenchmarkAddedByPath(b *testing.B) {
	p := newTestStack(b, 1, fastEngine())
	body := chatJSON("a short notice", 1, true)
	ask := func(url string) time.Duration {
		begin := time.Now()
		resp, err := http.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return time.Since(begin)
	}
	var path, direct []time.Duration
	for b.Loop() {
		path = append(path, ask(p.url))
		direct = append(direct, ask("http://"+p.engines[0].Address()))
	}
	slices.Sort(path)
	slices.Sort(direct)
	for _, q := range []int{50, 99} {
		at := len(path) * q / 100
		b.ReportMetric(float64(path[at].Microseconds()), fmt.Sprintf("path-p%d-us", q))
		b.ReportMetric(float64(direct[at].Microseconds()), fmt.Sprintf("direct-p%d-us", q))
	}
}

// BenchmarkOpenStream measures the heap and stack of open, idle streams, for
// the entry, the fake agent and the caller together. Entry and agent are
// connected over net.Pipe.
func BenchmarkOpenStream(b *testing.B) {
	release := make(chan struct{})
	hold := &fakeAgent{script: func(r *fakeRun) error {
		r.admit()
		r.sendTokens(0, 1)
		<-release
		return r.end(endOK(1))
	}}
	t := newTestEntry(b, newFakeFleet(hold), Limits{})
	removeCapacityLimits(t.scheduler)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const streams = 2000
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() { chat(t, streamBodyText) })
	}
	for hold.runs() < streams {
		time.Sleep(time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	goroutines := runtime.NumGoroutine()
	close(release)
	wg.Wait()
	for b.Loop() {
	}
	b.ReportMetric(float64(used)/streams, "B/stream")
	b.ReportMetric(float64(goroutines)/streams, "goroutines/stream")
}

// BenchmarkPathParallel measures requests/s through one entry with 20 requests in
// progress per processor.
func BenchmarkPathParallel(b *testing.B) {
	p := newTestStack(b, 4, fastEngine())
	body := chatJSON("a short notice", 1, true)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	b.SetParallelism(20)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Post(p.url+"/v1/chat/completions", "application/json", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(p.entry.metrics.failed.Count()), "failed")
}

// Guards against an entry that ignores a pool's own routing policy. The
// entry's policy would choose the first server, the pool's policy the last
// one. The fault was a single policy for all pools.
func TestPoolPolicyOverridesEntryPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(&fakeAgent{script: respondTokens(1)}, &fakeAgent{script: respondTokens(2)})
		b := newTestEntry(t, f, Limits{})
		assertText(t, chat(b, `{"model":"m","messages":[{"role":"user","content":"x"}]}`), tokenText(1))
		assertText(t, chat(b, `{"model":"own-pool","messages":[{"role":"user","content":"x"}]}`), tokenText(2))
	})
}

// Guards against requests that get the entry's time limits although their
// workspace declares limits and service classes, and against a caller that
// gets more time than its workspace allows. The requests have different
// headers and workspaces; the entry's maximum is ten minutes. The fault was
// that the entry only checked whether a workspace policy exists.
func TestWorkspaceSetsTimeLimitAndPriority(t *testing.T) {
	for name, c := range map[string]struct {
		headers  []string
		timeout  time.Duration // 0: refused
		priority int32
	}{
		"the entry's default":                    {nil, 90 * time.Second, 0},
		"the entry's maximum":                    {[]string{headerTimeout, "600000"}, 10 * time.Minute, 0},
		"the workspace's default":                {[]string{headerWorkspace, "limited"}, time.Minute, 0},
		"the workspace's maximum":                {[]string{headerWorkspace, "limited", headerTimeout, "300000"}, 5 * time.Minute, 0},
		"above the workspace's maximum":          {[]string{headerWorkspace, "limited", headerTimeout, "300001"}, 0, 0},
		"the class's default":                    {[]string{headerWorkspace, "limited", headerServiceClass, "batch"}, 3 * time.Minute, 50},
		"a class without a timeout":              {[]string{headerWorkspace, "limited", headerServiceClass, "plain"}, time.Minute, 10},
		"the caller's limit overrides the class": {[]string{headerWorkspace, "limited", headerServiceClass, "batch", headerTimeout, "1000"}, time.Second, 50},
		"an unknown class":                       {[]string{headerWorkspace, "limited", headerServiceClass, "bulk"}, 0, 0},
		"a class of another workspace":           {[]string{headerServiceClass, "batch"}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestEntry(t, newFakeFleet(), Limits{DefaultTimeout: 90 * time.Second, MaxTimeout: 10 * time.Minute})
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
			for i := 0; i < len(c.headers); i += 2 {
				r.Header.Set(c.headers[i], c.headers[i+1])
			}
			arrived := time.Now()
			spec, f := b.readSpec(r, request.KindChat, arrived)
			if c.timeout == 0 {
				if f == nil || f.Reason != reasonBadRequest || f.Status != http.StatusBadRequest {
					t.Fatalf("not refused: %v", f)
				}
				return
			}
			if f != nil {
				t.Fatal(f)
			}
			got := b.newCall(spec, nil, Pool{}).queueItem()
			if limit := got.Deadline.Sub(arrived); limit != c.timeout || got.Priority != c.priority {
				t.Errorf("limit %v, priority %d; want %v, %d", limit, got.Priority, c.timeout, c.priority)
			}
		})
	}
}

// Guards against requests that outlast the drain of the entry because the
// workspace's maximum timeout exceeds the entry's. The fault was that the
// workspace's limits were applied without the entry's.
func TestEntryMaxTimeoutBoundsWorkspace(t *testing.T) {
	b := newTestEntry(t, newFakeFleet(), Limits{DefaultTimeout: time.Second, MaxTimeout: 30 * time.Second})
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	r.Header.Set(headerWorkspace, "limited")
	arrived := time.Now()
	spec, f := b.readSpec(r, request.KindChat, arrived)
	if f != nil || spec.Deadline.Sub(arrived) != 30*time.Second {
		t.Errorf("%+v, %v", spec, f)
	}
}
