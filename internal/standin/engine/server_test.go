package engine_test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	client "github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/standin/answer"
	standin "github.com/briarturn/briarturn/internal/standin/engine"
	"github.com/briarturn/briarturn/request"
)

// start returns an engine and a client of it.
func start(t testing.TB, cfg standin.Config) (*standin.Server, *client.Client) {
	t.Helper()
	s, address, err := standin.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	c := client.New(client.Config{Address: address})
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

func fast() standin.Config {
	return standin.Config{PrefillRate: 10e6, DecodeBase: 100 * time.Microsecond, DecodePerSequence: time.Microsecond}
}

func chatBody(prompt string, output int) string {
	quoted, _ := json.Marshal(prompt)
	return fmt.Sprintf(`{"model":"briar","max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, output, quoted)
}

func run(id, prompt string, output int) *client.RunRequest {
	return &client.RunRequest{Kind: request.KindChat, RequestID: id, Body: []byte(chatBody(prompt, output))}
}

// collect reads up to max chunks with text and returns them joined.
func collect(st *client.Stream, max int) (text string, chunks int, err error) {
	var b strings.Builder
	for chunks < max {
		c, err := st.Next()
		if err != nil {
			return b.String(), chunks, err
		}
		var body struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(c.Data, &body); err != nil {
			return b.String(), chunks, err
		}
		for _, choice := range body.Choices {
			b.WriteString(choice.Delta.Content)
		}
		chunks++
	}
	return b.String(), chunks, nil
}

const all = 1 << 30

func TestAnswerIsWholeAndCounted(t *testing.T) {
	s, c := start(t, fast())
	prompt := strings.Repeat("season draw ", 500)
	st, err := c.Run(t.Context(), run("a", prompt, 37))
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	text, _, err := collect(st, all)
	if err != io.EOF {
		t.Fatal(err)
	}
	if err := answer.Verify(prompt, 37, text); err != nil {
		t.Error(err)
	}
	want := client.Usage{Prompt: int64(answer.Count(prompt)), Output: 37}
	if st.Usage() != want {
		t.Errorf("usage %+v, want %+v", st.Usage(), want)
	}
	if got := s.Counters(); got.Runs != 1 || got.Finished != 1 || got.UsedMemory != 0 {
		t.Errorf("counters %+v", got)
	}
}

func TestNeverFittingPromptIsNotRun(t *testing.T) {
	cfg := fast()
	cfg.MemoryTokens = 100
	s, c := start(t, cfg)
	_, err := c.Run(t.Context(), run("a", strings.Repeat("x", 500), 10))
	if !errors.Is(err, client.ErrNotRun) {
		t.Fatalf("got %v", err)
	}
	if s.Runs("a") != 0 {
		t.Error("a refused request ran")
	}
}
