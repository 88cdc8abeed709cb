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
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/allowance"
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
)

// Headers of the test protocol.
const (
	hID        = "T-Id"
	hTimeout   = "T-Patience"
	hKey       = "T-Key"
	hWorkspace = "T-Workspace"
	hInstance  = "T-Instance"
	hNotRun    = "T-Not-Run"
	hLastEvent = "T-Last"
	hPrompt    = "T-Prompt"
	hRate      = "T-Rate"
	hDraining  = "T-Draining"
	hBackOff   = "T-Back-Off" // ms
	hOther     = "T-Other"    // another instance responds
	hModel     = "T-Model"
	hParts     = "T-Parts" // of the prompt, hexadecimal, that others may share
)

// shutdownTime is how long a shutdown takes in these tests. It is shorter than the timeout of the
// routes of sampleConfig.
const shutdownTime = 10 * time.Second

type testProtocol struct{}

func (testProtocol) DecodeRequest(h http.Header) (RequestInfo, error) {
	e := RequestInfo{ID: h.Get(hID), APIKey: h.Get(hKey), LastEventID: h.Get(hLastEvent)}
	if e.ID == "" {
		return e, errors.New("no request ID")
	}
	if tokens, err := strconv.Atoi(h.Get(hPrompt)); err == nil {
		e.Prompt.InputTokens = tokens
	}
	e.Prompt.Model = h.Get(hModel)
	for _, part := range strings.Fields(h.Get(hParts)) {
		if id, err := strconv.ParseUint(part, 16, 64); err == nil {
			e.Prompt.SharedParts = append(e.Prompt.SharedParts, id)
		}
	}
	if ms, err := strconv.Atoi(h.Get(hTimeout)); err == nil {
		e.Timeout = time.Duration(ms) * time.Millisecond
	}
	return e, nil
}

func (testProtocol) EncodeAttempt(h http.Header, a AttemptInfo) {
	h.Del(hKey)
	h.Del(hWorkspace)
	h.Set(hTimeout, strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	h.Set(hInstance, a.Instance)
	if a.Workspace != "" {
		h.Set(hWorkspace, a.Workspace)
	}
	if a.LastEventID != "" {
		h.Set(hLastEvent, a.LastEventID)
	}
}

func (testProtocol) DecodeResponse(_ int, h http.Header) ResponseInfo {
	rate, _ := strconv.ParseFloat(h.Get(hRate), 64) // 0 if absent
	backOff, _ := strconv.Atoi(h.Get(hBackOff))     // 0 if absent
	return ResponseInfo{
		ID: h.Get(hID), NotRun: h.Get(hNotRun) != "", RateLimit: rate,
		Draining: h.Get(hDraining) != "", BackOff: time.Duration(backOff) * time.Millisecond, OtherInstance: h.Get(hOther) != "",
	}
}

// testGateway is a Gateway in front of some backend servers.
type testGateway struct {
	t            testing.TB
	gateway      *Gateway
	server       *httptest.Server
	directory    *upstream.Directory
	clock        *boottime.Instant
	routes       *routetable.Holder
	zones        *evacuation.Zones
	coldSends    *allowance.Limiter
	limitedSends *allowance.Limiter
	deaths       *deathRecorder
	limits       *limitRecorder
	drains       *drainRecorder
	losses       *lossRecorder
	lostNow      atomic.Int64 // boottime.Instant; where losses are shared
	metrics      metrics.Registry

	mu         sync.Mutex
	arrivalLog []string // "server id" of each request that arrived at a server, in order
}

type limitRecorder struct{ observations []serverlimit.Observation }

func (l *limitRecorder) ReportLimit(o serverlimit.Observation) {
	l.observations = append(l.observations, o)
}

type drainRecorder struct {
	mu      sync.Mutex
	servers []servernotice.Server
}

func (d *drainRecorder) ReportDrain(s servernotice.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, s)
}

type lossRecorder struct {
	mu   sync.Mutex
	list []lostservers.Evidence
}

func (l *lossRecorder) ReportLoss(e lostservers.Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, e)
}

type deathRecorder struct {
	records   []quarantine.Record
	completed []uint64
}

func (d *deathRecorder) ReportDeath(r quarantine.Record) { d.records = append(d.records, r) }

func (d *deathRecorder) ReportPartDeath(quarantine.PartDeath) {}

func (d *deathRecorder) ReportPartsCleared([]quarantine.Part, time.Time) {}

func (d *deathRecorder) ReportCompletion(fingerprint uint64) {
	d.completed = append(d.completed, fingerprint)
}

// firstPlacer places on the candidate whose instance name is first in order, so that
// tests know the server.
type firstPlacer struct{ planner *placement.Planner }

func (p firstPlacer) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
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

