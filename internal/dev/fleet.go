// Package dev runs the whole system in one process: stand-ins of the platform,
// the engines and the plain services, one agent beside each, and a few entries,
// all on loopback sockets. It is the embedded default of the daemon and the bed
// of the end-to-end tests and experiments.
package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/briarturn/briarturn/agent"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/entry"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/internal/node"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/wire"
)

// region is the one region of the dev run.
const region = "local"

// DefaultEntries is how many entries the dev run starts.
const DefaultEntries = 3

// Config sets up a Fleet. Zero fields take defaults.
type Config struct {
	Objects []declared.DecodedObject // the deployment, as briarturnctl apply takes it
	Entries int
	Policy  string // routing policy of all entries
	// Speed multiplies the declared prefill and decode rates; zero means one.
	Speed float64
	// Engine makes a pool's stand-in engines; by default from the ModelPool's
	// expectation.
	Engine       func(pool *declared.ModelPool) standinengine.Config
	EntryLimits  entry.Limits
	AgentLimits  agent.Limits
	FirstAddress string // ip:port of the first entry; the others take free ports
	// DatagramFault is asked about every datagram of every process; see
	// wire.DatagramConfig.
	DatagramFault wire.DatagramFault
	Log           logrus.FieldLogger
}

// Fleet is a running system. Entries, Metrics and the agents of Backends change
// while entries and agents are killed, replaced and started; who does so from
// several goroutines uses the methods of faults.go, which take mu.
type Fleet struct {
	cfg      Config
	loopback string // to listen on, with a free port
	Store    *standinobjectapi.Memory
	Entries  []*node.Entry
	Metrics  []metrics.Registry // of the entries
	Backends []*Backend

	mu     sync.Mutex // guards Entries, Metrics, stores, down and Backend.Agent
	stores []*cutStore
	down   map[int]bool // entries that were killed
}

// Start starts a fleet and waits until every entry is ready and knows every
// backend server, or ctx ends.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	if cfg.Entries == 0 {
		cfg.Entries = DefaultEntries
	}
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	if cfg.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		cfg.Log = quiet
	}
	f := &Fleet{cfg: cfg, loopback: ownLoopback(), Store: standinobjectapi.NewMemory(standinobjectapi.Config{}), down: map[int]bool{}}
	for _, step := range []func(context.Context) error{f.apply, f.startEntries, f.startBackends, f.await} {
		if err := step(ctx); err != nil {
			f.Close()
			return nil, errors.Annotate(err, "step start dev fleet")
		}
	}
	return f, nil
}

// apply puts the deployment's objects into the store.
func (f *Fleet) apply(ctx context.Context) error {
	for _, d := range f.cfg.Objects {
		data, err := f.sped(d)
		if err != nil {
			return errors.Annotatef(err, "step apply, object %s/%s", d.Kind, d.Name)
		}
		if _, err := f.Store.Create(ctx, d.Kind, d.Name, data); err != nil {
			return errors.Annotatef(err, "step apply, object %s/%s", d.Kind, d.Name)
		}
	}
	return nil
}

// sped returns an object's value with a workspace's token rate multiplied as the
// engines' are, so that a deployment in fast motion keeps its proportions.
func (f *Fleet) sped(d declared.DecodedObject) (json.RawMessage, error) {
	policy, ok := d.Spec.(*declared.WorkspacePolicy)
	if !ok || f.cfg.Speed == 1 {
		return d.Data, nil
	}
	faster := *policy
	faster.TokensPerSecond = int64(float64(policy.TokensPerSecond) * f.cfg.Speed)
	faster.BurstTokens = int64(float64(policy.BurstTokens) * f.cfg.Speed)
	return json.Marshal(faster)
}

