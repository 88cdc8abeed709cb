package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

func TestBufferedAndStreamedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: respondTokens(5)}), Limits{})
		assertText(t, chat(b, chatBodyText), tokenText(5))

		w := chat(b, strings.Replace(streamBodyText, `"max_tokens"`, `"stream_options":{"include_usage":true},"max_tokens"`, 1))
		text, done, _ := streamText(t, w.Body.String())
		if text != tokenText(5) || !done || !strings.Contains(w.Body.String(), `"completion_tokens":5`) {
			t.Fatalf("got %q", w.Body)
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against a request that fails although another engine has capacity.
// The first agent is full and refuses, since its load in the server table is
// outdated. The agent makes the final admission decision, so a refusal is a
// normal response, and the load that it carries must be recorded.
func TestRefusedRequestGoesToNextServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := &fakeAgent{script: func(r *fakeRun) error { return r.refuse(wirepb.RefuseCode_REFUSE_NO_MEMORY) }}
		b := newTestEntry(t, newFakeFleet(full, &fakeAgent{script: respondTokens(3)}), Limits{})
		assertText(t, chat(b, chatBodyText), tokenText(3))
		if b.fleet.observed["e0"].Running != 7 || len(full.bodies) != 0 {
			t.Fatalf("observed %v, bodies %d", b.fleet.observed, len(full.bodies))
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against a caller that waits its whole time limit while the whole
// fleet is full. All agents refuse repeatedly; the entry must stop and fail
// the request as not run once its work doesn't fit before the deadline, and
// no sooner. Its caller must hear when to come back, also if no work is
// forecast.
func TestRefusedByAllServersFailsAsNotRunBeforeDeadline(t *testing.T) {
	const timeLimit = 10 * time.Second
	for work, latest := range map[time.Duration]time.Duration{4 * time.Second: 7 * time.Second, 0: timeLimit - time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			busy := func(r *fakeRun) error { return r.refuse(wirepb.RefuseCode_REFUSE_BUSY) }
			f := newFakeFleet(&fakeAgent{script: busy}, &fakeAgent{script: busy})
			f.expectedTTFT = work
			b := newTestEntry(t, f, Limits{})
			begin := time.Now()
			w := chat(b, chatBodyText, headerTimeout, "10000")
			assertFailure(t, w, http.StatusServiceUnavailable, request.NotRun, reasonBusy)
			took := time.Since(begin)
			if took < timeLimit-work-minBackoff || took > latest || w.Header().Get("Retry-After") == "" {
				t.Fatalf("work of %v: took %s, headers %v", work, took, w.Header())
			}
			synctest.Wait()
			b.assertNothingHeld(t)
		})
	}
}

// Guards against a stream that stops in the middle or repeats a part when the
// connection breaks after some chunks and another engine continues. The new
// attempt must resume after the last delivered chunk and receive the prior
// text.
func TestBrokenStreamResumesWithoutDuplicates(t *testing.T) {
	for _, body := range []string{chatBodyText, streamBodyText} {
		synctest.Test(t, func(t *testing.T) {
			breaks := &fakeAgent{script: func(r *fakeRun) error {
				r.admit()
				r.sendTokens(0, 3)
				return r.end(&wirepb.End{Code: wirepb.EndCode_END_STREAM_BROKEN, Began: true})
			}}
			takes := &fakeAgent{script: respondTokens(6)}
			b := newTestEntry(t, newFakeFleet(breaks, takes), Limits{})
			w := chat(b, body)
			if body == chatBodyText {
				assertText(t, w, tokenText(6))
			} else if text, done, _ := streamText(t, w.Body.String()); text != tokenText(6) || !done {
				t.Fatalf("got %q", w.Body)
			}
			second := takes.starts[0]
			if second.GetResumeFrom() != 3 || string(second.GetPriorText()) != tokenText(3) {
				t.Fatalf("resumed from %d with %q", second.GetResumeFrom(), second.GetPriorText())
			}
			synctest.Wait()
			b.assertNothingHeld(t)
		})
	}
}

// Guards against duplicate or misordered text when an agent sends chunks more
// than once and out of order. Chunks must be ordered by sequence number, not
// by arrival.
func TestDuplicateAndReorderedChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			for _, i := range []uint64{1, 0, 0, 3, 2, 1, 3} {
				r.chunk(i, tokenChunk(int(i)))
			}
			return r.end(endOK(4))
		}}), Limits{})
		text, done, _ := streamText(t, chat(b, streamBodyText).Body.String())
		if text != tokenText(4) || !done {
			t.Fatalf("got %q", text)
		}
	})
}

