package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/request"
)

// newTestClient serves the handler and returns a client for it and the registry
// of its metrics.
func newTestClient(t testing.TB, h http.HandlerFunc) (*engine.Client, metrics.Registry) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	r := metrics.NewRegistry()
	c := engine.New(engine.Config{Address: srv.Listener.Addr().String(), MaxLineBytes: 4096, Metrics: r})
	t.Cleanup(c.Close)
	return c, r
}

func chatRequest(body string) *engine.RunRequest {
	return &engine.RunRequest{Kind: request.KindChat, RequestID: "r", Body: []byte(body)}
}

const chatBody = `{"model":"briar","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`

// runToEnd runs a chat to its end and returns the final error.
func runToEnd(t *testing.T, c *engine.Client) error {
	st, err := c.Run(t.Context(), chatRequest(chatBody))
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	for {
		if _, err := st.Next(); err != nil {
			return err
		}
	}
}

// Guards against a truncated response that is passed on as complete, and
// against engine output that fills the memory of an agent: an engine breaks
// off, or sends output that violates the API or exceeds the limits.
func TestMalformedEngineOutput(t *testing.T) {
	const ok = "data: {\"choices\":[{}]}\n\n"
	for _, c := range []struct {
		name, kind, out string
		want            error
		counter         string
	}{
		{"not JSON", "text/event-stream", ok + "data: {oops\n\n", engine.ErrMalformed, "engine.malformed"},
		{"not an object", "text/event-stream", "data: 7\n\n", engine.ErrMalformed, "engine.malformed"},
		{"endless line", "text/event-stream", "data: " + strings.Repeat("x", 10_000), engine.ErrMalformed, "engine.malformed"},
		{"no stream", "text/html", "<html>", engine.ErrMalformed, "engine.malformed"},
		{"no [DONE]", "text/event-stream", ok, engine.ErrBroken, "engine.broken"},
		{"whole", "text/event-stream; charset=utf-8", ok + "data: [DONE]\n\n", io.EOF, ""},
	} {
		client, r := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", c.kind)
			_, _ = io.WriteString(w, c.out)
		})
		if err := runToEnd(t, client); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		for _, name := range []string{"engine.malformed", "engine.broken"} {
			want := int64(0)
			if name == c.counter {
				want = 1
			}
			if got := r.Get(name).(metrics.Counter).Count(); got != want {
				t.Errorf("%s: %s is %d, want %d", c.name, name, got, want)
			}
		}
	}
}

func TestErrorStatus(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		notRun bool
	}{
		{503, `{"error":{"code":"not_run","message":"full"}}`, true},
		{503, `{"code":"not_run"}`, true},
		{503, `{"error":{"code":"overloaded"}}`, false},
		{500, `{"error":{"code":"not_run"}}`, false},
		{302, ``, false},
	} {
		client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "/v1/chat/completions")
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		})
		err := runToEnd(t, client)
		e, ok := errors.AsType[*engine.StatusError](err)
		if !ok || e.Status != c.status || errors.Is(err, engine.ErrNotRun) != c.notRun {
			t.Errorf("%d %s: %v", c.status, c.body, err)
		}
	}
}

func TestErrorInsideStream(t *testing.T) {
	client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"error\":{\"code\":\"out_of_memory\"}}\n\n")
	})
	err := runToEnd(t, client)
	if e, ok := errors.AsType[*engine.StatusError](err); !ok || e.Code != "out_of_memory" {
		t.Error(err)
	}
}

