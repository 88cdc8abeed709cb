package agent

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/backend"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const testLease = "l"

// putLease writes the lease's object as a holder of a fence would; version is
// that of the object before, 0 for none.
func putLease(t *testing.T, store *standinobjectapi.Memory, version, fence uint64) {
	t.Helper()
	data := json.RawMessage(`{"fence":` + strconv.FormatUint(fence, 10) + `}`)
	var err error
	if version == 0 {
		_, err = store.Create(t.Context(), lease.Kind, testLease, data)
	} else {
		_, err = store.Update(t.Context(), lease.Kind, testLease, data, version)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func order(t *testing.T, a *Agent, fence uint64, action string) *wirepb.OrderResponse {
	t.Helper()
	return give(t, a, &wirepb.OrderRequest{Fence: fence, Action: action, Model: "m2"})
}

func give(t *testing.T, a *Agent, in *wirepb.OrderRequest) *wirepb.OrderResponse {
	t.Helper()
	in.Lease = testLease
	out, err := a.Order(context.Background(), in)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func fencedAgent(t *testing.T, e *fakeEngine) *Agent {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	putLease(t, store, 0, 0)
	cfg := testConfig(e)
	cfg.Fences = lease.NewFenceChecker(store)
	return startAgent(t, cfg)
}

// Symptom: requests go to an engine that no longer has their model, for good.
// Sequence: a model is loaded by order; the engine restarts and comes back with
// nothing. Cause: the descriptor is what orders made it, not what the engine has.
func TestDescriptorFollowsRestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := fencedAgent(t, e)
		load := &wirepb.OrderRequest{Fence: 8, Action: actionLoad, Model: "m2", Version: "3"}
		if out := give(t, a, load); !out.Done {
			t.Fatal(out)
		}
		want := backend.Weights{Name: "m2", Version: backend.VersionKey("3")}
		if d := a.Descriptor(); !takesRequests(&d, "m2") || d.Weights[1] != want {
			t.Fatalf("%+v", d)
		}
		e.mu.Lock()
		e.boot, e.weights = "2", nil
		e.mu.Unlock()
		time.Sleep(3 * time.Second)
		if d := a.Descriptor(); len(d.Models)+len(d.Weights) > 0 {
			t.Fatalf("%+v", d)
		}
		if refused := a.tryRefuse(chatStart("r")); refused != wirepb.RefuseCode_REFUSE_NOT_SERVED {
			t.Fatal(refused)
		}
	})
}

// tryRefuse says how a request would be refused now.
func (a *Agent) tryRefuse(start *wirepb.Start) wirepb.RefuseCode {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refused := checkServed(a, &run{start: start}); refused != nil {
		return refused.code
	}
	return wirepb.RefuseCode_REFUSE_UNSPECIFIED
}

// Symptom: an answer breaks off when a new version of its model is rolled out.
// Sequence: a request runs; the order to replace the model comes. Cause: the
// engine drops the weights under it.
func TestReplacedModelDrainsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := fencedAgent(t, e)
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		done := make(chan *wirepb.OrderResponse, 1)
		go func() {
			done <- give(t, a, &wirepb.OrderRequest{Fence: 8, Action: actionLoad, Model: "briar", Version: "2"})
		}()
		synctest.Wait()
		if len(e.orders) > 0 {
			t.Fatal("the engine was told while the request ran")
		}
		if a.tryRefuse(chatStart("s")) != wirepb.RefuseCode_REFUSE_NOT_SERVED {
			t.Fatal("new requests are still taken")
		}
		close(e.stream("r.1").chunks)
		expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		if out := <-done; !out.Done {
			t.Fatal(out)
		}
		if a.tryRefuse(chatStart("s")) != wirepb.RefuseCode_REFUSE_UNSPECIFIED {
			t.Fatal("the new version takes no requests")
		}
		if out := give(t, a, &wirepb.OrderRequest{Fence: 8, Action: actionLoad, Model: "briar", Version: "2"}); !out.Done || len(e.orders) != 1 {
			t.Fatalf("%v, %d orders reached the engine", out, len(e.orders))
		}
	})
}

// Symptom: a model whose unloading was given up is thought to be gone, or gets
// requests that keep it from ever being unloaded. Sequence: a request outlasts
// the order's time limit; the order is given again after it has ended.
func TestWithdrawnModelStaysWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := fencedAgent(t, e)
		start := chatStart("r")
		start.TimeoutMs = uint64((10 * time.Minute).Milliseconds())
		at := begin(t, a, start)
		synctest.Wait()
		unload := &wirepb.OrderRequest{Fence: 8, Action: actionUnload, Model: "briar"}
		if out := give(t, a, unload); out.Done || out.Code != wirepb.RefuseCode_REFUSE_BUSY {
			t.Fatal(out)
		}
		d := a.Descriptor()
		if diff := cmp.Diff([]backend.Weights{{Name: "briar"}}, d.Weights); diff != "" || len(d.Models) > 0 {
			t.Fatalf("%v %s", d.Models, diff)
		}
		close(e.stream("r.1").chunks)
		expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		if out := give(t, a, unload); !out.Done || len(e.orders) != 1 {
			t.Fatalf("%v, %d orders", out, len(e.orders))
		}
	})
}
