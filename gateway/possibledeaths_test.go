package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/rawserver"
	"github.com/briarturn/briarturn/upstream"
)

// Guards against sending a request on that silences each server: its runs end by their
// time limit, and no connection breaks.
func TestDeathOfSilentServerIsCounted(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	for i := range deathThreshold {
		never := make(chan struct{})
		m := startMortalServer(t, "", never)
		instance := fmt.Sprint("silent-", i)
		gw.put(instance, m.listener.Addr().String())
		_, _, _ = gw.send(http.MethodPost, "/once/", "poison", hTimeout, "50")
		gw.directory.Remove(instance, time.Now())
		_ = m.listener.Close()
		gw.gateway.CheckPossibleDeaths(t.Context())
		close(never)
	}
	gw.put("well", startRespondingServer(t))
	r, _, err := gw.send(http.MethodPost, "/once/", "poison")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}

// startBreakingServer starts a server that breaks the connection of each request with the
// body "break" and answers all others.
func startBreakingServer(t *testing.T) string {
	return rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body := make([]byte, len("break"))
		if n, _ := r.Body.Read(body); string(body[:n]) == "break" {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", hID, r.Header.Get(hID))
	})
}

// Guards against refusing a request for servers that broke its responses, and left or ended
// later for other reasons.
func TestServerThatOutlivesBrokenAttemptIsNotCounted(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(gw *testGateway, instance, address string)
	}{
		{"left without draining", func(gw *testGateway, instance, _ string) {
			gw.directory.Remove(instance, time.Now())
		}},
		{"drained, its address used again", func(gw *testGateway, instance, address string) {
			gw.directory.Put(upstream.Server{Instance: instance, Service: "s", Address: address, Capacity: 4, Draining: true})
			gw.gateway.CheckPossibleDeaths(gw.t.Context())
			gw.directory.Remove(instance, time.Now())
			gw.directory.Put(upstream.Server{Instance: instance + "-next", Service: "other", Address: address, Capacity: 4})
		}},
		{"responded, then ended", func(gw *testGateway, instance, address string) {
			r, _, err := gw.send(http.MethodPost, "/once/", "other")
			wantStatus(gw.t.(*testing.T), r, err, http.StatusOK)
			gw.directory.Remove(instance, time.Now())
			gw.directory.Put(upstream.Server{Instance: instance + "-next", Service: "other", Address: address, Capacity: 4})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withSampleConfig()
			for i := range deathThreshold {
				instance, address := fmt.Sprint("broke-", i), startBreakingServer(t)
				gw.put(instance, address)
				r, _, err := gw.send(http.MethodPost, "/once/", "break")
				wantStatus(t, r, err, http.StatusBadGateway)
				c.after(gw, instance, address)
				gw.gateway.CheckPossibleDeaths(t.Context())
			}
			gw.put("well", startRespondingServer(t))
			r, _, err := gw.send(http.MethodPost, "/once/", "break")
			wantStatus(t, r, err, http.StatusOK)
		})
	}
}

// Guards against attributing a death to a request that got its response from another server
// meanwhile.
func TestCompletedRequestHasNoPossibleDeaths(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	for i := range deathThreshold {
		instance, address := fmt.Sprint("broke-", i), startBreakingServer(t)
		gw.put(instance, address)
		_, _, _ = gw.send(http.MethodPost, "/once/", "break")
		gw.directory.Remove(instance, time.Now())
		gw.put("well", startRespondingServer(t))
		r, _, err := gw.send(http.MethodPost, "/once/", "break")
		wantStatus(t, r, err, http.StatusOK)
		gw.directory.Remove("well", time.Now())
		gw.directory.Put(upstream.Server{Instance: instance + "-next", Service: "other", Address: address, Capacity: 4})
		gw.gateway.CheckPossibleDeaths(t.Context())
	}
	if len(gw.deaths.records) != 0 {
		t.Errorf("%d deaths were reported, want none", len(gw.deaths.records))
	}
}

// Guards against a message to all entries for each request that completes.
func TestOnlyCompletionsOfSuspectsAreReported(t *testing.T) {
	gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
	_, _, _ = gw.send(http.MethodPost, "/once/", "state")
	if len(gw.deaths.completed) != 0 {
		t.Error("a request without deaths is reported")
	}
	gw.directory.Remove("s1", time.Now())
	gw.put("killed", startMortalServer(t, "", atOnce()).listener.Addr().String())
	_, _, _ = gw.send(http.MethodPost, "/once/", "state")
	gw.directory.Remove("killed", time.Now())
	gw.put("well", startRespondingServer(t))
	_, _, _ = gw.send(http.MethodPost, "/once/", "state")
	if len(gw.deaths.completed) != 1 {
		t.Errorf("%d completions are reported, want 1", len(gw.deaths.completed))
	}
}

// Guards against possible deaths that take memory without bound while a service fails.
func TestPossibleDeathsAreBounded(t *testing.T) {
	var l possibleDeathList
	now := time.Now()
	for i := range 2 * maxPossibleDeaths {
		l.add(possibleDeath{fingerprint: uint64(i), expires: now.Add(possibleDeathTTL)})
	}
	if got := l.snapshot(now); len(got) != maxPossibleDeaths || got[0].fingerprint != maxPossibleDeaths {
		t.Errorf("%d possible deaths from %d on, want %d from %d on", len(got), got[0].fingerprint, maxPossibleDeaths, maxPossibleDeaths)
	}
	if got := l.snapshot(now.Add(possibleDeathTTL)); len(got) != 0 {
		t.Errorf("%d possible deaths after their time", len(got))
	}
}
