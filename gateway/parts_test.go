package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarturn/briarturn/quarantine"
)

// partDeathLimit is the number of servers that may die under requests with one part of their prompts,
// if each request is sent after the death before: five, and three more that were sent meanwhile.
const partDeathLimit = 8

// crashWithPart offers servers one after the other to different requests with the same parts, and
// returns how many of the servers were reached. Each server sends partial and ends.
func (gw *testGateway) crashWithPart(offered int, path, partial, parts string) (reached int) {
	gw.t.Helper()
	for i := range offered {
		m := startMortalServer(gw.t.(*testing.T), partial, atOnce())
		instance := fmt.Sprint("killed-", i, time.Now().UnixNano())
		gw.put(instance, m.listener.Addr().String())
		_, _, _ = gw.send(http.MethodPost, path, fmt.Sprint("body ", i), hParts, parts, hID, instance) // the response differs by case
		gw.directory.Remove(instance, time.Now())
		if m.reached() {
			reached++
		}
	}
	return reached
}

// Guards against requests that are sent on though they share a part of their prompts under which
// server after server died, because no two of them are alike.
func TestPromptPartThatKillsServersIsRefused(t *testing.T) {
	for _, c := range []struct{ name, path, partial, parts, sound string }{
		{"head", "/once/", "", "a bad c", "a c"},
		{"body", "/safe/", halfBody, "a bad c", "a c"},
		{"body of a non-idempotent call", "/once/", halfBody, "a bad c", "a c"},
		{"stream without an event", "/stream/", unendedEvent, "a bad c", "a c"},
		{"first part", "/stream/", unendedEvent, "bad a", "a"},
		{"only part", "/stream/", unendedEvent, "bad", "a"},
		{"same first part in all", "/whole/", unendedEvent, "a bad", "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withSampleConfig()
			if reached := gw.crashWithPart(2*partDeathLimit, c.path, c.partial, c.parts); reached > partDeathLimit {
				t.Errorf("%d of %d servers were reached, allowed %d", reached, 2*partDeathLimit, partDeathLimit)
			}
			gw.put("well", startRespondingServer(t))
			r, _, err := gw.send(http.MethodPost, c.path, "another", hParts, c.parts)
			wantStatus(t, r, err, http.StatusServiceUnavailable)
			r, _, err = gw.send(http.MethodPost, c.path, "sound", hParts, c.sound)
			wantStatus(t, r, err, http.StatusOK)
		})
	}
}

// wantPartRefused sends one more request with the parts, and a sound one, to a server that responds.
func (gw *testGateway) wantPartRefused(parts, sound string) {
	t := gw.t.(*testing.T)
	t.Helper()
	gw.put("well", startRespondingServer(t))
	r, body, err := gw.send(http.MethodPost, "/once/", "another", hParts, parts)
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if !strings.Contains(body, string(ReasonPartKillsServers)) || !strings.Contains(body, "not_run") {
		t.Errorf("refused with %s", body)
	}
	if after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err != nil || after < DefaultPoisonRetryAfter.Seconds() {
		t.Errorf("Retry-After %q", r.Header.Get("Retry-After"))
	}
	r, _, err = gw.send(http.MethodPost, "/once/", "sound", hParts, sound)
	wantStatus(t, r, err, http.StatusOK)
}

// Guards against taking servers for alive that died under one part of different prompts, because
// their address is used again at once.
func TestPartIsCountedWhenAddressIsUsedAgain(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	address := startBreakingServer(t)
	for i := range quarantine.DefaultPartOptions.RefuseThreshold {
		gw.put(fmt.Sprint("start-", i), address)
		_, _, _ = gw.send(http.MethodPost, "/once/", "break", hParts, "a bad", hKey, fmt.Sprint(i))
		gw.directory.Remove(fmt.Sprint("start-", i), time.Now())
	}
	gw.put("start-last", address)
	gw.gateway.CheckPossibleDeaths(t.Context())
	gw.directory.Remove("start-last", time.Now())
	gw.wantPartRefused("a bad", "a")
}

// Guards against counting nothing where servers fall silent under one part of different prompts, until the
// time of their requests is over or their callers leave.
func TestPartIsCountedWhenServersFallSilent(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout string
		patient bool // the caller waits for the time limit
	}{{"until the time limit", "50", true}, {"until the caller leaves", "10000", false}} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withSampleConfig()
			for i := range quarantine.DefaultPartOptions.RefuseThreshold {
				never := make(chan struct{})
				m := startMortalServer(t, "", never)
				instance := fmt.Sprint("silent-", i)
				gw.put(instance, m.listener.Addr().String())
				gw.sendAndLeave(c.patient, fmt.Sprint("body ", i), hParts, "a bad", hTimeout, c.timeout)
				gw.awaitIdle()
				gw.directory.Remove(instance, time.Now())
				_ = m.listener.Close()
				gw.gateway.CheckPossibleDeaths(t.Context())
				close(never)
			}
			gw.wantPartRefused("a bad", "a")
		})
	}
}

