package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// chatOf returns a chat request with the given messages.
func chatOf(contents ...string) string {
	var messages []string
	for _, text := range contents {
		messages = append(messages, fmt.Sprintf(`{"role":"user","content":%q}`, text))
	}
	return fmt.Sprintf(`{"model":"m","messages":[%s],"max_tokens":8}`, strings.Join(messages, ","))
}

// Guards against prompts of which no two are alike, and which crash one engine after the other, since they
// share a message or the text that they begin with.
func TestSharedPartThatKillsEnginesIsRefused(t *testing.T) {
	const offered, allowed = 20, 8
	preamble := strings.Repeat("preamble ", 400) // over three blocks of the prefix cache
	for _, c := range []struct {
		name   string
		prompt func(i int) string
		sound  string
	}{
		{"middle message", func(i int) string { return chatOf(fmt.Sprint("first ", i), "bad", fmt.Sprint("last ", i)) }, chatOf("first 0", "good", "last")},
		{"first message", func(i int) string { return chatOf("bad", fmt.Sprint("last ", i)) }, chatOf("good", "last 0")},
		{"beginning of the only message", func(i int) string { return chatOf(preamble + fmt.Sprint(i)) }, chatOf("good")},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var deaths atomic.Uint64
				healthy := false
				script := func(r *fakeRun) error {
					if healthy {
						return respondTokens(1)(r)
					}
					r.admit()
					time.Sleep(100 * time.Millisecond)
					return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Death: deaths.Add(1)})
				}
				b := newTestEntry(t, newFakeFleet(&fakeAgent{script: script}, &fakeAgent{script: script}), Limits{MaxAttempts: 1})
				for i := range offered {
					chat(b, c.prompt(i))
				}
				if n := deaths.Load(); n > allowed {
					t.Errorf("%d engines died, allowed %d", n, allowed)
				}
				healthy = true
				assertFailure(t, chat(b, c.prompt(offered)), http.StatusUnprocessableEntity, request.NotRun, reasonQuarantined)
				assertText(t, chat(b, c.sound), tokenText(1))
			})
		})
	}
}

// Guards against blaming a message that sound prompts share, and engines that ended after their first
// chunk.
func TestPartThatBeginsIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var deaths atomic.Uint64
		script := respondTokens(1)
		crash := func(r *fakeRun) error {
			r.admit()
			time.Sleep(100 * time.Millisecond)
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Death: deaths.Add(1)})
		}
		crashLate := func(r *fakeRun) error {
			r.admit()
			r.sendTokens(0, 1)
			time.Sleep(100 * time.Millisecond)
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Death: deaths.Add(1)})
		}
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error { return script(r) }}), Limits{MaxAttempts: 1})
		script = crashLate
		for i := range 8 {
			chat(b, chatOf("shared", fmt.Sprint("late ", i)))
		}
		if got := b.cfg.Parts.Deaths(time.Now()); len(got) > 0 {
			t.Errorf("deaths behind the first chunk count: %+v", got)
		}
		script = crash
		for i := range 4 {
			chat(b, chatOf("shared", "bad", fmt.Sprint("last ", i)))
		}
		script = respondTokens(1)
		assertText(t, chat(b, chatOf("shared", "sound")), tokenText(1))
		if got := b.cfg.Parts.Suspicions(); len(got) != 1 || len(got[0].Parts) != 1 {
			t.Errorf("suspected %+v, want one part", got)
		}
	})
}

// Guards against refusing a request with a suspected part although its caller has the time to wait for
// its turn.
func TestSuspectPartWaitsForItsTurn(t *testing.T) {
	const runs = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var deaths atomic.Uint64
		script := func(r *fakeRun) error {
			r.admit()
			time.Sleep(100 * time.Millisecond)
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Death: deaths.Add(1)})
		}
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error { return script(r) }}), Limits{MaxAttempts: 1})
		for i := range quarantine.DefaultPartOptions.HoldThreshold {
			chat(b, chatOf("bad", fmt.Sprint("last ", i)))
		}
		script = func(r *fakeRun) error {
			r.admit()
			time.Sleep(runs)
			r.sendTokens(0, 1)
			return r.end(endOK(1))
		}
		var callers sync.WaitGroup
		for i := range 2 {
			callers.Go(func() { assertText(t, chat(b, chatOf("bad", fmt.Sprint("sound ", i))), tokenText(1)) })
		}
		callers.Wait()
	})
}
