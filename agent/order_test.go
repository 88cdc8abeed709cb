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

// putLease writes the lease object as the holder of a fence would; version is
// the object's previous version, 0 to create it.
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

func orderTestModel(t *testing.T, a *Agent, fence uint64, action string) *wirepb.OrderResponse {
	t.Helper()
	return sendOrder(t, a, &wirepb.OrderRequest{Fence: fence, Action: action, Model: "m2"})
}

func sendOrder(t *testing.T, a *Agent, in *wirepb.OrderRequest) *wirepb.OrderResponse {
	t.Helper()
	in.Lease = testLease
	out, err := a.Order(context.Background(), in)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func startFencedAgent(t *testing.T, e *fakeEngine) *Agent {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	putLease(t, store, 0, 0)
	cfg := testConfig(e)
	cfg.Fences = lease.NewFenceChecker(store)
	return startAgent(t, cfg)
}

// A model is loaded by an order; then the engine restarts without it. The
// descriptor must follow what the engine has, not what was ordered; otherwise
// the engine gets requests for a model that it no longer has.
func TestDescriptorFollowsRestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := startFencedAgent(t, e)
		load := &wirepb.OrderRequest{Fence: 8, Action: actionLoad, Model: "m2", Version: "3"}
		if out := sendOrder(t, a, load); !out.Done {
			t.Fatal(out)
		}
		want := backend.Weights{Name: "m2", Version: backend.VersionKey("3")}
		if d := a.Descriptor(); !acceptsRequests(&d, "m2") || d.Weights[1] != want {
			t.Fatalf("%+v", d)
		}
		e.mu.Lock()
		e.boot, e.weights = "2", nil
		e.mu.Unlock()
		time.Sleep(3 * time.Second)
		if d := a.Descriptor(); len(d.Models)+len(d.Weights) > 0 {
			t.Fatalf("%+v", d)
		}
		if refused := a.servedRefuseCode(chatStart("r")); refused != wirepb.RefuseCode_REFUSE_NOT_SERVED {
			t.Fatal(refused)
		}
	})
}

// servedRefuseCode returns the code with which a request would be refused now
// because of its pool, model or adapter.
func (a *Agent) servedRefuseCode(start *wirepb.Start) wirepb.RefuseCode {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refused := checkServed(a, &run{start: start}); refused != nil {
		return refused.code
	}
	return wirepb.RefuseCode_REFUSE_UNSPECIFIED
}

// The order to replace a model comes while a request uses the model. The engine
// drops the weights when it gets the order, so the order must wait for the
// request; otherwise the answer breaks off.
func TestReplacedModelDrainsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := startFencedAgent(t, e)
		at := begin(t, a, chatStart("r"))
		synctest.Wait()
		done := make(chan *wirepb.OrderResponse, 1)
		go func() {
			done <- sendOrder(t, a, &wirepb.OrderRequest{Fence: 8, Action: actionLoad, Model: "briar", Version: "2"})
		}()
		synctest.Wait()
		if len(e.orders) > 0 {
			t.Fatal("the order reached the engine while the request ran")
		}
		if a.servedRefuseCode(chatStart("s")) != wirepb.RefuseCode_REFUSE_NOT_SERVED {
			t.Fatal("new requests are still accepted")
		}
		close(e.stream("r.1").chunks)
		expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		if out := <-done; !out.Done {
			t.Fatal(out)
		}
		if a.servedRefuseCode(chatStart("s")) != wirepb.RefuseCode_REFUSE_UNSPECIFIED {
			t.Fatal("the new version accepts no requests")
		}
		if out := sendOrder(t, a, &wirepb.OrderRequest{Fence: 8, Action: actionLoad, Model: "briar", Version: "2"}); !out.Done || len(e.orders) != 1 {
			t.Fatalf("%v, %d orders reached the engine", out, len(e.orders))
		}
	})
}

// A request outlasts the time limit of an order to unload its model; the order
// is repeated after the request has ended. Until then the model must remain
// listed as loaded, but accept no requests, which could keep it from ever being
// unloaded.
func TestWithdrawnModelStaysWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		a := startFencedAgent(t, e)
		start := chatStart("r")
		start.TimeoutMs = uint64((10 * time.Minute).Milliseconds())
		at := begin(t, a, start)
		synctest.Wait()
		unload := &wirepb.OrderRequest{Fence: 8, Action: actionUnload, Model: "briar"}
		if out := sendOrder(t, a, unload); out.Done || out.Code != wirepb.RefuseCode_REFUSE_BUSY {
			t.Fatal(out)
		}
		d := a.Descriptor()
		if diff := cmp.Diff([]backend.Weights{{Name: "briar"}}, d.Weights); diff != "" || len(d.Models) > 0 {
			t.Fatalf("%v %s", d.Models, diff)
		}
		close(e.stream("r.1").chunks)
		expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
		if out := sendOrder(t, a, unload); !out.Done || len(e.orders) != 1 {
			t.Fatalf("%v, %d orders", out, len(e.orders))
		}
	})
}
