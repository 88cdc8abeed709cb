package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// promptEngine is an engine that reads a short prompt in a few milliseconds.
var promptEngine = &placement.EngineProfile{
	Capacity: 12, MemoryTokens: 200_000, Stride: 48, Chunk: 2048, StepTime: time.Millisecond, PrefillRate: 1e6,
}

// moveObjective is the first-token objective of the streams that may move.
const moveObjective = 200 * time.Millisecond

// withMoves makes streams that show nothing move, and changes the configuration if change isn't
// nil. Requests are placed on s1 first.
func (gw *testGateway) withMoves(change func(*routetable.Config)) *testGateway {
	ledger := placement.NewLedger(func(uint64) *placement.EngineProfile { return promptEngine })
	gw.gateway.cfg.Placer = firstPlacer{placement.NewPlanner(ledger, 1, time.Now, nil)}
	for _, s := range gw.directory.All() { // as if each had been a candidate
		ledger.Refused(placement.ServerKey(s.Instance), time.Time{})
	}
	gw.gateway.cfg.Options.Features = routetable.Features{SilentAttempts: routetable.SwitchOn}
	d := sampleConfig(1)
	d.Services = []routetable.Service{{Name: "s", Engine: promptEngine}}
	for i := range d.Routes {
		d.Routes[i].Objective = moveObjective
	}
	if change != nil {
		change(&d)
	}
	gw.routes.Offer(routetable.New(d), *gw.clock)
	return gw
}

// sendPrompt sends a short prompt.
func (gw *testGateway) sendPrompt(path string) (*http.Response, string, error) {
	return gw.send(http.MethodPost, path, "body", hPrompt, "2000", hTimeout, "15000")
}

// silent returns a handler that reads the request and never responds.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// silentAfterHead returns a handler that sends a response head and no event.
func silentAfterHead(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards against callers that wait on one server, whatever its forecast said, until they leave.
func TestStreamMovesFromServerThatShowsNothing(t *testing.T) {
	for name, mute := range map[string]http.HandlerFunc{"no head": silent, "no event": silentAfterHead} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t, mute, streamEvents(1, 3, false), streamEvents(1, 3, false)).withMoves(nil)
			r, text, err := gw.sendPrompt("/stream/")
			wantStatus(t, r, err, http.StatusOK)
			if text != eventText(1, 3) {
				t.Errorf("stream %q", text)
			}
			gw.wantArrivals("s1 id-1, s2 id-1")
			if moved := gw.gateway.counters.moved.Count(); moved != 1 {
				t.Errorf("%d moves counted", moved)
			}
			u := gw.gateway.cfg.Budget.Usage("s", boottime.Now())
			if u.Retries != 1 {
				t.Errorf("%d retries counted in the shared budget, want 1", u.Retries)
			}
		})
	}
}

// Guards against moves that the route, the shared budget or the rate of the entry doesn't allow:
// the stream stays with its server, which answers late.
func TestSilentStreamStaysWithinLimits(t *testing.T) {
	late := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(4 * moveObjective)
		streamEvents(1, 2, false)(w, r)
	}
	for _, c := range []struct {
		name, path string
		change     func(*routetable.Config)
		limit      func(*Gateway)
		denied     moveDenial
	}{
		{name: "feature off", path: "/stream/", limit: func(g *Gateway) { g.cfg.Options.Features.SilentAttempts = routetable.SwitchOff }},
		{name: "not resumable", path: "/whole/"},
		{name: "one attempt", path: "/stream/", change: func(d *routetable.Config) {
			for i := range d.Routes {
				d.Routes[i].MaxAttempts = 1
			}
		}},
		{name: "budget used up", path: "/stream/", denied: moveDeniedBudget, limit: func(g *Gateway) {
			g.cfg.Budget = newRetryBudget(retrybudget.Options{Window: time.Minute})
		}},
		{name: "rate used up", path: "/stream/", denied: moveDeniedRate, limit: func(g *Gateway) { g.moves = rate.NewLimiter(0, 0) }},
		{name: "others wait for room", path: "/stream/", denied: moveDeniedOverload, limit: func(g *Gateway) {
			g.cfg.Room = NewRoomQueue(nil)
			g.cfg.Room.pending.Add(1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t, late, respondWith("wrong server"), respondWith("wrong server")).withMoves(c.change)
			if c.limit != nil {
				c.limit(gw.gateway)
			}
			r, text, err := gw.sendPrompt(c.path)
			wantStatus(t, r, err, http.StatusOK)
			if text != eventText(1, 2) {
				t.Errorf("stream %q", text)
			}
			gw.wantArrivals("s1 id-1")
			for cause, n := range gw.gateway.counters.movesDenied {
				if denied := n.Count() > 0; denied != (cause == c.denied) && cause != moveDeniedOverload {
					t.Errorf("denied because of %s: %v", cause, denied)
				}
			}
		})
	}
}

