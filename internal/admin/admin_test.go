package admin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/slo"
)

type fakeProcess struct {
	ready error
}

func (p *fakeProcess) Status() Status {
	return Status{Name: "entry-1", Zone: "hobart", Ready: true, ConfigRevision: 7, Servers: []ServerStatus{{Name: "b1", Running: 2}}}
}

func (p *fakeProcess) Ready() error { return p.ready }

func (p *fakeProcess) Drain(_ context.Context, name string) (DrainState, error) {
	if name != "entry-1" {
		return DrainState{}, errors.Annotatef(ErrUnknownName, "%q", name)
	}
	return DrainState{Name: name, Draining: true, Running: 3}, nil
}

func (p *fakeProcess) Snapshot(now time.Time) slo.Snapshot {
	t := slo.NewTracker(slo.Config{})
	t.Record(slo.Key{Workspace: "w", Objective: "o"}, false, time.Second, now)
	return t.Snapshot("entry-1", now)
}

func newTestClient(t *testing.T, c Config) *Client {
	t.Helper()
	server := httptest.NewServer(NewHandler(c))
	t.Cleanup(server.Close)
	return NewClient(server.URL)
}

func get(t *testing.T, c *Client, path string) (int, string) {
	t.Helper()
	resp, err := http.Get(c.Address() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func TestClientAndHandler(t *testing.T) {
	p := &fakeProcess{}
	c := newTestClient(t, Config{Status: p, Ready: p, Drain: p, SLO: p})
	ctx := context.Background()
	status, err := c.Status(ctx)
	if diff := cmp.Diff(p.Status(), status); diff != "" || err != nil {
		t.Errorf("status differs (-want +got): %s, error %v", diff, err)
	}
	state, err := c.Drain(ctx, "entry-1")
	if !state.Draining || state.Running != 3 || err != nil {
		t.Errorf("drain %+v, %v", state, err)
	}
	if _, err := c.Drain(ctx, "other"); !errors.Is(err, ErrUnknownName) {
		t.Errorf("drain of an unknown name: %v", err)
	}
	snap, err := c.SLO(ctx)
	if err != nil || len(snap.Series) != 1 || snap.Series[0].Latency.Count() != 1 {
		t.Errorf("slo %+v, %v", snap, err)
	}
}

// Guards against a load balancer that keeps sending requests to a draining entry.
// Such an entry is healthy but not ready; the fault occurs if one endpoint serves
// both, or if /readyz returns a status that the load balancer takes for success.
func TestDrainingProcessIsHealthyButNotReady(t *testing.T) {
	p := &fakeProcess{ready: errors.New("draining")}
	c := newTestClient(t, Config{Ready: p})
	if code, body := get(t, c, "/readyz"); code != http.StatusServiceUnavailable || !strings.Contains(body, "draining") {
		t.Errorf("readyz %d %s", code, body)
	}
	if code, _ := get(t, c, "/healthz"); code != http.StatusOK {
		t.Errorf("healthz %d", code)
	}
}

func TestMetricsAndPprof(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", r).Inc(5)
	c := newTestClient(t, Config{Metrics: r})
	if code, body := get(t, c, "/metrics"); code != http.StatusOK || !strings.Contains(body, "briarturn_requests_total 5\n") {
		t.Errorf("metrics %d %s", code, body)
	}
	if code, _ := get(t, c, "/debug/pprof/cmdline"); code != http.StatusNotFound {
		t.Errorf("pprof served by default: %d", code)
	}
	c = newTestClient(t, Config{Pprof: true})
	if code, _ := get(t, c, "/debug/pprof/cmdline"); code != http.StatusOK {
		t.Errorf("pprof not served although enabled: %d", code)
	}
}

func TestBadDrainBodyAndUnreachablePeer(t *testing.T) {
	p := &fakeProcess{}
	c := newTestClient(t, Config{Drain: p})
	for _, body := range []string{"{", `{"name":"` + strings.Repeat("x", maxRequestBytes) + `"}`} {
		resp, err := http.Post(c.Address()+"/drain", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	if _, err := NewClient(closed.URL).Status(context.Background()); !errors.Is(err, ErrUnavailable) {
		t.Errorf("unreachable peer: %v", err)
	}
}
