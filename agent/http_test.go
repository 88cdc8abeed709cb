package agent

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/standin/answer"
	standin "github.com/briarturn/briarturn/internal/standin/engine"
	"github.com/briarturn/briarturn/internal/standin/service"
	"github.com/briarturn/briarturn/wire/wirepb"
)

func startEngine(t testing.TB) (*standin.Server, *Agent) {
	t.Helper()
	server, address, err := standin.Start(standin.Config{KillMarker: "KILL"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := engine.New(engine.Config{Address: address})
	t.Cleanup(client.Close)
	cfg := testConfig(NewHTTPEngine(client, false))
	cfg.Descriptor.MemoryTokens = 400_000
	return server, startAgent(t, cfg)
}

func chatBody(prompt string, tokens int) string {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{"briar", tokens, []message{{"user", prompt}}})
	return string(body)
}

// sendPrompt sends a prompt in two parts.
func sendPrompt(t testing.TB, a *Agent, id, prompt string, tokens int) *attempt {
	t.Helper()
	body := chatBody(prompt, tokens)
	start := chatStart(id)
	start.BodyBytes = uint64(len(body))
	at := open(t, a, start)
	if down := at.recv(); down.GetAdmit() == nil {
		t.Fatalf("%v", down)
	}
	at.body(body[:10], false)
	at.body(body[10:], true)
	return at
}

func TestAnswerOverHTTPIsComplete(t *testing.T) {
	server, a := startEngine(t)
	at := sendPrompt(t, a, "r", "a notice", 20)
	text, next := "", uint64(0)
	for {
		down := at.recv()
		if end := down.GetEnd(); end != nil {
			expectEnd(t, end, wirepb.EndCode_END_OK, true)
			if end.Chunks != next || end.OutputTokens != 20 || end.PromptTokens == 0 {
				t.Fatalf("%v after %d chunks", end, next)
			}
			break
		}
		chunk := down.GetChunk()
		if chunk.Sequence != next {
			t.Fatalf("chunk %d, want %d", chunk.Sequence, next)
		}
		next++
		text += deltaText(t, chunk.Data)
	}
	if err := answer.Verify("a notice", 20, text); err != nil {
		t.Fatal(err)
	}
	if server.Runs("r.1") != 1 {
		t.Fatalf("ran %d times", server.Runs("r.1"))
	}
	expectFree(t, a)
}

func deltaText(t testing.TB, data []byte) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, c := range chunk.Choices {
		text.WriteString(c.Delta.Content)
	}
	return text.String()
}

// A real HTTP engine dies on a prompt, and its port refuses connections. The
// end of the stream alone doesn't distinguish a death from a broken connection,
// so the prompt could be reported as a broken connection.
func TestEngineDeathOverHTTP(t *testing.T) {
	_, a := startEngine(t)
	expectEnd(t, sendPrompt(t, a, "r", "KILL", 20).end(), wirepb.EndCode_END_ENGINE_DIED, true)
	if d := a.LastDeath(); len(d.Suspects) != 1 || d.Suspects[0].RequestID != "r" {
		t.Fatalf("%+v", d)
	}
	expectRefusal(t, open(t, a, chatStart("s")), wirepb.RefuseCode_REFUSE_ENGINE_DOWN)
}

// A segment is exported and its hold is released, but the agent may end before
// it has sent the request to free it: pending requests are only in its memory.
// The next agent must free the segment, or the engine loses this memory
// permanently.
func TestSegmentIsFreedOverHTTP(t *testing.T) {
	server, a := startEngine(t)
	client, _ := dial(t, a)
	hold := &wirepb.HoldRequest{HoldId: "h", Entry: "entry-a", EntryIncarnation: 1, Tokens: 1000, TtlMs: 20_000}
	if out, err := client.Hold(context.Background(), hold); err != nil || !out.Granted {
		t.Fatal(out, err)
	}
	end := begin(t, a, segmentStart("s")).end()
	expectEnd(t, end, wirepb.EndCode_END_OK, true)
	if end.Handle == "" || server.Counters().Exported != 1 {
		t.Fatalf("%v", end)
	}
	refs := &wirepb.HoldRefs{Entry: "entry-a", EntryIncarnation: 1, Holds: []*wirepb.HoldRef{{HoldId: "h"}}}
	if _, err := client.ReleaseHolds(context.Background(), refs); err != nil {
		t.Fatal(err)
	}
	a.Close() // waits for the worker, which frees the segment or drops the request
	next := startAgent(t, a.cfg)
	next.probe(next.ctx)
	for server.Counters().Exported != 0 {
		next.probe(next.ctx)
	}
}

func TestPlainServiceOverHTTP(t *testing.T) {
	server, address, err := service.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := engine.New(engine.Config{Address: address})
	t.Cleanup(client.Close)
	cfg := testConfig(NewHTTPEngine(client, true))
	cfg.Descriptor.Service, cfg.Descriptor.Pool = true, "roster-app"
	a := startAgent(t, cfg)
	start := chatStart("r")
	start.Kind, start.Pool, start.Model = wirepb.Kind_KIND_SERVICE, "roster-app", ""
	start.Method, start.Path = "POST", "/confirm?game=1"
	start.Headers = []*wirepb.Header{{Name: "Idempotency-Key", Value: "k"}}
	at := begin(t, a, start)
	if head := at.recv().GetHead(); head.GetStatus() != 200 || len(head.Headers) == 0 {
		t.Fatalf("%v", head)
	}
	if chunk := at.recv().GetChunk(); !strings.Contains(string(chunk.GetData()), `"key":"k"`) {
		t.Fatalf("%v", chunk)
	}
	expectEnd(t, at.end(), wirepb.EndCode_END_OK, true)
	if runs := server.Runs(); runs["k"] != 1 {
		t.Fatalf("%v", runs)
	}
	expectFree(t, a)
}
