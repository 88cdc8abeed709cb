package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/briarturn/briarturn/internal/explain"
	"github.com/briarturn/briarturn/internal/rawserver"
	"github.com/briarturn/briarturn/routetable"
)

// logEntries returns the fields of the log lines that have a message and a request's ID.
func logEntries(hook *logrustest.Hook, message, id string) []logrus.Fields {
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

// newHookedGateway returns a test gateway and a hook that keeps its log lines.
func newHookedGateway(t *testing.T, servers ...http.HandlerFunc) (*testGateway, *logrustest.Hook) {
	log, hook := logrustest.NewNullLogger()
	gw := newTestGateway(t, servers...).withSampleConfig()
	gw.gateway.cfg.Log = log
	return gw, hook
}

// waitForRequestLine waits for the log line of a request, which is written after the
// response.
func waitForRequestLine(t *testing.T, hook *logrustest.Hook, id string) logrus.Fields {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if found := logEntries(hook, "request", id); len(found) > 0 {
			return found[0]
		}
	}
	t.Fatalf("no log line of request %s", id)
	return nil
}

// docs/OPERATIONS.md describes three ways to trace a failed request to its cause. They
// depend on the log lines and fields in the following tests.

func TestLogLineOfRefusal(t *testing.T) {
	gw, hook := newHookedGateway(t, respondWith("ok"))
	*gw.clock = gw.clock.Add(time.Minute)
	r, _, err := gw.send(http.MethodGet, "/keyed/", "", hKey, "k", hID, "refused")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	line := waitForRequestLine(t, hook, "refused")
	wantField(t, line, "outcome", string(ReasonStaleConfig))
	wantField(t, line, "status", http.StatusServiceUnavailable)
	wantField(t, line, "age_ms", time.Minute.Milliseconds())
	wantField(t, line, "revision", uint64(1))
	wantField(t, line, "sends", 0)
}

// Guards against a prompt that is refused because it would be too late while the log line
// lacks the forecast. The forecast is a minute and five seconds are left. Only requests
// that were placed had their forecast in the line.
func TestLogLineOfUnmeetableDeadline(t *testing.T) {
	gw, hook := newHookedGateway(t, respondWith("ok"))
	gw.gateway.cfg.Placer = &tooLatePlacer{}
	r, _, err := gw.send(http.MethodPost, "/stream/", "body", hID, "late", hPrompt, "300000", hTimeout, "5000")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	line := waitForRequestLine(t, hook, "late")
	wantField(t, line, "outcome", string(ReasonDeadlineUnmeetable))
	wantField(t, line, "forecast_ms", time.Minute.Milliseconds())
}

// Guards against a log that does not show that one server refused a request whose caller
// got another server's error. Of two servers one fails and one refuses. Responses that
// were not relayed left no line.
func TestDiscardedResponsesAreLogged(t *testing.T) {
	gw, hook := newHookedGateway(t, respondInternalError, respondNotRun)
	r, _, err := gw.send(http.MethodGet, "/safe/", "", hID, "second")
	wantStatus(t, r, err, http.StatusInternalServerError)
	line := waitForRequestLine(t, hook, "second")
	wantField(t, line, "sends", 2)
	wantField(t, line, "limit", limitAttempts)
	for message, status := range map[string]int{"server failed": http.StatusInternalServerError, "attempt refused": http.StatusServiceUnavailable} {
		found := logEntries(hook, message, "second")
		if len(found) != 1 {
			t.Fatalf("%d log lines %q", len(found), message)
		}
		wantField(t, found[0], "server_status", status)
	}
}

func respondInternalError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

// denySampler is a Sampler that allows no line.
type denySampler struct{}

func (denySampler) Allow() (int64, bool) { return 0, false }

// Guards against a refusal that can't be explained because its log line is missing. The
// log volume is at its limit when the request is refused. The line was sampled like those
// of successful requests.
func TestFailuresAreLoggedWhenSamplerDenies(t *testing.T) {
	gw, hook := newHookedGateway(t, respondWith("ok"))
	gw.gateway.cfg.Sampler = denySampler{}
	r, _, err := gw.send(http.MethodGet, "/safe/", "", hID, "well")
	wantStatus(t, r, err, http.StatusOK)
	r, _, err = gw.send(http.MethodGet, "/keyed/", "", hKey, "no such key", hID, "refused")
	wantStatus(t, r, err, http.StatusUnauthorized)
	waitForRequestLine(t, hook, "refused")
	if found := logEntries(hook, "request", "well"); len(found) > 0 {
		t.Errorf("logged although the sampler denied it: %v", found)
	}
}

