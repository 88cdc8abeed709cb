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

func TestWholeAndStreamedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: answers(5)}), Limits{})
		wantText(t, chat(b, chatBodyText), tokenText(5))

		w := chat(b, strings.Replace(streamBodyText, `"max_tokens"`, `"stream_options":{"include_usage":true},"max_tokens"`, 1))
		text, done, _ := streamText(t, w.Body.String())
		if text != tokenText(5) || !done || !strings.Contains(w.Body.String(), `"completion_tokens":5`) {
			t.Fatalf("got %q", w.Body)
		}
		synctest.Wait()
		b.wantNothingHeld(t)
	})
}

// Symptom: a request fails although another engine has room.
// Sequence: the first agent refuses, being full; its load in our table is old.
// Cause: final admission is at the agent, so a refusal is an ordinary answer.
func TestRefusalGoesToNextAndItsLoadIsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := &fakeAgent{script: func(r *fakeRun) error { return r.refuse(wirepb.RefuseCode_REFUSE_NO_MEMORY) }}
		b := newBench(t, fleet(full, &fakeAgent{script: answers(3)}), Limits{})
		wantText(t, chat(b, chatBodyText), tokenText(3))
		if b.fleet.observed["e0"].Running != 7 || len(full.bodies) != 0 {
			t.Fatalf("observed %v, bodies %d", b.fleet.observed, len(full.bodies))
		}
		synctest.Wait()
		b.wantNothingHeld(t)
	})
}

// Symptom: a caller waits its whole limit although the fleet is full for long.
// Sequence: every agent refuses, again and again.
// Cause: asking must stop while the answer "not run" is still of use.
func TestRefusedByAllIsAnsweredNotRunBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := func(r *fakeRun) error { return r.refuse(wirepb.RefuseCode_REFUSE_BUSY) }
		b := newBench(t, fleet(&fakeAgent{script: busy}, &fakeAgent{script: busy}), Limits{})
		begin := time.Now()
		w := chat(b, chatBodyText, headerTimeout, "10000")
		wantFailure(t, w, http.StatusServiceUnavailable, request.NotRun, reasonBusy)
		if took := time.Since(begin); took > 7*time.Second || w.Header().Get("Retry-After") == "" {
			t.Fatalf("took %s, headers %v", took, w.Header())
		}
		synctest.Wait()
		b.wantNothingHeld(t)
	})
}

// Symptom: a caller's stream stops in the middle, or repeats a part.
// Sequence: the connection breaks after k chunks; another engine takes over.
// Cause: the new attempt must start behind the last chunk given, with the text.
func TestBrokenStreamResumesWithNothingGivenTwice(t *testing.T) {
	for _, body := range []string{chatBodyText, streamBodyText} {
		synctest.Test(t, func(t *testing.T) {
			breaks := &fakeAgent{script: func(r *fakeRun) error {
				r.admit()
				r.tokens(0, 3)
				return r.end(&wirepb.End{Code: wirepb.EndCode_END_STREAM_BROKEN, Began: true})
			}}
			takes := &fakeAgent{script: answers(6)}
			b := newBench(t, fleet(breaks, takes), Limits{})
			w := chat(b, body)
			if body == chatBodyText {
				wantText(t, w, tokenText(6))
			} else if text, done, _ := streamText(t, w.Body.String()); text != tokenText(6) || !done {
				t.Fatalf("got %q", w.Body)
			}
			second := takes.starts[0]
			if second.GetResumeFrom() != 3 || string(second.GetPriorText()) != tokenText(3) {
				t.Fatalf("resumed from %d with %q", second.GetResumeFrom(), second.GetPriorText())
			}
			synctest.Wait()
			b.wantNothingHeld(t)
		})
	}
}

// Symptom: an answer with words doubled or in the wrong order.
// Sequence: an agent sends chunks doubled and out of order.
// Cause: chunks count by number, not by arrival.
func TestDoubledAndReorderedChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			for _, i := range []uint64{1, 0, 0, 3, 2, 1, 3} {
				r.chunk(i, tokenChunk(int(i)))
			}
			return r.end(okEnd(4))
		}}), Limits{})
		text, done, _ := streamText(t, chat(b, streamBodyText).Body.String())
		if text != tokenText(4) || !done {
			t.Fatalf("got %q", text)
		}
	})
}

