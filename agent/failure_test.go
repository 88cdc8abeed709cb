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

// A prompt that kills engines must be identified. When the engine dies, both
// connections break one after the other, and each run leaves the table before
// the death is known. All of these runs must be listed as suspects, not only
// those still in the table.
func TestEngineDeathListsAllRunningRequests(t *testing.T) {
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

// The engine dies and restarts before the next probe. Its health is good before
// and after; only its boot ID differs. An undetected death would let its prompt
// go on to kill more engines.
func TestFastRestartCountsAsDeath(t *testing.T) {
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

// A connection to a living engine breaks. This must not count as a death, or a
// harmless prompt is quarantined.
func TestBrokenConnectionIsNotADeath(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("1"))
		synctest.Wait()
		close(e.stream("1.1").broken)
		expectEnd(t, at.end(), wirepb.EndCode_END_STREAM_BROKEN, true)
		synctest.Wait()
		if a.LastDeath().ID != 0 || !e.wasCanceled("1.1") {
			t.Fatal("living engine reported dead, or run not cancelled")
		}
		expectFree(t, a)
	})
}

// An engine does not respond for some seconds, and a run reaches its time limit
// meanwhile. Then the engine continues as before, or it has restarted. A pause
// and a death look the same until the boot ID is known: a pause must not
// quarantine a harmless prompt, and a prompt that hangs engines must be
// identified.
func TestUnresponsiveEngineIsClassifiedByBootID(t *testing.T) {
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

// The engine dies between Admit and the request. Nothing was sent, so the End
// must report that the run did not begin: neither a false refusal nor an
// unknown outcome.
func TestUnreachableEngineReportsNotRun(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := open(t, a, chatStart("1"))
		at.recv()
		e.die()
		at.body("body", true)
		expectEnd(t, at.end(), wirepb.EndCode_END_ENGINE_DIED, false)
	})
}

// invalidEncoding encodes every message as bytes that are not valid protobuf.
type invalidEncoding struct{}

func (invalidEncoding) Marshal(drpc.Message) ([]byte, error)     { return []byte{0xff, 0xff, 0xff}, nil }
func (invalidEncoding) Unmarshal(_ []byte, _ drpc.Message) error { return nil }

// Invalid bytes arrive after the body. They end the goroutine that receives
// Cancel while the connection stays open, so the run must end: nothing could
// cancel it any more.
func TestInvalidMessageEndsRun(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		if err := at.stream.MsgSend(nil, invalidEncoding{}); err != nil {
			t.Fatal(err)
		}
		expectEnd(t, at.end(), wirepb.EndCode_END_CANCELLED, true)
		expectStopped(t, e, a, "r.1")
	})
}

// An agent dies and a new one starts beside the same engine. Runs at the engine
// outlive the agent that sent them, so the new agent must free runs and
// segments that nobody reads; otherwise they fill the engine's memory.
func TestRestartedAgentCancelsLeftovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		e.usedTokens = 5000
		e.requests = []EngineRequest{{ID: "old.1"}, {ID: "seg.1", Handle: "kv"}}
		a := startAgent(t, testConfig(e))
		synctest.Wait()
		if !e.wasCanceled("old.1") || !e.wasFreed("kv") {
			t.Fatal("leftovers not freed")
		}
		if l := a.Load(); l.Used != 5000 {
			t.Fatalf("memory of leftover runs reported as free: %+v", l)
		}
		e.mu.Lock()
		e.usedTokens, e.requests = 0, nil
		e.mu.Unlock()
		time.Sleep(2 * time.Second)
		if l := a.Load(); l.Used != 0 {
			t.Fatalf("%+v", l)
		}
	})
}

// A lease holder is paused; its successor gives an order under fence 8; the
// first resumes and sends its own under fence 7. Then the agent restarts and
// the first sends again; then the store can't be read. The engine doesn't check
// fences and a new agent has no record of them, so the agent must refuse each
// stale order. Otherwise a model is unloaded that its current owner has just
// loaded.
func TestPausedLeaseHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		store := standinobjectapi.NewMemory(standinobjectapi.Config{})
		putLease(t, store, 0, 0)
		cfg.Fences = lease.NewFenceChecker(store)
		a := startAgent(t, cfg)
		if out := orderTestModel(t, a, 8, actionLoad); !out.Done || out.HighestFence != 8 {
			t.Fatal(out)
		}
		if out := orderTestModel(t, a, 7, actionUnload); out.Code != wirepb.RefuseCode_REFUSE_STALE_FENCE || out.HighestFence != 8 {
			t.Fatal(out)
		}
		if d := a.Descriptor(); len(d.Models) != 2 {
			t.Fatalf("%v", d.Models)
		}
		putLease(t, store, 1, 8)
		cfg.Fences = lease.NewFenceChecker(store)
		restarted := startAgent(t, cfg)
		if out := orderTestModel(t, restarted, 7, actionUnload); out.Code != wirepb.RefuseCode_REFUSE_STALE_FENCE {
			t.Fatal(out)
		}
		store.SetFaults(standinobjectapi.Faults{Down: true})
		cfg.Fences = lease.NewFenceChecker(store)
		blind := startAgent(t, cfg)
		if out := orderTestModel(t, blind, 9, actionUnload); out.Done || out.Code != wirepb.RefuseCode_REFUSE_BUSY {
			t.Fatal(out)
		}
		if len(e.orders) != 1 {
			t.Fatalf("%d orders reached the engine", len(e.orders))
		}
	})
}

