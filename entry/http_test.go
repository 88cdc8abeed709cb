package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
	"github.com/briarturn/briarturn/workspace"
)

// The implementations in other packages of the interfaces in Config.
var (
	_ ServerTable = (*backend.Table)(nil)
	_ Scheduler   = (*workspace.Scheduler)(nil)
	_ AgentClient = (*wire.Dialer)(nil)
	_ Quarantine  = (*quarantine.Tracker)(nil)
	_ Claimer     = (*claim.Claimer)(nil)
)

// Guards against invalid requests that use engine time, or whose failure
// doesn't state what is wrong. All checks run before queueing, and each
// failure has a reason and a counter.
func TestBadRequestsAreRejectedWithReason(t *testing.T) {
	agent := &fakeAgent{script: respondTokens(1)}
	b := newTestEntry(t, newFakeFleet(agent), Limits{MaxBodyBytes: 1000, MaxPromptTokens: 50})
	chatOf := func(extra string) string {
		return `{"model":"m","messages":[{"role":"user","content":"x"}]` + extra + `}`
	}
	for _, c := range []struct {
		name, body string
		headers    []string
		status     int
		reason     string
	}{
		{"empty", "", nil, 400, reasonBadJSON},
		{"cut JSON", `{"model":"m"`, nil, 400, reasonBadJSON},
		{"not an object", `[1]`, nil, 400, reasonBadJSON},
		{"bad UTF-8", "{\"model\":\"\xff\"}", nil, 400, reasonBadUTF8},
		{"no model", `{"messages":[{"content":"x"}]}`, nil, 400, reasonBadRequest},
		{"no messages", `{"model":"m"}`, nil, 400, reasonBadRequest},
		{"image part", `{"model":"m","messages":[{"content":[{"type":"image_url"}]}]}`, nil, 400, reasonBadJSON},
		{"unknown model", strings.Replace(chatOf(""), `"m"`, `"q"`, 1), nil, 404, reasonUnknownModel},
		{"n", chatOf(`,"n":2`), nil, 400, reasonUnsupported},
		{"tools", chatOf(`,"tools":[{}]`), nil, 400, reasonUnsupported},
		{"max_tokens zero", chatOf(`,"max_tokens":0`), nil, 400, reasonBadRequest},
		{"max_tokens huge", chatOf(`,"max_tokens":9000000000000000000`), nil, 400, reasonBadRequest},
		{"max_tokens overflow", chatOf(`,"max_tokens":1e30`), nil, 400, reasonBadJSON},
		{"long prompt", chatOf(`,"prompt":"","messages":[{"content":"` + strings.Repeat("x", 300) + `"}]`), nil, 413, reasonTooLarge},
		{"large body", chatOf(`,"x":"` + strings.Repeat("x", 1000) + `"`), nil, 413, reasonTooLarge},
		{"timeout zero", chatOf(""), []string{headerTimeout, "0"}, 400, reasonBadRequest},
		{"timeout word", chatOf(""), []string{headerTimeout, "soon"}, 400, reasonBadRequest},
		{"timeout absurd", chatOf(""), []string{headerTimeout, "99999999999999999999"}, 400, reasonBadRequest},
		{"mark", chatOf(""), []string{headerNonIdempotent, "perhaps"}, 400, reasonBadRequest},
		{"long key", chatOf(""), []string{headerKey, strings.Repeat("k", 257)}, 400, reasonBadRequest},
		{"workspace", chatOf(""), []string{headerWorkspace, "nobody"}, 403, reasonUnknownWorkspace},
	} {
		t.Run(c.name, func(t *testing.T) {
			name := "entry.failed.not_run." + c.reason
			before := metrics.GetOrRegisterCounter(name, b.cfg.Metrics).Count()
			assertFailure(t, chat(b, c.body, c.headers...), c.status, request.NotRun, c.reason)
			if metrics.GetOrRegisterCounter(name, b.cfg.Metrics).Count() != before+1 {
				t.Error("the failure was not counted")
			}
		})
	}
	if agent.runs() != 0 {
		t.Fatal("an invalid request ran")
	}
	assertFailure(t, post(t.Context(), b, "/v1/embeddings", ""), 404, request.NotRun, reasonUnknownPath)
	assertFailure(t, post(t.Context(), b, "/services/none/x", ""), 404, request.NotRun, reasonUnknownService)
}

