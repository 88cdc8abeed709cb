package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
	"github.com/briarturn/briarturn/warmup"
)

// Headers of the tests' own protocol.
const (
	hID        = "T-Id"
	hPatience  = "T-Patience"
	hKey       = "T-Key"
	hWorkspace = "T-Workspace"
	hInstance  = "T-Instance"
	hNotRun    = "T-Not-Run"
	hLastEvent = "T-Last"
	hPrompt    = "T-Prompt"
)

type testProtocol struct{}

func (testProtocol) DecodeRequest(h http.Header) (RequestInfo, error) {
	e := RequestInfo{ID: h.Get(hID), APIKey: h.Get(hKey), LastEventID: h.Get(hLastEvent)}
	if e.ID == "" {
		return e, errors.New("no id")
	}
	if tokens, err := strconv.Atoi(h.Get(hPrompt)); err == nil {
		e.Prompt.InputTokens = tokens
	}
	if ms, err := strconv.Atoi(h.Get(hPatience)); err == nil {
		e.Timeout = time.Duration(ms) * time.Millisecond
	}
	return e, nil
}

func (testProtocol) EncodeAttempt(h http.Header, a AttemptInfo) {
	h.Del(hKey)
	h.Del(hWorkspace)
	h.Set(hPatience, strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	h.Set(hInstance, a.Instance)
	if a.Workspace != "" {
		h.Set(hWorkspace, a.Workspace)
	}
	if a.LastEventID != "" {
		h.Set(hLastEvent, a.LastEventID)
	}
}

func (testProtocol) DecodeResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{ID: h.Get(hID), NotRun: h.Get(hNotRun) != ""}
}

// world is a gateway before some backend servers.
type world struct {
	t         testing.TB
	gateway   *Gateway
	front     *httptest.Server
	directory *upstream.Directory
	clock     *boottime.Instant
	routes    *routetable.Holder
	zones     *evacuation.Zones
	warmup    *warmup.Limiter
	witness   *witness

	mu   sync.Mutex
	seen []string // "server id" of each arrival, in order
}

type witness struct{ records []quarantine.Record }

func (w *witness) ReportDeath(r quarantine.Record) { w.records = append(w.records, r) }

// inOrder places on the first candidate by instance, so that tests know where.
type inOrder struct{ planner *placement.Planner }

func (p inOrder) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	first := -1
	for i, c := range candidates {
		if first < 0 || c.Instance < candidates[first].Instance {
			first = i
		}
	}
	if first < 0 {
		return placement.Placement{}, placement.NoCapacity
	}
	return p.planner.Place(q, candidates[first:first+1])
}

// newWorld has three routes on host h: /safe/, /once/ and /stream/, all of service s
// with two attempts, and /keyed/, which needs a key.
func newWorld(t testing.TB, servers ...http.HandlerFunc) *world {
	t.Helper()
	now := boottime.Instant(time.Hour)
	w := &world{t: t, clock: &now, directory: upstream.NewDirectory(0), witness: &witness{}}
	w.zones = evacuation.NewZones(func() boottime.Instant { return *w.clock })
	w.zones.Replace(nil, now)
	w.warmup = warmup.NewLimiter("e1", time.Now().Add(-time.Minute))
	w.warmup.SetEntries(nil, time.Now())
	w.routes = routetable.NewHolder(func() boottime.Instant { return *w.clock })
	r := metrics.NewRegistry()
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return nil })
	w.gateway = New(Config{
		Protocol:      testProtocol{},
		Routes:        w.routes,
		Directory:     w.directory,
		Zones:         w.zones,
		Warmup:        w.warmup,
		Pool:          upstream.NewPool(r),
		Placer:        inOrder{placement.NewPlanner(ledger, 1, time.Now, nil)},
		Budget:        NewRetryBudget(0, 1000, time.Minute, 1),
		Quarantine:    quarantine.NewTracker(QuarantineOptions()),
		DeathReporter: w.witness,
		Log:           quiet.Logger(),
		Metrics:       r,
	})
	for i, handler := range servers {
		name := fmt.Sprintf("s%d", i+1)
		backend := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.mu.Lock()
			w.seen = append(w.seen, name+" "+r.Header.Get(hID))
			w.mu.Unlock()
			rw.Header().Set(hID, r.Header.Get(hID))
			handler(rw, r)
		}))
		t.Cleanup(backend.Close)
		w.directory.Put(upstream.Server{Instance: name, Service: "s", Address: backend.Listener.Addr().String(), Capacity: 4})
	}
	w.front = httptest.NewServer(w.gateway)
	t.Cleanup(w.front.Close)
	return w
}

func declared(revision uint64) routetable.Config {
	route := func(prefix string, kind routetable.Kind) routetable.Route {
		return routetable.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Public: true, MaxAttempts: 2,
			Timeout: 20 * time.Second, Targets: []routetable.Target{{Service: "s", Weight: 1}},
		}
	}
	stream, keyed := route("/stream/", routetable.Stream), route("/keyed/", routetable.Idempotent)
	stream.Resumable, keyed.Public = true, false
	return routetable.Config{
		Revision:   revision,
		Routes:     []routetable.Route{route("/safe/", routetable.Idempotent), route("/once/", routetable.NonIdempotent), stream, route("/whole/", routetable.Stream), keyed},
		Services:   []routetable.Service{{Name: "s"}},
		Limits:     routetable.Limits{HeaderBytes: 8 << 10, BodyBytes: 64 << 10},
		Workspaces: []routetable.Workspace{{Name: "w"}},
		Keys:       map[string]string{"k": "w"},
	}
}

// configured puts the sample configuration in force.
func (w *world) configured() *world {
	w.routes.Offer(routetable.New(declared(1)), *w.clock)
	return w
}

// ask sends one request on a connection of its own.
func (w *world) ask(method, path, body string, headers ...string) (*http.Response, string, error) {
	w.t.Helper()
	r, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(hID, "id-1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response, string(got), err
}

func (w *world) arrivals() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.seen, ", ")
}

func (w *world) wantArrivals(want string) {
	w.t.Helper()
	if got := w.arrivals(); got != want {
		w.t.Errorf("arrivals %q, want %q", got, want)
	}
}

func wantStatus(t *testing.T, r *http.Response, err error, want int) {
	t.Helper()
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if r.StatusCode != want {
		t.Fatalf("status %d, want %d", r.StatusCode, want)
	}
}

func answers(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(hNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breaks closes the connection without a byte of an answer.
func breaks(w http.ResponseWriter, _ *http.Request) { cut(w) }

func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// events streams the events from to to, and then breaks off in the middle of the
// next one if torn.
func events(from, to int, torn bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		}
		if !torn {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", to+1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func wantEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
