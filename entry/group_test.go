package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// longText needs more than twice the memory of an engine with 2000 tokens.
var longText = strings.Repeat("0123456789", 2000)

var longBody = `{"model":"m","messages":[{"role":"user","content":"` + longText[:len(longText)-4] +
	`"},{"role":"user","content":"end"}],"max_tokens":100}`

func longPrompt() string { return longText[:len(longText)-4] + "\nend" }

// respondAsGroup returns a script that prefills segments, and answers with n
// tokens as the leader.
func respondAsGroup(n int) func(*fakeRun) error {
	return func(r *fakeRun) error {
		if r.start.GetKind() != wirepb.Kind_KIND_KV_SEGMENT {
			return respondTokens(n)(r)
		}
		body := r.admit()
		return r.end(&wirepb.End{Code: wirepb.EndCode_END_OK, Began: true, Handle: "kv-" + r.start.GetHoldId(),
			PromptTokens: uint64(estimateTokens(len(body)))})
	}
}

func newGroupFleet(n int) *fakeFleet {
	var agents []*fakeAgent
	for range n {
		agents = append(agents, &fakeAgent{script: respondAsGroup(3)})
	}
	f := newFakeFleet(agents...)
	f.memory = 2000
	return f
}

func TestLongPromptRunsOnGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newGroupFleet(6), Limits{})
		assertText(t, chat(b, longBody), tokenText(3))
		leader := b.fleet.agents["e0"].starts
		run := leader[len(leader)-1]
		if n := len(run.GetGroup()); n != 4 { // 5100 tokens, 1600 usable
			t.Fatalf("spread over %d servers", n)
		}
		hold := b.fleet.agents["e0"].lastHold
		segment := estimateTokens(len(b.fleet.agents["e0"].bodies[0]))
		if run.GetHoldId() != hold.GetHoldId() || hold.GetTokens() < uint64(segment)+run.GetMaxTokens() || run.GetPromptTokens() != 0 {
			t.Fatalf("the leader's hold %v doesn't cover its run %v", hold, run)
		}
		var text string
		for _, m := range run.GetGroup() {
			a := b.fleet.agents[m.GetServer()]
			if a.starts[0].GetHoldId() != a.lastHold.GetHoldId() || a.lastHold.GetTokens() > 2000 {
				t.Fatalf("%s: hold %v for %v", m.GetServer(), a.lastHold, a.starts[0])
			}
			text += a.bodies[0]
			if m.GetHandle() == "" || m.GetEngineAddress() != "engine-"+m.GetServer() {
				t.Fatalf("member %v", m)
			}
		}
		if text != longPrompt() {
			t.Fatal("the segments don't add up to the prompt")
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against a deadlock of two long prompts that each hold some of the
// engines, and against engines that are idle while their memory is held. One
// member has no memory for a while. Holds must be all or nothing: between
// rounds nothing is held.
func TestHoldsAreAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGroupFleet(4)
		begin := time.Now()
		var refusedIDs, grantedIDs []string
		f.agents["e2"].holdScript = func(in *wirepb.HoldRequest) *wirepb.HoldResponse {
			if time.Since(begin) < 5*time.Second {
				refusedIDs = append(refusedIDs, in.GetHoldId())
				return &wirepb.HoldResponse{Code: wirepb.RefuseCode_REFUSE_NO_MEMORY}
			}
			return &wirepb.HoldResponse{Granted: true}
		}
		f.agents["e1"].holdScript = func(in *wirepb.HoldRequest) *wirepb.HoldResponse {
			grantedIDs = append(grantedIDs, in.GetHoldId())
			return &wirepb.HoldResponse{Granted: true}
		}
		b := newTestEntry(t, f, Limits{})
		assertText(t, chat(b, longBody), tokenText(3))
		if len(refusedIDs) < 3 || len(slices.Compact(refusedIDs)) != 1 {
			t.Fatalf("the refused hold lost its position in the queue: %v", refusedIDs)
		}
		if slices.Sort(grantedIDs); len(slices.Compact(grantedIDs)) != len(grantedIDs) {
			t.Fatalf("a released hold id was requested again: %v", grantedIDs)
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against a long prompt that waits its whole time limit although one
// engine never has enough memory, and against one that is refused while its
// work still fits into its caller's time. Requesting holds must end when it
// doesn't any more, with a not_run failure.
func TestUngrantableHoldsFailAsNotRun(t *testing.T) {
	const timeLimit, work = 20 * time.Second, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newGroupFleet(4)
		f.expectedTTFT = work
		f.agents["e3"].holdScript = func(*wirepb.HoldRequest) *wirepb.HoldResponse {
			return &wirepb.HoldResponse{Code: wirepb.RefuseCode_REFUSE_NO_MEMORY}
		}
		b := newTestEntry(t, f, Limits{})
		begin := time.Now()
		w := chat(b, longBody, headerTimeout, "20000")
		assertFailure(t, w, http.StatusServiceUnavailable, request.NotRun, reasonNoMemory)
		if took := time.Since(begin); took < timeLimit-work-minBackoff || took > timeLimit-work {
			t.Fatalf("took %s", took)
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against a long prompt that is refused after half of its caller's time
// although its memory came free later and its work still fitted.
func TestHoldsAreRequestedWhileTheWorkFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGroupFleet(4)
		f.expectedTTFT = 4 * time.Second
		begin := time.Now()
		f.agents["e3"].holdScript = func(*wirepb.HoldRequest) *wirepb.HoldResponse {
			if time.Since(begin) < 14*time.Second {
				return &wirepb.HoldResponse{Code: wirepb.RefuseCode_REFUSE_NO_MEMORY}
			}
			return &wirepb.HoldResponse{Granted: true}
		}
		assertText(t, chat(newTestEntry(t, f, Limits{}), longBody, headerTimeout, "20000"), tokenText(3))
	})
}

// Guards against a deadlock between entries that request holds on the same
// engines in the order of preference. All entries must use the same order,
// that of the server keys.
func TestHoldsAreRequestedInKeyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGroupFleet(4)
		var keys []uint64
		for name, a := range f.agents {
			a.holdScript = func(*wirepb.HoldRequest) *wirepb.HoldResponse {
				keys = append(keys, backend.KeyOf(name))
				return &wirepb.HoldResponse{Granted: true}
			}
		}
		chat(newTestEntry(t, f, Limits{}), longBody)
		if len(keys) != 4 || !slices.IsSorted(keys) {
			t.Fatalf("requested in the order %v", keys)
		}
	})
}