// Guards against refusing a request for good because an object is missing that may have been
// declared since the store last responded.
func TestUnknownNamesNeedConfirmedObjects(t *testing.T) {
	agent := &fakeAgent{script: respondTokens(1)}
	b := newTestEntry(t, newFakeFleet(agent), Limits{})
	b.cfg.Catalog = fakeCatalog{unconfirmed: true}
	const chatBody = `{"model":"%s","messages":[{"role":"user","content":"x"}]}`
	for _, w := range []*httptest.ResponseRecorder{
		chat(b, fmt.Sprintf(chatBody, "q")),
		chat(b, fmt.Sprintf(chatBody, "m"), headerWorkspace, "nobody"),
		post(t.Context(), b, "/services/none/x", ""),
	} {
		assertFailure(t, w, http.StatusServiceUnavailable, request.NotRun, reasonUnconfirmed)
		if w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	if agent.runs() != 0 {
		t.Error("a refused request ran")
	}
}

func TestModelListAndRequestDefaults(t *testing.T) {
	agent := &fakeAgent{script: respondTokens(1)}
	b := newTestEntry(t, newFakeFleet(agent), Limits{})
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/models", nil))
	if !strings.Contains(w.Body.String(), `"id":"m"`) || !strings.Contains(w.Body.String(), `"id":"briar-pool"`) {
		t.Fatalf("got %s", w.Body)
	}
	post(t.Context(), b, "/v1/completions", ` {"model":"m","prompt":"hello"}`)
	start := agent.starts[0]
	if start.GetMaxTokens() != 256 || start.GetPromptTokens() != 2 || start.GetKind() != wirepb.Kind_KIND_COMPLETION {
		t.Fatalf("start %v", start)
	}
	if agent.bodies[0] != ` {"model":"m","prompt":"hello","max_tokens":256}` {
		t.Fatalf("body %q", agent.bodies[0])
	}
}

// Guards against a request for an adapter that is served by the base model.
// Callers give the adapter's name as the model or in its own field; the fault
// was a spec field that was set twice.
func TestModelAndAdapterNames(t *testing.T) {
	pool := Pool{Name: "briar-pool", Models: []string{"m"}, Adapters: map[string]string{"whistle": "m"}}
	b := newTestEntry(t, newFakeFleet(&fakeAgent{}), Limits{})
	for _, c := range []struct{ model, adapter, wantModel, wantAdapter string }{
		{"m", "", "m", ""},
		{"briar-pool", "", "m", ""},
		{"whistle", "", "m", "whistle"},
		{"m", "whistle", "m", "whistle"},
	} {
		spec := &request.Spec{Body: []byte("{}")}
		body := &requestBody{Model: c.model, Adapter: c.adapter, Prompt: "x"}
		if f := b.fillSpec(spec, body, pool); f != nil || spec.Model != c.wantModel || spec.Adapter != c.wantAdapter {
			t.Errorf("%v: got %s, %s, %v", c, spec.Model, spec.Adapter, f)
		}
	}
}

// Guards against a caller that opens a stream and never reads, so that the
// socket buffer fills up and the engine's memory stays in use for the whole
// time limit. Each write has a deadline that cancels the run when it expires.
func TestNonReadingCallerIsDisconnected(t *testing.T) {
	freed := make(chan struct{})
	chunk := strings.Repeat("x", 64<<10)
	b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
		defer close(freed)
		r.admit()
		for i := uint64(0); r.Context().Err() == nil; i++ {
			r.chunk(i, `{"choices":[{"delta":{"content":"`+chunk+`"}}]}`)
		}
		return nil
	}}), Limits{WriteTimeout: 50 * time.Millisecond})
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
		strconv.Itoa(len(streamBodyText)) + "\r\n\r\n" + streamBodyText))
	<-freed
}

// Guards against slow senders that exhaust the goroutines and memory of an
// entry. A caller declares a body and sends only part of it, in a valid
// request and in requests that are refused without reading the body. Reading
// the body must have a time limit in all cases.
func TestSlowBodyTimesOut(t *testing.T) {
	b := newTestEntry(t, newFakeFleet(&fakeAgent{script: respondTokens(1)}), Limits{ReadTimeout: 50 * time.Millisecond})
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	for _, c := range []struct{ path, header, status string }{
		{"/v1/chat/completions", "Content-Length: 100", "408"},
		{"/v1/chat/completions", "Content-Length: 100\r\n" + headerWorkspace + ": nobody", "403"},
		{"/v1/chat/completions", "Content-Length: 10000000", "413"},
		{"/v1/nothing", "Content-Length: 100", "404"},
	} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte("POST " + c.path + " HTTP/1.1\r\nHost: x\r\n" + c.header + "\r\n\r\n{"))
		answer := make([]byte, 12)
		if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "HTTP/1.1 "+c.status {
			t.Errorf("%s %s: got %q, %v", c.path, c.header, answer, err)
		}
		_ = conn.Close()
	}
}