// Guards against a truncated answer that is reported as complete. Each attempt
// ends with OK but with fewer chunks than its End states; only that total
// shows that the answer is incomplete.
func TestIncompleteAnswerIsReportedAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.sendTokens(int(r.start.GetResumeFrom()), 2)
			return r.end(endOK(4))
		}}), Limits{})
		text, done, failure := streamText(t, chat(b, streamBodyText).Body.String())
		if done || failure == nil || failure.Code != request.OutcomeUnknown || failure.Reason != reasonBadAnswer {
			t.Fatalf("text %q, done %v, failure %v", text, done, failure)
		}
	})
}

// Guards against a request that hangs, or a run that continues without a
// caller, when the agent admits and then sends nothing. The deadline must end
// the request in every state and cancel the run.
func TestDeadlineCancelsStalledRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			<-r.Context().Done()
			return nil
		}}), Limits{})
		begin := time.Now()
		w := chat(b, chatBodyText, headerTimeout, "3000")
		assertFailure(t, w, http.StatusGatewayTimeout, request.OutcomeUnknown, reasonDeadline)
		if took := time.Since(begin); took != 3*time.Second {
			t.Fatalf("took %s", took)
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against a paused agent that uses up the whole time limit of a
// request: it accepts the Start but sends neither Admit nor Refuse. Admission
// has its own timeout; no part of the body was sent, so even a non-idempotent
// request may go to another server.
func TestAdmissionTimeoutMovesToNextServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := &fakeAgent{script: func(r *fakeRun) error { <-r.Context().Done(); return nil }}
		b := newTestEntry(t, newFakeFleet(silent, &fakeAgent{script: respondTokens(2)}), Limits{})
		assertText(t, chat(b, chatBodyText, headerNonIdempotent, "true"), tokenText(2))
		if len(silent.bodies) != 0 {
			t.Fatal("the body was sent without admission")
		}
		synctest.Wait()
		b.assertNothingHeld(t)
	})
}

// Guards against requests on a paused VM that wait for their whole time limit
// and then fail. The agent admits, sends a chunk and then nothing more, with
// its connection still open; later the server table reports it as dead. An
// open connection doesn't prove that the server is alive, so the stalled
// attempt must be cancelled. A request that must not run twice continues to
// wait.
func TestStalledAttemptOnDeadServerIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused := &fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.sendTokens(0, 1)
			<-r.Context().Done()
			return nil
		}}
		b := newTestEntry(t, newFakeFleet(paused, &fakeAgent{script: respondTokens(3)}), Limits{})
		texts := make(chan string, 1)
		go func() {
			text, _, _ := streamText(t, chat(b, streamBodyText).Body.String())
			texts <- text
		}()
		go chat(b, chatBodyText, headerNonIdempotent, "true", headerTimeout, "20000")
		time.Sleep(2 * time.Second)
		b.fleet.mu.Lock()
		b.fleet.dead["e0"] = true
		b.fleet.mu.Unlock()
		if n := b.CancelStalledAttempts(time.Now()); n != 0 {
			t.Fatalf("%d attempts cancelled before they were stalled", n)
		}
		time.Sleep(stallTimeout)
		if n := b.CancelStalledAttempts(time.Now()); n != 1 {
			t.Fatalf("%d attempts cancelled, want 1", n)
		}
		if text := <-texts; text != tokenText(3) {
			t.Fatalf("got %q", text)
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		b.assertNothingHeld(t)
		if len(b.watch.attempts) != 0 {
			t.Errorf("%d attempts still watched", len(b.watch.attempts))
		}
	})
}

// Guards against an engine that continues to generate after its caller
// disconnected. The context of the run must derive from the caller's.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.sendTokens(0, 1)
			<-r.Context().Done()
			return nil
		}}), Limits{})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		post(ctx, b, "/v1/chat/completions", streamBodyText)
		synctest.Wait()
		b.assertNothingHeld(t)
		if b.fleet.agents["e0"].runs() != 1 {
			t.Fatal("the request was retried after its caller disconnected")
		}
	})
}

// Guards against a confirmation that runs twice: the engine dies after the
// body was sent, then a request with the same key arrives. It is unknown
// whether the first one ran, so it must not run again.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dies := &fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_STREAM_BROKEN, Began: true})
		}}
		other := &fakeAgent{script: respondTokens(1)}
		b := newTestEntry(t, newFakeFleet(dies, other), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k1"}
		assertFailure(t, chat(b, chatBodyText, head...), http.StatusBadGateway, request.OutcomeUnknown, reasonStreamBroken)
		waitForSettlement()
		assertFailure(t, chat(b, chatBodyText, head...), http.StatusConflict, request.OutcomeUnknown, reasonEarlierUnknown)
		if other.runs() != 0 || dies.runs() != 1 {
			t.Fatalf("ran %d and %d times", dies.runs(), other.runs())
		}
		waitForSettlement()
		b.assertNothingHeld(t)
	})
}