// Symptom: a cut answer is taken for a whole one.
// Sequence: an agent ends OK with fewer chunks than it announces, every time.
// Cause: only the announced total tells a whole answer.
func TestIncompleteAnswerIsNotCalledWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.tokens(int(r.start.GetResumeFrom()), 2)
			return r.end(okEnd(4))
		}}), Limits{})
		text, done, failure := streamText(t, chat(b, streamBodyText).Body.String())
		if done || failure == nil || failure.Code != request.OutcomeUnknown || failure.Reason != reasonBadAnswer {
			t.Fatalf("text %q, done %v, failure %v", text, done, failure)
		}
	})
}

// Symptom: a request hangs for ever, or an engine runs on for nobody.
// Sequence: the agent admits and then says nothing; the time limit passes.
// Cause: the deadline must end a request in every state and free the run.
func TestDeadlineEndsAHungRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			<-r.Context().Done()
			return nil
		}}), Limits{})
		begin := time.Now()
		w := chat(b, chatBodyText, headerTimeout, "3000")
		wantFailure(t, w, http.StatusGatewayTimeout, request.OutcomeUnknown, reasonDeadline)
		if took := time.Since(begin); took != 3*time.Second {
			t.Fatalf("took %s", took)
		}
		synctest.Wait()
		b.wantNothingHeld(t)
	})
}

// Symptom: one paused agent costs callers their whole time limit.
// Sequence: the agent takes the Start and answers neither Admit nor Refuse.
// Cause: admission is waited for with a bound of its own; nothing was sent, so
// another server may be asked, even for a non-idempotent request.
func TestSilentAgentIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := &fakeAgent{script: func(r *fakeRun) error { <-r.Context().Done(); return nil }}
		b := newBench(t, fleet(silent, &fakeAgent{script: answers(2)}), Limits{})
		wantText(t, chat(b, chatBodyText, headerNonIdempotent, "true"), tokenText(2))
		if len(silent.bodies) != 0 {
			t.Fatal("body sent without admission")
		}
		synctest.Wait()
		b.wantNothingHeld(t)
	})
}

// Symptom: requests on a paused VM wait for their whole limit and then fail.
// Sequence: the agent admits, gives a chunk and falls silent with its connection
// open; a while later the other observers call it dead.
// Cause: an open connection says nothing; silence and a death together do. A
// request that must not run twice waits on.
func TestSilentAttemptOnADeadServerIsTriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused := &fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.tokens(0, 1)
			<-r.Context().Done()
			return nil
		}}
		b := newBench(t, fleet(paused, &fakeAgent{script: answers(3)}), Limits{})
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
			t.Fatalf("%d ended before they were silent for long", n)
		}
		time.Sleep(stallTime)
		if n := b.CancelStalledAttempts(time.Now()); n != 1 {
			t.Fatalf("%d ended", n)
		}
		if text := <-texts; text != tokenText(3) {
			t.Fatalf("got %q", text)
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		b.wantNothingHeld(t)
		if len(b.watch.attempts) != 0 {
			t.Errorf("%d attempts still watched", len(b.watch.attempts))
		}
	})
}

// Symptom: an engine works on for a caller that hung up.
// Sequence: the caller disconnects while its answer is being generated.
// Cause: the run's context is the caller's.
func TestDisconnectFreesTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.tokens(0, 1)
			<-r.Context().Done()
			return nil
		}}), Limits{})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		post(ctx, b, "/v1/chat/completions", streamBodyText)
		synctest.Wait()
		b.wantNothingHeld(t)
		if b.fleet.agents["e0"].runs() != 1 {
			t.Fatal("tried again for a caller that went away")
		}
	})
}

