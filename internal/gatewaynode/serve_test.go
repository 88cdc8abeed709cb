package gatewaynode_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/gatewaynode"
	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/platform"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/upstream"
)

// start starts a node with an empty store, and returns the node and its metrics registry.
func start(t *testing.T, admin string, conns gatewaynode.ConnLimits) (*gatewaynode.Node, metrics.Registry) {
	t.Helper()
	return startWithGrace(t, admin, conns, time.Second)
}

func startWithGrace(t *testing.T, admin string, conns gatewaynode.ConnLimits, grace time.Duration) (*gatewaynode.Node, metrics.Registry) {
	t.Helper()
	const free = "127.0.0.1:0"
	registry := metrics.NewRegistry()
	n, err := gatewaynode.Start(gatewaynode.Config{
		Name: "vm-1", Listen: free, ReadyListen: free, Datagram: free, AdminListen: admin,
		Grace: grace, RetryWindow: time.Second, Conns: conns,
		Store: standin.NewMemory(standin.Config{}), Protocol: platform.Protocol{},
		Engines: func(p *upstream.Pool) reservation.EngineClient { return platform.NewEngineClient(p) },
		Decoder: gatewaynode.Decoder{
			ConfigKind: platform.KindConfig, ServersKind: platform.KindServers,
			Config: platform.DecodeConfig, Server: platform.DecodeServer,
		},
		Log: quiet.Logger(), Metrics: registry,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n, registry
}

// Guards against an entry that fails to start because another process on the VM uses the
// port for metrics, which is the same on every VM: the entry can still serve callers.
func TestServesCallersWhenAdminPortIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	n, _ := start(t, taken.Addr().String(), gatewaynode.ConnLimits{})
	resp, err := http.Get("http://" + n.Address() + "/")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d before a configuration", resp.StatusCode)
	}
}

// Guards against callers that exhaust connections and memory by sending an incomplete
// header slowly: only the size of a header was limited, not its time.
func TestSlowHeaderIsTimedOut(t *testing.T) {
	n, registry := start(t, "127.0.0.1:0", gatewaynode.ConnLimits{HeaderTimeout: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", n.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: "); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("the connection stays open: %v, %q", err, answer)
	}
	counter := metrics.GetOrRegisterCounter("gateway.requests.unreadable", registry)
	for end := time.Now().Add(30 * time.Second); counter.Count() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if counter.Count() != 1 {
		t.Errorf("%d unreadable requests counted", counter.Count())
	}
}

// Guards against closing a connection without a response when a request arrives during the
// entry's shutdown: on new and on reused connections the caller gets the refusal
// "not run", and then the connection is closed.
func TestOpenConnectionsAreRefusedAtShutdown(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	n, _ := startWithGrace(t, "127.0.0.1:0", gatewaynode.ConnLimits{}, time.Minute)
	var conns []net.Conn
	for _, text := range []string{"", whole, whole[:9]} {
		conn, err := net.Dial("tcp", n.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		if text == whole {
			wantRefusal(t, conn, "no_configuration")
		}
		conns = append(conns, conn)
	}
	drained := make(chan error, 1)
	go func() {
		drained <- n.DrainAndWait(t.Context())
		n.Close()
	}()
	for _, conn := range conns {
		wantRefusal(t, conn, "ending")
		if n, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%d bytes after the last answer, %v", n, err)
		}
		_ = conn.Close()
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against cutting connections that were opened shortly before the end of the grace
// period: each has time to send its first request and gets a response.
func TestConnectionsOpenedLastAreAnswered(t *testing.T) {
	const (
		grace    = 4 * time.Second
		interval = 20 * time.Millisecond // between connections
		// sendAfter is the time from the last connection to the requests on all of them.
		sendAfter = 300 * time.Millisecond
	)
	n, _ := startWithGrace(t, "127.0.0.1:0", gatewaynode.ConnLimits{}, grace)
	drained := make(chan error, 1)
	go func() {
		drained <- n.DrainAndWait(t.Context())
		n.Close()
	}()
	var conns []net.Conn
	for {
		conn, err := net.Dial("tcp", n.Address())
		if err != nil {
			break
		}
		defer conn.Close()
		conns = append(conns, conn)
		time.Sleep(interval)
	}
	time.Sleep(sendAfter)
	for i, conn := range conns {
		_, sendErr := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("connection %d of %d: no answer: %v, sending: %v", i+1, len(conns), err, sendErr)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("connection %d of %d: status %d", i+1, len(conns), resp.StatusCode)
		}
		_ = conn.Close()
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// wantRefusal expects a response that refuses a request as not run, with a reason.
func wantRefusal(t *testing.T, conn net.Conn, reason string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	want := `{"error":"` + reason + `","run":"not_run"}` + "\n"
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || string(body) != want {
		t.Errorf("status %d, %q, %v; want %q", resp.StatusCode, body, err, want)
	}
}
