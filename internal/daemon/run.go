package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/agent"
	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/entry"
	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/internal/gatewaynode"
	"github.com/briarturn/briarturn/internal/logqueue"
	"github.com/briarturn/briarturn/internal/node"
	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/platform"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/settings"
	"github.com/briarturn/briarturn/upstream"
)

// runner is a running role.
type runner interface {
	DrainAndWait(ctx context.Context) error
	Close()
}

func (c *checkCommand) run(e env) error {
	s, err := loadSettings(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: ok, role %s, name %s\n", c.File, s.Role, s.Name)
	return nil
}

// loadSettings reads a settings file. Its error lists every invalid key by its path.
func loadSettings(path string) (*settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, errors.WithType(err, errUsage)
	}
	return s, nil
}

// run starts the role, waits for ctx to end, then drains and stops the role.
func (c *runCommand) run(ctx context.Context, e env) error {
	s, err := loadSettings(c.File)
	if err != nil {
		return err
	}
	lines := logqueue.New(e.out, logqueue.DefaultCapacity)
	defer lines.Close()
	logger, err := newLogger(lines, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	log := logger.WithField("node", s.Name) // log lines of several processes are read together
	// In production a violated invariant is counted and logged: a panic would drop
	// every request in progress.
	invariant.SetPanic(false)
	invariant.SetViolationHandler(func(name, detail string) {
		log.WithField("invariant", name).Error(detail)
	})
	node.LimitGarbage()
	reload, err := newReloader(c.File, log)
	if err != nil {
		return err
	}
	r, drain, err := startRole(s, log, newSampler(s, lines), reload)
	if err != nil {
		return err
	}
	defer r.Close()
	reloadCtx, stopReload := context.WithCancel(context.Background())
	defer stopReload()
	go reload.run(reloadCtx)
	log.WithFields(logrus.Fields{"role": s.Role, "zone": s.Zone}).Info("started")
	<-ctx.Done()
	log.WithField("limit", drain).Info("draining")
	drainCtx, cancel := drainContext(drain)
	defer cancel()
	if err := r.DrainAndWait(drainCtx); err != nil {
		return err
	}
	log.Info("drained")
	return nil
}

// startRole starts the role given in the settings and returns it with its drain
// timeout.
func startRole(s *settings.Settings, log logrus.FieldLogger, sampler gateway.Sampler, reload *reloader) (runner, time.Duration, error) {
	registry := metrics.NewRegistry()
	store, err := platform.NewStoreClient(storeConfig(s, log, registry))
	if err != nil {
		return nil, 0, errors.Annotatef(err, "step start, peer %s", s.Platform.Address)
	}
	reload.apply = func(changed *settings.Settings) { applySettings(changed, store, log) }
	if s.Role == settings.RoleEntry {
		r, err := node.StartEntry(entryConfig(s, store, log, registry))
		return r, drainTimeout(s), err
	}
	if s.Role == settings.RoleGateway {
		c := gatewayConfig(s, store, log, registry)
		c.Sampler = sampler
		r, err := gatewaynode.Start(c)
		return r, drainTimeout(s), err
	}
	r, err := node.StartAgent(agentConfig(s, store, log, registry))
	return r, drainTimeout(s), err
}

func storeConfig(s *settings.Settings, log logrus.FieldLogger, r metrics.Registry) platform.StoreConfig {
	return platform.StoreConfig{
		BaseURL:         s.Platform.Address,
		CallTimeout:     time.Duration(s.Platform.CallTimeout),
		ReadsPerSecond:  s.Platform.ReadsPerSecond,
		WritesPerSecond: s.Platform.WritesPerSecond,
		Metrics:         r,
		Log:             log,
	}
}

// newSampler returns the sampler that limits the routine lines in a gateway's log,
// or nil for other roles.
func newSampler(s *settings.Settings, lines *logqueue.Queue) gateway.Sampler {
	if s.Role != settings.RoleGateway {
		return nil
	}
	return logqueue.NewSampler(lines, s.Gateway.RoutineLines)
}

// drainTimeout returns how long work in progress may take to finish after SIGTERM.
func drainTimeout(s *settings.Settings) time.Duration {
	switch s.Role {
	case settings.RoleEntry:
		return time.Duration(s.Entry.Timeouts.Drain)
	case settings.RoleGateway:
		return time.Duration(s.Gateway.Grace)
	}
	return time.Duration(s.Agent.Drain)
}

func entryConfig(s *settings.Settings, store objectapi.Store, log logrus.FieldLogger, r metrics.Registry) node.EntryConfig {
	limits, timeouts := s.Entry.Limits, s.Entry.Timeouts
	return node.EntryConfig{
		Name:             s.Name,
		Zone:             s.Zone,
		Region:           s.Region,
		HTTPListen:       s.Listen.HTTP,
		RPCListen:        s.Listen.RPC,
		DatagramListen:   s.Listen.Datagram,
		AdminListen:      s.Listen.Admin,
		Policy:           s.Entry.RoutingPolicy,
		Seeds:            s.Entry.Seeds,
		UnconfirmedPeers: s.Entry.Outage.UnconfirmedPeers,
		UnconfirmedAfter: time.Duration(s.Entry.Outage.UnconfirmedAfter),
		RetryRatio:       node.RetryRatio(s.Entry.RetryBudget),
		Store:            store,
		Limits: entry.Limits{
			MaxBodyBytes:         limits.MaxBodyBytes,
			MaxHeaderBytes:       limits.MaxHeaderBytes,
			MaxInProgress:        int64(limits.MaxRunning) + int64(limits.MaxQueued),
			MaxPromptTokens:      limits.MaxPromptTokens,
			DefaultMaxTokens:     limits.DefaultMaxTokens,
			MaxTokens:            limits.MaxTokens,
			TokensPerGroupMember: limits.TokensPerGroupMember,
			HeaderTimeout:        time.Duration(timeouts.ReadHeader),
			ReadTimeout:          time.Duration(timeouts.ReadBody),
			WriteTimeout:         time.Duration(timeouts.WriteStall),
			IdleTimeout:          time.Duration(timeouts.Idle),
			DefaultTimeout:       time.Duration(timeouts.Request),
			MaxTimeout:           time.Duration(timeouts.MaxRequest),
		},
		Log:     log,
		Metrics: r,
	}
}

func agentConfig(s *settings.Settings, store objectapi.Store, log logrus.FieldLogger, r metrics.Registry) node.AgentConfig {
	a := s.Agent
	return node.AgentConfig{
		Descriptor: backend.Descriptor{
			Name:          s.Name,
			EngineAddress: a.Address,
			Zone:          s.Zone,
			Region:        s.Region,
			Pool:          a.Pool,
			Service:       a.PlainService,
			Models:        a.Models,
			Adapters:      a.Adapters,
			Role:          a.Role,
			PrefillRate:   a.PrefillRate,
			DecodeRate:    a.DecodeRate,
			MemoryTokens:  a.MemoryTokens,
		},
		BackendAddress: a.Address,
		ChecksFencing:  a.ChecksFencing,
		RPCListen:      s.Listen.RPC,
		DatagramListen: s.Listen.Datagram,
		AdminListen:    s.Listen.Admin,
		Seeds:          a.Seeds,
		Store:          store,
		Limits:         agent.Limits{MaxRunning: a.Concurrency},
		Log:            log,
		Metrics:        r,
	}
}

func gatewayConfig(s *settings.Settings, store objectapi.Store, log logrus.FieldLogger, r metrics.Registry) gatewaynode.Config {
	g := s.Gateway
	return gatewaynode.Config{
		Name:           s.Name,
		Listen:         s.Listen.HTTP,
		ReadyListen:    s.Listen.Ready,
		Datagram:       s.Listen.Datagram,
		RPC:            s.Listen.RPC,
		AdminListen:    s.Listen.Admin,
		Zone:           s.Zone,
		Region:         s.Region,
		Regions:        g.Regions,
		FirstStart:     g.FirstStart,
		ConfigWithin:   time.Duration(g.ConfigWithin),
		DrainWithin:    time.Duration(g.DrainWithin),
		EvacuateWithin: time.Duration(g.EvacuateWithin),
		LinkMbps:       int(g.LinkMbps),
		Grace:          time.Duration(g.Grace),
		RetryRatio:     g.RetryRatio,
		RetrySlack:     g.RetrySlack,
		RetryWindow:    time.Duration(g.RetryWindow),
		Conns: gatewaynode.ConnLimits{
			HeaderBytes:   g.Limits.HeaderBytes,
			HeaderTimeout: time.Duration(g.Limits.HeaderTimeout),
			IdleTimeout:   time.Duration(g.Limits.IdleTimeout),
		},
		Options:  gatewayOptions(g),
		Policy:   placement.Policy(g.Placement),
		Store:    store,
		Protocol: platform.Protocol{},
		Engines:  func(p *upstream.Pool) reservation.EngineClient { return platform.NewEngineClient(p) },
		Decoder: gatewaynode.Decoder{
			ConfigKind:      platform.KindConfig,
			ServersKind:     platform.KindServers,
			EvacuationsKind: platform.KindEvacuations,
			Config:          platform.DecodeConfig,
			Server:          platform.DecodeServer,
		},
		Log:     log,
		Metrics: r,
	}
}

func gatewayOptions(g *settings.Gateway) gateway.Options {
	l := &g.Limits
	return gateway.Options{
		Features:           g.Contention.Features(),
		KeyAge:             time.Duration(l.KeyAge),
		RefusalAge:         time.Duration(g.ConfigWithin),
		BodiesBytes:        l.BodiesBytes,
		BodyTimeout:        time.Duration(l.BodyTimeout),
		WriteSlack:         time.Duration(l.WriteSlack),
		RetryAfter:         time.Duration(l.RetryAfter),
		StaleRetryAfter:    time.Duration(l.StaleRetryAfter),
		PoisonRetryAfter:   time.Duration(l.PoisonRetryAfter),
		DeclaredRetryAfter: time.Duration(l.DeclaredRetryAfter),
		ConnectTries:       l.ConnectTries,
	}
}

// applySettings applies the one setting that can change while a process runs, the
// address of the object API. All others take effect at the next start.
func applySettings(s *settings.Settings, store *platform.StoreClient, log logrus.FieldLogger) {
	if err := store.SetAddress(s.Platform.Address); err != nil {
		log.WithError(err).Warn("failed to change the object API address; keeping the current one")
	}
}
