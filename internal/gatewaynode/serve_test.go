package gatewaynode_test

import (
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

// Symptom: no entry starts any more on some VMs. Sequence: another process holds
// the port for metrics, which is the same everywhere; an entry starts.
// Cause: it gave up, though it could have served its callers.
func TestServesCallersWithoutAPortForMetrics(t *testing.T) {
	const free = "127.0.0.1:0"
	taken, err := net.Listen("tcp", free)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	n, err := gatewaynode.Start(gatewaynode.Config{
		Name: "vm-1", Listen: free, ReadyListen: free, Datagram: free, AdminListen: taken.Addr().String(),
		Grace: time.Second, RetryWindow: time.Second,
		Store: standin.NewMemory(standin.Config{}), Protocol: platform.Protocol{},
		Engines: func(p *upstream.Pool) reservation.Engines { return platform.NewOrders(p) },
		Decoder: gatewaynode.Decoder{
			ConfigKind: platform.KindConfig, ServersKind: platform.KindServers,
			Config: platform.DecodeConfig, Server: platform.DecodeServer,
		},
		Log: quiet.Logger(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	resp, err := http.Get("http://" + n.Address() + "/")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d before a configuration", resp.StatusCode)
	}
}
