package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
)

// sharingLosses puts the sample configuration in force, and switches the feature on. The clock of the
// evidence stands still, so that none expires on a slow machine.
func (gw *testGateway) sharingLosses() *testGateway {
	c := sampleConfig(1)
	c.Services[0].Engine = &placement.EngineProfile{}
	gw.routes.Offer(routetable.New(c), *gw.clock)
	gw.gateway.cfg.Options.Features.LostServers = routetable.SwitchOn
	gw.lostNow.Store(int64(time.Hour))
	gw.gateway.lostClock = func() boottime.Instant { return boottime.Instant(gw.lostNow.Load()) }
	return gw
}

// addLostServers registers servers at addresses that refuse connections, which the placer
// prefers to all others.
func (gw *testGateway) addLostServers(n int) []servernotice.Server {
	gw.t.Helper()
	var out []servernotice.Server
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			gw.t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		s := upstream.Server{Instance: fmt.Sprintf("lost%d", i), Service: "s", Address: address, StartedUnixMs: 1000, Capacity: 4}
		gw.directory.Put(s)
		out = append(out, servernotice.ServerOf(s.Instance, s.StartedUnixMs))
	}
	return out
}

// merge records what another entry reports.
func (gw *testGateway) merge(source lostservers.Source, kind lostservers.Kind, servers []servernotice.Server) {
	now := gw.gateway.lostClock()
	for _, s := range servers {
		gw.gateway.cfg.Lost.Merge(source, lostservers.Evidence{Server: s, Kind: kind, SeenAt: now}, now)
	}
}

// lostServers returns the registered servers that count as lost.
func (gw *testGateway) lostServers() []lostservers.Status {
	var servers []servernotice.Server
	for _, s := range gw.directory.All() {
		servers = append(servers, servernotice.ServerOf(s.Instance, s.StartedUnixMs))
	}
	return gw.gateway.cfg.Lost.Lost(servers, gw.gateway.lostClock())
}

// respondingServers returns n servers that respond.
func respondingServers(n int) []http.HandlerFunc {
	out := make([]http.HandlerFunc, n)
	for i := range out {
		out[i] = respondWith("ok")
	}
	return out
}

func (gw *testGateway) failedDials() int64 {
	return gw.gateway.counters.losses.seen[lostservers.Refused].Count()
}

// Guards against requests that are refused after failed attempts to connect to servers that
// another entry knows to be down. The load: 20 requests while 8 of 18 servers are down.
func TestRequestsAvoidServersThatAnotherEntryFoundLost(t *testing.T) {
	gw := newTestGateway(t, respondingServers(10)...).sharingLosses()
	gw.merge(lostservers.Source{Entry: 2}, lostservers.Refused, gw.addLostServers(8))
	var requests sync.WaitGroup
	for range 20 {
		requests.Go(func() {
			r, _, err := gw.send(http.MethodPost, "/once/", "body")
			if err != nil || r.StatusCode != http.StatusOK {
				t.Errorf("response %v, error %v", r, err)
			}
		})
	}
	requests.Wait()
	if got := gw.failedDials(); got != 0 {
		t.Errorf("%d failed attempts to connect", got)
	}
	if len(gw.losses.list) != 0 {
		t.Errorf("reported %v, which another entry has seen", gw.losses.list)
	}
}

// Guards against a feature that changes where it is off.
func TestEvidenceIsNeitherUsedNorSharedWhereOff(t *testing.T) {
	gw := newTestGateway(t, respondingServers(2)...).sharingLosses()
	gw.gateway.cfg.Options.Features.LostServers = routetable.SwitchOff
	gw.merge(lostservers.Source{Entry: 2}, lostservers.Refused, gw.addLostServers(1))
	for range 2 {
		r, _, err := gw.send(http.MethodPost, "/once/", "body")
		wantStatus(t, r, err, http.StatusOK)
	}
	gw.wantArrivals("s1 id-1, s1 id-1")
	if got := gw.gateway.counters.attempts.Count(); got != 4 {
		t.Errorf("%d attempts, want 4: the lost server is tried by each request", got)
	}
	if gw.failedDials() != 0 || len(gw.losses.list) != 0 {
		t.Error("evidence is recorded")
	}
}

// Guards against other entries that find a server by themselves which this one has found lost.
func TestRefusedConnectionIsReportedOnce(t *testing.T) {
	gw := newTestGateway(t, respondingServers(3)...).sharingLosses()
	lost := gw.addLostServers(1)
	for range 3 {
		r, _, err := gw.send(http.MethodPost, "/once/", "body")
		wantStatus(t, r, err, http.StatusOK)
	}
	if got := gw.failedDials(); got != 1 {
		t.Errorf("%d failed attempts to connect, want 1", got)
	}
	if got := gw.losses.list; len(got) != 1 || got[0].Server != lost[0] || got[0].Kind != lostservers.Refused {
		t.Errorf("reported %+v", got)
	}
}

