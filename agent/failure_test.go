package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Symptom: a prompt that kills engines is not found out.
// Sequence: two requests run; the engine dies; both connections break, one after
// the other; it comes back.
// Cause: each run leaves the table as its connection breaks, before the death is
// known, and only what is still there would be accused.
func TestEngineDeathAccusesAllThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		deaths := make(chan Death, 4)
		cfg.OnEngineDeath = func(d Death) <-chan struct{} { deaths <- d; return nil }
		a := startAgent(t, cfg)
		one, two := begin(t, a, chatStart("1")), begin(t, a, chatStart("2"))
		synctest.Wait()
		e.die()
		expectEnd(t, one.end(), wirepb.EndCode_END_ENGINE_DIED, true)
		expectEnd(t, two.end(), wirepb.EndCode_END_ENGINE_DIED, true)
		death := <-deaths
		if len(death.Suspects) != 2 || death.Suspects[0].Fingerprint != 42 || death.ID == 0 {
			t.Fatalf("%+v", death)
		}
		expectFree(t, a)
		expectRefusal(t, open(t, a, chatStart("3")), wirepb.RefuseCode_REFUSE_ENGINE_DOWN)
		e.mu.Lock()
		e.down, e.boot = nil, "2"
		e.mu.Unlock()
		time.Sleep(2 * time.Second)
		begin(t, a, chatStart("4"))
		if len(deaths) != 0 || a.LastDeath().ID != death.ID {
			t.Fatal("one death was counted twice")
		}
	})
}

// Symptom: a death goes unseen and its prompt kills on.
// Sequence: the engine dies and is back before anybody looks.
// Cause: its health is good before and after; only its boot differs.
func TestFastRestartIsADeath(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("1"))
		synctest.Wait()
		e.mu.Lock()
		e.boot = "2"
		close(e.streams["1.1"].broken)
		e.mu.Unlock()
		expectEnd(t, at.end(), wirepb.EndCode_END_ENGINE_DIED, true)
		if d := a.LastDeath(); len(d.Suspects) != 1 {
			t.Fatalf("%+v", d)
		}
	})
}

// Symptom: an innocent prompt is quarantined.
// Sequence: a connection to a living engine breaks.
// Cause: a broken connection looks like a death.
func TestBrokenConnectionIsNoDeath(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("1"))
		synctest.Wait()
		close(e.stream("1.1").broken)
		expectEnd(t, at.end(), wirepb.EndCode_END_STREAM_BROKEN, true)
		synctest.Wait()
		if a.LastDeath().ID != 0 || !e.wasCanceled("1.1") {
			t.Fatal("living engine accused, or run not cancelled")
		}
		expectFree(t, a)
	})
}

// Symptom: an innocent prompt is quarantined; or a prompt that hangs engines is
// never found out.
// Sequence: an engine doesn't answer for some seconds, and a run reaches its
// time limit meanwhile. Then it goes on as before; or it was restarted.
// Cause: a pause and a death look alike until the boot is known.
func TestSilentEngineIsJudgedByItsBoot(t *testing.T) {
	for boot, accused := range map[string]int{"1": 0, "2": 2} {
		withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
			short := chatStart("short")
			short.TimeoutMs = 4000
			ended, going := begin(t, a, short), begin(t, a, chatStart("long"))
			synctest.Wait()
			e.mu.Lock()
			e.down = ErrBroken
			e.mu.Unlock()
			expectEnd(t, ended.end(), wirepb.EndCode_END_DEADLINE, true)
			expectRefusal(t, open(t, a, chatStart("new")), wirepb.RefuseCode_REFUSE_ENGINE_DOWN)
			e.mu.Lock()
			e.down, e.boot = nil, boot
			e.mu.Unlock()
			time.Sleep(2 * time.Second)
			if d := a.LastDeath(); len(d.Suspects) != accused {
				t.Fatalf("boot %s: %+v", boot, d)
			}
			close(e.stream("long.1").chunks)
			expectEnd(t, going.end(), wirepb.EndCode_END_OK, true)
		})
	}
}

// Symptom: a refusal that is not true, or a needless "unknown".
// Sequence: the engine dies between Admit and the request.
// Cause: nothing was sent, so the End must say that it did not begin.
func TestUnreachableEngineIsNotRun(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := open(t, a, chatStart("1"))
		at.recv()
		e.die()
		at.body("body", true)
		expectEnd(t, at.end(), wirepb.EndCode_END_ENGINE_DIED, false)
	})
}

// garbage encodes any message as bytes that are no protobuf.
type garbage struct{}

func (garbage) Marshal(drpc.Message) ([]byte, error)     { return []byte{0xff, 0xff, 0xff}, nil }
func (garbage) Unmarshal(_ []byte, _ drpc.Message) error { return nil }

