package agent

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// BenchmarkAdmission measures the admission decision alone, with 200 runs
// registered and without the network.
func BenchmarkAdmission(b *testing.B) {
	cfg := testConfig(newFakeEngine())
	cfg.Descriptor.MemoryTokens = 1_000_000
	cfg.Descriptor.PrefillRate = 1_000_000
	a := startAgent(b, cfg)
	enter := func(id string) *run {
		start := chatStart(id)
		r := &run{
			id: id, start: start, owner: backend.Owner{Entry: "e", Incarnation: 1},
			promptTokens: 100, reservedTokens: 150, timeout: 1 << 40, arrived: time.Now(),
		}
		if refused, _, err := a.tryAdmit(r); refused != nil || err != nil {
			b.Fatal(refused, err)
		}
		return r
	}
	for i := range 200 {
		enter(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for b.Loop() {
		a.release(enter("run"))
	}
}

// instantEngine answers each run with one chunk.
type instantEngine struct{ *fakeEngine }

func (instantEngine) Run(ctx context.Context, _ *EngineRun) (EngineStream, error) {
	s := &fakeStream{ctx: ctx, chunks: make(chan EngineChunk, 1)}
	s.chunks <- EngineChunk{Data: []byte("x"), Tokens: 1}
	close(s.chunks)
	return s, nil
}

// BenchmarkRun measures a whole attempt over a pipe with a fake engine that
// returns one chunk: Start, Admit, body, chunk and End, on a connection of its
// own.
func BenchmarkRun(b *testing.B) {
	e := newFakeEngine()
	a := startAgent(b, testConfig(instantEngine{e}))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := begin(b, a, chatStart(fmt.Sprint(i)))
		if end := at.end(); end.Code != wirepb.EndCode_END_OK {
			b.Fatal(end)
		}
		at.close()
	}
}

// BenchmarkOpenStreams reports the memory and goroutines of a run that waits
// for its engine, including both ends of its connection.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 500
	for b.Loop() {
		cfg := testConfig(newFakeEngine())
		cfg.Limits.MaxRunning = streams
		cfg.Descriptor.MemoryTokens = 1 << 30
		cfg.Descriptor.PrefillRate = 1 << 30
		a := startAgent(b, cfg)
		before, goroutines := inUse(), runtime.NumGoroutine()
		for i := range streams {
			begin(b, a, chatStart(fmt.Sprint(i)))
		}
		b.ReportMetric(float64(inUse()-before)/streams, "B/stream")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/streams, "goroutines/stream")
		b.StopTimer()
		a.Close()
		b.StartTimer()
	}
}

// inUse returns the bytes of heap and stacks in use.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
