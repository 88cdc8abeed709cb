package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

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
