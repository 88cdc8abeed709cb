package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/briarturn/briarturn/internal/explain"
	"github.com/briarturn/briarturn/routetable"
)

// lines returns the lines of a message that bear a request's id.
func lines(hook *logrustest.Hook, message, id string) []logrus.Fields {
	var out []logrus.Fields
	for _, e := range hook.AllEntries() {
		if e.Message == message && e.Data["request"] == id {
			out = append(out, e.Data)
		}
	}
	return out
}

func wantField(t *testing.T, line logrus.Fields, name string, want any) {
	t.Helper()
	if line[name] != want {
		t.Errorf("%s is %v, want %v", name, line[name], want)
	}
}

// logged is a world whose lines are kept.
func logged(t *testing.T, servers ...http.HandlerFunc) (*world, *logrustest.Hook) {
	log, hook := logrustest.NewNullLogger()
	w := newWorld(t, servers...).configured()
	w.gateway.cfg.Log = log
	return w, hook
}

// awaitLine waits for the line of a request, which is written after its answer.
func awaitLine(t *testing.T, hook *logrustest.Hook, id string) logrus.Fields {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if found := lines(hook, "request", id); len(found) > 0 {
			return found[0]
		}
	}
	t.Fatalf("no line of request %s", id)
	return nil
}

// The three ways of docs/OPERATIONS.md from a failed request to its cause go over
// these lines and fields.

func TestLineOfARefusal(t *testing.T) {
	w, hook := logged(t, answers("ok"))
	*w.clock = w.clock.Add(time.Minute)
	r, _, err := w.ask(http.MethodGet, "/keyed/", "", hKey, "k", hID, "refused")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	line := awaitLine(t, hook, "refused")
	wantField(t, line, "outcome", string(ReasonStaleConfig))
	wantField(t, line, "status", http.StatusServiceUnavailable)
	wantField(t, line, "age_ms", time.Minute.Milliseconds())
	wantField(t, line, "revision", uint64(1))
	wantField(t, line, "sends", 0)
}

// Symptom: a prompt is refused as too late, and the log doesn't tell by what forecast.
// Sequence: the forecast is a minute, and five seconds are left. Cause: only requests that
// were placed had their forecast in the line.
func TestLineOfAPromptThatIsTooLate(t *testing.T) {
	w, hook := logged(t, answers("ok"))
	w.gateway.cfg.Placer = &late{}
	r, _, err := w.ask(http.MethodPost, "/stream/", "body", hID, "late", hPrompt, "300000", hPatience, "5000")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	line := awaitLine(t, hook, "late")
	wantField(t, line, "outcome", string(ReasonDeadlineUnmeetable))
	wantField(t, line, "forecast_ms", time.Minute.Milliseconds())
}

// Symptom: a caller got a failure of one server, and the log doesn't tell that
// another had refused. Sequence: of two servers one fails and one refuses.
// Cause: answers that were not passed on left no line.
func TestLinesOfAnswersNotPassedOn(t *testing.T) {
	w, hook := logged(t, fails, refuses)
	r, _, err := w.ask(http.MethodGet, "/safe/", "", hID, "second")
	wantStatus(t, r, err, http.StatusInternalServerError)
	line := awaitLine(t, hook, "second")
	wantField(t, line, "sends", 2)
	wantField(t, line, "limit", limitAttempts)
	for message, status := range map[string]int{"server failed": http.StatusInternalServerError, "attempt refused": http.StatusServiceUnavailable} {
		found := lines(hook, message, "second")
		if len(found) != 1 {
			t.Fatalf("%d lines of %q", len(found), message)
		}
		wantField(t, found[0], "server_status", status)
	}
}