// Guards against memory that is given to other runs while a group decodes.
// First the leader decodes for longer than the TTL of the holds, then an agent
// loses its hold as after a restart. Holds must be extended while the group
// runs, and a lost hold must end the run.
func TestHoldsAreExtendedAndLostHoldEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGroupFleet(4)
		slow := 0
		f.agents["e0"].script = func(r *fakeRun) error {
			if r.start.GetKind() == wirepb.Kind_KIND_KV_SEGMENT {
				return respondAsGroup(3)(r)
			}
			r.admit()
			slow++
			if slow == 2 {
				r.sendTokens(0, 1)
				time.AfterFunc(time.Second, func() {
					a := f.agents["e1"]
					a.mu.Lock()
					defer a.mu.Unlock()
					clear(a.held)
				})
				<-r.Context().Done()
				return nil
			}
			time.Sleep(25 * time.Second)
			r.sendTokens(int(r.start.GetResumeFrom()), 3)
			return r.end(endOK(3))
		}
		b := newTestEntry(t, f, Limits{})
		assertText(t, chat(b, longBody), tokenText(3))
		if f.agents["e1"].extensions < 5 {
			t.Fatalf("extended %d times in 25 s", f.agents["e1"].extensions)
		}
		assertText(t, chat(b, longBody), tokenText(3))
		if slow != 3 {
			t.Fatalf("the leader ran %d times", slow)
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against memory that stays held after a request has ended: a member
// dies in prefill, the caller disconnects, or the deadline passes.
func TestEveryExitPathReleasesHolds(t *testing.T) {
	hang := func(r *fakeRun) error { r.admit(); <-r.Context().Done(); return nil }
	dies := func(r *fakeRun) error {
		r.admit()
		return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true})
	}
	for name, script := range map[string]func(*fakeRun) error{"hang": hang, "dies": dies} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newGroupFleet(4)
				f.agents["e2"].script = script
				b := newTestEntry(t, f, Limits{})
				ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
				defer cancel()
				post(ctx, b, "/v1/chat/completions", longBody)
				chat(b, longBody, headerTimeout, "9000")
				time.Sleep(time.Second)
				synctest.Wait()
				b.assertNothingHeld(t)
			})
		})
	}
}

func TestSplitPrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(20, 400, -1).Draw(t, "text")
		n := rapid.IntRange(3, 16).Draw(t, "members")
		output := rapid.IntRange(0, 1000).Draw(t, "output")
		parts := splitPrompt(text, n, output)
		if len(parts) != n || strings.Join(parts, "") != text {
			t.Fatalf("parts %q of %q", parts, text)
		}
		for _, p := range parts {
			if utf8.ValidString(text) && !utf8.ValidString(p) {
				t.Fatalf("a character is split: %q", parts)
			}
		}
	})
}
