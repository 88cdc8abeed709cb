package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/workspace"
)

// callerTime is how long the callers of these tests wait for a response.
const callerTime = 2 * time.Second

// hTimeoutOf returns the header with which a caller names the time that it waits.
func hTimeoutOf(d time.Duration) []string {
	return []string{hTimeout, strconv.FormatInt(d.Milliseconds(), 10)}
}

// Guards against refusing callers at a share of their time, although room comes free while the
// work that is left still fits into the rest.
func TestRequestIsServedWheneverItsWorkStillFits(t *testing.T) {
	for tenths := 1; tenths <= 9; tenths++ {
		t.Run(fmt.Sprintf("room after %d tenths", tenths), func(t *testing.T) {
			t.Parallel()
			gw := newRoomGateway(t, 0)
			waiting := gw.sendWaiting("/safe/", hTimeoutOf(callerTime)...)
			time.Sleep(callerTime * time.Duration(tenths) / 10)
			gw.freeRoom()
			gw.wantServed(waiting)
			gw.wantArrivals("s1 id-1")
		})
	}
}

// Guards against holding callers when their work doesn't fit into the rest of their time any more,
// and against refusing them sooner.
func TestRequestIsRefusedOnceItsWorkDoesNotFit(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		work   time.Duration // of the engine of newRoomGateway, at least
	}{
		{"short prompt", 1_000, 10 * time.Millisecond},
		{"prompt of half the time", 100_000, callerTime / 2},
		{"prompt longer than the time", 300_000, callerTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gw := newRoomGateway(t, 0)
			begun := time.Now()
			r, body, err := gw.send(http.MethodPost, "/safe/", "body",
				append([]string{hPrompt, strconv.Itoa(c.tokens)}, hTimeoutOf(callerTime)...)...)
			took := time.Since(begun)
			gw.wantRefusal(reply{r, body, err}, http.StatusServiceUnavailable, ReasonDeadlineUnmeetable)
			const slack = 200 * time.Millisecond // other work on the machine of the test
			if latest := callerTime - c.work; took < latest-slack || took > latest+slack {
				t.Errorf("refused after %v, want %v", took, latest)
			}
			after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			if left := callerTime - took; err != nil || after <= 0 || after > max(left, DefaultRetryAfter).Seconds() {
				t.Errorf("Retry-After %q with %v left", r.Header.Get("Retry-After"), left)
			}
		})
	}
}

// Guards against callers that go first because they name less time than their route allows, as if
// they had been refused before: a guess, and one that a caller in no hurry can make come true.
func TestCallerThatNamesLessTimeDoesNotGoFirst(t *testing.T) {
	gw := newRoomGateway(t, 0)
	first := gw.sendWaiting("/safe/", hID, "first")
	second := gw.sendWaiting("/safe/", append(hTimeoutOf(10*time.Second), hID, "second")...)
	for range 2 {
		gw.freeRoom()
		time.Sleep(roomPollInterval)
	}
	for _, waiting := range []<-chan reply{first, second} {
		gw.wantServed(waiting)
	}
	gw.wantArrivals("s1 first, s1 second")
}

// firstThen returns a handler that passes its first request to one handler and the others to another.
func firstThen(one, others http.HandlerFunc) http.HandlerFunc {
	var arrived atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if arrived.Swap(true) {
			others(w, r)
			return
		}
		one(w, r)
	}
}

// Guards against a request that goes ahead of all that wait, into the queue of a full server, because
// it was sent before.
func TestRepeatWaitsForRoomLikeFirstTry(t *testing.T) {
	for name, failing := range map[string]http.HandlerFunc{"server lost": dropConnection, "server refused": respondNotRun} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := firstThen(failing, respondWith("ok"))
			gw := newRoomGateway(t, 1, server, server)
			waiting := gw.sendWaiting("/safe/")
			time.Sleep(callerTime / 4)
			if n := gw.timesSent(); n != 1 {
				t.Errorf("sent %d times without room, want 1", n)
			}
			gw.placer.free(1)
			gw.wantServed(waiting)
			if n := gw.timesSent(); n != 2 {
				t.Errorf("sent %d times, want 2", n)
			}
		})
	}
}

