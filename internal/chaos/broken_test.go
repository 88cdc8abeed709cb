package chaos

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// falling is a process whose revision goes back.
type falling struct{ at uint64 }

func (f *falling) ConfigRevision() uint64 {
	f.at--
	return f.at
}

// post runs a request at a stand-in, behind the system's back.
// post returns the status that the handler answered.
func post(h http.Handler, path, key, body string) int {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Request-Id", key)
	defer func() {
		// An engine that ends cuts its handlers off, as a server would see.
		if r := recover(); r != nil && r != http.ErrAbortHandler {
			panic(r)
		}
	}()
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, req)
	return answer.Code
}

const enginePrompt = `{"model":"briar","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`

// broken breaks, for each check, what it checks.
var broken = map[string]func(t *testing.T, b *bench){
	checkRunsOnce: func(_ *testing.T, b *bench) {
		for range 2 {
			post(b.service(), "/confirm", "twice", "{}")
		}
	},
	checkDoneRan: func(_ *testing.T, b *bench) {
		b.probes.calls = append(b.probes.calls, &keyedCall{key: "never", replies: []reply{{status: http.StatusOK}}})
	},
	checkOwnAnswer: func(_ *testing.T, b *bench) {
		crossed := reply{status: http.StatusOK, body: []byte(`{"choices":[{"message":{"content":"another's"}}]}`)}
		b.probes.prompts = append(b.probes.prompts, &prompt{text: "mine", reply: crossed})
	},
	checkEnds: func(_ *testing.T, b *bench) {
		b.probes.prompts = append(b.probes.prompts, &prompt{reply: reply{broken: true, overdue: true}})
	},
	checkNotRun: func(_ *testing.T, b *bench) {
		post(b.fleet.Backends[0].Engine, "/v1/chat/completions", "ran.1", enginePrompt)
		b.probes.prompts = append(b.probes.prompts, &prompt{reply: reply{status: 503, code: request.NotRun, id: "ran"}})
	},
	checkMemory: func(t *testing.T, b *bench) {
		e := b.fleet.Backends[0].Engine
		e.HangWithRun()
		var status atomic.Int64
		go func() { status.Store(int64(post(e, "/v1/chat/completions", "stuck.1", enginePrompt))) }()
		if !within(t.Context(), time.Minute, func() bool { return e.Counters().UsedMemory > 0 }) {
			t.Errorf("the engine runs nothing; the prompt was answered %d (0: not yet), %+v", status.Load(), e.Counters())
		}
		t.Cleanup(e.Recover)
	},
	checkLedger: func(t *testing.T, b *bench) {
		dialer := wire.NewDialer(wire.Options{})
		t.Cleanup(func() { _ = dialer.Close() })
		a := b.fleet.LiveAgent(b.fleet.Backends[0])
		out, err := dialer.Hold(t.Context(), a.Descriptor().RPCAddress, &wirepb.HoldRequest{
			HoldId: "leaked", RequestId: "leaked", Entry: "nobody", EntryIncarnation: 1, Tokens: 1000, TtlMs: 60_000,
		})
		if err != nil || !out.Granted {
			t.Errorf("hold: %v, %v", out, err)
		}
	},
	checkConverges: func(_ *testing.T, b *bench) { b.net.lose.Store(100) },
	checkNeverBack: func(_ *testing.T, b *bench) {
		seen, p := map[process]uint64{}, &falling{at: 9}
		b.noteRevision(seen, "falling", p)
		b.noteRevision(seen, "falling", p)
	},
	checkNoLostEdit: func(_ *testing.T, b *bench) { b.race.sure++ },
	checkDrains:     func(t *testing.T, b *bench) { watchCounting(t, b, "agent.admitted") },
	checkNotAsked:   func(t *testing.T, b *bench) { watchCounting(t, b, "agent.refused.draining") },
	checkServesAgain: func(_ *testing.T, b *bench) {
		b.fleet.KillEntry(0)
	},
}

// watchCounting drains an agent that is asked for work all the time.
func watchCounting(t *testing.T, b *bench, counter string) {
	one := b.fleet.Backends[0]
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			metrics.GetOrRegisterCounter(counter, one.Metrics).Inc(1)
			time.Sleep(time.Millisecond)
		}
	}()
	b.watchDrain(one, b.fleet.LiveAgent(one))
}

func (b *bench) service() http.Handler {
	for _, one := range b.fleet.Backends {
		if one.Service != nil {
			return one.Service
		}
	}
	return nil
}

// TestEachCheckCanFail breaks the system, or what the run recorded of it, in one
// way for each check, and wants that check to notice.
func TestEachCheckCanFail(t *testing.T) {
	for _, one := range newChecks().list() {
		t.Run(one.Name, func(t *testing.T) {
			t.Parallel()
			o, err := Options{Seed: 1, For: time.Second}.withDefaults()
			if err != nil {
				t.Fatal(err)
			}
			b := &bench{options: o, checks: newChecks(), counts: map[string]int64{}, settleLimit: 300 * time.Millisecond}
			if err := b.start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer b.fleet.Close()
			broken[one.Name](t, b)
			b.settle(t.Context())
			b.judge(nothing(t))
			for _, c := range b.checks.list() {
				if c.Name == one.Name && c.Violated == 0 {
					t.Errorf("not noticed: %+v", c)
				}
			}
		})
	}
}

// nothing is the report of a load of one request.
func nothing(t *testing.T) *load.Report {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	r, err := load.Run(t.Context(), load.Options{Targets: []string{srv.URL}, Mix: mix(), Rate: 1000, For: time.Millisecond, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return r
}
