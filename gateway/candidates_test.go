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

// inZones gives the servers of a world zones and regions in turn.
func (w *world) inZones(zones, regions []string) *world {
	for _, s := range w.directory.All() {
		i := int(s.Instance[1]-'1') % len(zones)
		s.Zone, s.Region = zones[i], regions[i]
		w.directory.Put(s)
	}
	return w
}

// with puts a changed sample configuration in force.
func (w *world) with(change func(*routetable.Config)) *world {
	d := declared(2)
	change(&d)
	w.routes.Offer(routetable.New(d), *w.clock)
	return w
}

// wantReason checks a refusal's status, reason and promise.
func wantReason(t *testing.T, r *http.Response, body string, err error, want Reason) {
	t.Helper()
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if !strings.Contains(body, string(want)) || !strings.Contains(body, "not_run") || r.Header.Get("Retry-After") == "" {
		t.Errorf("answer %s, Retry-After %q", body, r.Header.Get("Retry-After"))
	}
}

// Nothing new goes to a zone that operators have evacuated.
func TestEvacuatedZoneGetsNothingNew(t *testing.T) {
	w := newWorld(t, answers("a"), answers("b")).configured().inZones([]string{"za", "zb"}, []string{"r", "r"})
	w.zones.Begin("za")
	r, _, err := w.ask(http.MethodGet, "/safe/1", "")
	wantStatus(t, r, err, http.StatusOK)
	w.zones.End("za")
	w.zones.Begin("zb")
	r, _, err = w.ask(http.MethodGet, "/safe/2", "")
	wantStatus(t, r, err, http.StatusOK)
	w.wantArrivals("s2 id-1, s1 id-1")
}

// A retry doesn't go to a zone that was evacuated after the first attempt, and a server that
// had an attempt isn't asked again in its place.
func TestRetryLeavesAnEvacuatedZoneAlone(t *testing.T) {
	var w *world
	w = newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		w.zones.Begin("zb")
		refuses(rw, r)
	}, answers("b"), answers("c")).configured().inZones([]string{"za", "zb", "zc"}, []string{"r", "r", "r"})
	r, _, err := w.ask(http.MethodGet, "/safe/1", "")
	wantStatus(t, r, err, http.StatusOK)
	w.wantArrivals("s1 id-1, s3 id-1")
}

// A stream that broke isn't resumed in a zone that was evacuated while it ran; what runs in
// such a zone goes on.
func TestStreamIsNotResumedInAnEvacuatedZone(t *testing.T) {
	var w *world
	w = newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		w.zones.Begin("za")
		w.zones.Begin("zb")
		events(1, 3, true)(rw, r)
	}, events(4, 6, false), events(4, 6, false)).configured().inZones([]string{"za", "zb", "zc"}, []string{"r", "r", "r"})
	r, body, err := w.ask(http.MethodGet, "/stream/1", "")
	wantStatus(t, r, err, http.StatusOK)
	if body != wantEvents(1, 6) {
		t.Errorf("body %q", body)
	}
	w.wantArrivals("s1 id-1, s3 id-1")
}

// With all servers in evacuated zones a request is refused at once, and has not run.
func TestRefusedAtOnceWhereAllZonesAreEvacuated(t *testing.T) {
	w := newWorld(t, answers("a"), answers("b")).configured().inZones([]string{"za", "zb"}, []string{"r", "r"})
	w.zones.Begin("za")
	w.zones.Begin("zb")
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1"} {
		r, body, err := w.ask(http.MethodGet, path, "", hPrompt, "5000")
		wantReason(t, r, body, err, ReasonZoneEvacuated)
	}
	w.wantArrivals("")
}

// An entry that hasn't heard which zones are evacuated serves nobody.
func TestServesNobodyBeforeItKnowsTheEvacuatedZones(t *testing.T) {
	w := newWorld(t, answers("a")).configured()
	w.gateway.cfg.Zones = evacuation.NewZones(func() boottime.Instant { return *w.clock })
	r, body, err := w.ask(http.MethodGet, "/safe/1", "")
	wantReason(t, r, body, err, ReasonNoConfig)
	w.wantArrivals("")
}