// sendAndLeave sends a request. A caller that isn't patient leaves after a moment.
func (gw *testGateway) sendAndLeave(patient bool, body string, headers ...string) {
	if patient {
		_, _, _ = gw.send(http.MethodPost, "/once/", body, headers...)
		return
	}
	client := &http.Client{Timeout: 50 * time.Millisecond}
	if _, err := client.Do(gw.request(http.MethodPost, "/once/", body, headers...)); err == nil {
		gw.t.Error("a silent server responded")
	}
}

// awaitIdle waits until the gateway handles no request.
func (gw *testGateway) awaitIdle() {
	gw.t.Helper()
	for end := time.Now().Add(time.Minute); gw.gateway.ActiveRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			gw.t.Fatal("requests are still handled after a minute")
		}
	}
}

// Guards against refusing a part that many prompts share, because engines that end by themselves
// end requests with it that had begun to respond.
func TestDeathsAfterFirstEventDontCountAgainstParts(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	if reached := gw.crashWithPart(2*partDeathLimit, "/whole/", oneEvent, "a b"); reached != 2*partDeathLimit {
		t.Errorf("%d servers were reached", reached)
	}
}

// Guards against a comment that a server sends before it begins, taken for the beginning of a
// response.
func TestCommentIsNoBeginning(t *testing.T) {
	const comment = unendedEvent + "8\r\n: wait\n\n\r\n"
	gw := newTestGateway(t).withSampleConfig()
	if reached := gw.crashWithPart(2*partDeathLimit, "/whole/", comment, "a bad"); reached > partDeathLimit {
		t.Errorf("%d of %d servers were reached, allowed %d", reached, 2*partDeathLimit, partDeathLimit)
	}
}

// Guards against sending a request on whose part came to be refused while it waited for a server.
func TestRefusedPartIsCheckedBeforeSend(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	meanwhile := func() {
		gw.partDeaths(1, quarantine.DefaultPartOptions.RefuseThreshold)
		gw.put("well", startRespondingServer(t))
	}
	gw.gateway.cfg.Placer = &deferOncePlacer{Placer: gw.gateway.cfg.Placer, meanwhile: meanwhile}
	r, _, err := gw.send(http.MethodPost, "/once/", "waits", hPrompt, "9", hParts, "a bad")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}

// Guards against refusing sound requests whose parts only came together with one that crashes
// servers, and against running them beside each other before one has shown that.
func TestCompanionOfRefusedPartIsServed(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	gw.crashWithPart(2*partDeathLimit, "/once/", "", "a bad")
	gw.put("well", startRespondingServer(t))
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			r, body, err := gw.send(http.MethodPost, "/once/", fmt.Sprint("sound ", i), hParts, "a c")
			if err != nil || r.StatusCode != http.StatusOK {
				t.Errorf("%s, %v", body, err)
			}
		})
	}
	callers.Wait()
	r, _, err := gw.send(http.MethodPost, "/once/", "bad", hParts, "bad")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}

// Guards against one crash after the other at several servers at once while it isn't known yet which part
// to refuse: with a suspect part only one request runs at a time. Also guards against refusing the others
// although their callers have the time to wait for their turn.
func TestSuspectPartRunsAlone(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	gw.crashWithPart(quarantine.DefaultPartOptions.HoldThreshold, "/once/", "", "a bad")
	var running, most atomic.Int32
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		<-release
		running.Add(-1)
		w.Header().Set(hID, r.Header.Get(hID))
		w.WriteHeader(http.StatusInternalServerError) // shows nothing of the parts
	}))
	t.Cleanup(backend.Close)
	gw.put("slow", backend.Listener.Addr().String())
	var callers sync.WaitGroup
	var refused, answered atomic.Int32
	ask := func(headers ...string) {
		callers.Go(func() {
			r, body, err := gw.send(http.MethodPost, "/once/", fmt.Sprint("body ", headers), append(headers, hParts, "a bad")...)
			switch {
			case err == nil && r.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, string(ReasonPartSuspected)):
				refused.Add(1)
			case err == nil && r.StatusCode == http.StatusInternalServerError:
				answered.Add(1)
			}
		})
	}
	ask()
	for running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		ask(hTimeout, "500")
	}
	const patient = 3
	for range patient {
		ask()
	}
	time.Sleep(time.Second)
	close(release)
	callers.Wait()
	if most.Load() != 1 || refused.Load() != 3 {
		t.Errorf("%d requests at a time, %d refused; want 1 and 3", most.Load(), refused.Load())
	}
	if answered.Load() != 1+patient {
		t.Errorf("%d answered, want %d: their callers have 20 s", answered.Load(), 1+patient)
	}
}