// Symptom: a confirmation runs twice.
// Sequence: the engine dies after the body was sent; the same key comes again.
// Cause: nobody knows whether it ran, so it must not run again.
func TestNonIdempotentIsNeverRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dies := &fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_STREAM_BROKEN, Began: true})
		}}
		other := &fakeAgent{script: answers(1)}
		b := newBench(t, fleet(dies, other), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k1"}
		wantFailure(t, chat(b, chatBodyText, head...), http.StatusBadGateway, request.OutcomeUnknown, reasonStreamBroken)
		settled()
		wantFailure(t, chat(b, chatBodyText, head...), http.StatusConflict, request.OutcomeUnknown, reasonEarlierUnknown)
		if other.runs() != 0 || dies.runs() != 1 {
			t.Fatalf("ran %d and %d times", dies.runs(), other.runs())
		}
		settled()
		b.wantNothingHeld(t)
	})
}

// Symptom: a caller that holds a part of an answer is told that nothing ran, and
// a booking is made once more.
// Sequence: an agent gives a chunk and then ends with "not begun".
// Cause: a chunk proves that it ran, whatever the end says.
func TestChunkProvesThatItRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		odd := &fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.tokens(0, 1)
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_CANCELLED})
		}}
		other := &fakeAgent{script: answers(1)}
		b := newBench(t, fleet(odd, other), Limits{})
		w := chat(b, chatBodyText, headerNonIdempotent, "true")
		wantFailure(t, w, http.StatusBadGateway, request.OutcomeUnknown, reasonStreamBroken)
		if other.runs() != 0 {
			t.Fatal("ran again")
		}
	})
}

// Symptom: a resend after a lost answer books twice, or is refused for good
// after a true "not run".
// Sequence: refused by all, then granted, then the same key once more.
// Cause: a claim is freed by "not run" and closed by an answer.
func TestKeyIsFreedByNotRunAndClosedByAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: func(r *fakeRun) error { return r.refuse(wirepb.RefuseCode_REFUSE_BAD_REQUEST) }}
		b := newBench(t, fleet(agent), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k1"}
		wantFailure(t, chat(b, chatBodyText, head...), http.StatusBadRequest, request.NotRun, reasonBadRequest)
		agent.script = answers(3)
		for range 2 {
			wantText(t, chat(b, chatBodyText, head...), tokenText(3))
			settled()
		}
		if text, done, _ := streamText(t, chat(b, streamBodyText, head...).Body.String()); text != tokenText(3) || !done {
			t.Fatalf("replayed stream %q", text)
		}
		other := strings.Replace(chatBodyText, "hello", "other", 1)
		wantFailure(t, chat(b, other, head...), http.StatusUnprocessableEntity, request.NotRun, reasonKeyReused)
		if len(agent.bodies) != 1 {
			t.Fatalf("ran %d times", len(agent.bodies))
		}
		settled()
	})
}

// Symptom: confirmations are lost while the platform's store is down, or one is
// called "not run" that ran before.
// Sequence: the store goes down; a caller's own key comes, then one that the
// entry had issued.
// Cause: without the store nobody can tell what ran under a caller's key; an
// issued key needs no store.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: answers(1)}
		b := newBench(t, fleet(agent), Limits{})
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
		wantFailure(t, first, http.StatusServiceUnavailable, request.NotRun, reasonClaimUnavailable)
		other := chat(b, chatBodyText, headerNonIdempotent, "true", headerKey, issued.Key, headerWorkspace, "large")
		wantFailure(t, other, http.StatusBadRequest, request.NotRun, reasonBadKey)
		for range 2 {
			wantText(t, chat(b, chatBodyText, headerNonIdempotent, "true", headerKey, issued.Key), tokenText(1))
			time.Sleep(time.Second)
		}
		if agent.runs() != 1 {
			t.Fatalf("ran %d times", agent.runs())
		}
		b.store.SetFaults(standin.Faults{})
		settled()
		b.wantNothingHeld(t)
	})
}

// settled waits until claims are written.
func settled() {
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

// Symptom: a caller takes a notice that its call had finished for an answer.
// Sequence: a keyed call's answer is too large to record; the key comes again.
// Cause: what isn't recorded can't be replayed; it is an error, and runs no more.
func TestLargeAnswerIsNotReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: answers(2000)}
		b := newBench(t, fleet(agent), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k1"}
		wantText(t, chat(b, chatBodyText, head...), tokenText(2000))
		settled()
		wantFailure(t, chat(b, chatBodyText, head...), http.StatusConflict, request.OutcomeUnknown, reasonFinished)
		settled()
		if agent.runs() != 1 {
			t.Fatalf("ran %d times", agent.runs())
		}
	})
}

