package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/workspace"
)

// slotPlacer has room for a number of requests and counts how often it is asked.
type slotPlacer struct {
	planner *placement.Planner

	mu    sync.Mutex
	slots int
	asked int
}

func (p *slotPlacer) Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if len(candidates) == 0 {
		return placement.Placement{}, placement.NoCapacity
	}
	if p.slots == 0 && q.MayWait {
		return placement.Placement{}, placement.NoRoom
	}
	p.slots--
	q.Engine = nil
	return p.planner.Place(q, candidates)
}

func (p *slotPlacer) free(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots += n
}

func (p *slotPlacer) timesAsked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// roomGateway is a test gateway whose requests wait for the slots of a slotPlacer.
type roomGateway struct {
	*testGateway
	test   *testing.T
	placer *slotPlacer
	queue  *workspace.Scheduler
}

// newRoomGateway starts one in front of servers with the given handlers, or of one that serves.
func newRoomGateway(t *testing.T, slots int, servers ...http.HandlerFunc) *roomGateway {
	t.Helper()
	if len(servers) == 0 {
		servers = append(servers, respondWith("ok"))
	}
	gw := newTestGateway(t, servers...)
	config := sampleConfig(1)
	config.Services[0].Engine = &placement.EngineProfile{Capacity: 4, StepTime: time.Millisecond, Stride: 1, PrefillRate: 100_000}
	gw.routes.Offer(routetable.New(config), *gw.clock)
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return nil })
	r := &roomGateway{
		testGateway: gw,
		test:        t,
		placer:      &slotPlacer{planner: placement.NewPlanner(ledger, 1, time.Now, nil), slots: slots},
		queue:       workspace.NewScheduler(workspace.Options{}),
	}
	gw.gateway.cfg.Placer = r.placer
	gw.gateway.cfg.Room = NewRoomQueue(func() workspace.Turns { return r.queue })
	gw.gateway.cfg.Options.Features = routetable.Features{Queue: routetable.SwitchOn}
	return r
}

// reply is the response to a request that was sent in the background.
type reply struct {
	response *http.Response
	body     string
	err      error
}

// sendWaiting sends a prompt and returns when it waits for room.
func (gw *roomGateway) sendWaiting(path string, headers ...string) <-chan reply {
	gw.t.Helper()
	out := make(chan reply, 1)
	before := gw.placer.timesAsked()
	go func() {
		r, body, err := gw.send(http.MethodPost, path, "body", append([]string{hPrompt, "1000"}, headers...)...)
		out <- reply{r, body, err}
	}()
	for gw.placer.timesAsked() == before {
		time.Sleep(time.Millisecond)
	}
	return out
}

// freeRoom frees a slot and says so, as the end of an attempt of this entry does.
func (gw *roomGateway) freeRoom() {
	gw.placer.free(1)
	gw.gateway.cfg.Room.AttemptEnded("s", true)
}

// wantServed waits for the response of a waiting request.
func (gw *roomGateway) wantServed(waiting <-chan reply) reply {
	gw.t.Helper()
	got := <-waiting
	wantStatus(gw.test, got.response, got.err, http.StatusOK)
	return got
}

func (gw *roomGateway) wantRefusal(r reply, status int, reason Reason) {
	gw.t.Helper()
	wantStatus(gw.test, r.response, r.err, status)
	if !strings.Contains(r.body, string(reason)) {
		gw.t.Errorf("body %q, want %s", r.body, reason)
	}
	gw.wantArrivals("")
}

// Guards against requests that queue on full servers, and against room that nobody takes.
func TestRequestWaitsUntilRoomIsFreed(t *testing.T) {
	gw := newRoomGateway(t, 0)
	waiting := gw.sendWaiting("/safe/")
	gw.wantArrivals("")
	gw.freeRoom()
	gw.wantServed(waiting)
	gw.wantArrivals("s1 id-1")
	if gw.gateway.cfg.Room.Pending() {
		t.Error("a request is still waiting")
	}
	if w, running := gw.queue.Depth(); w+running != 0 {
		t.Errorf("%d wait and %d run after the response", w, running)
	}
}

