package layers

import (
	"go/build"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "github.com/briarturn/briarturn/"

// decisionPackages lists the packages that make decisions and do no I/O. They receive
// time, randomness and peers as arguments, so that other programs can embed them with any
// transport.
var decisionPackages = []string{
	"backend", "internal/table", "invariant", "placement", "quarantine", "request", "routing", "slo", "workspace",
}

// embeddablePackages lists the other packages that can be used without this project's
// daemons, development mode and roles.
var embeddablePackages = []string{
	"claim", "config", "declared", "engine", "internal/boottime", "internal/quiet", "internal/responsehead", "internal/serverconn", "internal/sleep", "lease", "membership", "objectapi", "replica", "retrybudget", "wire", "wire/wirepb",
}

// ioPackages lists the packages that no decision package may import.
var ioPackages = []string{"net", "net/http", "os", "os/exec", "log", "syscall"}

// importsOf returns the imports of the non-test files of a package.
func importsOf(t *testing.T, pkg string) []string {
	t.Helper()
	p, err := build.ImportDir(filepath.Join("..", "..", filepath.FromSlash(pkg)), 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(p.GoFiles) == 0 {
		t.Fatalf("package %s has no Go files besides tests", pkg)
	}
	return p.Imports
}

// disallowed returns the imports that belong to this module and aren't in allowed.
func disallowed(imports, allowed []string) []string {
	var out []string
	for _, path := range imports {
		name, own := strings.CutPrefix(path, module)
		if own && !slices.Contains(allowed, name) {
			out = append(out, path)
		}
	}
	return out
}

// Guards against a decision package that imports a constant, a type or a conversion from
// a package that does I/O. A program that embeds the routing decisions would then link an
// HTTP server, or could not import them at all, and nothing in this project would fail to
// build. Each list is closed under imports, so checking direct imports is sufficient.
func TestDecisionPackagesDoNoIO(t *testing.T) {
	for _, pkg := range decisionPackages {
		imports := importsOf(t, pkg)
		for _, path := range disallowed(imports, decisionPackages) {
			t.Errorf("%s imports %s, which isn't a decision package", pkg, path)
		}
		for _, path := range imports {
			if slices.Contains(ioPackages, path) {
				t.Errorf("%s imports %s", pkg, path)
			}
		}
	}
}

// Guards against the same failure as TestDecisionPackagesDoNoIO for imports of roles,
// daemons and stand-ins.
func TestEmbeddablePackagesStandAlone(t *testing.T) {
	for _, pkg := range embeddablePackages {
		for _, path := range disallowed(importsOf(t, pkg), slices.Concat(decisionPackages, embeddablePackages)) {
			t.Errorf("%s imports %s, which isn't embeddable", pkg, path)
		}
	}
}