func fails(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// never is a Sampler that lets nothing pass.
type never struct{}

func (never) Allow() (int64, bool) { return 0, false }

// Symptom: a refusal can't be explained, for it has no line. Sequence: the volume
// of the log is at its bound; a request is refused. Cause: its line was thinned
// out like those of successes.
func TestFailuresAreLoggedAtTheBound(t *testing.T) {
	w, hook := logged(t, answers("ok"))
	w.gateway.cfg.Sampler = never{}
	r, _, err := w.ask(http.MethodGet, "/safe/", "", hID, "well")
	wantStatus(t, r, err, http.StatusOK)
	r, _, err = w.ask(http.MethodGet, "/keyed/", "", hKey, "no such key", hID, "refused")
	wantStatus(t, r, err, http.StatusUnauthorized)
	awaitLine(t, hook, "refused")
	if found := lines(hook, "request", "well"); len(found) > 0 {
		t.Errorf("written beyond the bound: %v", found)
	}
}

func TestLinesOfABrokenStream(t *testing.T) {
	w, hook := logged(t, events(1, 3, true), breaks)
	_, _, err := w.ask(http.MethodPost, "/stream/", "body", hID, "broken")
	if err == nil {
		t.Fatal("the stream ended in order")
	}
	line := awaitLine(t, hook, "broken")
	wantField(t, line, "outcome", "broken_off")
	wantField(t, line, "events", 3)
	wantField(t, line, "sends", 2)
	broke := lines(hook, "stream broke", "broken")
	if len(broke) != 1 {
		t.Fatalf("%d breaks logged", len(broke))
	}
	wantField(t, broke[0], "behind", "3")
	wantField(t, broke[0], "deadline", false)
	failed := lines(hook, "attempt failed", "broken")
	if len(failed) != 1 || failed[0][logrus.ErrorKey] == nil {
		t.Errorf("the failed attempt is logged as %v", failed)
	}
}

func TestLineOfATimeout(t *testing.T) {
	w, hook := logged(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	d := declared(2)
	for i := range d.Routes {
		d.Routes[i].Timeout = 50 * time.Millisecond
	}
	w.routes.Offer(routetable.New(d), *w.clock)
	r, _, err := w.ask(http.MethodGet, "/safe/", "", hID, "late")
	wantStatus(t, r, err, http.StatusGatewayTimeout)
	line := awaitLine(t, hook, "late")
	wantField(t, line, "outcome", string(ReasonTimeout))
	wantField(t, line, "sends", 1)
	if took, _ := line["took_ms"].(int64); took < 50 {
		t.Errorf("took_ms is %v", line["took_ms"])
	}
	if server, _ := line["server"].(string); server == "" {
		t.Error("the line names no server")
	}
}

// Each of the three kinds of failed request is explained from the lines that it
// leaves, as a process writes them.
func TestFailedRequestsAreExplained(t *testing.T) {
	w, log := written(t, events(1, 3, true), breaks)
	_, _, err := w.ask(http.MethodPost, "/stream/", "body", hID, "broken")
	if err == nil {
		t.Fatal("the stream ended in order")
	}
	wantCause(t, log, "broken", "behind 3 events", "the route allows no more attempts")

	w, log = written(t, answers("ok"))
	*w.clock = w.clock.Add(time.Minute)
	r, _, err := w.ask(http.MethodGet, "/keyed/", "", hKey, "k", hID, "refused")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	wantCause(t, log, "refused", "last proved current 60000 ms before")

	release := make(chan struct{})
	defer close(release)
	w, log = written(t, func(http.ResponseWriter, *http.Request) { <-release })
	r, _, err = w.ask(http.MethodPost, "/once/", "body", hID, "late", hPatience, "200")
	wantStatus(t, r, err, http.StatusGatewayTimeout)
	wantCause(t, log, "late", "took it and sent nothing")
}

// written is a world with its log as text.
func written(t *testing.T, servers ...http.HandlerFunc) (*world, *syncBuffer) {
	w := newWorld(t, servers...).configured()
	out := &syncBuffer{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	w.gateway.cfg.Log = log
	return w, out
}

// syncBuffer is a log that is read while it is written.
type syncBuffer struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// wantCause waits for the line of a request's end and wants parts in the cause.
func wantCause(t *testing.T, log *syncBuffer, id string, parts ...string) {
	t.Helper()
	var report *explain.Report
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		lines, _, err := explain.Read(strings.NewReader(log.String()))
		if err != nil {
			t.Fatal(err)
		}
		if report, err = explain.Request(lines, id); err == nil && !strings.Contains(report.Cause, "no line of its end") {
			break
		}
	}
	for _, part := range parts {
		if report == nil || !strings.Contains(report.Cause, part) {
			t.Errorf("%s: %+v lacks %q", id, report, part)
		}
	}
}