// Guards against a queue that only the end of an attempt moves on: the entry that it was sent by
// may have died, or a server was added.
func TestRoomOfOthersIsFound(t *testing.T) {
	gw := newRoomGateway(t, 0)
	waiting := gw.sendWaiting("/safe/")
	gw.placer.free(1)
	gw.gateway.cfg.Room.AttemptEnded("s", false)
	gw.wantServed(waiting)
	waiting = gw.sendWaiting("/safe/", hID, "id-2")
	gw.placer.free(1) // no news of it
	gw.wantServed(waiting)
}

// Guards against a key that is removed while its request waits, and works all the same.
func TestKeyIsCheckedAfterTheWait(t *testing.T) {
	gw := newRoomGateway(t, 0)
	waiting := gw.sendWaiting("/keyed/", hKey, "k")
	config := sampleConfig(2)
	config.Keys = nil
	gw.routes.Offer(routetable.New(config), *gw.clock)
	gw.placer.free(1)
	gw.wantRefusal(<-waiting, http.StatusUnauthorized, ReasonUnknownKey)
}

// Guards against callers that a shutdown holds until they leave.
func TestShutdownRefusesThoseThatWait(t *testing.T) {
	gw := newRoomGateway(t, 0)
	waiting := gw.sendWaiting("/safe/")
	gw.gateway.BeginShutdown(time.Now().Add(shutdownTime))
	gw.gateway.RefuseLate()
	gw.wantRefusal(<-waiting, http.StatusServiceUnavailable, ReasonShuttingDown)
}

// Guards against callers that are held until the end of a grace period so short that all requests are
// refused at once.
func TestRefusalOfAllRefusesThoseThatWait(t *testing.T) {
	gw := newRoomGateway(t, 0)
	waiting := gw.sendWaiting("/safe/")
	gw.gateway.BeginShutdown(time.Now().Add(shutdownTime))
	gw.gateway.RefuseAll()
	gw.wantRefusal(<-waiting, http.StatusServiceUnavailable, ReasonShuttingDown)
}

// Guards against refusing callers that wait for room though they can still be served in time.
func TestShutdownServesThoseThatWaitAndHaveTime(t *testing.T) {
	gw := newRoomGateway(t, 0)
	waiting := gw.sendWaiting("/safe/", hTimeout, strconv.FormatInt(shutdownTime.Milliseconds(), 10))
	gw.gateway.BeginShutdown(time.Now().Add(2 * shutdownTime))
	gw.gateway.RefuseLate()
	gw.freeRoom()
	gw.wantServed(waiting)
	gw.wantArrivals("s1 id-1")
}

// Guards against requests that go to an evacuated zone, or are held, because they waited.
func TestEvacuationRefusesThoseThatWait(t *testing.T) {
	gw := newRoomGateway(t, 0)
	server := gw.directory.All()[0]
	server.Zone = "z1"
	gw.directory.Put(server)
	waiting := gw.sendWaiting("/safe/")
	gw.zones.Replace([]string{"z1"}, *gw.clock)
	gw.placer.free(1)
	gw.wantRefusal(<-waiting, http.StatusServiceUnavailable, ReasonZoneEvacuated)
}

// Guards against a queue in front of services that don't ask for one.
func TestRequestsDoNotWaitWithoutTheFeature(t *testing.T) {
	gw := newRoomGateway(t, 0)
	gw.gateway.cfg.Options.Features = routetable.Features{Queue: routetable.SwitchOff}
	r, _, err := gw.send(http.MethodPost, "/safe/", "body", hPrompt, "1000")
	wantStatus(t, r, err, http.StatusOK)
	if n := gw.placer.timesAsked(); n != 1 {
		t.Errorf("the placer was asked %d times", n)
	}
}