// Guards against a limit on failed attempts to connect that is reached where servers are left.
// The load: 5 servers are down, nobody knows, and the placer prefers them.
func TestRequestIsServedAfterItsEntryHasFoundLostServers(t *testing.T) {
	gw := newTestGateway(t, respondingServers(6)...).sharingLosses()
	gw.addLostServers(DefaultConnectTries + 1)
	r, _, err := gw.send(http.MethodPost, "/once/", "body") // uses up its attempts
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	r, _, err = gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if got := gw.failedDials(); got != DefaultConnectTries+1 {
		t.Errorf("%d failed attempts to connect, want one for each lost server", got)
	}
}

// Guards against refusing requests because all servers count as lost.
func TestRequestIsSentWhereAllServersCountAsLost(t *testing.T) {
	gw := newTestGateway(t, respondingServers(1)...).sharingLosses()
	for entry := range uint64(3) {
		gw.merge(lostservers.Source{Entry: 2 + entry}, lostservers.Refused, []servernotice.Server{servernotice.ServerOf("s1", 0)})
	}
	r, _, err := gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusOK)
}

// Guards against excluding the next server at the address of one that is lost.
func TestNextServerAtAddressIsUsed(t *testing.T) {
	gw := newTestGateway(t, respondingServers(3)...).sharingLosses()
	first, _ := gw.directory.Lookup("s1")
	gw.merge(lostservers.Source{Entry: 2}, lostservers.Refused, []servernotice.Server{servernotice.ServerOf("s1", 0)})
	gw.directory.Remove("s1", time.Now())
	first.Instance = "s0"
	gw.directory.Put(first)
	r, _, err := gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s1 id-1") // the name of the handler at the address
}

// Guards against a server that has restarted under its name and gets no requests.
func TestRestartedServerIsUsed(t *testing.T) {
	gw := newTestGateway(t, respondingServers(3)...).sharingLosses()
	gw.registerAgain("s1", 1000)
	gw.merge(lostservers.Source{Entry: 2}, lostservers.Refused, []servernotice.Server{servernotice.ServerOf("s1", 1000)})
	r, _, err := gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusOK)
	gw.registerAgain("s1", 2000)
	r, _, err = gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusOK)
	gw.wantArrivals("s2 id-1, s1 id-1")
}

