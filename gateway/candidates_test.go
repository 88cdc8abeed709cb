package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
)

// withZones gives the backend servers zones and regions in turn.
func (gw *testGateway) withZones(zones, regions []string) *testGateway {
	for _, s := range gw.directory.All() {
		i := int(s.Instance[1]-'1') % len(zones)
		s.Zone, s.Region = zones[i], regions[i]
		gw.directory.Put(s)
	}
	return gw
}

// withConfig puts the sample configuration with a change in force.
func (gw *testGateway) withConfig(change func(*routetable.Config)) *testGateway {
	d := sampleConfig(2)
	change(&d)
	gw.routes.Offer(routetable.New(d), *gw.clock)
	return gw
}

// wantReason checks that a response is a refusal with status 503, the given reason and
// the guarantee that the request has not run.
func wantReason(t *testing.T, r *http.Response, body string, err error, want Reason) {
	t.Helper()
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if !strings.Contains(body, string(want)) || !strings.Contains(body, "not_run") || r.Header.Get("Retry-After") == "" {
		t.Errorf("response %s, Retry-After %q", body, r.Header.Get("Retry-After"))
	}
}

// No new request is sent to a zone that operators have evacuated.
func TestEvacuatedZoneReceivesNoNewRequests(t *testing.T) {
	gw := newTestGateway(t, respondWith("a"), respondWith("b")).withSampleConfig().withZones([]string{"za", "zb"}, []string{"r", "r"})
	gw.zones.Begin("za")
	r, _, err := gw.send(http.MethodGet, "/safe/1", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.zones.End("za")
	gw.zones.Begin("zb")
	r, _, err = gw.send(http.MethodGet, "/safe/2", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s2 id-1, s1 id-1")
}

// A retry is not sent to a zone that was evacuated after the first attempt. The server
// that had the first attempt is not tried again instead.
func TestRetryAvoidsEvacuatedZone(t *testing.T) {
	var gw *testGateway
	gw = newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		gw.zones.Begin("zb")
		respondNotRun(rw, r)
	}, respondWith("b"), respondWith("c")).withSampleConfig().withZones([]string{"za", "zb", "zc"}, []string{"r", "r", "r"})
	r, _, err := gw.send(http.MethodGet, "/safe/1", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s1 id-1, s3 id-1")
}

// A stream that broke is not resumed in a zone that was evacuated while the stream ran.
// Streams that already run in such a zone continue.
func TestStreamIsNotResumedInAnEvacuatedZone(t *testing.T) {
	var gw *testGateway
	gw = newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		gw.zones.Begin("za")
		gw.zones.Begin("zb")
		streamEvents(1, 3, true)(rw, r)
	}, streamEvents(4, 6, false), streamEvents(4, 6, false)).withSampleConfig().withZones([]string{"za", "zb", "zc"}, []string{"r", "r", "r"})
	r, body, err := gw.send(http.MethodGet, "/stream/1", "")
	wantStatus(t, r, err, http.StatusOK)
	if body != eventText(1, 6) {
		t.Errorf("body %q", body)
	}
	gw.wantArrivals("s1 id-1, s3 id-1")
}

// If all servers are in evacuated zones, a request is refused at once and has not run.
func TestRefusedAtOnceWhenAllZonesAreEvacuated(t *testing.T) {
	gw := newTestGateway(t, respondWith("a"), respondWith("b")).withSampleConfig().withZones([]string{"za", "zb"}, []string{"r", "r"})
	gw.zones.Begin("za")
	gw.zones.Begin("zb")
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1"} {
		r, body, err := gw.send(http.MethodGet, path, "", hPrompt, "5000")
		wantReason(t, r, body, err, ReasonZoneEvacuated)
	}
	gw.wantArrivals("")
}

// An entry that has not received the list of evacuated zones refuses every request.
func TestRefusesAllBeforeEvacuatedZonesAreLoaded(t *testing.T) {
	gw := newTestGateway(t, respondWith("a")).withSampleConfig()
	gw.gateway.cfg.Zones = evacuation.NewZones(func() boottime.Instant { return *gw.clock })
	r, body, err := gw.send(http.MethodGet, "/safe/1", "")
	wantReason(t, r, body, err, ReasonNoConfig)
	gw.wantArrivals("")
}