// Guards against refusing sound requests that have only caller, path and body in common with requests
// which crash servers, because the prompts that headers describe are others.
func TestRequestWithOtherPartsIsNotQuarantined(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	for i := range deathThreshold {
		m := startMortalServer(t, "", atOnce())
		instance := fmt.Sprint("killed-", i)
		gw.put(instance, m.listener.Addr().String())
		_, _, _ = gw.send(http.MethodPost, "/once/", "body", hModel, "m", hParts, "a bad")
		gw.directory.Remove(instance, time.Now())
	}
	gw.put("well", startRespondingServer(t))
	for _, headers := range [][]string{{hModel, "m", hParts, "a"}, {hModel, "other", hParts, "a bad"}, {}} {
		r, _, err := gw.send(http.MethodPost, "/once/", "body", headers...)
		wantStatus(t, r, err, http.StatusOK)
	}
	r, _, err := gw.send(http.MethodPost, "/once/", "body", hModel, "m", hParts, "a bad")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}

// partDeaths records deaths at other entries under requests with parts a and bad, one after the other.
func (gw *testGateway) partDeaths(first, n int) {
	for i := range n {
		ended := time.Now().Add(time.Duration(i) * time.Millisecond)
		gw.gateway.cfg.Parts.Record(quarantine.PartDeath{
			Death: quarantine.Death{ID: uint64(first + i), Began: ended, Ended: ended}, Parts: crashingParts,
		}, ended)
	}
}

// crashingParts are parts a and bad of service s.
var crashingParts = quarantine.NewScope("s", "").Parts([]uint64{0xa, 0xbad})

// Guards against sending a request that was admitted to run alone, and whose part came to be refused
// while it was placed.
func TestRequestThatRunsAloneIsCheckedBeforeSend(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
	const held = 3
	gw.partDeaths(1, held)
	refuse := func() { gw.partDeaths(1+held, quarantine.DefaultPartOptions.RefuseThreshold-held) }
	gw.gateway.cfg.Placer = &deferOncePlacer{Placer: gw.gateway.cfg.Placer, meanwhile: refuse}
	r, _, err := gw.send(http.MethodPost, "/once/", "alone", hPrompt, "9", hParts, "a bad")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	gw.wantArrivals("")
}

// Guards against sending a request beside another one with the same part, because the part came to be
// suspected while it was placed.
func TestPlacedRequestTakesItsTurn(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
	suspect := func() {
		gw.gateway.cfg.Parts.TryStart(crashingParts, time.Now()) // another request
		gw.partDeaths(1, quarantine.DefaultPartOptions.HoldThreshold)
	}
	gw.gateway.cfg.Placer = &deferOncePlacer{Placer: gw.gateway.cfg.Placer, meanwhile: suspect}
	r, body, err := gw.send(http.MethodPost, "/once/", "placed", hPrompt, "9", hParts, "a bad", hTimeout, "500")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	if !strings.Contains(body, string(ReasonPartSuspected)) {
		t.Errorf("refused with %s", body)
	}
	gw.wantArrivals("")
}

// Guards against holding requests back for as long as a stream with the same part lasts that has begun.
func TestStreamThatHasBegunHoldsNobodyBack(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 1, false)(w, r)
		if r.Header.Get(hID) == "long" {
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-end
		}
	}).withSampleConfig()
	gw.partDeaths(1, 1)
	var caller sync.WaitGroup
	caller.Go(func() { _, _, _ = gw.send(http.MethodPost, "/stream/", "long", hID, "long", hParts, "a bad") })
	defer caller.Wait()
	defer close(end)
	<-begun
	for limit := time.Now().Add(time.Minute); len(gw.gateway.cfg.Parts.Deaths(time.Now())) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the first event clears nothing")
		}
	}
	gw.partDeaths(2, quarantine.DefaultPartOptions.HoldThreshold)
	r, _, err := gw.send(http.MethodPost, "/stream/", "next", hParts, "a bad")
	wantStatus(t, r, err, http.StatusOK)
}

// Guards against counting the death of a silent server against parts with which a request has begun since,
// because the death is confirmed only later.
func TestDeathConfirmedLateDoesntCountAfterSuccess(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	for i := range 2 * quarantine.DefaultPartOptions.RefuseThreshold {
		never := make(chan struct{})
		m := startMortalServer(t, "", never)
		instance := fmt.Sprint("silent-", i)
		gw.put(instance, m.listener.Addr().String())
		_, _, _ = gw.send(http.MethodPost, "/once/", fmt.Sprint("body ", i), hParts, "a", hTimeout, "30")
		gw.put("a-first-in-order", startRespondingServer(t))
		r, _, err := gw.send(http.MethodPost, "/once/", fmt.Sprint("sound ", i), hParts, "a")
		wantStatus(t, r, err, http.StatusOK)
		gw.directory.Remove("a-first-in-order", time.Now())
		gw.directory.Remove(instance, time.Now())
		_ = m.listener.Close()
		gw.gateway.CheckPossibleDeaths(t.Context())
		close(never)
		if got := gw.gateway.cfg.Parts.Deaths(time.Now()); len(got) > 0 {
			t.Errorf("after death %d: %d deaths count", i, len(got))
		}
	}
}
