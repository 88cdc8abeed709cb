package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/daemon"
	"github.com/briarturn/briarturn/platform/standin"
)

// brokenVariable names what is deliberately broken in the processes of a run.
const brokenVariable = "BRIARTURN_SOAK_BROKEN"

// What is broken.
const (
	brokenTwice   = "twice"   // servers run each request twice
	brokenForeign = "foreign" // servers answer with another's answer
	brokenShort   = "short"   // servers' streams end well, one event early
	brokenEnds    = "ends"    // entries end by themselves
	brokenDeaf    = "deaf"    // entries don't heed SIGTERM
	brokenCuts    = "cuts"    // entries that are told to end cut what is open
	brokenBlind   = "blind"   // entries don't know that zones can be evacuated
	brokenAstray  = "astray"  // entries take regions for each other
	brokenAlone   = "alone"   // entries have one name, so that each takes itself for the only one
)

// cutAfter is how long after its signal an entry ends that cuts its connections.
const cutAfter = 3600 * time.Millisecond

// lifetime is how long an entry lives that ends by itself: until it has served.
const lifetime = 6 * time.Second

// child is a process of a run: the daemon, or one that is broken.
func child(ctx context.Context, broken string) int {
	isBackend := slices.Contains(os.Args, "backend")
	isEntry := len(os.Args) > 1 && os.Args[1] == "run"
	switch {
	case isBackend && slices.Contains([]string{brokenTwice, brokenForeign, brokenShort}, broken):
		return brokenBackend(ctx, broken)
	case isEntry && broken == brokenEnds:
		time.AfterFunc(lifetime, func() { os.Exit(daemon.ExitFailed) })
	case isEntry && slices.Contains([]string{brokenBlind, brokenAstray, brokenAlone}, broken):
		if err := misconfigure(os.Args[2], broken); err != nil {
			_, _ = io.WriteString(os.Stderr, err.Error())
			return daemon.ExitFailed
		}
	case isEntry && broken == brokenCuts:
		context.AfterFunc(ctx, func() { time.AfterFunc(cutAfter, func() { os.Exit(daemon.ExitOK) }) })
		ctx = context.Background()
	case isEntry && broken == brokenDeaf:
		signal.Ignore(syscall.SIGTERM)
		ctx = context.Background()
	}
	return daemon.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// brokenBackend serves a stand-in's address with a handler that breaks a promise.
func brokenBackend(ctx context.Context, broken string) int {
	listen, instance := valueOf("--listen"), valueOf("--instance")
	good := standin.NewBackend(instance, os.Stdout)
	server := &http.Server{Addr: listen, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		good.ServeHTTP(answer, r)
		if broken == brokenTwice {
			good.ServeHTTP(httptest.NewRecorder(), r)
		}
		body := answer.Body.Bytes()
		if broken == brokenForeign {
			body = bytes.ReplaceAll(body, []byte("c"), []byte("d"))
		}
		if broken == brokenShort && strings.HasPrefix(r.URL.Path, standin.PathStream) {
			body = body[:bytes.LastIndex(bytes.TrimSuffix(body, []byte("\n\n")), []byte("\n\n"))+2]
		}
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(body) // a failed write means that the caller is gone
	})}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Println("listening on", listen)
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		_, _ = io.WriteString(os.Stderr, err.Error())
		return daemon.ExitFailed
	}
	return daemon.ExitOK
}

// misconfigure changes an entry's settings so that it breaks a promise.
func misconfigure(file, broken string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		return err
	}
	gateway := settings["gateway"].(map[string]any)
	switch broken {
	case brokenBlind:
		delete(gateway, "evacuate_within")
	case brokenAstray:
		gateway["regions"] = map[string]string{zoneNames[0]: boundRegion, zoneNames[1]: "region-1"}
	case brokenAlone:
		settings["name"] = "entry"
	}
	if data, err = json.Marshal(settings); err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// valueOf returns the argument behind a flag.
func valueOf(flag string) string { return os.Args[slices.Index(os.Args, flag)+1] }

// brokenCase is a run before something that breaks a promise.
type brokenCase struct {
	broken, promise string
	plan            []Step
}

// entries is how many there are: several where they have to agree.
func (c brokenCase) entries() int {
	if c.broken == brokenAlone {
		return 6
	}
	return 1
}

// callers is how many there are: enough to ask more of a server than it bears.
func (c brokenCase) callers() int {
	if c.broken == brokenAlone {
		return 60
	}
	return 4
}

// A run before something that is deliberately broken tells just that.
func TestBrokenProcessesAreNoticed(t *testing.T) {
	term := []Step{{At: calmStart, Fault: EntryTerm}}
	calm := []Step{{At: 2 * time.Second, Fault: EntryHup}}
	for _, c := range []brokenCase{
		{"", "", term},
		{brokenTwice, PromiseOnce, calm},
		{brokenForeign, PromiseWhole, calm},
		{brokenShort, PromiseWhole, calm},
		{brokenEnds, PromiseLives, []Step{{At: lifetime + time.Second, Fault: EntryKill}}},
		{brokenDeaf, PromiseGrace, term},
		{brokenCuts, PromiseDrain, term},
		{brokenBlind, PromiseEvacuated, []Step{{At: calmStart, For: 9 * time.Second, Fault: Evacuate}}},
		{brokenAstray, PromiseRegion, calm},
		{brokenAlone, PromiseCold, []Step{{At: calmStart, For: 8 * time.Second, Fault: ServerCold}}},
	} {
		t.Run(cmp.Or(c.broken, "sound"), func(t *testing.T) {
			t.Parallel()
			report, err := runPlan(t.Context(), Options{
				Entries: c.entries(), Servers: 2, Callers: c.callers(), Daemon: []string{os.Args[0]}, Dir: t.TempDir(),
				Env: []string{childVariable + "=1", brokenVariable + "=" + c.broken},
			}, c.plan)
			if err != nil {
				t.Fatal(err)
			}
			met := map[string]bool{}
			for _, v := range report.Violations {
				met[v.Promise] = true
			}
			if c.promise == "" && len(met) > 0 || c.promise != "" && !met[c.promise] {
				t.Errorf("promises broken: %v, want %q", report.Violations, c.promise)
			}
		})
	}
}