// newTestGateway starts a gateway without a configuration in front of one backend server
// per handler. The servers are instances s1, s2 and so on of service s.
func newTestGateway(t testing.TB, servers ...http.HandlerFunc) *testGateway {
	t.Helper()
	now := boottime.Instant(time.Hour)
	gw := &testGateway{t: t, clock: &now, directory: upstream.NewDirectory(0), deaths: &deathRecorder{}, limits: &limitRecorder{}, drains: &drainRecorder{}, losses: &lossRecorder{}}
	gw.zones = evacuation.NewZones(func() boottime.Instant { return *gw.clock })
	gw.zones.Replace(nil, now)
	gw.coldSends = allowance.NewLimiter("e1", time.Now().Add(-time.Minute))
	gw.coldSends.SetEntries(nil, time.Now())
	gw.limitedSends = allowance.NewLimiter("e1", time.Now().Add(-time.Minute))
	gw.limitedSends.SetEntries(nil, time.Now())
	gw.routes = routetable.NewHolder(func() boottime.Instant { return *gw.clock })
	r := metrics.NewRegistry()
	gw.metrics = r
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return nil })
	gw.gateway = New(Config{
		Protocol:      testProtocol{},
		Routes:        gw.routes,
		Directory:     gw.directory,
		Zones:         gw.zones,
		ColdSends:     gw.coldSends,
		Limits:        serverlimit.NewTable(),
		LimitedSends:  gw.limitedSends,
		LimitReporter: gw.limits,
		Notices:       servernotice.NewTable(),
		DrainReporter: gw.drains,
		Lost:          lostservers.NewTable(1),
		LossReporter:  gw.losses,
		Pool:          upstream.NewPool(r),
		Placer:        firstPlacer{placement.NewPlanner(ledger, 1, time.Now, nil)},
		Budget:        newRetryBudget(retrybudget.Options{Slack: 1000, Window: time.Minute}),
		Quarantine:    quarantine.NewTracker(QuarantineOptions()),
		Parts:         quarantine.NewPartTracker(quarantine.DefaultPartOptions),
		DeathReporter: gw.deaths,
		Log:           quiet.Logger(),
		Metrics:       r,
	})
	for i, handler := range servers {
		name := fmt.Sprintf("s%d", i+1)
		backend := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			gw.mu.Lock()
			gw.arrivalLog = append(gw.arrivalLog, name+" "+r.Header.Get(hID))
			gw.mu.Unlock()
			rw.Header().Set(hID, r.Header.Get(hID))
			handler(rw, r)
		}))
		t.Cleanup(backend.Close)
		gw.directory.Put(upstream.Server{Instance: name, Service: "s", Address: backend.Listener.Addr().String(), Capacity: 4})
	}
	gw.server = httptest.NewServer(gw.gateway)
	t.Cleanup(gw.server.Close)
	return gw
}

// sampleConfig has five routes on host h, all of service s with two attempts: /safe/ is
// idempotent, /once/ is not, /stream/ is a resumable stream, /whole/ is a stream that is
// not resumable, and /keyed/ needs a key.
func sampleConfig(revision uint64) routetable.Config {
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

// withSampleConfig puts the sample configuration in force.
func (gw *testGateway) withSampleConfig() *testGateway {
	gw.routes.Offer(routetable.New(sampleConfig(1)), *gw.clock)
	return gw
}

// send sends one request on a connection of its own and returns the response and its
// body.
func (gw *testGateway) send(method, path, body string, headers ...string) (*http.Response, string, error) {
	gw.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(gw.request(method, path, body, headers...))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response, string(got), err
}

// request returns a request for host h with the given headers.
func (gw *testGateway) request(method, path, body string, headers ...string) *http.Request {
	gw.t.Helper()
	r, err := http.NewRequest(method, gw.server.URL+path, strings.NewReader(body))
	if err != nil {
		gw.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(hID, "id-1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func (gw *testGateway) arrivals() string {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	return strings.Join(gw.arrivalLog, ", ")
}

func (gw *testGateway) wantArrivals(want string) {
	gw.t.Helper()
	if got := gw.arrivals(); got != want {
		gw.t.Errorf("arrivals %q, want %q", got, want)
	}
}

func wantStatus(t *testing.T, r *http.Response, err error, want int) {
	t.Helper()
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if r.StatusCode != want {
		t.Fatalf("status %d, want %d", r.StatusCode, want)
	}
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(hNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// dropConnection closes the connection without sending a byte of a response.
func dropConnection(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }

func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// streamEvents returns a handler that sends the events from to to. If truncated, it then
// breaks off in the middle of the next event.
func streamEvents(from, to int, truncated bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		}
		if !truncated {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", to+1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// newRetryBudget returns the budget of the only entry, which started long ago.
func newRetryBudget(o retrybudget.Options) *retrybudget.Budget {
	b := retrybudget.New(o, boottime.Now().Add(-time.Hour).Add(-o.Window))
	b.SetEntries(1, boottime.Now())
	return b
}
