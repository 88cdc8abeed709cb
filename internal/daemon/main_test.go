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

// output is what one command line gave.
type output struct {
	code        int
	out, errors string
}

func runMain(ctx context.Context, args ...string) output {
	var out, errs bytes.Buffer
	code := Main(ctx, args, &out, &errs)
	return output{code, out.String(), errs.String()}
}

func (o output) want(t *testing.T, code int, parts ...string) {
	t.Helper()
	if o.code != code {
		t.Errorf("exit code %d, want %d\n%s%s", o.code, code, o.out, o.errors)
	}
	for _, part := range parts {
		if !strings.Contains(o.out+o.errors, part) {
			t.Errorf("no %q in\n%s%s", part, o.out, o.errors)
		}
	}
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestHelp(t *testing.T) {
	runMain(t.Context(), "--help").want(t, ExitOK, "run", "check", "dev", "standin", "Examples:", "Exit codes:")
	for _, command := range []string{"run", "check", "dev", "standin"} {
		runMain(t.Context(), command, "--help").want(t, ExitOK, "Usage: briarturnd "+command)
	}
}

func TestWrongCommandLines(t *testing.T) {
	for _, args := range [][]string{
		{}, {"serve"}, {"run"}, {"check"}, {"dev", "--nonsense"}, {"dev", "--load", "soon"},
		{"dev", "--example", "nowhere"}, {"dev", "--log-level", "loud"}, {"standin"}, {"standin", "engine"},
		{"run", filepath.Join(t.TempDir(), "none.json")},
	} {
		if got := runMain(t.Context(), args...); got.code != ExitUsage || got.errors == "" {
			t.Errorf("%q: exit code %d, %q", args, got.code, got.errors)
		}
	}
}

// Symptom: an operator mends a settings file one fault a start.
// Sequence: a file has faults of several kinds; check and run read it.
// Cause: reading stops at the first.
func TestEveryFaultOfAFileIsTold(t *testing.T) {
	path := write(t, `{"role":"entry","name":"Entry 1","zone":"z","platform":{"address":"x","call_timeout":"soon"},
		"listen":{"rpc":"10.0.0.1:1","datagram":"host:2","admin":"10.0.0.1:3"},"log":{"level":"loud"},
		"entry":{"limits":{"body_bytes":1},"seeds":["10.0.0.2"],"colour":"red"}}`)
	faults := []string{"name", "region", "platform.address", "platform.call_timeout", "listen.http",
		"listen.datagram", "log.level", "entry.limits.body_bytes", "entry.seeds[0]", "entry.colour"}
	runMain(t.Context(), "check", path).want(t, ExitUsage, faults...)
	runMain(t.Context(), "run", path).want(t, ExitUsage, faults...)
}

// TestRunDrainsWhenTold starts an entry from a settings file against an object
// API over HTTP and ends it as SIGTERM does.
func TestRunDrainsWhenTold(t *testing.T) {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	announced := make(chan struct{}, 1)
	api := platformstandin.Handler(store)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		api.ServeHTTP(w, r)
		if _, err := store.Get(r.Context(), "Entry", "entry-1"); err == nil {
			select {
			case announced <- struct{}{}:
			default:
			}
		}
	}))
	defer srv.Close()
	path := write(t, fmt.Sprintf(`{"role":"entry","name":"entry-1","zone":"z","region":"r","platform":{"address":%q},
		"listen":{"http":"127.0.0.1:0","rpc":"127.0.0.1:0","datagram":"127.0.0.1:0","admin":"127.0.0.1:0"},
		"log":{"format":"text"}}`, srv.URL))
	runMain(t.Context(), "check", path).want(t, ExitOK, "ok, role entry, name entry-1")
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan output)
	go func() { ended <- runMain(ctx, "run", path) }()
	<-announced
	stop()
	got := <-ended
	got.want(t, ExitOK, "started", "draining", "drained")
	if _, err := store.Get(t.Context(), "Entry", "entry-1"); err == nil {
		t.Errorf("its presence is still on record\n%s", got.out+got.errors)
	}
}

func TestAddressInUse(t *testing.T) {
	srv := httptest.NewServer(nil)
	defer srv.Close()
	taken := srv.Listener.Addr().String()
	for _, kind := range []string{"platform", "engine", "service"} {
		runMain(t.Context(), "standin", kind, "--listen", taken).want(t, ExitFailed, "address already in use")
	}
}

func TestStandinServesUntilTold(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	for _, kind := range []string{"platform", "engine", "service"} {
		runMain(ctx, "standin", kind, "--listen", "127.0.0.1:0").want(t, ExitOK, "listening on 127.0.0.1:")
	}
}

func TestDevWithLoad(t *testing.T) {
	runMain(t.Context(), "dev", "--load", "1s", "--rate", "15").
		want(t, ExitOK, "mix derwent", "crossed", "goodput")
	runMain(t.Context(), "dev", "--example", "atlas", "--load", "1s", "--rate", "5", "--json").
		want(t, ExitOK, `"crossed"`)
}
