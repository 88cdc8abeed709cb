package dev

import (
	"context"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/node"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
	standinservice "github.com/briarturn/briarturn/internal/standin/service"
)

// Backend is one backend server of a Fleet with its agent. Exactly one of Engine
// and Service is set.
type Backend struct {
	Name    string
	Pool    string
	Engine  *standinengine.Server
	Service *standinservice.Server
	Agent   *node.Agent
	Metrics metrics.Registry

	config node.AgentConfig
	store  *cutStore
}

func (f *Fleet) startBackends(context.Context) error {
	for _, d := range f.cfg.Objects {
		set, ok := d.Spec.(*declared.BackendServerSet)
		if !ok {
			continue
		}
		for _, member := range set.Members() {
			if err := f.startBackend(set, member); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startBackend(set *declared.BackendServerSet, member declared.BackendServer) error {
	b := &Backend{Name: member.Name, Pool: set.Pool, Metrics: metrics.NewRegistry()}
	d := backend.Descriptor{
		Name:    member.Name,
		Zone:    member.Zone,
		Region:  region,
		Pool:    set.Pool,
		Service: set.PlainService,
		Role:    backend.RoleMixed,
	}
	address, err := f.startStandin(b, set, &d)
	if err != nil {
		return errors.Annotatef(err, "step start stand-in, name %s", member.Name)
	}
	b.config = node.AgentConfig{
		Descriptor:     d,
		BackendAddress: address,
		RPCListen:      f.loopback,
		DatagramListen: f.loopback,
		Limits:         f.cfg.AgentLimits,
		Log:            f.cfg.Log,
		Metrics:        b.Metrics,
		DatagramFault:  f.cfg.DatagramFault,
	}
	f.Backends = append(f.Backends, b)
	return f.StartAgent(b)
}

// StartAgent starts the agent of a backend server whose agent was closed, or has
// none yet. It learns of the entries from those that run at present.
func (f *Fleet) StartAgent(b *Backend) error {
	cfg := b.config
	cfg.Seeds = f.seeds()
	store := &cutStore{Store: f.Store}
	cfg.Store = store
	a, err := node.StartAgent(cfg)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b.Agent, b.store = a, store
	return nil
}

func (f *Fleet) startStandin(b *Backend, set *declared.BackendServerSet, d *backend.Descriptor) (string, error) {
	var address string
	var err error
	if set.PlainService {
		b.Service, address, err = standinservice.Start()
		return address, err
	}
	pool := f.pool(set.Pool)
	if pool == nil {
		return "", errors.NotFoundf("model pool %s", set.Pool)
	}
	cfg := f.engineConfig(pool)
	cfg.Models, cfg.Weights = nil, nil
	for _, m := range pool.Models {
		d.Models = append(d.Models, m.Name)
		cfg.Weights = append(cfg.Weights, standinengine.Weights{Name: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			d.Adapters = append(d.Adapters, a.Name)
			cfg.Weights = append(cfg.Weights, standinengine.Weights{Name: a.Name, Parent: m.Name, Version: a.Version})
		}
	}
	cfg.ChecksFencing = set.ChecksFencing
	d.PrefillRate = int64(cfg.PrefillRate)
	d.DecodeRate = int64(float64(pool.Engine.DecodeRate) * f.cfg.Speed)
	d.MemoryTokens = int64(cfg.MemoryTokens)
	b.Engine, address, err = standinengine.Start(cfg)
	d.EngineAddress = address
	return address, err
}

func (f *Fleet) engineConfig(pool *declared.ModelPool) standinengine.Config {
	if f.cfg.Engine != nil {
		return f.cfg.Engine(pool)
	}
	cfg := standinengine.DefaultConfig()
	cfg.PrefillRate = float64(pool.Engine.PrefillRate) * f.cfg.Speed
	cfg.MemoryTokens = int(pool.Engine.MemoryTokens)
	return cfg
}

func (f *Fleet) pool(name string) *declared.ModelPool {
	for _, d := range f.cfg.Objects {
		if p, ok := d.Spec.(*declared.ModelPool); ok && d.Name == name {
			return p
		}
	}
	return nil
}

func (b *Backend) close() {
	if b.Agent != nil {
		b.Agent.Close()
	}
	if b.Engine != nil {
		b.Engine.Close()
	}
	if b.Service != nil {
		b.Service.Close()
	}
}
