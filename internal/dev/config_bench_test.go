package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/node"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	standinservice "github.com/briarturn/briarturn/internal/standin/service"
)

// configPools is over how many pools the agents are dealt.
const configPools = 14

// inForceLimit ends a run that would never end.
const inForceLimit = 20 * time.Second

// revisioned is a process that has declared state in force.
type revisioned interface{ ConfigRevision() uint64 }

// configFleet is entries and agents on loopback sockets over one store. The
// agents share one plain service, which they only probe.
type configFleet struct {
	store   *standinobjectapi.Memory
	service *standinservice.Server
	entries []*node.Entry
	agents  []*node.Agent
}

func startConfigFleet(tb testing.TB, entries, agents int) *configFleet {
	tb.Helper()
	listen := ownLoopback()
	f := &configFleet{store: standinobjectapi.NewMemory(standinobjectapi.Config{})}
	service, address, err := standinservice.Start()
	if err != nil {
		tb.Fatal(err)
	}
	f.service = service
	tb.Cleanup(f.close)
	for i := range configPools {
		f.apply(tb, i, false)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var seeds []string
	for i := range entries {
		n, err := node.StartEntry(node.EntryConfig{
			Name: fmt.Sprintf("entry-%d", i), Zone: "z", Region: region, HTTPListen: listen, RPCListen: listen,
			DatagramListen: listen, Store: f.store, Log: log,
		})
		if err != nil {
			tb.Fatal(err)
		}
		f.entries, seeds = append(f.entries, n), append(seeds, n.RPCAddress())
	}
	for i := range agents {
		n, err := node.StartAgent(node.AgentConfig{
			Descriptor: backend.Descriptor{Name: fmt.Sprintf("server-%d", i), Zone: "z", Region: region,
				Pool: fmt.Sprintf("pool-%d", i%configPools), Service: true},
			BackendAddress: address, RPCListen: listen, DatagramListen: listen, Seeds: seeds, Store: f.store, Log: log,
		})
		if err != nil {
			tb.Fatal(err)
		}
		f.agents = append(f.agents, n)
	}
	return f
}

func (f *configFleet) close() {
	var group errgroup.Group
	for _, n := range f.entries {
		group.Go(func() error { n.Close(); return nil })
	}
	for _, n := range f.agents {
		group.Go(func() error { n.Close(); return nil })
	}
	_ = group.Wait()
	f.service.Close()
}

// apply changes what concerns one pool and returns the version.
func (f *configFleet) apply(tb testing.TB, pool int, checks bool) uint64 {
	tb.Helper()
	ctx, name := context.Background(), fmt.Sprintf("pool-%d", pool%configPools)
	data := json.RawMessage(fmt.Sprintf(`{"pool":%q,"service":true,"checks_fencing":%t,"zones":["z"],
		"servers":[{"name":"s","zone":"z","address":"127.0.0.1:1"}]}`, name, checks))
	old, err := f.store.Get(ctx, declared.KindBackendServerSet, name)
	if err != nil {
		o, err := f.store.Create(ctx, declared.KindBackendServerSet, name, data)
		if err != nil {
			tb.Fatal(err)
		}
		return o.Version
	}
	o, err := f.store.Update(ctx, old.Kind, old.Name, data, old.Version)
	if err != nil {
		tb.Fatal(err)
	}
	return o.Version
}

// inForce waits until a version is in force at all processes that it concerns,
// and returns how long that took at each.
func (f *configFleet) inForce(tb testing.TB, version uint64, pool int) []time.Duration {
	tb.Helper()
	start := time.Now()
	var mu sync.Mutex // guards took
	var took []time.Duration
	var waiting sync.WaitGroup
	var late []string // who lacks the version, and what it has
	wait := func(name string, p revisioned) {
		for p.ConfigRevision() < version && time.Since(start) < inForceLimit {
			time.Sleep(5 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		took = append(took, time.Since(start))
		if at := p.ConfigRevision(); at < version {
			late = append(late, fmt.Sprintf("%s at %d", name, at))
		}
	}
	for i, n := range f.entries {
		waiting.Go(func() { wait(fmt.Sprintf("entry %d", i), n) })
	}
	for i, n := range f.agents {
		if i%configPools == pool%configPools {
			waiting.Go(func() { wait(fmt.Sprintf("agent %d", i), n) })
		}
	}
	waiting.Wait()
	if last := slices.Max(took); last >= inForceLimit {
		for i, n := range f.entries {
			late = append(late, fmt.Sprintf("entry %d has %d", i, n.ConfigRevision()))
		}
		tb.Fatalf("version %d of pool %d is not in force everywhere after %v: %s", version, pool, last, late)
	}
	return took
}

// BenchmarkConfigInForce measures the time from an apply until it is in force at
// every process that it concerns, and the store's calls. One iteration is one
// apply.
func BenchmarkConfigInForce(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{
		{2, 30}, {4, 100}, {11, 300}, // as many an entry as in the largest deployment
		{4, 30}, {4, 300},
	} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			f := startConfigFleet(b, size.entries, size.agents)
			for pool := range configPools {
				f.inForce(b, 1, pool) // all have pulled once
			}
			const rest = 5 * time.Second
			idle := f.store.Counts()
			time.Sleep(rest)
			idleReads := f.store.Counts().Reads() - idle.Reads()
			before, begin := f.store.Counts(), time.Now()
			var took []time.Duration
			b.ResetTimer()
			for i := range b.N {
				took = append(took, f.inForce(b, f.apply(b, i, i%2 == 0), i)...)
			}
			b.StopTimer()
			after, seconds := f.store.Counts(), time.Since(begin).Seconds()
			slices.Sort(took)
			at := func(q float64) float64 { return took[int(q*float64(len(took)-1))].Seconds() * 1000 }
			b.ReportMetric(at(0.5), "p50-ms")
			b.ReportMetric(at(0.99), "p99-ms")
			b.ReportMetric(at(1), "max-ms")
			b.ReportMetric(float64(idleReads)/rest.Seconds(), "idle-reads/s")
			b.ReportMetric(float64(after.Reads()-before.Reads())/seconds, "reads/s")
			b.ReportMetric(float64(after.Writes()-before.Writes()-int64(b.N))/seconds, "own-writes/s")
		})
	}
}
