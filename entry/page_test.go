package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Checks that docs/API.md documents every request header and every failure
// reason.
func TestAPIDocsCoverReasonsAndHeaders(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{"errors.go", "http.go"} {
		for name, value := range stringConstants(t, file) {
			if !strings.HasPrefix(name, "reason") && !strings.HasPrefix(name, "header") {
				continue
			}
			if !strings.Contains(string(page), "`"+value+"`") {
				t.Errorf("docs/API.md does not document %s (%s in %s)", value, name, file)
			}
		}
	}
}

// stringConstants returns the string constants of a file by name.
func stringConstants(t *testing.T, file string) map[string]string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != len(spec.Names) {
			return true
		}
		for i, v := range spec.Values {
			if lit, ok := v.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				out[spec.Names[i].Name], _ = strconv.Unquote(lit.Value)
			}
		}
		return true
	})
	if len(out) == 0 {
		t.Fatalf("no string constants in %s", file)
	}
	return out
}
