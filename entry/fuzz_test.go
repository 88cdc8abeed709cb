package entry

import (
	"slices"
	"testing"

	"github.com/briarturn/briarturn/request"
)

// FuzzParseBody checks that parsing arbitrary bodies doesn't panic and that
// accepted bodies are within the limits.
func FuzzParseBody(f *testing.F) {
	for _, seed := range []string{chatBodyText, streamBodyText, `{"model":"m","prompt":["x"]}`, `{"model":"m","messages":[{"content":null}]}`,
		`{"model":"\u00e9","messages":[{"content":[{"type":"text","text":"\ud800"}]}]}`, `null`, `{"n":1e999}`, `{"model":"m","prompt":"x","max_tokens":null}`, ` {"model":"m","prompt":"\\"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, kind := range []request.Kind{request.KindChat, request.KindCompletion} {
			body, failure := parseBody(kind, raw)
			if failure != nil {
				if failure.Code != request.NotRun || failure.Status/100 != 4 {
					t.Fatalf("failure %v", failure)
				}
				continue
			}
			if n := len(body.prefixHashes()); n > maxPrefixBlocks {
				t.Fatalf("%d prefix blocks", n)
			}
			if got, want := estimateTokens(len(body.text())), body.promptTokens(); got != want {
				t.Fatalf("estimated %d tokens of the text, promptTokens returned %d", got, want)
			}
			again, f := parseBody(kind, withMaxTokens(slices.Clone(raw), 7))
			if f != nil || again.fingerprint() != body.fingerprint() || again.MaxTokens == nil || *again.MaxTokens != 7 {
				t.Fatalf("the body with max_tokens appended differs: %v", f)
			}
		}
	})
}