// Guards against a booking that runs twice because its caller received part of
// an answer and then a not_run failure. The agent sends a chunk and then an
// End without Began; the chunk proves that the request ran, regardless of the
// End.
func TestChunkMeansRequestMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		odd := &fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.sendTokens(0, 1)
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_CANCELLED})
		}}
		other := &fakeAgent{script: respondTokens(1)}
		b := newTestEntry(t, newFakeFleet(odd, other), Limits{})
		w := chat(b, chatBodyText, headerNonIdempotent, "true")
		assertFailure(t, w, http.StatusBadGateway, request.OutcomeUnknown, reasonStreamBroken)
		if other.runs() != 0 {
			t.Fatal("the request ran again")
		}
	})
}

// Guards against a resend that books twice after a lost answer, or that is
// refused permanently after a not_run failure. The request is refused, then
// succeeds, then is resent with the same key. A not_run outcome must release
// the claim, an answer must settle it.
func TestClaimIsReleasedByNotRunAndSettledByAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: func(r *fakeRun) error { return r.refuse(wirepb.RefuseCode_REFUSE_BAD_REQUEST) }}
		b := newTestEntry(t, newFakeFleet(agent), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k1"}
		assertFailure(t, chat(b, chatBodyText, head...), http.StatusBadRequest, request.NotRun, reasonBadRequest)
		agent.script = respondTokens(3)
		for range 2 {
			assertText(t, chat(b, chatBodyText, head...), tokenText(3))
			waitForSettlement()
		}
		if text, done, _ := streamText(t, chat(b, streamBodyText, head...).Body.String()); text != tokenText(3) || !done {
			t.Fatalf("replayed stream %q", text)
		}
		other := strings.Replace(chatBodyText, "hello", "other", 1)
		assertFailure(t, chat(b, other, head...), http.StatusUnprocessableEntity, request.NotRun, reasonKeyReused)
		if len(agent.bodies) != 1 {
			t.Fatalf("ran %d times", len(agent.bodies))
		}
		waitForSettlement()
	})
}

// Guards against confirmations that fail while the store is down, or that are
// reported as not run although an earlier one ran. Requests arrive with a
// caller's own key and with a key that the entry issued. Without the store it
// is unknown what ran under the caller's key; an issued key needs no store.
func TestClaimsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: respondTokens(1)}
		b := newTestEntry(t, newFakeFleet(agent), Limits{})
		w := post(context.Background(), b, "/v1/idempotency-keys", "")
		var issued struct{ Key string }
		if err := json.Unmarshal(w.Body.Bytes(), &issued); err != nil || issued.Key == "" {
			t.Fatalf("got %s", w.Body)
		}
		b.store.SetFaults(standin.Faults{Down: true})
		own := chat(b, chatBodyText, headerNonIdempotent, "true", headerKey, "k1", headerTimeout, "10000")
		if own.Code/100 != 5 || !strings.Contains(own.Body.String(), string(request.OutcomeUnknown)) || agent.runs() != 0 {
			t.Fatalf("got %d %s, %d runs", own.Code, own.Body, agent.runs())
		}
		first := chat(b, chatBodyText, headerNonIdempotent, "true", headerKey, "k2", headerFirstSend, "true")
		assertFailure(t, first, http.StatusServiceUnavailable, request.NotRun, reasonClaimUnavailable)
		other := chat(b, chatBodyText, headerNonIdempotent, "true", headerKey, issued.Key, headerWorkspace, "large")
		assertFailure(t, other, http.StatusBadRequest, request.NotRun, reasonBadKey)
		for range 2 {
			assertText(t, chat(b, chatBodyText, headerNonIdempotent, "true", headerKey, issued.Key), tokenText(1))
			time.Sleep(time.Second)
		}
		if agent.runs() != 1 {
			t.Fatalf("ran %d times", agent.runs())
		}
		b.store.SetFaults(standin.Faults{})
		waitForSettlement()
		b.assertNothingHeld(t)
	})
}

// waitForSettlement waits until the outcomes of claims are recorded.
func waitForSettlement() {
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

// Guards against a caller that mistakes the notice that its request has
// completed for an answer. The answer of a request with a key is too large to
// record, and the key is sent again: this must fail, and the request must not
// run again.
func TestUnrecordedAnswerIsNotReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: respondTokens(2000)}
		b := newTestEntry(t, newFakeFleet(agent), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k1"}
		assertText(t, chat(b, chatBodyText, head...), tokenText(2000))
		waitForSettlement()
		assertFailure(t, chat(b, chatBodyText, head...), http.StatusConflict, request.OutcomeUnknown, reasonFinished)
		waitForSettlement()
		if agent.runs() != 1 {
			t.Fatalf("ran %d times", agent.runs())
		}
	})
}

