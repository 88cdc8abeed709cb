package entry

import (
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

// The parts of other packages that the role is built from.
var (
	_ ServerTable = (*backend.Table)(nil)
	_ Scheduler   = (*workspace.Scheduler)(nil)
	_ AgentClient = (*wire.Dialer)(nil)
	_ Quarantine  = (*quarantine.Tracker)(nil)
	_ Claimer     = (*claim.Claimer)(nil)
)

// Symptom: a bad request costs engine time, or its caller can't tell what is
// wrong with it.
// Sequence: each kind of bad request, one after another.
// Cause: all is checked before the queue, with a reason and a counter each.
func TestBadRequestsAreRefusedWithAReason(t *testing.T) {
	agent := &fakeAgent{script: answers(1)}
	b := newBench(t, fleet(agent), Limits{MaxBodyBytes: 1000, MaxPromptTokens: 50})
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
			wantFailure(t, chat(b, c.body, c.headers...), c.status, request.NotRun, c.reason)
			if metrics.GetOrRegisterCounter(name, b.cfg.Metrics).Count() != before+1 {
				t.Error("not counted")
			}
		})
	}
	if agent.runs() != 0 {
		t.Fatal("a bad request ran")
	}
	wantFailure(t, post(t.Context(), b, "/v1/embeddings", ""), 404, request.NotRun, reasonUnknownPath)
	wantFailure(t, post(t.Context(), b, "/services/none/x", ""), 404, request.NotRun, reasonUnknownService)
}

func TestModelsAndDefaults(t *testing.T) {
	agent := &fakeAgent{script: answers(1)}
	b := newBench(t, fleet(agent), Limits{})
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

// Symptom: a request that names an adapter is answered by the bare model.
// Sequence: a caller gives the adapter's name as the model, or both apart.
// Cause: one field of the spec was set twice.
func TestModelAndAdapterNames(t *testing.T) {
	pool := Pool{Name: "briar-pool", Models: []string{"m"}, Adapters: map[string]string{"whistle": "m"}}
	b := newBench(t, fleet(&fakeAgent{}), Limits{})
	for _, c := range []struct{ model, adapter, wantModel, wantAdapter string }{
		{"m", "", "m", ""},
		{"briar-pool", "", "m", ""},
		{"whistle", "", "m", "whistle"},
		{"m", "whistle", "m", "whistle"},
	} {
		spec := &request.Spec{Body: []byte("{}")}
		body := &chatBody{Model: c.model, Adapter: c.adapter, Prompt: "x"}
		if f := b.fill(spec, body, pool); f != nil || spec.Model != c.wantModel || spec.Adapter != c.wantAdapter {
			t.Errorf("%v: got %s, %s, %v", c, spec.Model, spec.Adapter, f)
		}
	}
}

// Symptom: a caller that stops reading keeps an engine's memory for its whole
// time limit.
// Sequence: the caller opens a stream and never reads; the socket fills up.
// Cause: each write has a deadline; when it passes, the run is freed.
func TestSlowCallerIsCutOff(t *testing.T) {
	freed := make(chan struct{})
	chunk := strings.Repeat("x", 64<<10)
	b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
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

// Symptom: an entry runs out of goroutines and memory under slow senders.
// Sequence: a caller announces a body and sends only a part of it, in a request
// that would be served and in ones that are refused unread.
// Cause: reading the body has a time limit in every case.
func TestSlowBodyIsCutOff(t *testing.T) {
	b := newBench(t, fleet(&fakeAgent{script: answers(1)}), Limits{ReadTimeout: 50 * time.Millisecond})
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

func serviceScript(status uint32, parts ...string) func(*fakeRun) error {
	return func(r *fakeRun) error {
		r.admit()
		_ = r.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Head{Head: &wirepb.Head{Status: status,
			Headers: []*wirepb.Header{{Name: "Content-Type", Value: "text/plain"}}}}})
		for i, p := range parts {
			r.chunk(uint64(i), p)
		}
		return r.end(okEnd(len(parts)))
	}
}

func TestServiceCallIsPassedThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{script: serviceScript(201, "book", "ed")}
		b := newBench(t, fleet(agent), Limits{})
		head := []string{headerNonIdempotent, "true", headerKey, "k", "X-Club", "north"}
		for range 2 {
			w := post(t.Context(), b, "/services/roster-app/confirm?game=7", "yes", head...)
			if w.Code != 201 || w.Body.String() != "booked" || w.Header().Get("Content-Type") != "text/plain" {
				t.Fatalf("got %d %q %v", w.Code, w.Body, w.Header())
			}
			settled()
		}
		start := agent.starts[0]
		if agent.runs() != 1 || start.GetPath() != "/confirm?game=7" || start.GetMethod() != "POST" || agent.bodies[0] != "yes" {
			t.Fatalf("runs %d, start %v", agent.runs(), start)
		}
		b.wantNothingHeld(t)
	})
}

// Symptom: an unmarked booking runs twice.
// Sequence: a POST to a plain service breaks after its body was sent.
// Cause: a POST isn't repeatable unless its caller says so; a GET is.
func TestServicePostIsNotRepeatedUnmarked(t *testing.T) {
	for method, runs := range map[string]int{http.MethodPost: 0, http.MethodGet: 1} {
		synctest.Test(t, func(t *testing.T) {
			broken := &fakeAgent{script: func(r *fakeRun) error {
				r.admit()
				return r.end(&wirepb.End{Code: wirepb.EndCode_END_STREAM_BROKEN, Began: true})
			}}
			other := &fakeAgent{script: serviceScript(200, "ok")}
			b := newBench(t, fleet(broken, other), Limits{})
			w := httptest.NewRecorder()
			b.Handler().ServeHTTP(w, httptest.NewRequest(method, "/services/roster-app/x", nil))
			if other.runs() != runs {
				t.Fatalf("%s: repeated %d times, answer %d", method, other.runs(), w.Code)
			}
		})
	}
}

// Symptom: a cut answer of a plain service is taken for a whole one.
// Sequence: its stream breaks after a part of the body was passed on.
// Cause: an HTTP response that just ends looks whole; the connection must break.
func TestCutServiceAnswerBreaksTheConnection(t *testing.T) {
	b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
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

// Symptom: an entry is killed for its memory in a flood.
// Sequence: requests come faster than they end, each with its body.
// Cause: no bound on how many are inside.
func TestFullEntryRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, fleet(&fakeAgent{script: func(r *fakeRun) error {
			r.admit()
			time.Sleep(5 * time.Second)
			r.tokens(0, 1)
			return r.end(okEnd(1))
		}}), Limits{MaxInProgress: 1})
		first := make(chan int, 1)
		go func() { first <- chat(b, chatBodyText).Code }()
		time.Sleep(time.Second)
		wantFailure(t, chat(b, chatBodyText), http.StatusServiceUnavailable, request.NotRun, reasonBusy)
		if status := <-first; status != http.StatusOK {
			t.Fatalf("the request inside got %d", status)
		}
		if status := chat(b, chatBodyText).Code; status != http.StatusOK {
			t.Fatalf("once there was room: %d", status)
		}
	})
}