// Guards against a request that reaches a server in a region which its route or its
// workspace does not allow: by the first attempt, by a retry, by a resumed stream, or
// because no server is left in the allowed regions.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	bound := func(d *routetable.Config) {
		for i := range d.Routes {
			d.Routes[i].Regions = routetable.Regions{"north", "west"}
		}
		d.Workspaces[0].Regions = routetable.Regions{"south", "west"}
	}
	zones := []string{"za", "zb", "zc"}
	regions := []string{"south", "north", "west"}
	t.Run("first attempt", func(t *testing.T) {
		gw := newTestGateway(t, respondWith("a"), respondWith("b"), respondWith("c")).withConfig(bound).withZones(zones, regions)
		r, _, err := gw.send(http.MethodGet, "/safe/1", "")
		wantStatus(t, r, err, http.StatusOK)
		r, _, err = gw.send(http.MethodGet, "/keyed/2", "", hKey, "k")
		wantStatus(t, r, err, http.StatusOK)
		gw.wantArrivals("s2 id-1, s3 id-1")
	})
	t.Run("retry", func(t *testing.T) {
		gw := newTestGateway(t, respondWith("a"), respondNotRun, respondNotRun).withConfig(bound).withZones(zones, regions)
		r, _, err := gw.send(http.MethodGet, "/safe/1", "")
		wantStatus(t, r, err, http.StatusServiceUnavailable)
		gw.wantArrivals("s2 id-1, s3 id-1")
	})
	t.Run("resumed stream", func(t *testing.T) {
		gw := newTestGateway(t, streamEvents(4, 6, false), streamEvents(1, 3, true), streamEvents(4, 6, false)).withConfig(bound).withZones(zones, regions)
		r, body, err := gw.send(http.MethodGet, "/stream/1", "")
		wantStatus(t, r, err, http.StatusOK)
		if body != eventText(1, 6) {
			t.Errorf("body %q", body)
		}
		gw.wantArrivals("s2 id-1, s3 id-1")
	})
	t.Run("no server left", func(t *testing.T) {
		gw := newTestGateway(t, respondWith("a"), respondWith("b")).withConfig(bound).withZones(zones[:2], regions[:2])
		r, body, err := gw.send(http.MethodGet, "/keyed/1", "", hKey, "k", hPrompt, "5000")
		wantReason(t, r, body, err, ReasonOutOfRegion)
		gw.wantArrivals("")
	})
}

// Guards against an entry that sends all its requests to a server that has just started
// and can handle only a few.
func TestColdServerRateIsLimited(t *testing.T) {
	cold := func(d *routetable.Config) { d.Services[0].ColdPerSecond = 2 }
	gw := newTestGateway(t, respondWith("a"), respondWith("b")).withConfig(cold)
	for _, s := range gw.directory.All() {
		if s.Instance == "s1" {
			s.ColdUntil = time.Now().Add(time.Hour)
			gw.directory.Put(s)
		}
	}
	for range 4 {
		r, _, err := gw.send(http.MethodGet, "/safe/1", "")
		wantStatus(t, r, err, http.StatusOK)
	}
	gw.wantArrivals("s1 id-1, s1 id-1, s2 id-1, s2 id-1")
	gw.directory.Remove("s2", time.Now())
	r, body, err := gw.send(http.MethodGet, "/safe/1", "")
	wantReason(t, r, body, err, ReasonServersCold)
}

// Guards against sending a cold server all requests that are placed on it at the same
// moment.
func TestColdServerLimitHoldsForConcurrentRequests(t *testing.T) {
	cold := func(d *routetable.Config) { d.Services[0].ColdPerSecond = 1 }
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	gw := newTestGateway(t, func(rw http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
	}).withConfig(cold)
	s := gw.directory.All()[0]
	s.ColdUntil = time.Now().Add(time.Hour)
	gw.directory.Put(s)
	statuses := make(chan int, 8)
	for range 8 {
		go func() {
			r, _, err := gw.send(http.MethodGet, "/once/1", "")
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- r.StatusCode
		}()
	}
	<-arrived
	for range 7 {
		if status := <-statuses; status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	}
	close(release)
	<-statuses
	if len(arrived) != 0 {
		t.Errorf("%d more requests reached the cold server", len(arrived))
	}
}

// evacuatingPlacer is a Placer during whose first call operators evacuate a zone.
type evacuatingPlacer struct {
	Placer
	begin func()
	once  sync.Once
}

func (p *evacuatingPlacer) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	place, answer := p.Placer.Place(q, candidates)
	p.once.Do(p.begin)
	return place, answer
}

// Guards against sending a request to a zone that was evacuated between its placement and
// its send.
func TestZoneIsCheckedAgainBeforeSend(t *testing.T) {
	gw := newTestGateway(t, respondWith("a"), respondWith("b")).withSampleConfig().withZones([]string{"za", "zb"}, []string{"r", "r"})
	gw.gateway.cfg.Placer = &evacuatingPlacer{Placer: gw.gateway.cfg.Placer, begin: func() { gw.zones.Begin("za") }}
	r, _, err := gw.send(http.MethodGet, "/once/1", "")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s2 id-1")
}