// Guards against a prompt that kills one engine after another when the caller
// keeps sending it. After the first death the prompt may only run alone, after
// the second it is refused.
func TestPromptIsQuarantinedAfterTwoEngineDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		died := func(death uint64) func(*fakeRun) error {
			return func(r *fakeRun) error {
				r.admit()
				return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Detail: "boot 1", Death: death})
			}
		}
		f := newFakeFleet(&fakeAgent{script: died(1)}, &fakeAgent{script: died(2)}, &fakeAgent{script: died(3)})
		b := newTestEntry(t, f, Limits{})
		for range 5 {
			w := chat(b, chatBodyText)
			if w.Code != http.StatusUnprocessableEntity {
				t.Fatalf("got %d %s", w.Code, w.Body)
			}
		}
		if n := f.agents["e0"].runs() + f.agents["e1"].runs() + f.agents["e2"].runs(); n != 2 {
			t.Fatalf("the prompt ran on %d engines, want 2", n)
		}
		if f.agents["e0"].starts[0].GetAlone() || !f.agents["e1"].starts[0].GetAlone() {
			t.Fatal("want the first run not alone and the second one alone")
		}
		w := chat(b, chatBodyText)
		assertFailure(t, w, http.StatusUnprocessableEntity, request.NotRun, reasonQuarantined)
		assertText(t, chat(newTestEntry(t, newFakeFleet(&fakeAgent{script: respondTokens(1)}), Limits{}), chatBodyText), tokenText(1))
	})
}

// Guards against a harmless prompt that is quarantined after one engine death.
// The entry receives the death with the End of the attempt and again with the
// agent's own report. When the two used different ids for it, one death
// counted as two.
func TestRepeatedDeathReportCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		died := func(r *fakeRun) error {
			r.admit()
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Death: 7})
		}
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: died}), Limits{})
		chat(b, chatBodyText)
		body, _ := parseBody(request.KindChat, []byte(chatBodyText))
		if _, news := b.quarantine.RecordDeath(body.fingerprint(), 7, time.Now()); news {
			t.Error("the agent's report of the same death was counted as new")
		}
		if v := b.quarantine.Verdict(body.fingerprint(), time.Now()); v != quarantine.RunAlone {
			t.Fatalf("verdict %v after one death", v)
		}
	})
}

func TestCompletionClearsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: respondTokens(1)}), Limits{})
		body, _ := parseBody(request.KindChat, []byte(chatBodyText))
		b.quarantine.RecordDeath(body.fingerprint(), 1, time.Now())
		chat(b, chatBodyText)
		if v := b.quarantine.Verdict(body.fingerprint(), time.Now()); v != quarantine.Allow {
			t.Fatalf("verdict %v", v)
		}
	})
}

// Guards against a caller that waits for an answer that can't arrive in time:
// on the best engine the first token is expected after the time limit. An
// immediate refusal lets the caller react, one at the deadline doesn't.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(&fakeAgent{script: respondTokens(1)})
		f.expectedTTFT = time.Minute
		b := newTestEntry(t, f, Limits{})
		begin := time.Now()
		w := chat(b, chatBodyText, headerTimeout, "1000")
		assertFailure(t, w, http.StatusServiceUnavailable, request.NotRun, reasonDeadline)
		if time.Since(begin) != 0 {
			t.Fatalf("refused after %s, want immediately", time.Since(begin))
		}
	})
}

// Guards against a rolling restart that truncates answers or loses requests. A
// drain starts while a stream is in progress and a new request arrives:
// readiness is turned off first, the new request is refused and the stream
// completes.
func TestDrainFinishesRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.sendTokens(0, 2)
			time.Sleep(5 * time.Second)
			r.sendTokens(2, 4)
			return r.end(endOK(4))
		}}), Limits{})
		var text string
		var done bool
		go func() { text, done, _ = streamText(t, chat(b, streamBodyText).Body.String()) }()
		time.Sleep(time.Second)
		drained := make(chan error, 1)
		go func() { drained <- b.Drain(context.Background()) }()
		synctest.Wait()
		if b.Ready() {
			t.Fatal("ready while draining")
		}
		assertFailure(t, chat(b, chatBodyText), http.StatusServiceUnavailable, request.NotRun, reasonDraining)
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if text != tokenText(4) || !done {
			t.Fatalf("truncated answer: %q", text)
		}
	})
}