// Guards against a caller that decodes with the segment of another request or
// raises its own priority, because its JSON body sets fields that only the
// client may set.
func TestReservedFieldsAreReplaced(t *testing.T) {
	var got map[string]any
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&got)
	})
	body := `{"stream":false,"priority":-99,"kv_group":[{"handle":"1-1"}],"resume_from":3,"prior_text":"x",
		"stream_options":{"include_usage":false},"stream":false,"temperature":0.5}`
	_, _ = client.Run(t.Context(), chatRequest(body))
	want := map[string]any{"stream": true, "priority": 0.0, "temperature": 0.5,
		"stream_options": map[string]any{"include_usage": true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, bad := range []string{"", "{", "[]", "null", `{"a":1}{"b":2}`} {
		if _, err := client.Run(t.Context(), chatRequest(bad)); !errors.Is(err, engine.ErrBadBody) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// As TestReservedFieldsAreReplaced, for bodies that are not decoded, and for names written with
// escapes: the caller's fields stand before the appended ones, so there may be
// two fields of one name, or a reserved name that is not recognized.
func TestAppendedFieldsOverrideCaller(t *testing.T) {
	var got map[string]any
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		got = nil
		_ = json.NewDecoder(r.Body).Decode(&got)
	})
	own := `"stream":true,"stream_options":{"include_usage":true},"priority":0`
	for body, want := range map[string]string{
		` { } `: `{` + own + `}`,
		"{\"stream\":false, \"priority\":-9,\"n\":1 \n}\n":  `{"n":1,` + own + `}`,
		`{"kv\u005fgroup":[1],"a":"\u00e9 b"}`:              `{"a":"é b",` + own + `}`,
		`{"\u0072esume_from":3,"prior_t\u0065xt":"x"}`:      `{` + own + `}`,
		`{"messages":[{"content":"what is kv_group } ?"}]}`: `{"messages":[{"content":"what is kv_group } ?"}],` + own + `}`,
	} {
		for _, checked := range []bool{false, true} {
			run := chatRequest(body)
			run.BodyValidated = checked
			_, _ = client.Run(t.Context(), run)
			var wanted map[string]any
			if err := json.Unmarshal([]byte(want), &wanted); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(wanted, got); diff != "" {
				t.Errorf("%s: %s", body, diff)
			}
		}
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	srv := httptest.NewServer(nil)
	address := srv.Listener.Addr().String()
	srv.Close()
	c := engine.New(engine.Config{Address: address})
	if err := runToEnd(t, c); !errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrBroken) {
		t.Error(err)
	}
	if !strings.Contains(fmt.Sprint(runToEnd(t, c)), "step run, peer "+address) {
		t.Error("the error does not name the step and the peer")
	}
}

// Guards against counting a run whose caller disconnected as a fault of the
// engine. The context ends during the run; net/http reports an ended context
// and a broken connection alike.
func TestCanceledRunIsNotCountedAsBroken(t *testing.T) {
	arrived := make(chan struct{})
	client, r := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Run(ctx, chatRequest(chatBody))
	if !errors.Is(err, engine.ErrBroken) || !errors.Is(err, context.Canceled) || errors.Is(err, engine.ErrNotRun) {
		t.Error(err)
	}
	if n := r.Get("engine.broken").(metrics.Counter).Count(); n != 0 {
		t.Errorf("counted as broken %d times", n)
	}
}

func TestTruncatedServiceResponseIsBroken(t *testing.T) {
	client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	})
	resp, err := client.Service(t.Context(), &engine.ServiceRequest{Method: http.MethodGet, Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); !errors.Is(err, engine.ErrBroken) {
		t.Error(err)
	}
}

func TestNegativeLoadIsMalformed(t *testing.T) {
	client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"used_tokens":-5}`)
	})
	if _, err := client.Load(t.Context()); !errors.Is(err, engine.ErrMalformed) {
		t.Error(err)
	}
}

func BenchmarkRunMillionTokens(b *testing.B) {
	client, _ := newTestClient(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	body := `{"messages":[{"content":"` + strings.Repeat("0123456789abcdef", 250_000) + `"}]}`
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		run := chatRequest(body)
		run.BodyValidated = true // as agents set it
		st, err := client.Run(b.Context(), run)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = st.Next()
		_ = st.Close()
	}
}
