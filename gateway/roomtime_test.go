package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"
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
			gw.placer.free(1)
			gw.gateway.cfg.Room.AttemptEnded("s", true)
			got := <-waiting
			wantStatus(t, got.response, got.err, http.StatusOK)
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
		gw.placer.free(1)
		gw.gateway.cfg.Room.AttemptEnded("s", true)
		time.Sleep(roomPollInterval)
	}
	for _, waiting := range []<-chan reply{first, second} {
		got := <-waiting
		wantStatus(t, got.response, got.err, http.StatusOK)
	}
	gw.wantArrivals("s1 first, s1 second")
}