// Symptom: a run goes on that nobody can cancel.
// Sequence: after the body, bytes arrive that are no message.
// Cause: the reader of Cancel ends with an error while the connection lives.
func TestGarbageEndsRun(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		if err := at.stream.MsgSend(nil, garbage{}); err != nil {
			t.Fatal(err)
		}
		expectEnd(t, at.end(), wirepb.EndCode_END_CANCELLED, true)
		expectStopped(t, e, a, "r.1")
	})
}

// Symptom: an engine's memory fills with runs and segments that nobody reads.
// Sequence: an agent dies and a new one starts beside the same engine.
// Cause: what the engine runs outlives the agent that asked for it.
func TestRestartedAgentCancelsLeftovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		e.used = 5000
		e.requests = []EngineRequest{{ID: "old.1"}, {ID: "seg.1", Handle: "kv"}}
		a := startAgent(t, testConfig(e))
		synctest.Wait()
		if !e.wasCanceled("old.1") || !e.wasFreed("kv") {
			t.Fatal("leftovers not freed")
		}
		if l := a.Load(); l.Used != 5000 {
			t.Fatalf("memory of leftovers offered to others: %+v", l)
		}
		e.mu.Lock()
		e.used, e.requests = 0, nil
		e.mu.Unlock()
		time.Sleep(2 * time.Second)
		if l := a.Load(); l.Used != 0 {
			t.Fatalf("%+v", l)
		}
	})
}

// Symptom: a model is unloaded that its present owner has just loaded.
// Sequence: a lease holder is paused; a successor gives an order under fence 8;
// the first wakes and sends its own under fence 7. Then the agent restarts and
// the first sends again; then the store can't be read.
// Cause: the engine doesn't check fences, and a new agent has forgotten them.
func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		store := standinobjectapi.NewMemory(standinobjectapi.Config{})
		putLease(t, store, 0, 0)
		cfg.Fences = lease.NewFenceChecker(store)
		a := startAgent(t, cfg)
		if out := order(t, a, 8, actionLoad); !out.Done || out.HighestFence != 8 {
			t.Fatal(out)
		}
		if out := order(t, a, 7, actionUnload); out.Code != wirepb.RefuseCode_REFUSE_STALE_FENCE || out.HighestFence != 8 {
			t.Fatal(out)
		}
		if d := a.Descriptor(); len(d.Models) != 2 {
			t.Fatalf("%v", d.Models)
		}
		putLease(t, store, 1, 8)
		cfg.Fences = lease.NewFenceChecker(store)
		restarted := startAgent(t, cfg)
		if out := order(t, restarted, 7, actionUnload); out.Code != wirepb.RefuseCode_REFUSE_STALE_FENCE {
			t.Fatal(out)
		}
		store.SetFaults(standinobjectapi.Faults{Down: true})
		cfg.Fences = lease.NewFenceChecker(store)
		blind := startAgent(t, cfg)
		if out := order(t, blind, 9, actionUnload); out.Done || out.Code != wirepb.RefuseCode_REFUSE_BUSY {
			t.Fatal(out)
		}
		if len(e.orders) != 1 {
			t.Fatalf("%d orders reached the engine", len(e.orders))
		}
	})
}

// Symptom: while the object API is down no rollout goes on, though the engines
// refuse stale orders themselves; or a stale order takes a model out of service
// for minutes.
// Sequence: a new agent gets orders under a lease that it can't read: one for
// an idle model, one for a model with requests, one that the engine refuses.
// Cause: the agent takes itself for the only fence.
func TestEngineThatChecksIsTheFenceInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		cfg.ChecksFencing = func() bool { return true }
		store := standinobjectapi.NewMemory(standinobjectapi.Config{})
		cfg.Fences = lease.NewFenceChecker(store)
		a := startAgent(t, cfg)
		if out := order(t, a, 9, actionLoad); out.Done {
			t.Fatalf("carried out under a lease that isn't on record: %v", out)
		}
		store.SetFaults(standinobjectapi.Faults{Down: true})
		if out := order(t, a, 9, actionLoad); !out.Done || len(e.orders) != 1 || e.orders[0].Fence != 9 {
			t.Fatalf("%v, engine got %+v", out, e.orders)
		}
		unload := &wirepb.OrderRequest{Fence: 8, Action: actionUnload, Model: "briar"}
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		if out := give(t, a, unload); out.Code != wirepb.RefuseCode_REFUSE_BUSY || len(e.orders) != 1 {
			t.Fatalf("%v, engine got %+v", out, e.orders)
		}
		close(e.stream("r.1").chunks)
		expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		e.mu.Lock()
		e.refuseOrders = ErrStaleFence
		e.mu.Unlock()
		if out := give(t, a, unload); out.Code != wirepb.RefuseCode_REFUSE_STALE_FENCE {
			t.Fatal(out)
		}
		if a.tryRefuse(chatStart("s")) != wirepb.RefuseCode_REFUSE_UNSPECIFIED {
			t.Fatal("the model no longer takes requests after a stale order")
		}
	})
}

func segmentStart(id string) *wirepb.Start {
	s := chatStart(id)
	s.Kind, s.HoldId = wirepb.Kind_KIND_KV_SEGMENT, "h"
	return s
}

