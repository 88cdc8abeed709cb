package daemon

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	platformstandin "github.com/briarturn/briarturn/platform/standin"
)

// output is the exit code and the output of one command.
type output struct {
	code           int
	stdout, stderr string
}

func runMain(ctx context.Context, args ...string) output {
	var out, errs bytes.Buffer
	code := Main(ctx, args, &out, &errs)
	return output{code, out.String(), errs.String()}
}

func (o output) expect(t *testing.T, code int, parts ...string) {
	t.Helper()
	if o.code != code {
		t.Errorf("exit code %d, want %d\n%s%s", o.code, code, o.stdout, o.stderr)
	}
	for _, part := range parts {
		if !strings.Contains(o.stdout+o.stderr, part) {
			t.Errorf("output does not contain %q:\n%s%s", part, o.stdout, o.stderr)
		}
	}
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestHelp(t *testing.T) {
	runMain(t.Context(), "--help").expect(t, ExitOK, "run", "check", "dev", "standin", "Examples:", "Exit codes:")
	for _, command := range []string{"run", "check", "dev", "standin"} {
		runMain(t.Context(), command, "--help").expect(t, ExitOK, "Usage: briarturnd "+command)
	}
}

func TestInvalidCommandLines(t *testing.T) {
	for _, args := range [][]string{
		{}, {"serve"}, {"run"}, {"check"}, {"dev", "--nonsense"}, {"dev", "--load", "soon"},
		{"dev", "--example", "nowhere"}, {"dev", "--log-level", "loud"}, {"standin"}, {"standin", "engine"},
		{"run", filepath.Join(t.TempDir(), "none.json")},
	} {
		if got := runMain(t.Context(), args...); got.code != ExitUsage || got.stderr == "" {
			t.Errorf("%q: exit code %d, stderr %q", args, got.code, got.stderr)
		}
	}
}

// Guards against validation that stops at the first error, so that an operator has
// to fix a settings file one error per start. The file has errors of several kinds.
func TestAllSettingsErrorsAreReported(t *testing.T) {
	path := writeSettings(t, `{"role":"entry","name":"Entry 1","zone":"z","platform":{"address":"x","call_timeout":"soon"},
		"listen":{"rpc":"10.0.0.1:1","datagram":"host:2","admin":"10.0.0.1:3"},"log":{"level":"loud"},
		"entry":{"limits":{"body_bytes":1},"seeds":["10.0.0.2"],"colour":"red"}}`)
	errorPaths := []string{"name", "region", "platform.address", "platform.call_timeout", "listen.http",
		"listen.datagram", "log.level", "entry.limits.body_bytes", "entry.seeds[0]", "entry.colour"}
	runMain(t.Context(), "check", path).expect(t, ExitUsage, errorPaths...)
	runMain(t.Context(), "run", path).expect(t, ExitUsage, errorPaths...)
}

// TestRunDrainsOnShutdown starts an entry from a settings file, with an object API
// over HTTP, and cancels its context, as SIGTERM does.
func TestRunDrainsOnShutdown(t *testing.T) {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	registered := make(chan struct{}, 1)
	api := platformstandin.Handler(store)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		api.ServeHTTP(w, r)
		if _, err := store.Get(r.Context(), "Entry", "entry-1"); err == nil {
			select {
			case registered <- struct{}{}:
			default:
			}
		}
	}))
	defer srv.Close()
	path := writeSettings(t, fmt.Sprintf(`{"role":"entry","name":"entry-1","zone":"z","region":"r","platform":{"address":%q},
		"listen":{"http":"127.0.0.1:0","rpc":"127.0.0.1:0","datagram":"127.0.0.1:0","admin":"127.0.0.1:0"},
		"log":{"format":"text"}}`, srv.URL))
	runMain(t.Context(), "check", path).expect(t, ExitOK, "ok, role entry, name entry-1")
	ctx, stop := context.WithCancel(t.Context())
	result := make(chan output)
	go func() { result <- runMain(ctx, "run", path) }()
	<-registered
	stop()
	got := <-result
	got.expect(t, ExitOK, "started", "draining", "drained")
	if _, err := store.Get(t.Context(), "Entry", "entry-1"); err == nil {
		t.Errorf("the Entry object was not deleted\n%s", got.stdout+got.stderr)
	}
}

func TestAddressInUse(t *testing.T) {
	srv := httptest.NewServer(nil)
	defer srv.Close()
	taken := srv.Listener.Addr().String()
	for _, kind := range []string{"platform", "engine", "service"} {
		runMain(t.Context(), "standin", kind, "--listen", taken).expect(t, ExitFailed, "address already in use")
	}
}

func TestStandinServesUntilCancelled(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	for _, kind := range []string{"platform", "engine", "service"} {
		runMain(ctx, "standin", kind, "--listen", "127.0.0.1:0").expect(t, ExitOK, "listening on 127.0.0.1:")
	}
}

func TestDevWithLoad(t *testing.T) {
	runMain(t.Context(), "dev", "--load", "1s", "--rate", "15").
		expect(t, ExitOK, "mix derwent", "crossed", "goodput")
	runMain(t.Context(), "dev", "--example", "atlas", "--load", "1s", "--rate", "5", "--json").
		expect(t, ExitOK, `"crossed"`)
}
