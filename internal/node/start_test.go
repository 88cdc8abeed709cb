package node

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/wire"
)

const startRounds = 5

// freeAddress returns an address that nobody listens on at the moment.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func startEntryAt(t *testing.T, address string) (*Entry, error) {
	t.Helper()
	log := quiet.Logger()
	return StartEntry(EntryConfig{
		Name:           "entry-1",
		Zone:           "hobart",
		Region:         "tas",
		HTTPListen:     "127.0.0.1:0",
		RPCListen:      address,
		DatagramListen: "127.0.0.1:0",
		Store:          standin.NewMemory(standin.Config{}),
		Log:            log,
	})
}

// Symptom: an entry ends with a nil dereference as soon as it is started again.
// Sequence: agents know its address from their settings and call it while it
// starts.
// Cause: its drpc server answers before membership and claims are there.
func TestCallsDuringTheStartAreAnswered(t *testing.T) {
	for range startRounds {
		address := freeAddress(t)
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		answered := make(chan struct{}, 1)
		for range 4 {
			callers.Go(func() { callUntil(ctx, address, answered) })
		}
		n, err := startEntryAt(t, address)
		if err == nil {
			<-answered
			n.Close()
		}
		cancel()
		callers.Wait()
		// Another process may have taken the address meanwhile.
		if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
	}
}

// callUntil asks for the list of entries until ctx ends.
func callUntil(ctx context.Context, address string, answered chan<- struct{}) {
	log := quiet.Logger()
	d := wire.NewDialer(wire.Options{Log: log, Metrics: metrics.NewRegistry()})
	defer func() { _ = d.Close() }()
	for ctx.Err() == nil {
		if _, err := d.ListPeers(ctx, address); err == nil {
			select {
			case answered <- struct{}{}:
			default:
			}
		}
	}
}