// Symptom: an engine loses memory for good, a segment at a time.
// Sequence: an entry holds, has a segment prefilled, and dies; its hold expires.
// Cause: an exported segment has no connection whose end would free it.
func TestSegmentIsFreedWithItsHold(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		client, _ := dial(t, a)
		hold := &wirepb.HoldRequest{HoldId: "h", Entry: "entry-a", EntryIncarnation: 1, Tokens: 500, TtlMs: 5000}
		if out, err := client.Hold(context.Background(), hold); err != nil || !out.Granted || out.TtlMs != 5000 {
			t.Fatal(out, err)
		}
		end := begin(t, a, segmentStart("s")).end()
		expectEnd(t, end, wirepb.EndCode_END_OK, true)
		if end.Handle != "kv-s.1" || end.PrefillUs != 7 {
			t.Fatal(end)
		}
		if l := a.Load(); l.Used != 100 || l.Held != 400 {
			t.Fatalf("%+v", l)
		}
		time.Sleep(7 * time.Second)
		expectFree(t, a)
		if !e.wasFreed("kv-s.1") {
			t.Fatal("segment not freed")
		}
	})
}

// Symptom: as above.
// Sequence: the hold is released while the engine still prefills the segment,
// and the engine answers after that.
// Cause: the handle becomes known when its hold is already gone.
func TestSegmentOfReleasedHoldIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		e.segment = make(chan struct{})
		a := startAgent(t, testConfig(e))
		client, _ := dial(t, a)
		hold := &wirepb.HoldRequest{HoldId: "h", Entry: "entry-a", EntryIncarnation: 1, Tokens: 500, TtlMs: 5000}
		if out, err := client.Hold(context.Background(), hold); err != nil || !out.Granted {
			t.Fatal(out, err)
		}
		at := begin(t, a, segmentStart("s"))
		synctest.Wait()
		refs := &wirepb.HoldRefs{Entry: "entry-a", EntryIncarnation: 1, Holds: []*wirepb.HoldRef{{HoldId: "h"}}}
		if _, err := client.ReleaseHolds(context.Background(), refs); err != nil {
			t.Fatal(err)
		}
		close(e.segment)
		expectEnd(t, at.end(), wirepb.EndCode_END_CANCELLED, true)
		synctest.Wait()
		expectFree(t, a)
		if !e.wasFreed("kv-s.1") {
			t.Fatal("the engine keeps the segment")
		}
	})
}

// Symptom: a dead entry's runs go on until their time limits.
// Sequence: an entry's VM vanishes without closing its connections; its
// successor is heard.
// Cause: no packet says that the old streams are dead.
func TestNewIncarnationOfAnEntryEndsTheOldRuns(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		begin(t, a, chatStart("old"))
		synctest.Wait()
		next := chatStart("new")
		next.EntryIncarnation = 2
		begin(t, a, next)
		synctest.Wait()
		if !e.wasCanceled("old.1") || a.Load().Running != 1 {
			t.Fatal("the old incarnation's run goes on")
		}
	})
}

// Symptom: long prompts wait though the operator has raised the pool's share.
// Sequence: long prompts fill the bound; the declared share rises.
// Cause: the bound is fixed at the start, or nobody wakes those that wait.
func TestRaisedShareLetsWaitingLongPromptsIn(t *testing.T) {
	withAgent(t, func(t *testing.T, _ *fakeEngine, a *Agent) {
		a.mu.Lock()
		a.prefill.add(true, 900)
		before, waiting := a.prefill.admits(200), a.changed
		a.mu.Unlock()
		a.SetLongPrefillTokens(1_100)
		a.mu.Lock()
		after := a.prefill.admits(200)
		a.prefill.add(true, -900)
		a.mu.Unlock()
		if before || !after {
			t.Errorf("admitted before %t, after %t", before, after)
		}
		select {
		case <-waiting:
		default:
			t.Error("those that wait were not woken")
		}
	})
}

// Symptom: each drain by an operator costs requests a refusal and a retry.
// Sequence: an entry passes on an operator's order to drain; entries that
// haven't heard of it send work. The order comes twice, as --wait gives it.
// Cause: the order refuses at once, unlike SIGTERM, which announces first.
func TestOrderedDrainIsAnnouncedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		var a *Agent
		told := 0
		cfg.AwaitDrainPropagation = func(context.Context) {
			told++
			if !a.Load().Draining {
				t.Error("entries can't hear of it")
			}
			at := begin(t, a, chatStart("late"))
			synctest.Wait()
			close(e.stream("late.1").chunks)
			expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		}
		a = startAgent(t, cfg)
		for range 2 {
			status, err := a.Drain(context.Background(), &wirepb.DrainRequest{Reason: "operator"})
			if err != nil || !status.GetLoad().GetDraining() {
				t.Fatal(status, err)
			}
		}
		if told != 1 {
			t.Errorf("told %d times", told)
		}
		<-a.Drained()
	})
}
