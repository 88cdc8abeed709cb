package dev

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarturn/briarturn/declared"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
)

const (
	benchWorkspace = "appointments"
	benchOutput    = 8 // tokens, two chunks
)

// quickEngine costs next to nothing, so that the path's own time shows.
func quickEngine(*declared.ModelPool) standinengine.Config {
	cfg := standinengine.DefaultConfig()
	cfg.PrefillRate = 1e12
	cfg.DecodeBase = time.Microsecond
	cfg.DecodePerSequence = time.Nanosecond
	cfg.MemoryTokens = 100_000_000
	cfg.PrefixCacheTokens = -1
	return cfg
}

// fleetOf starts one entry before so many quick engines.
func fleetOf(b *testing.B, engines int, engine func(*declared.ModelPool) standinengine.Config) *Fleet {
	b.Helper()
	text := fmt.Sprintf(`[
{"kind":"ModelPool","name":"briar-pool","spec":{
  "models":[{"name":"briar","version":"1","source":"briar/1","replicas":{"mixed":%[1]d}}],
  "engine":{"prefill_rate":100000000,"decode_rate":100000000,"memory_tokens":100000000},"zones":["hobart"]}},
{"kind":"BackendServerSet","name":"engines","spec":{
  "pool":"briar-pool","zones":["hobart"],
  "template":{"name":"engine-{index}","address":"127.0.0.1:9{index}","first":100,"count":%[1]d}}},
{"kind":"WorkspacePolicy","name":%[2]q,"spec":{}}]`, engines, benchWorkspace)
	objects, err := declared.DecodeManifests(strings.NewReader(text))
	if err != nil {
		b.Fatal(err)
	}
	f, err := Start(b.Context(), Config{Objects: objects, Entries: 1, Engine: engine})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// bareEngine starts a stand-in engine without an agent: an agent stops runs that
// reach its engine by another way.
func bareEngine(b *testing.B, cfg standinengine.Config) *standinengine.Server {
	b.Helper()
	cfg.Models = []string{"briar"}
	e, _, err := standinengine.Start(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Close)
	return e
}

// caller sends streamed requests to one address.
type caller struct {
	url  string
	body []byte
	http *http.Client
}

func newCaller(address, model string, promptBytes int) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		model, benchOutput, strings.Repeat("x", promptBytes))
	return &caller{
		url:  "http://" + address + "/v1/chat/completions",
		body: []byte(body),
		http: &http.Client{Transport: transport},
	}
}

// call sends one request and returns the time to its first event and to its end.
func (c *caller) call() (first, total time.Duration, err error) {
	req, err := http.NewRequest(http.MethodPost, c.url, bytes.NewReader(c.body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("X-Workspace", benchWorkspace)
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	head := make([]byte, 6)
	if _, err := io.ReadFull(resp.Body, head); err != nil {
		return 0, 0, err
	}
	first = time.Since(began)
	rest, err := io.ReadAll(resp.Body)
	total = time.Since(began)
	if err == nil && !bytes.HasSuffix(rest, []byte("[DONE]\n\n")) {
		err = fmt.Errorf("status %d, answer ends in %q", resp.StatusCode, rest[max(0, len(rest)-200):])
	}
	return first, total, err
}

// samples are times of one way of calling.
type samples struct{ first, total []time.Duration }

func (s *samples) add(b *testing.B, c *caller) {
	first, total, err := c.call()
	if err != nil {
		b.Fatal(err)
	}
	s.first = append(s.first, first)
	s.total = append(s.total, total)
}

func quantile(d []time.Duration, q float64) float64 {
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))].Microseconds())
}

// BenchmarkAddedTime prints the time that the path adds to a call of the stand-in
// engine, in microseconds. Direct calls and calls through the path take turns, so
// that other work on the machine hits both.
func BenchmarkAddedTime(b *testing.B) {
	for _, size := range []int{4 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("prompt=%dKB", size>>10), func(b *testing.B) {
			f := fleetOf(b, 1, quickEngine)
			direct := newCaller(bareEngine(b, quickEngine(nil)).Address(), "briar", size)
			path := newCaller(f.Entries[0].Address(), "briar-pool", size)
			var d, p samples
			for range 50 { // warm connections
				(&samples{}).add(b, direct)
				(&samples{}).add(b, path)
			}
			for b.Loop() {
				d.add(b, direct)
				p.add(b, path)
			}
			for _, q := range []float64{0.5, 0.99} {
				name := fmt.Sprintf("p%.0f", q*100)
				b.ReportMetric(quantile(d.total, q), "direct-"+name+"-µs")
				b.ReportMetric(quantile(p.total, q)-quantile(d.total, q), "added-"+name+"-µs")
				b.ReportMetric(quantile(p.first, q)-quantile(d.first, q), "added-first-"+name+"-µs")
			}
		})
	}
}

// BenchmarkRequestsPerSecond prints what one entry serves in a closed loop, with
// callers, agents and stand-in engines in the same process.
func BenchmarkRequestsPerSecond(b *testing.B) {
	const callers = 64
	f := fleetOf(b, 4, quickEngine)
	path := newCaller(f.Entries[0].Address(), "briar-pool", 4<<10)
	b.ReportAllocs()
	b.ResetTimer()
	var work sync.WaitGroup
	tickets := make(chan struct{}, b.N)
	for range b.N {
		tickets <- struct{}{}
	}
	close(tickets)
	began := time.Now()
	for range callers {
		work.Go(func() {
			for range tickets {
				if _, _, err := path.call(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	work.Wait()
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
}
