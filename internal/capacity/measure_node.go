package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/internal/node"
	"github.com/briarturn/briarturn/internal/quiet"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	standinservice "github.com/briarturn/briarturn/internal/standin/service"
)

func nodeMeasurements() []measurement {
	entries, agents, starts := shared(sampleEntries), shared(sampleAgents), shared(startCounts)
	return []measurement{
		{name: lineEntryIdle, x: "entries", y: "bytes", source: "node.StartEntry, ready, against an empty store", sizes: []int{2, 4, 8}, sample: part(entries, idle.memoryOf)},
		{name: lineEntryIdleCPU, x: "entries", y: "ns a second", source: "node.StartEntry, ready, no agents or requests", sizes: []int{2, 4, 8}, sample: part(entries, idle.cpuOf)},
		{name: lineAgentIdle, x: "agents", y: "bytes", source: "node.StartAgent beside one stand-in service, reporting to one entry", sizes: []int{8, 16, 32}, sample: part(agents, idle.memoryOf)},
		{name: lineAgentIdleCPU, x: "agents", y: "ns a second", source: "the same, with the service's answers and the entry's work", sizes: []int{8, 16, 32}, sample: part(agents, idle.cpuOf)},
		{name: lineStartReads, x: "entries started", y: "reads", source: "node.StartEntry until ready, 200 ms", sizes: []int{1, 2, 4}, sample: part(starts, startReadsOf), together: true},
		{name: lineStartWrites, x: "entries started", y: "writes", source: "node.StartEntry until ready, 200 ms", sizes: []int{1, 2, 4}, sample: part(starts, startWritesOf), together: true},
	}
}

// nodes are entries and agents that run in this process.
type nodes struct {
	store   *standinobjectapi.Memory
	entries []*node.Entry
	agents  []*node.Agent
	service *standinservice.Server
}

func newNodes() *nodes {
	return &nodes{store: standinobjectapi.NewMemory(standinobjectapi.Config{})}
}

func (n *nodes) startEntries(ctx context.Context, count int) error {
	for i := range count {
		e, err := node.StartEntry(node.EntryConfig{
			Name: fmt.Sprintf("entry-%d", i), Zone: "zone-1", Region: "region-1",
			HTTPListen: loopback, RPCListen: loopback, DatagramListen: loopback,
			Store: n.store, Log: quiet.Logger(),
		})
		if err != nil {
			return errors.Trace(err)
		}
		n.entries = append(n.entries, e)
	}
	return await(ctx, func() bool {
		for _, e := range n.entries {
			if e.Ready() != nil {
				return false
			}
		}
		return true
	})
}

func (n *nodes) startAgents(ctx context.Context, count int) error {
	service, address, err := standinservice.Start()
	if err != nil {
		return errors.Trace(err)
	}
	n.service = service
	for i := range count {
		d := backend.Descriptor{
			Name: fmt.Sprintf("app-%d", i), Zone: "zone-1", Region: "region-1",
			Pool: "app", Service: true, Role: backend.RoleMixed,
		}
		a, err := node.StartAgent(node.AgentConfig{
			Descriptor: d, BackendAddress: address, RPCListen: loopback, DatagramListen: loopback,
			Seeds: []string{n.entries[0].RPCAddress()}, Store: n.store, Log: quiet.Logger(),
		})
		if err != nil {
			return errors.Trace(err)
		}
		n.agents = append(n.agents, a)
	}
	return await(ctx, func() bool { return len(n.entries[0].Status().Servers) == count })
}

// close ends all nodes at once: each waits a moment for its own goroutines.
func (n *nodes) close() {
	var closing sync.WaitGroup
	for _, a := range n.agents {
		closing.Go(a.Close)
	}
	for _, e := range n.entries {
		closing.Go(e.Close)
	}
	closing.Wait()
	if n.service != nil {
		n.service.Close()
	}
}

// idle is what idle nodes take.
type idle struct {
	memory float64 // bytes
	cpu    float64 // ns a second
}

func (i idle) memoryOf() float64 { return i.memory }
func (i idle) cpuOf() float64    { return i.cpu }

// idleTime is how long idle nodes are watched.
const idleTime = time.Second

// watchIdle returns what the process uses over before while nothing is asked.
func watchIdle(before float64) (idle, error) {
	settle()
	kept := live() - before
	ns, err := processCPU(func() error { time.Sleep(idleTime); return nil })
	return idle{memory: kept, cpu: ns / idleTime.Seconds()}, err
}

func sampleEntries(ctx context.Context, count int) (idle, error) {
	n := newNodes()
	defer n.close()
	settle()
	before := live()
	if err := n.startEntries(ctx, count); err != nil {
		return idle{}, err
	}
	return watchIdle(before)
}

func sampleAgents(ctx context.Context, count int) (idle, error) {
	n := newNodes()
	defer n.close()
	if err := n.startEntries(ctx, 1); err != nil {
		return idle{}, err
	}
	settle()
	before := live()
	if err := n.startAgents(ctx, count); err != nil {
		return idle{}, err
	}
	return watchIdle(before)
}

// startCounts starts entries and returns the store's tally soon after.
func startCounts(ctx context.Context, count int) (standinobjectapi.Counts, error) {
	n := newNodes()
	defer n.close()
	if err := n.startEntries(ctx, count); err != nil {
		return standinobjectapi.Counts{}, err
	}
	time.Sleep(200 * time.Millisecond)
	return n.store.Counts(), nil
}

func startReadsOf(c standinobjectapi.Counts) float64  { return float64(c.Get + c.List) }
func startWritesOf(c standinobjectapi.Counts) float64 { return float64(c.Writes()) }