// Guards against moving a running stream because other entries can't reach its server, and against
// excluding a server whose events arrive.
func TestRunningStreamIsNotAffected(t *testing.T) {
	proceed := make(chan struct{})
	first := func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 1, false)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_, _ = io.WriteString(w, eventText(2, 2))
	}
	gw := newTestGateway(t, append([]http.HandlerFunc{first}, respondingServers(2)...)...).sharingLosses()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(gw.request(http.MethodPost, "/stream/", "body"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	s1 := servernotice.ServerOf("s1", 0)
	gw.merge(lostservers.Source{Entry: 2}, lostservers.Refused, []servernotice.Server{s1})
	if got := gw.lostServers(); len(got) != 1 || got[0].Server != s1 || got[0].Sources[0] != 2 {
		t.Errorf("lost %+v", got)
	}
	gw.lostNow.Add(int64(time.Second)) // what the server sends now was not on its way
	time.Sleep(lifeInterval)
	close(proceed)
	got, err := io.ReadAll(response.Body)
	if err != nil || string(got) != eventText(1, 2) {
		t.Errorf("%q, error %v", got, err)
	}
	if got := gw.lostServers(); len(got) != 0 {
		t.Errorf("lost %+v although its events arrive", got)
	}
	gw.wantArrivals("s1 id-1")
}

// Guards against a server that counts as lost because it closed the connection of one request.
func TestServerThatBreaksOneAttemptIsNotLost(t *testing.T) {
	gw := newTestGateway(t, append([]http.HandlerFunc{dropConnection}, respondingServers(2)...)...).sharingLosses()
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if got := gw.lostServers(); len(got) != 0 || len(gw.losses.list) != 0 {
		t.Errorf("lost %+v, reported %+v", got, gw.losses.list)
	}
}

// Guards against entries that each pay for the discovery of the same lost servers. The load: five
// servers are down; one entry finds them, and the other has the next request.
func TestOtherEntryServesAtFirstAttempt(t *testing.T) {
	first, second := newTestGateway(t, respondingServers(6)...).sharingLosses(), newTestGateway(t).sharingLosses()
	first.addLostServers(DefaultConnectTries + 1)
	for _, s := range first.directory.All() {
		second.directory.Put(s)
	}
	for range 2 { // the first request uses up its attempts
		_, _, err := first.send(http.MethodPost, "/once/", "body")
		if err != nil {
			t.Fatal(err)
		}
	}
	now := second.gateway.lostClock()
	for _, e := range first.losses.list {
		second.gateway.cfg.Lost.Merge(lostservers.Source{Entry: 2}, e, now)
	}
	r, _, err := second.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if got := second.gateway.counters.attempts.Count(); got != 1 {
		t.Errorf("%d attempts, want 1", got)
	}
}

// Guards against a request that meets one server after another that is still down, because the
// evidence on all of them is about to expire.
func TestRequestTriesOneServerAtMost(t *testing.T) {
	gw := newTestGateway(t, respondingServers(6)...).sharingLosses()
	gw.merge(lostservers.Source{Entry: 2}, lostservers.Refused, gw.addLostServers(DefaultConnectTries))
	gw.lostNow.Add(int64(time.Second))
	r, _, err := gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if got := gw.failedDials(); got != 1 {
		t.Errorf("%d failed attempts to connect, want 1", got)
	}
}

// Guards against sending several requests to a server of which it isn't known whether it is back, and
// against excluding one that has responded.
func TestOtherRequestsStayAwayDuringTrial(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	first := func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-proceed
		_, _ = io.WriteString(w, "ok")
	}
	gw := newTestGateway(t, append([]http.HandlerFunc{first}, respondingServers(2)...)...).sharingLosses()
	gw.merge(lostservers.Source{Entry: 2}, lostservers.Refused, []servernotice.Server{servernotice.ServerOf("s1", 0)})
	gw.lostNow.Add(int64(time.Second))
	var trial sync.WaitGroup
	trial.Go(func() {
		r, _, err := gw.send(http.MethodPost, "/once/", "body", hID, "trial")
		if err != nil || r.StatusCode != http.StatusOK {
			t.Errorf("response %v, error %v", r, err)
		}
	})
	<-arrived
	r, _, err := gw.send(http.MethodPost, "/once/", "body", hID, "other")
	wantStatus(t, r, err, http.StatusOK)
	close(proceed)
	trial.Wait()
	gw.wantArrivals("s1 trial, s2 other")
	if got := gw.lostServers(); len(got) != 0 {
		t.Errorf("lost %+v after its response", got)
	}
}

// Guards against entries that learn of a crash only from those that connect to the server afterwards.
func TestCrashUnderRequestIsReported(t *testing.T) {
	gw := newTestGateway(t, respondingServers(2)...).sharingLosses()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	crash := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = listener.Close()
		closeConnection(w)
	})}
	go func() { _ = crash.Serve(listener) }()
	gw.directory.Put(upstream.Server{Instance: "crashing", Service: "s", Address: listener.Addr().String(), Capacity: 4})
	r, _, err := gw.send(http.MethodPost, "/safe/", "body")
	wantStatus(t, r, err, http.StatusOK)
	if got := gw.losses.list; len(got) != 1 || got[0].Kind != lostservers.Refused || got[0].Server != servernotice.ServerOf("crashing", 0) {
		t.Errorf("reported %+v", got)
	}
}

// refusingEngines can't connect to any engine.
type refusingEngines struct{ reservation.EngineClient }

func (refusingEngines) Reserve(context.Context, reservation.Engine, string, int, time.Duration) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

func (refusingEngines) Release(context.Context, reservation.Engine, string) error { return nil }

// holdingPlacer places as firstPlacer does, with the server as the holder of the prompt.
type holdingPlacer struct{ Placer }

func (p holdingPlacer) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	placed, decision := p.Placer.Place(q, candidates)
	placed.Holders = []placement.Candidate{placed.Server}
	return placed, decision
}

// Guards against long prompts that fail one after the other at a holder that is down.
func TestHolderThatRefusesConnectionsIsReported(t *testing.T) {
	gw := newTestGateway(t, respondingServers(3)...).sharingLosses()
	gw.gateway.cfg.Placer = holdingPlacer{gw.gateway.cfg.Placer}
	gw.gateway.cfg.Reserver = reservation.New(refusingEngines{}, 1, quiet.Logger(), metrics.NewRegistry())
	r, _, err := gw.send(http.MethodPost, "/once/", "body")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if got := gw.losses.list; len(got) == 0 || got[0].Server != servernotice.ServerOf("s1", 0) || got[0].Kind != lostservers.Refused {
		t.Errorf("reported %+v", got)
	}
	gw.gateway.cfg.Reserver.Wait()
}
