package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarturn/briarturn/wire/wirepb"
)

func TestRunRelaysAnswerFromResume(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		start := chatStart("r")
		start.ResumeFrom = 5
		at := begin(t, a, start)
		synctest.Wait()
		s := e.stream("r.1")
		for i := range 3 {
			s.chunks <- EngineChunk{Data: []byte{byte(i)}, Tokens: 2}
			if c := at.recv().GetChunk(); c.GetSequence() != uint64(5+i) || c.Data[0] != byte(i) {
				t.Fatalf("chunk %v", c)
			}
		}
		s.chunks <- EngineChunk{PromptTokens: 100, OutputTokens: 6, CachedTokens: 3}
		if used := a.Load().Used; used != 106 {
			t.Fatalf("used %d", used)
		}
		close(s.chunks)
		end := at.end()
		expectEnd(t, end, wirepb.EndCode_END_OK, true)
		if end.Chunks != 8 || end.PromptTokens != 100 || end.OutputTokens != 6 || end.CachedTokens != 3 {
			t.Fatalf("%v", end)
		}
		if got := e.started()[0]; string(got.Body) != "body" || got.ResumeFrom != 5 {
			t.Fatalf("%+v", got)
		}
		expectFree(t, a)
	})
}

// Symptom: an engine's memory stays taken after an entry died.
// Sequence: an entry's connection breaks in the middle of an answer.
// Cause: nobody is left to cancel the run.
func TestEntryDeathFreesItsRun(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		e.stream("r.1").chunks <- EngineChunk{Data: []byte("x"), Tokens: 1}
		at.recv()
		at.close()
		expectStopped(t, e, a, "r.1")
	})
}

// Symptom: as above.
// Sequence: the entry closes its side properly behind the body, and dies later.
// Cause: nothing can be received any more, so no error of that tells of it.
func TestEntryDeathAfterItsSideWasClosedFreesItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := startAgent(t, testConfig(e))
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		if err := at.stream.CloseSend(); err != nil {
			t.Fatal(err)
		}
		e.stream("r.1").chunks <- EngineChunk{Data: []byte("x"), Tokens: 1}
		at.recv()
		if a.Load().Used == 0 {
			t.Fatal("ended by the close of one side")
		}
		at.close()
		synctest.Wait()
		expectFree(t, a)
		if !e.wasCanceled("r.1") {
			t.Fatal("engine still runs it")
		}
	})
}

// Symptom: a cancelled run goes on and its memory stays taken.
// Sequence: the entry sends Cancel while the engine prefills.
// Cause: the handler waits for the engine and doesn't listen to the entry.
func TestCancelEndsRun(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("r"))
		synctest.Wait() // the engine has the run and prefills
		at.send(&wirepb.RunUp{Body: &wirepb.RunUp_Cancel{Cancel: &wirepb.Cancel{}}})
		expectEnd(t, at.end(), wirepb.EndCode_END_CANCELLED, true)
		expectStopped(t, e, a, "r.1")
	})
}

// Symptom: a request runs past its time limit, and the caller hangs.
// Sequence: the engine takes the request and never answers; its health is good.
// Cause: no error arises anywhere; only a clock ends it.
func TestDeadlineEndsHungEngine(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		begun := time.Now()
		at := begin(t, a, chatStart("r"))
		expectEnd(t, at.end(), wirepb.EndCode_END_DEADLINE, true)
		if took := time.Since(begun); took != 30*time.Second {
			t.Fatalf("ended after %v", took)
		}
		expectStopped(t, e, a, "r.1")
	})
}

// Symptom: a cut prompt is answered as if it were whole.
// Sequence: the entry promises four bytes and sends fewer, more, or none.
// Cause: it died or miscounted between Start and the last part.
func TestBodyMustBeAsPromised(t *testing.T) {
	cases := map[string]struct {
		send   func(*attempt)
		detail error
	}{
		"shorter":  {func(at *attempt) { at.body("bo", true) }, errBodyShort},
		"longer":   {func(at *attempt) { at.body("body and more", false) }, errBodyLong},
		"closed":   {func(at *attempt) { _ = at.stream.CloseSend() }, errBodyShort},
		"missing":  {func(*attempt) {}, errBodyTimeout},
		"unclosed": {func(at *attempt) { at.body("body", false) }, errBodyTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
				at := open(t, a, chatStart("r"))
				at.recv()
				c.send(at)
				end := at.end()
				expectEnd(t, end, wirepb.EndCode_END_REJECTED, false)
				if end.Detail != c.detail.Error() || len(e.started()) != 0 {
					t.Fatalf("%s, engine got %d runs", end.Detail, len(e.started()))
				}
				expectFree(t, a)
			})
		})
	}
}