func (f *Fleet) startEntries(context.Context) error {
	zones := f.zones()
	for i := range f.cfg.Entries {
		listen := f.loopback
		if i == 0 && f.cfg.FirstAddress != "" {
			listen = f.cfg.FirstAddress
		}
		if _, err := f.AddEntry(fmt.Sprintf("entry-%d", i+1), zones[i%len(zones)], listen); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry starts one more entry that listens for callers on an address.
func (f *Fleet) AddEntry(name, zone, listen string) (*node.Entry, error) {
	e, err := f.startEntry(entryPlace{name: name, zone: zone, http: listen, rpc: f.loopback, datagram: f.loopback}, nil)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Entries = append(f.Entries, e.node)
	f.Metrics = append(f.Metrics, e.metrics)
	f.stores = append(f.stores, e.store)
	return e.node, nil
}

// entryPlace is who an entry is and where it listens.
type entryPlace struct{ name, zone, http, rpc, datagram string }

// startedEntry is an entry with what belongs to this life of it.
type startedEntry struct {
	node    *node.Entry
	metrics metrics.Registry
	store   *cutStore
}

func (f *Fleet) startEntry(at entryPlace, seeds []string) (startedEntry, error) {
	out := startedEntry{metrics: metrics.NewRegistry(), store: &cutStore{Store: f.Store}}
	var err error
	out.node, err = node.StartEntry(node.EntryConfig{
		Name:           at.name,
		Zone:           at.zone,
		Region:         region,
		HTTPListen:     at.http,
		RPCListen:      at.rpc,
		DatagramListen: at.datagram,
		AdminListen:    f.loopback,
		Policy:         f.cfg.Policy,
		Seeds:          seeds,
		Store:          out.store,
		Limits:         f.cfg.EntryLimits,
		Log:            f.cfg.Log,
		Metrics:        out.metrics,
		DatagramFault:  f.cfg.DatagramFault,
	})
	return out, err
}

// zones returns the zones of the deployment's backend servers.
func (f *Fleet) zones() []string {
	for _, d := range f.cfg.Objects {
		if set, ok := d.Spec.(*declared.BackendServerSet); ok && len(set.Zones) > 0 {
			return set.Zones
		}
	}
	return []string{"zone-1"}
}

func (f *Fleet) seeds() []string {
	var out []string
	for _, n := range f.LiveEntries() {
		out = append(out, n.RPCAddress())
	}
	return out
}

// await waits until every entry is ready and knows every backend server.
func (f *Fleet) await(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if f.settled() {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "step await entries")
		}
	}
}

func (f *Fleet) settled() bool {
	for _, n := range f.LiveEntries() {
		if n.Ready() != nil || len(n.Status().Servers) < len(f.Backends) {
			return false
		}
	}
	return true
}

// Targets returns the base URLs of the entries.
func (f *Fleet) Targets() []string {
	var out []string
	for _, n := range f.Entries {
		out = append(out, "http://"+n.Address())
	}
	return out
}

// Drain drains all entries, then all agents.
func (f *Fleet) Drain(ctx context.Context) error {
	var group errgroup.Group
	for _, n := range f.LiveEntries() {
		group.Go(func() error { return n.DrainAndWait(ctx) })
	}
	if err := group.Wait(); err != nil {
		return errors.Trace(err)
	}
	for _, b := range f.Backends {
		if a := f.LiveAgent(b); a != nil {
			group.Go(func() error { return a.DrainAndWait(ctx) })
		}
	}
	return errors.Trace(group.Wait())
}

// Close ends everything at once.
func (f *Fleet) Close() {
	var group errgroup.Group
	for _, n := range f.LiveEntries() {
		group.Go(func() error { n.Close(); return nil })
	}
	_ = group.Wait()
	for _, b := range f.Backends {
		group.Go(func() error { b.close(); return nil })
	}
	_ = group.Wait()
}

// DoubleRuns returns how many keys ran more than once, over all plain services
// together: a resend that reached another replica is a double run too.
func (f *Fleet) DoubleRuns() int {
	runs := map[string]int{}
	for _, b := range f.Backends {
		if b.Service == nil {
			continue
		}
		for key, n := range b.Service.Runs() {
			runs[key] += n
		}
	}
	double := 0
	for _, n := range runs {
		if n > 1 {
			double++
		}
	}
	return double
}

// Size returns the fleet's engines as load reports count them.
func (f *Fleet) Size() load.Fleet {
	var size load.Fleet
	for _, b := range f.Backends {
		if b.Engine == nil {
			continue
		}
		d := b.config.Descriptor
		size.Engines++
		size.PrefillRate = d.PrefillRate
		size.DecodeRate = d.DecodeRate
		size.MemoryTokens = d.MemoryTokens
	}
	return size
}