// A request reaches a server in a region that its route or its workspace doesn't allow: by the
// first attempt, a retry, a resumed stream, or because none is left in the others.
func TestRequestsStayInTheirRegions(t *testing.T) {
	bound := func(d *routetable.Config) {
		for i := range d.Routes {
			d.Routes[i].Regions = routetable.Regions{"north", "west"}
		}
		d.Workspaces[0].Regions = routetable.Regions{"south", "west"}
	}
	zones := []string{"za", "zb", "zc"}
	regions := []string{"south", "north", "west"}
	t.Run("first attempt", func(t *testing.T) {
		w := newWorld(t, answers("a"), answers("b"), answers("c")).with(bound).inZones(zones, regions)
		r, _, err := w.ask(http.MethodGet, "/safe/1", "")
		wantStatus(t, r, err, http.StatusOK)
		r, _, err = w.ask(http.MethodGet, "/keyed/2", "", hKey, "k")
		wantStatus(t, r, err, http.StatusOK)
		w.wantArrivals("s2 id-1, s3 id-1")
	})
	t.Run("retry", func(t *testing.T) {
		w := newWorld(t, answers("a"), refuses, refuses).with(bound).inZones(zones, regions)
		r, _, err := w.ask(http.MethodGet, "/safe/1", "")
		wantStatus(t, r, err, http.StatusServiceUnavailable)
		w.wantArrivals("s2 id-1, s3 id-1")
	})
	t.Run("resumed stream", func(t *testing.T) {
		w := newWorld(t, events(4, 6, false), events(1, 3, true), events(4, 6, false)).with(bound).inZones(zones, regions)
		r, body, err := w.ask(http.MethodGet, "/stream/1", "")
		wantStatus(t, r, err, http.StatusOK)
		if body != wantEvents(1, 6) {
			t.Errorf("body %q", body)
		}
		w.wantArrivals("s2 id-1, s3 id-1")
	})
	t.Run("none there", func(t *testing.T) {
		w := newWorld(t, answers("a"), answers("b")).with(bound).inZones(zones[:2], regions[:2])
		r, body, err := w.ask(http.MethodGet, "/keyed/1", "", hKey, "k", hPrompt, "5000")
		wantReason(t, r, body, err, ReasonOutOfRegion)
		w.wantArrivals("")
	})
}

// All requests of an entry go to a server that has just started, which bears few.
func TestColdServerGetsItsShareOnly(t *testing.T) {
	cold := func(d *routetable.Config) { d.Services[0].ColdPerSecond = 2 }
	w := newWorld(t, answers("a"), answers("b")).with(cold)
	for _, s := range w.directory.All() {
		if s.Instance == "s1" {
			s.ColdUntil = time.Now().Add(time.Hour)
			w.directory.Put(s)
		}
	}
	for range 4 {
		r, _, err := w.ask(http.MethodGet, "/safe/1", "")
		wantStatus(t, r, err, http.StatusOK)
	}
	w.wantArrivals("s1 id-1, s1 id-1, s2 id-1, s2 id-1")
	w.directory.Remove("s2", time.Now())
	r, body, err := w.ask(http.MethodGet, "/safe/1", "")
	wantReason(t, r, body, err, ReasonServersCold)
}

// Requests that are placed on a cold server at the same moment are all sent there.
func TestShareOfAColdServerIsTakenOnce(t *testing.T) {
	cold := func(d *routetable.Config) { d.Services[0].ColdPerSecond = 1 }
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	w := newWorld(t, func(rw http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
	}).with(cold)
	s := w.directory.All()[0]
	s.ColdUntil = time.Now().Add(time.Hour)
	w.directory.Put(s)
	statuses := make(chan int, 8)
	for range 8 {
		go func() {
			r, _, err := w.ask(http.MethodGet, "/once/1", "")
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
		t.Errorf("%d more reached the cold server", len(arrived))
	}
}

// evacuates is a Placer during whose first choice operators evacuate a zone.
type evacuates struct {
	Placer
	begin func()
	once  sync.Once
}

func (p *evacuates) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	place, answer := p.Placer.Place(q, candidates)
	p.once.Do(p.begin)
	return place, answer
}

// A request goes to a zone that was evacuated between its placement and its send.
func TestZoneIsLookedAtOnceMoreBeforeTheSend(t *testing.T) {
	w := newWorld(t, answers("a"), answers("b")).configured().inZones([]string{"za", "zb"}, []string{"r", "r"})
	w.gateway.cfg.Placer = &evacuates{Placer: w.gateway.cfg.Placer, begin: func() { w.zones.Begin("za") }}
	r, _, err := w.ask(http.MethodGet, "/once/1", "")
	wantStatus(t, r, err, http.StatusOK)
	w.wantArrivals("s2 id-1")
}