// Symptom: the agent's memory grows with a caller that doesn't read, and its
// run keeps the engine's memory past the time limit.
// Sequence: the engine offers chunk after chunk; the entry stops reading and
// keeps the connection open.
// Cause: chunks pile up between a fast engine and a slow reader.
func TestSlowReaderBlocksAndIsEndedAtTheDeadline(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		s := e.stream("r.1")
		taken := 0
		for range 1000 {
			select {
			case s.chunks <- EngineChunk{Data: make([]byte, 1000), Tokens: 1}:
				taken++
			case <-time.After(shortWait):
			}
		}
		// One chunk blocks in the pipe, and drpc may hold another.
		if taken > 3 {
			t.Fatalf("%d chunks taken from the engine with nobody reading", taken)
		}
		time.Sleep(30 * time.Second)
		expectStopped(t, e, a, "r.1")
		// The handler must go too, with its connection.
		time.Sleep(a.cfg.Limits.SendGrace + shortWait)
		synctest.Wait()
		select {
		case <-at.served:
		default:
			t.Fatal("the handler still writes to an entry that doesn't read")
		}
	})
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(*wirepb.Start)
		code   wirepb.RefuseCode
	}{
		"no time":          {func(s *wirepb.Start) { s.TimeoutMs = 0 }, wirepb.RefuseCode_REFUSE_DEADLINE},
		"prefill too slow": {func(s *wirepb.Start) { s.PromptTokens, s.TimeoutMs = 9000, 500 }, wirepb.RefuseCode_REFUSE_DEADLINE},
		"other pool":       {func(s *wirepb.Start) { s.Pool = "other" }, wirepb.RefuseCode_REFUSE_NOT_SERVED},
		"other model":      {func(s *wirepb.Start) { s.Model = "other" }, wirepb.RefuseCode_REFUSE_NOT_SERVED},
		"other adapter":    {func(s *wirepb.Start) { s.Adapter = "other" }, wirepb.RefuseCode_REFUSE_NOT_SERVED},
		"plain service":    {func(s *wirepb.Start) { s.Kind = wirepb.Kind_KIND_SERVICE }, wirepb.RefuseCode_REFUSE_NOT_SERVED},
		"quarantined":      {func(s *wirepb.Start) { s.Fingerprint = 666 }, wirepb.RefuseCode_REFUSE_QUARANTINED},
		"too large":        {func(s *wirepb.Start) { s.MaxTokens = 1 << 62 }, wirepb.RefuseCode_REFUSE_NO_MEMORY},
		"huge body":        {func(s *wirepb.Start) { s.BodyBytes = 1 << 62 }, wirepb.RefuseCode_REFUSE_BAD_REQUEST},
		"no kind":          {func(s *wirepb.Start) { s.Kind = 0 }, wirepb.RefuseCode_REFUSE_BAD_REQUEST},
		"unknown hold":     {func(s *wirepb.Start) { s.HoldId = "h" }, wirepb.RefuseCode_REFUSE_HOLD_UNKNOWN},
		"suspect":          {func(s *wirepb.Start) { s.Alone = true }, wirepb.RefuseCode_REFUSE_SUSPECT_ALONE},
		"too many":         {func(*wirepb.Start) {}, wirepb.RefuseCode_REFUSE_BUSY},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newFakeEngine()
				cfg := testConfig(e)
				cfg.Limits.MaxRunning = 1
				cfg.Quarantined = func(fingerprint uint64) bool { return fingerprint == 666 }
				a := startAgent(t, cfg)
				if name == "too many" || name == "suspect" {
					begin(t, a, chatStart("other"))
				}
				start := chatStart("r")
				c.change(start)
				expectRefusal(t, open(t, a, start), c.code)
				if len(e.started()) > 1 || e.stream("r.1") != nil {
					t.Fatal("a refused request reached the engine")
				}
			})
		})
	}
}

