package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
)

// killMarker in a prompt kills the engine that runs it.
const killMarker = "CRASH-THIS-ENGINE"

// fragile makes engines that die of killMarker and come back soon.
func fragile(cfg *Config) {
	cfg.Entries = 3
	cfg.Engine = func(pool *declared.ModelPool) standinengine.Config {
		e := standinengine.DefaultConfig()
		e.PrefillRate = float64(pool.Engine.PrefillRate)
		e.MemoryTokens = int(pool.Engine.MemoryTokens)
		e.KillMarker = killMarker
		e.RestartAfter = 300 * time.Millisecond
		return e
	}
}

// say sends one prompt for so many output tokens and returns the status.
func say(ctx context.Context, target, prompt string, output int) (int, error) {
	status, _, err := sayFor(ctx, target, prompt, output)
	return status, err
}

// sayFor is say that returns the body too.
func sayFor(ctx context.Context, target, prompt string, output int) (int, string, error) {
	body := fmt.Sprintf(`{"model":"briar-pool","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, output, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Request-Timeout-Ms", "20000")
	req.Header.Set("X-Workspace", "appointments")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

// Symptom: engine after engine dies, and prompts beside them fail.
// Sequence: one prompt that crashes every engine is sent 50 times, each time
// through another entry, while others' prompts keep all engines busy.
// Cause: each entry counts deaths for itself, or a suspect never gets an engine
// of its own, or evidence arrives late.
func TestPromptThatKillsIsStopped(t *testing.T) {
	f := startSmall(t, fragile)
	var innocents *load.Report
	var done sync.WaitGroup
	done.Go(func() {
		var err error
		innocents, err = load.Run(t.Context(), load.Options{
			Targets: f.Targets(), Mix: testMix(t), Only: load.Subset{Short: true}, Rate: 60, For: 8 * time.Second, Seed: 3,
		})
		if err != nil {
			t.Error(err)
		}
	})
	statuses := map[int]int{}
	targets := f.Targets()
	for i := range 50 {
		status, err := say(t.Context(), targets[i%len(targets)], "please "+killMarker, 8)
		if err != nil {
			t.Error(err)
		}
		statuses[status]++
	}
	done.Wait()
	var killed int64
	for _, b := range f.Backends {
		if b.Engine != nil {
			killed += b.Engine.Counters().Killed
		}
	}
	counts := innocents.All().Counts
	t.Logf("engines lost %d, answers %v, innocents %+v", killed, statuses, counts)
	if killed > 2 {
		t.Errorf("%d engines lost to one prompt, want 2 at most", killed)
	}
	if failed := counts.Sent - counts.Finished; failed > 0 {
		t.Errorf("%d of %d other requests failed", failed, counts.Sent)
	}
}

// Symptom: prompts that did nothing wrong fail as "busy" after an engine died.
// Sequence: an engine dies with some 16 prompts; each of them is suspect and
// may run only on an idle engine; the others' work keeps every engine busy.
// Cause: nobody made room for a suspect, so it waited until it gave up.
func TestInnocentSuspectsFinishOnABusyFleet(t *testing.T) {
	const callers, leastSuspects = 64, 4
	f := startSmall(t, fragile)
	targets := f.Targets()
	load, stop := context.WithCancel(t.Context())
	defer stop()
	var mu sync.Mutex // guards statuses and slowest
	statuses := map[int]int{}
	var slowest time.Duration
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				began := time.Now()
				status, body, err := sayFor(t.Context(), targets[i%len(targets)], fmt.Sprintf("caller %d prompt %d", i, n), 200)
				if err != nil {
					t.Error(err)
				}
				if status != http.StatusOK {
					t.Logf("status %d after %v: %s", status, time.Since(began), body)
				}
				mu.Lock()
				statuses[status]++
				slowest = max(slowest, time.Since(began))
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	// On a busy machine an engine may have nothing to run at a given moment.
	eventually(t, "the engine runs several prompts", func() bool {
		c := f.Backends[0].Engine.Counters()
		return c.Runs-c.Finished-c.Cancelled-c.Lost >= leastSuspects
	})
	lost := f.Backends[0].Engine.Counters().Lost
	f.Backends[0].Engine.DieFor(300 * time.Millisecond)
	lost = f.Backends[0].Engine.Counters().Lost - lost
	time.Sleep(8 * time.Second)
	stop()
	running.Wait()
	t.Logf("suspects %d, answers %v, slowest %v", lost, statuses, slowest)
	if lost == 0 {
		t.Error("the engine died with nothing running")
	}
	for status, n := range statuses {
		if status != http.StatusOK {
			t.Errorf("%d answers with status %d", n, status)
		}
	}
}
