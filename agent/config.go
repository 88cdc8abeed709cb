package agent

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/lease"
)

// Config is what an agent needs. Descriptor, Engine and Incarnation must be set.
type Config struct {
	Descriptor  backend.Descriptor
	Incarnation uint64
	Engine      Engine
	Limits      Limits
	Ledger      backend.LedgerConfig // Capacity comes from the descriptor
	Now         func() time.Time     // default time.Now; must be monotonic
	Logger      logrus.FieldLogger
	Metrics     metrics.Registry
	// Quarantined reports whether a fingerprint may not run at all.
	Quarantined func(fingerprint uint64) bool
	// OnEngineDeath is told once per death what was running. It must not block;
	// the channel, if any, is closed once the homes have heard of the death.
	OnEngineDeath func(death Death) (heard <-chan struct{})
	// OnChange is told that the descriptor changed. It must not block.
	OnChange func()
	// AwaitDrainPropagation, if given, returns once entries know of an announced drain, or
	// after a bounded time.
	AwaitDrainPropagation func(ctx context.Context)
	// Fences admits or refuses orders by their lease. Without it every order is
	// refused.
	Fences *lease.FenceChecker
	// ChecksFencing, if given, says whether the engine itself refuses an order with an old
	// fencing number, also after a restart of its own. An order whose floor
	// Fences can't learn is then left to the engine's check; else it is refused.
	ChecksFencing func() bool
	// ConfigVersion and Homes are shown in Status. Both may be nil.
	ConfigVersion func() uint64
	Homes         func() []string
}

// Limits bound what an agent takes on. Zero fields take the defaults.
type Limits struct {
	MaxRunning               int           // runs at a time; default 256
	MaxLongWaiting           int           // long runs that wait for admission; default 8
	LongPrefillTokens        int64         // long prompts in prefill together; default 400,000
	LongAdmissionTimeout     time.Duration // a long run waits so long for admission; default 5 s
	MaxRunAloneWaiting       int           // suspects that wait for an idle engine; default 16
	RunAloneAdmissionTimeout time.Duration // a suspect waits so long, under the entries' LongAdmitWait; default 4 s
	MaxBodyBytes             uint64        // one request; default 32 MiB
	MaxTotalBodyBytes        uint64        // bodies of all runs not yet sent on; default 128 MiB
	BodyTimeout              time.Duration // from Admit to the whole body; default 10 s
	MaxTimeout               time.Duration // longest time limit; default 24 h, as entries accept
	SendGrace                time.Duration // to write an End to an entry that doesn't read; default 2 s
	HealthInterval           time.Duration // between looks at the engine; default 1 s
	ProbeTimeout             time.Duration // of one look; default 1 s
	OrderTimeout             time.Duration // default 2 min
}

// Defaults of Limits.
const (
	defaultMaxRunning     = 256
	defaultMaxLongWaiting = 8
	defaultLongPrefill    = 400_000
	defaultLongWait       = 5 * time.Second
	defaultMaxLoneWaiting = 16
	defaultLoneWait       = 4 * time.Second
	defaultMaxBody        = 32 << 20
	defaultMaxBodies      = 128 << 20
	defaultBodyTimeout    = 10 * time.Second
	defaultMaxTimeout     = 24 * time.Hour
	defaultSendGrace      = 2 * time.Second
	defaultHealthInterval = time.Second
	defaultProbeTimeout   = time.Second
	defaultOrderTimeout   = 2 * time.Minute
)

func (l Limits) withDefaults() Limits {
	l.MaxRunning = cmp.Or(l.MaxRunning, defaultMaxRunning)
	l.MaxLongWaiting = cmp.Or(l.MaxLongWaiting, defaultMaxLongWaiting)
	l.LongPrefillTokens = cmp.Or(l.LongPrefillTokens, defaultLongPrefill)
	l.LongAdmissionTimeout = cmp.Or(l.LongAdmissionTimeout, defaultLongWait)
	l.MaxRunAloneWaiting = cmp.Or(l.MaxRunAloneWaiting, defaultMaxLoneWaiting)
	l.RunAloneAdmissionTimeout = cmp.Or(l.RunAloneAdmissionTimeout, defaultLoneWait)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaultMaxBody)
	l.MaxTotalBodyBytes = cmp.Or(l.MaxTotalBodyBytes, defaultMaxBodies)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaultBodyTimeout)
	l.MaxTimeout = cmp.Or(l.MaxTimeout, defaultMaxTimeout)
	l.SendGrace = cmp.Or(l.SendGrace, defaultSendGrace)
	l.HealthInterval = cmp.Or(l.HealthInterval, defaultHealthInterval)
	l.ProbeTimeout = cmp.Or(l.ProbeTimeout, defaultProbeTimeout)
	l.OrderTimeout = cmp.Or(l.OrderTimeout, defaultOrderTimeout)
	return l
}

func (c Config) withDefaults() (Config, error) {
	if c.Engine == nil {
		return c, errors.NotValidf("agent without an engine")
	}
	if c.Descriptor.Name == "" {
		return c, errors.NotValidf("agent without a name")
	}
	if c.Descriptor.MemoryTokens <= 0 && !c.Descriptor.Service {
		return c, errors.NotValidf("engine %s without memory", c.Descriptor.Name)
	}
	if c.Incarnation == 0 {
		return c, errors.NotValidf("agent %s without an incarnation", c.Descriptor.Name)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Quarantined == nil {
		c.Quarantined = func(uint64) bool { return false }
	}
	c.Limits = c.Limits.withDefaults()
	c.Ledger.Capacity = c.Descriptor.MemoryTokens
	if c.Descriptor.Service {
		// A plain service has no KV memory: each call counts one token.
		c.Ledger.Capacity = int64(c.Limits.MaxRunning)
	}
	return c, nil
}