// Symptom: a suspect's death takes innocents along.
// Sequence: a suspect runs alone; another request arrives.
// Cause: only the suspect's own admission looked for an idle engine.
func TestNothingJoinsASuspect(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		start := chatStart("suspect")
		start.Alone = true
		at := begin(t, a, start)
		expectRefusal(t, open(t, a, chatStart("r")), wirepb.RefuseCode_REFUSE_BUSY)
		synctest.Wait()
		close(e.stream("suspect.1").chunks)
		at.end()
		begin(t, a, chatStart("r2"))
	})
}

// Symptom: short prompts wait seconds for their first token.
// Sequence: long prompts of 800 tokens arrive together; the share is 1000.
// Cause: the engine prefills them side by side. The second must wait for the
// first chunk of the first; more than the line holds are refused.
func TestLongPrefillIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		cfg.Limits.MaxLongWaiting = 1
		a := startAgent(t, cfg)
		long := func(id string) *wirepb.Start {
			s := chatStart(id)
			s.Long, s.PromptTokens = true, 800
			return s
		}
		begin(t, a, long("1"))
		second := open(t, a, long("2"))
		synctest.Wait()
		expectRefusal(t, open(t, a, long("3")), wirepb.RefuseCode_REFUSE_BUSY)
		begin(t, a, chatStart("short"))
		if l := a.Load(); l.PrefillLong != 800 || l.Waiting != 1 || l.Running != 2 {
			t.Fatalf("%+v", l)
		}
		e.stream("1.1").chunks <- EngineChunk{Data: []byte("x"), Tokens: 1}
		if second.recv().GetAdmit() == nil {
			t.Fatal("second long prompt not admitted")
		}
	})
}

// Symptom: a long prompt waits in line for ever.
// Sequence: the one before it never gets its first chunk.
// Cause: nothing bounds the wait but LongAdmissionTimeout.
func TestLongWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAgent(t, testConfig(newFakeEngine()))
		for i := range 2 {
			s := chatStart(fmt.Sprint(i))
			s.Long, s.PromptTokens = true, 800
			at := open(t, a, s)
			if i == 1 {
				expectRefusal(t, at, wirepb.RefuseCode_REFUSE_BUSY)
			}
			synctest.Wait()
		}
	})
}

// Symptom: a long prompt loses its place and short ones overtake it.
// Sequence: it waits for memory; nothing is freed for longer than the ledger
// lets a silent request keep its place.
// Cause: it asks only when something was freed.
func TestWaitingRunKeepsItsPlace(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		short := chatStart("short")
		short.MaxTokens = 5000
		begin(t, a, short)
		long := chatStart("long")
		long.Long, long.MaxTokens = true, 6000
		at := open(t, a, long)
		synctest.Wait()
		hold := &wirepb.HoldRequest{HoldId: "h", Entry: "entry-b", EntryIncarnation: 1, Tokens: 6000, TtlMs: 1000}
		for range 4 {
			if out, err := a.Hold(context.Background(), hold); err != nil || out.Granted {
				t.Fatal(out, err)
			}
			time.Sleep(1100 * time.Millisecond)
		}
		close(e.stream("short.1").chunks)
		if at.recv().GetAdmit() == nil {
			t.Fatal("overtaken")
		}
	})
}

// Symptom: an agent's memory fills with bodies beyond the bound on all of them.
// Sequence: an entry sends its body before it is admitted.
// Cause: the bytes are counted at admission.
func TestBodyBeforeAdmitEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAgent(t, testConfig(newFakeEngine()))
		for i := range 2 {
			s := chatStart(fmt.Sprint(i))
			s.Long, s.PromptTokens = true, 800
			at := open(t, a, s)
			synctest.Wait()
			if i == 1 {
				at.body("body", true)
				expectRefusal(t, at, wirepb.RefuseCode_REFUSE_DEADLINE)
			}
		}
		if l := a.Load(); l.Waiting != 0 || l.Running != 1 {
			t.Fatalf("%+v", l)
		}
	})
}