func TestLogLinesOfBrokenStream(t *testing.T) {
	gw, hook := newHookedGateway(t, streamEvents(1, 3, true), dropConnection)
	_, _, err := gw.send(http.MethodPost, "/stream/", "body", hID, "broken")
	if err == nil {
		t.Fatal("the stream ended normally")
	}
	line := waitForRequestLine(t, hook, "broken")
	wantField(t, line, "outcome", "broken_off")
	wantField(t, line, "events", 3)
	wantField(t, line, "sends", 2)
	breaks := logEntries(hook, "stream broke", "broken")
	if len(breaks) != 1 {
		t.Fatalf("%d broken streams logged", len(breaks))
	}
	wantField(t, breaks[0], "behind", "3")
	wantField(t, breaks[0], "deadline", false)
	failed := logEntries(hook, "attempt failed", "broken")
	if len(failed) != 1 || failed[0][logrus.ErrorKey] == nil {
		t.Errorf("the failed attempt is logged as %v", failed)
	}
}

// Guards against a broken response whose log lines don't name the cause.
func TestLogLineOfBrokenResponseHasItsCause(t *testing.T) {
	gw, hook := newHookedGateway(t)
	gw.put("s1", rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nContent-Length: 9\r\n\r\npart")
		}
	}))
	r, _, err := gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusBadGateway)
	waitForRequestLine(t, hook, "id-1")
	checked := logEntries(hook, "server of broken attempt checked", "id-1")
	if len(checked) != 1 {
		t.Fatalf("%d lines of the broken attempt", len(checked))
	}
	if cause, _ := checked[0][logrus.ErrorKey].(error); !errors.Is(cause, io.ErrUnexpectedEOF) {
		t.Errorf("cause %v", cause)
	}
	if n := metrics.GetOrRegisterCounter("gateway.attempts.broken.accepts", gw.metrics).Count(); n != 1 {
		t.Errorf("%d broken attempts counted, want 1", n)
	}
}

func TestLogLineOfTimeout(t *testing.T) {
	gw, hook := newHookedGateway(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	d := sampleConfig(2)
	for i := range d.Routes {
		d.Routes[i].Timeout = 50 * time.Millisecond
	}
	gw.routes.Offer(routetable.New(d), *gw.clock)
	r, _, err := gw.send(http.MethodGet, "/safe/", "", hID, "late")
	wantStatus(t, r, err, http.StatusGatewayTimeout)
	line := waitForRequestLine(t, hook, "late")
	wantField(t, line, "outcome", string(ReasonTimeout))
	wantField(t, line, "sends", 1)
	if took, _ := line["took_ms"].(int64); took < 50 {
		t.Errorf("took_ms is %v", line["took_ms"])
	}
	if server, _ := line["server"].(string); server == "" {
		t.Error("the log line has no server")
	}
}

// The cause of each of the three kinds of failed request is found in the log lines that
// it leaves, in the format that a process writes.
func TestFailedRequestsAreExplained(t *testing.T) {
	gw, log := newLoggingGateway(t, streamEvents(1, 3, true), dropConnection)
	_, _, err := gw.send(http.MethodPost, "/stream/", "body", hID, "broken")
	if err == nil {
		t.Fatal("the stream ended normally")
	}
	wantCause(t, log, "broken", "behind 3 events", "the route allows no more attempts")

	gw, log = newLoggingGateway(t, respondWith("ok"))
	*gw.clock = gw.clock.Add(time.Minute)
	r, _, err := gw.send(http.MethodGet, "/keyed/", "", hKey, "k", hID, "refused")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	wantCause(t, log, "refused", "last proved current 60000 ms before")

	release := make(chan struct{})
	defer close(release)
	gw, log = newLoggingGateway(t, func(http.ResponseWriter, *http.Request) { <-release })
	r, _, err = gw.send(http.MethodPost, "/once/", "body", hID, "late", hTimeout, "200")
	wantStatus(t, r, err, http.StatusGatewayTimeout)
	wantCause(t, log, "late", "took it and sent nothing")
}

// newLoggingGateway returns a test gateway and its log as JSON text.
func newLoggingGateway(t *testing.T, servers ...http.HandlerFunc) (*testGateway, *syncBuffer) {
	gw := newTestGateway(t, servers...).withSampleConfig()
	out := &syncBuffer{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	gw.gateway.cfg.Log = log
	return gw, out
}

// syncBuffer holds a log that is read while it is written.
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

// wantCause waits for the log line of a request's end and checks that its explained cause
// contains all parts.
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

// Guards against retries beyond what all entries may send that no log can attribute: the lines of
// requests lacked the state of the budget.
func TestLogLineShowsRetryBudget(t *testing.T) {
	gw, hook := newHookedGateway(t, respondNotRun, respondNotRun)
	r, _, err := gw.send(http.MethodPost, "/safe/", "body", hID, "again")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	line := waitForRequestLine(t, hook, "again")
	wantField(t, line, "budget_requests", 1)
	wantField(t, line, "budget_retries", 1)
	wantField(t, line, "budget_allowed", 1000.0)
	wantField(t, line, "budget_entries", 1)
}