// watchedAttempt returns an exchange with a watched attempt on a server of its own, as in the
// middle of a request.
func watchedAttempt(t *testing.T, gw *testGateway) (*exchange, *placedAttempt, context.Context) {
	t.Helper()
	table, _, _ := gw.routes.Table()
	e := &exchange{gateway: gw.gateway, incoming: gw.request(http.MethodPost, "/stream/", ""), startedAt: time.Now(), deadline: time.Now().Add(time.Minute)}
	e.incoming.RequestURI = "/stream/"
	e.route, _ = table.Route("h", "/stream/")
	e.service, _ = table.Service("s")
	e.info = RequestInfo{ID: "id-1", Prompt: Prompt{InputTokens: 2000}}
	e.stream, e.triedInstances = newStreamRelay(e), map[string]bool{}
	placed, decision := e.place()
	if decision != placement.Placed {
		t.Fatalf("decision %d", decision)
	}
	e.placedAt = time.Now()
	attempt := &placedAttempt{Placement: placed}
	ctx, stop := e.watchSilence(t.Context(), attempt)
	t.Cleanup(stop)
	return e, attempt, ctx
}

// Guards against events of the old server that reach the caller between those of the new one.
func TestNoEventOfTheOldServerAfterAMove(t *testing.T) {
	gw := newTestGateway(t, silent, silent, silent).withMoves(nil)
	e, attempt, ctx := watchedAttempt(t, gw)
	<-ctx.Done()
	if !movedAway(ctx) || requestEnded(ctx) {
		t.Fatalf("the attempt ended with %v", context.Cause(ctx))
	}
	response := &upstream.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(eventText(1, 1)))}
	next, _ := e.relayStream(ctx, attempt, response) // panics if it writes: the exchange has no writer
	if next != stepRetry || e.stream.events != 0 {
		t.Errorf("next step %d after %d events of the old server", next, e.stream.events)
	}
}

// Guards against an entry that was stopped for a moment and then moves streams whose events have
// arrived meanwhile.
func TestLateCheckDoesNotMove(t *testing.T) {
	gw := newTestGateway(t, silent, silent, silent).withMoves(nil)
	_, attempt, ctx := watchedAttempt(t, gw)
	w := attempt.watch
	w.mu.Lock()
	w.timer.Stop()
	w.mu.Unlock()
	time.Sleep(4 * moveObjective) // past the patience without evidence, and past maxCheckDelay
	w.check()
	if ctx.Err() != nil {
		t.Error("the attempt moved in a check that ran late")
	}
	<-ctx.Done() // the next check is in time
	if !movedAway(ctx) {
		t.Errorf("the attempt ended with %v", context.Cause(ctx))
	}
}

// Guards against a move while the first event is being relayed.
func TestRelayedEventEndsTheWatch(t *testing.T) {
	gw := newTestGateway(t, silent, silent, silent).withMoves(nil)
	_, attempt, ctx := watchedAttempt(t, gw)
	if !attempt.watch.end() {
		t.Fatal("the attempt has moved at once")
	}
	time.Sleep(4 * moveObjective)
	attempt.watch.check()
	if ctx.Err() != nil {
		t.Error("the attempt moved after its first event")
	}
}

// Guards against a stream that goes from server to server and costs the prefill of each.
func TestStreamMovesOncePerRequest(t *testing.T) {
	gw := newTestGateway(t, silent, silent, silent).withMoves(func(d *routetable.Config) {
		for i := range d.Routes {
			d.Routes[i].MaxAttempts = 4
		}
	})
	r, _, err := gw.send(http.MethodPost, "/stream/", "body", hPrompt, "2000", hTimeout, "2000")
	wantStatus(t, r, err, http.StatusGatewayTimeout)
	gw.wantArrivals("s1 id-1, s2 id-1")
}

// Guards against a caller that waits on a mute server for a part of its objective, however soon the
// server should have shown something.
func TestMoveFollowsTheForecastNotTheObjective(t *testing.T) {
	const objective = 10 * time.Second
	gw := newTestGateway(t, silent, streamEvents(1, 3, false), streamEvents(1, 3, false)).withMoves(func(d *routetable.Config) {
		for i := range d.Routes {
			d.Routes[i].Objective = objective
		}
	})
	begun := time.Now()
	r, text, err := gw.sendPrompt("/stream/")
	wantStatus(t, r, err, http.StatusOK)
	if text != eventText(1, 3) {
		t.Errorf("stream %q", text)
	}
	if took := time.Since(begun); took > objective/4 {
		t.Errorf("served after %v by a server that responds at once", took)
	}
}