// Guards against a repeat that runs with a key which was removed while it waited, where a first try
// would be refused: its server has refused it, so nothing has run under the key.
func TestKeyIsCheckedAfterTheWaitOfARepeat(t *testing.T) {
	server := firstThen(respondNotRun, respondWith("ok"))
	gw := newRoomGateway(t, 1, server, server)
	waiting := gw.sendWaiting("/keyed/", hKey, "k")
	time.Sleep(callerTime / 10)
	config := sampleConfig(2)
	config.Services[0].Engine = promptEngine
	config.Keys = nil
	gw.routes.Offer(routetable.New(config), *gw.clock)
	gw.placer.free(1)
	got := <-waiting
	wantStatus(t, got.response, got.err, http.StatusUnauthorized)
	if n := gw.timesSent(); n != 1 {
		t.Errorf("sent %d times, want 1", n)
	}
}

// timesSent returns how many attempts have arrived at servers.
func (gw *roomGateway) timesSent() int {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	return len(gw.arrivalLog)
}

// Guards against a stream that is broken off when its server is lost, because its caller is taken for
// one that has had no event since it asked.
func TestResumedStreamWaitsWhileItsCallerDoes(t *testing.T) {
	const pause = 500 * time.Millisecond
	slow := func(w http.ResponseWriter, r *http.Request) {
		for i := range 5 { // for longer than a caller waits for an event
			streamEvents(i+1, i+1, false)(w, r)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
		panic(http.ErrAbortHandler)
	}
	server := firstThen(slow, streamEvents(6, 8, false))
	gw := newRoomGateway(t, 1, server, server)
	config := sampleConfig(2)
	config.Services[0].Engine = promptEngine
	for i := range config.Routes {
		config.Routes[i].Objective = pause
	}
	gw.routes.Offer(routetable.New(config), *gw.clock)
	waiting := gw.sendWaiting("/stream/")
	time.Sleep(6 * pause)
	gw.placer.free(1)
	got := gw.wantServed(waiting)
	if got.body != eventText(1, 8) {
		t.Errorf("stream %q", got.body)
	}
}

// Guards against telling a caller that is past its objective to stay away longer than until room is
// expected.
func TestLateCallerReturnsWhenRoomIsExpected(t *testing.T) {
	e := &exchange{
		gateway: &Gateway{cfg: Config{
			Room:    NewRoomQueue(func() workspace.Turns { return expectedTurns{} }),
			Options: Options{Features: routetable.Features{Queue: routetable.SwitchOn}},
		}},
		route:     &routetable.Route{Objective: time.Second},
		service:   &routetable.Service{Engine: promptEngine},
		startedAt: time.Now().Add(-2 * time.Second),
		deadline:  time.Now().Add(time.Minute),
	}
	e.info.Prompt.InputTokens = 1
	if got := e.roomRetryAfter(DefaultRetryAfter); got != expectedTurnDelay {
		t.Errorf("told to return after %v, room is expected after %v", got, expectedTurnDelay)
	}
}

// expectedTurnDelay is when expectedTurns expects room.
const expectedTurnDelay = 2 * time.Second

// expectedTurns is a queue that expects room after expectedTurnDelay.
type expectedTurns struct{ workspace.Turns }

func (expectedTurns) RetryAfter(workspace.Item) time.Duration { return expectedTurnDelay }

// Guards against prompts of the same length that wait in other queues, and so in another order, because
// their routes allow shorter pauses.
func TestPromptsOfOneLengthWaitTogether(t *testing.T) {
	classOfRoute := func(pause time.Duration) request.Class {
		e := &exchange{
			gateway: &Gateway{}, route: &routetable.Route{PauseObjective: pause}, service: &routetable.Service{Engine: promptEngine},
			incoming: httptest.NewRequest(http.MethodPost, "/", nil), startedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		}
		e.info.Prompt.InputTokens = 5_000
		return e.queueItem().Class
	}
	if short, long := classOfRoute(250*time.Millisecond), classOfRoute(time.Second); short != long {
		t.Errorf("classes %s and %s", short.Name(), long.Name())
	}
}
