package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// printingTable is a membership.Table that prints its calls. A program that
// routes requests uses a backend.Table.
type printingTable struct{}

func (printingTable) Observe(d backend.Descriptor, _ uint64, load backend.Load, _ time.Time) {
	fmt.Println(d.Name, "is known,", load.Running, "running")
}

func (printingTable) ObserveLoad(uint64, uint64, backend.Load, time.Duration, time.Time) bool {
	return true
}
func (printingTable) ObserveListed(backend.Descriptor, uint64, backend.Load, time.Duration, time.Time) {
}
func (printingTable) MarkSuspect(uint64) { fmt.Println("suspect") }
func (printingTable) MarkLeaving(uint64) { fmt.Println("leaving") }
func (printingTable) MarkDead(uint64)    { fmt.Println("dead") }

// Reporter and Observer do no I/O. Each step returns the datagrams to send, and
// the caller sends them. AgentRunner and EntryRunner do this on sockets.
func Example() {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	agentAddress := netip.MustParseAddrPort("10.0.0.1:7000")
	observer := membership.NewObserver(membership.ObserverConfig{
		Self: &wirepb.Peer{
			Name: "entry-1", Region: "tas", Zone: "hobart", Incarnation: 1,
			DatagramAddress: "10.0.1.1:7000", RpcAddress: "10.0.1.1:7001",
		},
		Table: printingTable{},
		Rand:  rand.New(rand.NewPCG(1, 1)),
	})
	reporter := membership.NewReporter(membership.ReporterConfig{
		Descriptor: backend.Descriptor{
			Name: "briar-1", Region: "tas", Zone: "hobart", Pool: "briar-pool",
			DatagramAddress: agentAddress.String(), RPCAddress: "10.0.0.1:7001",
		},
		Incarnation: 1,
		Rand:        rand.New(rand.NewPCG(1, 2)),
	})

	reporter.SetPeers("entry-1", observer.Peers())
	fmt.Println("homes:", reporter.Homes())
	for second := range 10 {
		now = now.Add(time.Second)
		if second < 3 { // after that the agent is silent
			for _, out := range reporter.Tick(now, backend.Load{Running: 3}).Send {
				for _, ack := range observer.Handle(now, agentAddress, out.Message).Send {
					reporter.Handle(now, out.To, ack.Message)
				}
			}
		}
		observer.Tick(now)
	}
	// Output:
	// homes: [entry-1]
	// briar-1 is known, 3 running
	// suspect
}