// Symptom: one prompt takes down engine after engine.
// Sequence: it kills the engine that runs it; the caller sends it again.
// Cause: a suspect runs only alone, and two deaths refuse it.
func TestPromptThatKillsIsQuarantinedAfterTwoDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		died := func(death uint64) func(*fakeRun) error {
			return func(r *fakeRun) error {
				r.admit()
				return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Detail: "boot 1", Death: death})
			}
		}
		f := fleet(&fakeAgent{script: died(1)}, &fakeAgent{script: died(2)}, &fakeAgent{script: died(3)})
		b := newBench(t, f, Limits{})
		for range 5 {
			w := chat(b, chatBodyText)
			if w.Code != http.StatusUnprocessableEntity {
				t.Fatalf("got %d %s", w.Code, w.Body)
			}
		}
		if n := f.agents["e0"].runs() + f.agents["e1"].runs() + f.agents["e2"].runs(); n != 2 {
			t.Fatalf("%d engines lost", n)
		}
		if f.agents["e0"].starts[0].GetAlone() || !f.agents["e1"].starts[0].GetAlone() {
			t.Fatal("the suspect did not run alone")
		}
		w := chat(b, chatBodyText)
		wantFailure(t, w, http.StatusUnprocessableEntity, request.NotRun, reasonQuarantined)
		wantText(t, chat(newBench(t, fleet(&fakeAgent{script: answers(1)}), Limits{}), chatBodyText), tokenText(1))
	})
}

// Symptom: an innocent prompt is refused as one that kills.
// Sequence: an engine dies under it; the entry hears of that death from the
// attempt's end and again from the agent's own report.
// Cause: the two named the death differently, and one death counted as two.
func TestOneDeathHeardTwiceConvictsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		died := func(r *fakeRun) error {
			r.admit()
			return r.end(&wirepb.End{Code: wirepb.EndCode_END_ENGINE_DIED, Began: true, Death: 7})
		}
		b := newBench(t, fleet(&fakeAgent{script: died}), Limits{})
		chat(b, chatBodyText)
		body, _ := parseBody(request.KindChat, []byte(chatBodyText))
		if _, news := b.book.RecordDeath(body.fingerprint(), 7, time.Now()); news {
			t.Error("the agent's report of the same death was news")
		}
		if v := b.book.Verdict(body.fingerprint(), time.Now()); v != quarantine.RunAlone {
			t.Fatalf("verdict %v after one death", v)
		}
	})
}

func TestSurvivorIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: answers(1)}), Limits{})
		body, _ := parseBody(request.KindChat, []byte(chatBodyText))
		b.book.RecordDeath(body.fingerprint(), 1, time.Now())
		chat(b, chatBodyText)
		if v := b.book.Verdict(body.fingerprint(), time.Now()); v != quarantine.Allow {
			t.Fatalf("verdict %v", v)
		}
	})
}

// Symptom: a caller waits for an answer that can't come in time.
// Sequence: the best engine expects the first token after the time limit.
// Cause: a refusal at once lets the caller act; one at the deadline doesn't.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet(&fakeAgent{script: answers(1)})
		f.expected = time.Minute
		b := newBench(t, f, Limits{})
		begin := time.Now()
		w := chat(b, chatBodyText, headerTimeout, "1000")
		wantFailure(t, w, http.StatusServiceUnavailable, request.NotRun, reasonDeadline)
		if time.Since(begin) != 0 {
			t.Fatalf("answered after %s", time.Since(begin))
		}
	})
}

// Symptom: a rolling restart cuts off answers or loses requests.
// Sequence: drain while a stream is in progress and a new request comes.
// Cause: readiness goes first, work in progress ends by itself.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			r.tokens(0, 2)
			time.Sleep(5 * time.Second)
			r.tokens(2, 4)
			return r.end(okEnd(4))
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
		wantFailure(t, chat(b, chatBodyText), http.StatusServiceUnavailable, request.NotRun, reasonDraining)
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if text != tokenText(4) || !done {
			t.Fatalf("cut off: %q", text)
		}
	})
}
