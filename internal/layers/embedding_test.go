package layers

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const embeddingPage = "../../docs/EMBEDDING.md"

// goListings returns the contents of the Go code blocks of a Markdown page.
func goListings(page string) []string {
	var out []string
	for _, block := range strings.Split(page, "```go\n")[1:] {
		listing, _, _ := strings.Cut(block, "```")
		out = append(out, listing)
	}
	return out
}

// trimIndent returns text without the leading tabs of its lines.
func trimIndent(text string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		out.WriteString(strings.TrimLeft(line, "\t"))
	}
	return out.String()
}

// Guards against listings of the embedding guide that no longer compile after a rename
// in the code. Nothing compiles the page itself, so each listing must appear in an
// example, which the tests compile and run.
func TestEmbeddingListingsMatchExamples(t *testing.T) {
	page, err := os.ReadFile(embeddingPage)
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../../*/example_test.go")
	if err != nil {
		t.Fatal(err)
	}
	var examples strings.Builder
	for _, file := range files {
		code, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		examples.WriteString(trimIndent(string(code)))
	}
	found := goListings(string(page))
	if len(found) == 0 {
		t.Fatal("the embedding guide has no Go listings")
	}
	for _, listing := range found {
		if !strings.Contains(examples.String(), trimIndent(listing)) {
			t.Errorf("listing does not appear in any example:\n%s", listing)
		}
	}
}