func respondService(status uint32, parts ...string) func(*fakeRun) error {
	return func(r *fakeRun) error {
		r.admit()
		_ = r.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Head{Head: &wirepb.Head{Status: status,
			Headers: []*wirepb.Header{{Name: "Content-Type", Value: "text/plain"}}}}})
		for i, p := range parts {
			r.chunk(uint64(i), p)
		}
		return r.end(endOK(len(parts)))
	}
}

func TestServiceCallIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: respondService(201, "book", "ed")}
		b := newTestEntry(t, newFakeFleet(agent), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k", "X-Club", "north"}
		for range 2 {
			w := post(t.Context(), b, "/services/roster-app/confirm?game=7", "yes", head...)
			if w.Code != 201 || w.Body.String() != "booked" || w.Header().Get("Content-Type") != "text/plain" {
				t.Fatalf("got %d %q %v", w.Code, w.Body, w.Header())
			}
			waitForSettlement()
		}
		start := agent.starts[0]
		if agent.runs() != 1 || start.GetPath() != "/confirm?game=7" || start.GetMethod() != "POST" || agent.bodies[0] != "yes" {
			t.Fatalf("runs %d, start %v", agent.runs(), start)
		}
		b.assertNothingHeld(t)
	})
}

// Guards against a booking without an X-Non-Idempotent header that runs twice
// when a POST to a plain service breaks after its body was sent. By default a
// POST must not be retried, a GET may be.
func TestUnmarkedServicePostIsNotRetried(t *testing.T) {
	for method, runs := range map[string]int{http.MethodPost: 0, http.MethodGet: 1} {
		synctest.Test(t, func(t *testing.T) {
			broken := &fakeAgent{script: func(r *fakeRun) error {
				r.admit()
				return r.end(&wirepb.End{Code: wirepb.EndCode_END_STREAM_BROKEN, Began: true})
			}}
			other := &fakeAgent{script: respondService(200, "ok")}
			b := newTestEntry(t, newFakeFleet(broken, other), Limits{})
			w := httptest.NewRecorder()
			b.Handler().ServeHTTP(w, httptest.NewRequest(method, "/services/roster-app/x", nil))
			if other.runs() != runs {
				t.Fatalf("%s: retried %d times, status %d", method, other.runs(), w.Code)
			}
		})
	}
}

// Guards against a truncated response of a plain service that looks complete.
// Its stream breaks after part of the body was forwarded; an HTTP response
// that ends normally would look complete, so the connection must be aborted.
func TestBrokenServiceAnswerAbortsConnection(t *testing.T) {
	b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
		r.admit()
		r.chunk(0, "a part")
		return r.end(&wirepb.End{Code: wirepb.EndCode_END_STREAM_BROKEN, Began: true})
	}}), Limits{})
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	resp, err := http.Get(server.URL + "/services/roster-app/x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	buffer := make([]byte, 100)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buffer)
		text.Write(buffer[:n])
	}
	if text.String() != "a part" || err.Error() == "EOF" {
		t.Fatalf("got %q and %v", text.String(), err)
	}
}

// Guards against an entry that runs out of memory when requests with their
// bodies arrive faster than they complete. The fault was a missing limit on
// the requests in progress.
func TestRequestsBeyondMaxInProgressAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t, newFakeFleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			time.Sleep(5 * time.Second)
			r.sendTokens(0, 1)
			return r.end(endOK(1))
		}}), Limits{MaxInProgress: 1})
		first := make(chan int, 1)
		go func() { first <- chat(b, chatBodyText).Code }()
		time.Sleep(time.Second)
		assertFailure(t, chat(b, chatBodyText), http.StatusServiceUnavailable, request.NotRun, reasonBusy)
		if status := <-first; status != http.StatusOK {
			t.Fatalf("the request in progress got status %d", status)
		}
		if status := chat(b, chatBodyText).Code; status != http.StatusOK {
			t.Fatalf("status %d after the first request completed", status)
		}
	})
}
