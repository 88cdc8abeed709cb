package membership

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// firstObserved sends the descriptor of the first Observe call to a channel.
type firstObserved struct {
	once sync.Once
	seen chan backend.Descriptor
}

func (o *firstObserved) Observe(d backend.Descriptor, _ uint64, _ backend.Load, _ time.Time) {
	o.once.Do(func() { o.seen <- d })
}

func (o *firstObserved) ObserveLoad(_, _ uint64, _ backend.Load, _ time.Duration, _ time.Time) bool {
	return true
}
func (o *firstObserved) ObserveListed(backend.Descriptor, uint64, backend.Load, time.Duration, time.Time) {
}
func (o *firstObserved) MarkSuspect(uint64) {}
func (o *firstObserved) MarkLeaving(uint64) {}
func (o *firstObserved) MarkDead(uint64)    {}

// An agent that has only the drpc address of a seed must find the entry and
// report to it.
func TestRunnersConnectOverSockets(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := &firstObserved{seen: make(chan backend.Descriptor, 1)}
	entry, err := NewEntryRunner(EntryConfig{
		Listen: "127.0.0.1:0",
		Log:    log,
		ObserverConfig: ObserverConfig{
			Self:  &wirepb.Peer{Name: "entry-0", Region: "tas", RpcAddress: "127.0.0.1:1", Incarnation: 1},
			Table: table,
			Rand:  rand.New(rand.NewPCG(1, 1)),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	agent, err := NewAgentRunner(AgentConfig{
		Listen: "127.0.0.1:0",
		Log:    log,
		Load:   func() backend.Load { return backend.Load{Capacity: 1000} },
		ReporterConfig: ReporterConfig{
			Descriptor: backend.Descriptor{
				Name: "briar-0", Zone: "hobart", Region: "tas", Pool: "briar-pool", RPCAddress: "127.0.0.1:2",
			},
			Incarnation: 1,
			Seeds:       []string{"127.0.0.1:1"},
			Rand:        rand.New(rand.NewPCG(1, 2)),
		},
		Pulls: PullFuncs{Peers: func(context.Context, string) (peers []*wirepb.Peer, err error) {
			entry.With(func(o *Observer) { peers = o.Peers() })
			return peers, nil
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{entry.Run, agent.Run} {
		running.Go(func() {
			if err := run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	if d := <-table.seen; d.Name != "briar-0" || d.DatagramAddress != agent.Addr().String() {
		t.Errorf("observed descriptor %+v", d)
	}
	cancel()
	running.Wait()
}