// A new agent gets orders under a lease that it can't read because the object
// API is down: one for an idle model, one for a model with requests, one that
// the engine refuses. If the engine itself refuses stale orders, the agent must
// pass orders on, or no rollout continues during the outage. A stale order must
// not take a model out of service for minutes.
func TestEngineChecksFencesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		cfg.ChecksFencing = func() bool { return true }
		store := standinobjectapi.NewMemory(standinobjectapi.Config{})
		cfg.Fences = lease.NewFenceChecker(store)
		a := startAgent(t, cfg)
		if out := orderTestModel(t, a, 9, actionLoad); out.Done {
			t.Fatalf("order executed under a lease that does not exist: %v", out)
		}
		store.SetFaults(standinobjectapi.Faults{Down: true})
		if out := orderTestModel(t, a, 9, actionLoad); !out.Done || len(e.orders) != 1 || e.orders[0].Fence != 9 {
			t.Fatalf("%v, engine got %+v", out, e.orders)
		}
		unload := &wirepb.OrderRequest{Fence: 8, Action: actionUnload, Model: "briar"}
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		if out := sendOrder(t, a, unload); out.Code != wirepb.RefuseCode_REFUSE_BUSY || len(e.orders) != 1 {
			t.Fatalf("%v, engine got %+v", out, e.orders)
		}
		close(e.stream("r.1").chunks)
		expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		e.mu.Lock()
		e.orderErr = ErrStaleFence
		e.mu.Unlock()
		if out := sendOrder(t, a, unload); out.Code != wirepb.RefuseCode_REFUSE_STALE_FENCE {
			t.Fatal(out)
		}
		if a.servedRefuseCode(chatStart("s")) != wirepb.RefuseCode_REFUSE_UNSPECIFIED {
			t.Fatal("the model no longer accepts requests after a stale order")
		}
	})
}

func segmentStart(id string) *wirepb.Start {
	s := chatStart(id)
	s.Kind, s.HoldId = wirepb.Kind_KIND_KV_SEGMENT, "h"
	return s
}

// An entry takes a hold, has a segment prefilled and dies; its hold expires. An
// exported segment has no connection whose end would free it, so the end of the
// hold must free it; otherwise the engine loses this memory permanently.
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

// The hold is released while the engine still prefills the segment, and the
// engine returns the handle after that. The segment must be freed although its
// hold is already gone.
func TestSegmentOfReleasedHoldIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		e.segmentReady = make(chan struct{})
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
		close(e.segmentReady)
		expectEnd(t, at.end(), wirepb.EndCode_END_CANCELLED, true)
		synctest.Wait()
		expectFree(t, a)
		if !e.wasFreed("kv-s.1") {
			t.Fatal("segment not freed at the engine")
		}
	})
}

// An entry's VM vanishes without closing its connections, and its successor
// connects. No packet reports the end of the old streams, so the new
// incarnation must end the old runs; otherwise they continue until their time
// limits.
func TestNewEntryIncarnationEndsOldRuns(t *testing.T) {
	withAgent(t, func(t *testing.T, e *fakeEngine, a *Agent) {
		begin(t, a, chatStart("old"))
		synctest.Wait()
		next := chatStart("new")
		next.EntryIncarnation = 2
		begin(t, a, next)
		synctest.Wait()
		if !e.wasCanceled("old.1") || a.Load().Running != 1 {
			t.Fatal("run of the old incarnation not ended")
		}
	})
}

// Long prompts fill the limit, then the declared share rises. The agent must
// apply the new limit at once and wake the waiting prompts.
func TestRaisedLimitAdmitsWaitingLongPrompts(t *testing.T) {
	withAgent(t, func(t *testing.T, _ *fakeEngine, a *Agent) {
		a.mu.Lock()
		a.prefill.add(true, 900)
		before, waiting := a.prefill.admitsLong(200), a.stateChanged
		a.mu.Unlock()
		a.SetLongPrefillTokens(1_100)
		a.mu.Lock()
		after := a.prefill.admitsLong(200)
		a.prefill.add(true, -900)
		a.mu.Unlock()
		if before || !after {
			t.Errorf("admitted before %t, after %t", before, after)
		}
		select {
		case <-waiting:
		default:
			t.Error("waiting prompts were not notified")
		}
	})
}

// An entry passes on an operator's drain request, and entries that have not
// received the announcement send work. The drain must be announced before work
// is refused, as for SIGTERM; otherwise each drain costs requests a refusal and
// a retry. The request arrives twice, as with --wait.
func TestDrainRequestIsAnnouncedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		cfg := testConfig(e)
		var a *Agent
		announcements := 0
		cfg.AwaitDrainPropagation = func(context.Context) {
			announcements++
			if !a.Load().Draining {
				t.Error("drain not visible in the load")
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
		if announcements != 1 {
			t.Errorf("announced %d times", announcements)
		}
		<-a.Drained()
	})
}
