package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarturn/briarturn/wire/wirepb"
)

func TestRunRelaysAnswerFromResumePoint(t *testing.T) {
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
		if got := e.startedRuns()[0]; string(got.Body) != "body" || got.ResumeFrom != 5 {
			t.Fatalf("%+v", got)
		}
		expectFree(t, a)
	})
}

// An entry's connection breaks in the middle of an answer. The agent must
// cancel the run, as nobody else can; otherwise the engine's memory stays
// allocated.
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

// The entry closes its sending side properly after the body and dies later.
// Receiving has ended and reports no further error, so the agent must detect
// the broken stream in another way.
func TestEntryDeathAfterCloseSendFreesItsRun(t *testing.T) {
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
			t.Fatal("run ended when the entry closed its sending side")
		}
		at.close()
		synctest.Wait()
		expectFree(t, a)
		if !e.wasCanceled("r.1") {
			t.Fatal("run not cancelled at the engine")
		}
	})
}

// The entry sends Cancel while the engine prefills. The run must end and free
// its memory although the handler is waiting for the engine.
func TestCancelEndsRun(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("r"))
		synctest.Wait() // the engine has the run and prefills
		at.send(&wirepb.RunUp{Body: &wirepb.RunUp_Cancel{Cancel: &wirepb.Cancel{}}})
		expectEnd(t, at.end(), wirepb.EndCode_END_CANCELLED, true)
		expectStopped(t, e, a, "r.1")
	})
}

// The engine accepts the request and never answers; its health is good. No
// error occurs anywhere, so only the deadline ends the run; otherwise the
// caller hangs.
func TestDeadlineEndsRunOnHungEngine(t *testing.T) {
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

// The entry declares four bytes and sends fewer, more, or none, because it died
// or miscounted between Start and the last part. The run must be rejected, or a
// truncated prompt is answered as if it were complete.
func TestBodyMustMatchDeclaredSize(t *testing.T) {
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
				if end.Detail != c.detail.Error() || len(e.startedRuns()) != 0 {
					t.Fatalf("%s, engine got %d runs", end.Detail, len(e.startedRuns()))
				}
				expectFree(t, a)
			})
		})
	}
}

// The engine offers chunk after chunk; the entry stops reading and keeps the
// connection open. Chunks must not accumulate in the agent's memory, and the
// run must free the engine's memory at its time limit.
func TestSlowReaderBlocksUntilDeadline(t *testing.T) {
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
		// One chunk blocks in the pipe, and drpc may buffer another.
		if taken > 3 {
			t.Fatalf("%d chunks read from the engine although the entry does not read", taken)
		}
		time.Sleep(30 * time.Second)
		expectStopped(t, e, a, "r.1")
		// The handler must end too, with its connection.
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
				if len(e.startedRuns()) > 1 || e.stream("r.1") != nil {
					t.Fatal("a refused request reached the engine")
				}
			})
		})
	}
}

// A suspect runs alone and another request arrives. It must be refused, or the
// suspect's death would make it a suspect too. A check for an idle engine at
// the suspect's own admission is not enough.
func TestNoRunIsAdmittedBesideSuspect(t *testing.T) {
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

// Long prompts of 800 tokens arrive together; the limit is 1000. If the engine
// prefills them side by side, short prompts wait seconds for their first token.
// The second must wait for the first chunk of the first; prompts beyond the
// queue's capacity are refused.
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

// A long prompt waits for one that never gets its first chunk. Only
// LongAdmissionTimeout ends the wait.
func TestLongAdmissionWaitIsBounded(t *testing.T) {
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

// A long prompt waits for memory, and nothing is freed for longer than the
// ledger keeps the place of a request that doesn't retry. The run must also
// retry when nothing was freed, or it loses its place and short prompts
// overtake it.
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
			t.Fatal("the waiting long prompt was overtaken")
		}
	})
}

// An entry sends its body before it is admitted. The bytes are counted at
// admission, so earlier bytes would exceed the limit on all bodies in the
// agent's memory.
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

// The same attempt arrives on two streams. A refusal of the second, here
// because the concurrency limit is reached, would report that the request did
// not run while it runs.
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
		if len(e.startedRuns()) != 1 {
			t.Fatalf("%d runs", len(e.startedRuns()))
		}
	})
}

// A drain begins with one run in progress and one hold granted; the hold's run
// comes after. Draining must not cut off work in progress, and must end when
// the hold is released; otherwise a rolling replacement cuts answers off or
// never ends.
func TestDrainRefusesNewWorkAndFinishesRunning(t *testing.T) {
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

// The agent announces its drain, and a request arrives that an entry sent
// before it received the announcement. The request must be accepted, or each
// drain costs the requests in flight a refusal and a retry.
func TestAnnouncedDrainStillAcceptsWork(t *testing.T) {
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

// A suspect arrives at a busy engine, and new work comes all the time. The
// agent must refuse new work until the suspect has run, or the engine never
// becomes idle and harmless suspects are refused until their deadline. The wait
// is bounded: a suspect that waits for a run which doesn't end is refused.
func TestWaitingSuspectIsAdmitted(t *testing.T) {
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
