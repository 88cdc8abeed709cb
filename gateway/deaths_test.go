package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// serversInTurn is the number of servers that a test offers one after the other: more
// than may die under one request.
const serversInTurn = 2 * deathThreshold

// mortalServer is a backend server that ends while it runs its first request.
type mortalServer struct {
	listener net.Listener
	arrived  chan struct{} // closed when the request has arrived
	die      chan struct{} // the server ends when this is closed
	// listenerDelay is how long the listener outlives the connection; 0: it closes first.
	listenerDelay time.Duration
}

// startMortalServer starts a server that reads a request, sends partial, with %s replaced
// by the request's ID, and ends once die is closed.
func startMortalServer(t *testing.T, partial string, die chan struct{}) *mortalServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &mortalServer{listener: lis, arrived: make(chan struct{}), die: die}
	t.Cleanup(func() { _ = lis.Close() })
	go m.serve(partial)
	return m
}

func (m *mortalServer) serve(partial string) {
	conn, err := m.listener.Accept()
	if err != nil {
		return // the test ended before a request came
	}
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	close(m.arrived)
	<-m.die
	if m.listenerDelay == 0 {
		_ = m.listener.Close() // first, so that the address refuses when the connection breaks
	}
	if strings.Contains(partial, "%s") {
		partial = fmt.Sprintf(partial, r.Header.Get(hID))
	}
	_, _ = conn.Write([]byte(partial))
	if m.listenerDelay > 0 {
		_ = conn.Close()
		time.Sleep(m.listenerDelay)
		_ = m.listener.Close()
	}
}

func (m *mortalServer) reached() bool {
	select {
	case <-m.arrived:
		return true
	default:
		return false
	}
}

// atOnce is the channel of servers that end as soon as they have read a request.
func atOnce() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// put registers a server of service s.
func (gw *testGateway) put(instance, address string) {
	gw.directory.Put(upstream.Server{Instance: instance, Service: "s", Address: address, Capacity: 4})
}

const (
	halfBody     = "HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Length: 100\r\n\r\nhalf"
	unendedEvent = "HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	oneEvent     = unendedEvent + "12\r\nid: 1\ndata: one\n\n\r\n"
)

// halfOfLongBody returns the head and the beginning of a body that is too long to buffer.
func halfOfLongBody() string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Id: %%s\r\nContent-Length: %d\r\n\r\n", 2*maxBufferedResponse)
	return head + strings.Repeat("x", maxBufferedResponse+maxBufferedResponse/2)
}

// Guards against a request that kills each server that has begun to respond to it.
func TestDeathDuringResponseIsCounted(t *testing.T) {
	for _, c := range []struct{ name, path, partial string }{
		{"head", "/safe/", ""},
		{"body", "/safe/", halfBody},
		{"body of a non-idempotent call", "/once/", halfBody},
		{"long body", "/safe/", halfOfLongBody()},
		{"stream without an event", "/stream/", unendedEvent},
		{"resumable stream", "/stream/", oneEvent},
		{"stream that can't be resumed", "/whole/", oneEvent},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t).withSampleConfig()
			reached := 0
			for i := range serversInTurn {
				m := startMortalServer(t, c.partial, atOnce())
				instance := fmt.Sprint("killed-", i)
				gw.put(instance, m.listener.Addr().String())
				_, _, _ = gw.send(http.MethodPost, c.path, "poison") // the response differs by case
				gw.directory.Remove(instance, time.Now())
				if m.reached() {
					reached++
				}
			}
			if reached != deathThreshold {
				t.Errorf("%d of %d servers were reached, want %d", reached, serversInTurn, deathThreshold)
			}
			gw.put("well", startRespondingServer(t))
			r, _, err := gw.send(http.MethodPost, c.path, "poison")
			wantStatus(t, r, err, http.StatusServiceUnavailable)
			r, _, err = gw.send(http.MethodPost, c.path, "innocent")
			wantStatus(t, r, err, http.StatusOK)
		})
	}
}

// Guards against taking a killed server for alive because its next start, or another
// server, accepts connections at its address.
func TestDeathIsCountedWhenAddressIsUsedAgain(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	var mu sync.Mutex
	arrivals := 0
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				mu.Lock()
				arrivals++
				mu.Unlock()
			}
			_ = conn.Close()
		}
	}()
	for i := range serversInTurn {
		gw.put(fmt.Sprint("start-", i), lis.Addr().String())
		_, _, _ = gw.send(http.MethodPost, "/once/", "poison")
		gw.directory.Remove(fmt.Sprint("start-", i), time.Now())
	}
	gw.put("start-last", lis.Addr().String())
	r, _, err := gw.send(http.MethodPost, "/once/", "poison")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
	mu.Lock()
	defer mu.Unlock()
	if arrivals != deathThreshold {
		t.Errorf("%d starts of the server were reached, want %d", arrivals, deathThreshold)
	}
}

// Guards against refusing a call that many callers make at the same time, because an outage
// ended more than one of its servers at once.
func TestDeathsAtOnceDontQuarantine(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	outage := make(chan struct{})
	var callers sync.WaitGroup
	for i := range deathThreshold + 1 {
		m := startMortalServer(t, "", outage)
		instance := fmt.Sprint("killed-", i)
		gw.put(instance, m.listener.Addr().String())
		callers.Go(func() { _, _, _ = gw.send(http.MethodPost, "/once/", "state") })
		<-m.arrived
		gw.directory.Remove(instance, time.Now())
	}
	close(outage)
	callers.Wait()
	gw.put("well", startRespondingServer(t))
	r, _, err := gw.send(http.MethodPost, "/once/", "state")
	wantStatus(t, r, err, http.StatusOK)
}

// Guards against sending a request on that was quarantined while it waited for a server.
func TestQuarantineIsCheckedBeforeSend(t *testing.T) {
	gw := newTestGateway(t).withSampleConfig()
	meanwhile := func() {
		for i := range deathThreshold {
			gw.put(fmt.Sprint("killed-", i), startMortalServer(t, "", atOnce()).listener.Addr().String())
			_, _, _ = gw.send(http.MethodPost, "/once/", "poison")
			gw.directory.Remove(fmt.Sprint("killed-", i), time.Now())
		}
		gw.put("well", startRespondingServer(t))
	}
	gw.gateway.cfg.Placer = &deferOncePlacer{Placer: gw.gateway.cfg.Placer, meanwhile: meanwhile}
	r, _, err := gw.send(http.MethodPost, "/once/", "poison", hPrompt, "9")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}

// Guards against counting from zero again when a caller's key is replaced.
func TestDeathsAreCountedAcrossKeysOfWorkspace(t *testing.T) {
	gw := newTestGateway(t)
	c := sampleConfig(1)
	c.Keys["k2"] = "w"
	gw.routes.Offer(routetable.New(c), *gw.clock)
	for i, key := range []string{"k", "k", "k2"} {
		gw.put(fmt.Sprint("killed-", i), startMortalServer(t, "", atOnce()).listener.Addr().String())
		_, _, _ = gw.send(http.MethodPost, "/keyed/", "poison", hKey, key)
		gw.directory.Remove(fmt.Sprint("killed-", i), time.Now())
	}
	gw.put("well", startRespondingServer(t))
	r, _, err := gw.send(http.MethodPost, "/keyed/", "poison", hKey, "k2")
	wantStatus(t, r, err, http.StatusServiceUnavailable)
}
