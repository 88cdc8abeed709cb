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

// Config configures an agent. Descriptor, Engine and Incarnation must be set.
type Config struct {
	Descriptor  backend.Descriptor
	Incarnation uint64
	Engine      Engine
	Limits      Limits
	Ledger      backend.LedgerConfig // Capacity is taken from the descriptor
	Now         func() time.Time     // default time.Now; must be monotonic
	Logger      logrus.FieldLogger
	Metrics     metrics.Registry
	// Quarantined reports whether requests with a fingerprint must be refused.
	Quarantined func(fingerprint uint64) bool
	// OnEngineDeath is called once per death of the engine, with the requests
	// that were running. It must not block. The returned channel, if any, is
	// closed when the home entries have received the death.
	OnEngineDeath func(death Death) (announced <-chan struct{})
	// OnChange is called when the descriptor has changed. It must not block.
	OnChange func()
	// AwaitDrainPropagation, if set, returns when the entries have received an
	// announced drain, or after a bounded time.
	AwaitDrainPropagation func(ctx context.Context)
	// Fences admits or refuses orders by the fence of their lease. Without it
	// every order is refused.
	Fences *lease.FenceChecker
	// ChecksFencing, if set, reports whether the engine itself rejects an order
	// with an old fencing number, also after a restart of the engine. An order
	// whose highest fence Fences can't read is then left to the engine's check;
	// otherwise it is refused.
	ChecksFencing func() bool
	// ConfigVersion and Homes are reported by Status. Both may be nil.
	ConfigVersion func() uint64
	Homes         func() []string
}

// Limits limits the work that an agent accepts. Zero fields take the defaults.
type Limits struct {
	MaxRunning               int           // concurrent runs; default 256
	MaxLongWaiting           int           // long runs that wait for admission; default 8
	LongPrefillTokens        int64         // total tokens of long prompts in prefill; default 400,000
	LongAdmissionTimeout     time.Duration // longest wait of a long run for admission; default 5 s
	MaxRunAloneWaiting       int           // suspects that wait for an idle engine; default 16
	RunAloneAdmissionTimeout time.Duration // longest wait of a suspect, below the entries' LongAdmissionTimeout; default 4 s
	MaxBodyBytes             uint64        // body of one request; default 32 MiB
	MaxTotalBodyBytes        uint64        // bodies of all runs not yet sent to the engine; default 128 MiB
	BodyTimeout              time.Duration // from Admit to the complete body; default 10 s
	MaxTimeout               time.Duration // longest time limit of a run; default 24 h, the longest that entries accept
	SendGrace                time.Duration // time to write an End to an entry that doesn't read; default 2 s
	HealthInterval           time.Duration // between probes of the engine; default 1 s
	ProbeTimeout             time.Duration // of one probe; default 1 s
	OrderTimeout             time.Duration // of the wait for an order's turn, and of its execution; default 2 min
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
		// A plain service has no KV memory: each call counts as one token.
		c.Ledger.Capacity = int64(c.Limits.MaxRunning)
	}
	return c, nil
}