// Symptom: an attempt answered twice, or reported as not run while it runs.
// Sequence: the same attempt arrives on two streams.
// Cause: a refusal of the second, here for lack of room, would say that the
// request did not run.
func TestDuplicateAttemptIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		cfg.Limits.MaxRunning = 1
		a := startAgent(t, cfg)
		begin(t, a, chatStart("r"))
		if down, err := open(t, a, chatStart("r")).stream.Recv(); err == nil {
			t.Fatalf("got %v", down)
		}
		synctest.Wait()
		if len(e.started()) != 1 {
			t.Fatalf("%d runs", len(e.started()))
		}
	})
}

// Symptom: a rolling replacement cuts answers off, or never ends.
// Sequence: Drain while one runs and one holds; the hold's run comes after.
// Cause: drain treats all work alike.
func TestDrainRefusesNewAndFinishesOld(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		client, _ := dial(t, a)
		ctx := context.Background()
		held := &wirepb.HoldRequest{HoldId: "h", Entry: "entry-a", EntryIncarnation: 1, Tokens: 500, TtlMs: 20_000}
		if out, err := client.Hold(ctx, held); err != nil || !out.Granted {
			t.Fatal(out, err)
		}
		running := begin(t, a, chatStart("r"))
		status, err := client.Drain(ctx, &wirepb.DrainRequest{Reason: "test"})
		if err != nil || !status.Load.Draining || len(status.Running) != 1 {
			t.Fatal(status, err)
		}
		expectRefusal(t, open(t, a, chatStart("new")), wirepb.RefuseCode_REFUSE_DRAINING)
		held.HoldId = "h2"
		if out, _ := client.Hold(ctx, held); out.GetCode() != wirepb.RefuseCode_REFUSE_DRAINING {
			t.Fatal(out)
		}
		onHold := chatStart("member")
		onHold.HoldId = "h"
		member := begin(t, a, onHold)
		synctest.Wait()
		close(e.stream("r.1").chunks)
		expectEnd(t, running.end(), wirepb.EndCode_END_OK, true)
		close(e.stream("member.1").chunks)
		expectEnd(t, member.end(), wirepb.EndCode_END_OK, true)
		select {
		case <-a.Drained():
			t.Fatal("drained with a hold granted")
		default:
		}
		refs := &wirepb.HoldRefs{Entry: "entry-a", EntryIncarnation: 1, Holds: []*wirepb.HoldRef{{HoldId: "h"}}}
		if _, err := client.ReleaseHolds(ctx, refs); err != nil {
			t.Fatal(err)
		}
		<-a.Drained()
	})
}

// Symptom: each drain costs the requests on their way a refusal and a retry.
// Sequence: the agent announces that it leaves; a request arrives that an entry
// sent before it heard of it.
// Cause: the agent refuses from the moment at which it first says so.
func TestAnnouncedDrainRefusesNothingYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := startAgent(t, testConfig(e))
		a.AnnounceDrain()
		if !a.Load().Draining {
			t.Fatal("the load doesn't show the drain")
		}
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		close(e.stream("r.1").chunks)
		expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		a.BeginDrain("test")
		<-a.Drained()
	})
}

// Symptom: innocent suspects are refused until their time is over.
// Sequence: a suspect arrives at a busy engine; new work comes all the time.
// Cause: the engine never became idle, since nothing made room for the suspect.
// Its turn is bounded: a suspect that waits for a run which doesn't end gives up.
func TestWaitingSuspectGetsItsTurn(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		begin(t, a, chatStart("older"))
		suspect := func(id string) *attempt {
			s := chatStart(id)
			s.Alone = true
			at := open(t, a, s)
			synctest.Wait()
			return at
		}
		first, second := suspect("s1"), suspect("s2")
		expectRefusal(t, open(t, a, chatStart("newer")), wirepb.RefuseCode_REFUSE_BUSY)
		close(e.stream("older.1").chunks)
		if first.recv().GetAdmit() == nil {
			t.Fatal("the first suspect was not admitted when the engine was idle")
		}
		expectRefusal(t, second, wirepb.RefuseCode_REFUSE_SUSPECT_ALONE)
		first.body("body", true)
		synctest.Wait()
		close(e.stream("s1.1").chunks)
		first.end()
		begin(t, a, chatStart("next"))
	})
}
