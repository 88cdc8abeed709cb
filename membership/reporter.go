package membership

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Timing of reports.
const (
	defaultReportPeriod = time.Second
	maxReportPeriod     = 30 * time.Second
	defaultMinInterval  = 250 * time.Millisecond
	// ackEvery is how many reports an entry takes before it acknowledges one.
	ackEvery = 4
	// suspectUnacked is the number of reports without an acknowledgement after
	// which a home is suspect: two lost acknowledgements and one more report.
	suspectUnacked = 2*ackEvery + 1
	// probeEvery is how many rounds a suspect home is left out between probes.
	probeEvery = 4
	// drainRepeats is how often the drain flag is sent at the least interval
	// until every home acknowledged it, so that a lost datagram doesn't cost a
	// period of new work.
	drainRepeats = 10
	// deltaEvery is how many periods earn one report out of turn.
	deltaEvery = 4
	deltaBurst = 2
)

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Descriptor  backend.Descriptor
	Incarnation uint64 // the process's start, Unix milliseconds
	// Seeds are drpc addresses of entries to ask for the list of entries.
	Seeds []string
	// Homes is the number of homes; zero takes HomeCount of the region.
	Homes int
	// Period is the shortest time between periodic reports; entries may ask
	// for a longer one. Default 1 s.
	Period time.Duration
	// MinInterval is the least time between two reports. Default 250 ms.
	MinInterval time.Duration
	Rand        *rand.Rand
	Metrics     metrics.Registry // nil: a registry of its own
}

// Reporter is an agent's side of membership.
type Reporter struct {
	cfg         ReporterConfig
	incarnation uint64
	sequence    uint64
	config      uint64 // newest configuration version in force here

	sources map[string][]*wirepb.Peer // lists of entries by who gave them
	listAt  time.Time                 // when a changed list is due to be pulled
	entries map[uint64]*home
	ranked  []*home // all entries, best first
	active  []*home // those that are reported to

	nextAt   time.Time
	sentAt   time.Time
	sent     backend.Load // what the last report said
	round    int
	urgent   int    // drain reports still to repeat
	drainSeq uint64 // the first report with the drain flag
	deltas   *rate.Limiter
	askedAt  time.Time // seeds
	nextSeed int
	news     configNews
	confirm  bool // a new configuration version is to be reported

	suspected, oldEntry, raised metrics.Counter
}

// NewReporter returns a reporter that knows no entry yet.
func NewReporter(cfg ReporterConfig) *Reporter {
	if cfg.Period == 0 {
		cfg.Period = defaultReportPeriod
	}
	if cfg.MinInterval == 0 {
		cfg.MinInterval = defaultMinInterval
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	r := &Reporter{
		cfg:         cfg,
		incarnation: cfg.Incarnation,
		sources:     map[string][]*wirepb.Peer{},
		entries:     map[uint64]*home{},
		deltas:      rate.NewLimiter(rate.Every(deltaEvery*cfg.Period), deltaBurst),
		suspected:   metrics.GetOrRegisterCounter("membership.homes_suspected", cfg.Metrics),
		oldEntry:    metrics.GetOrRegisterCounter("membership.old_incarnation", cfg.Metrics),
		raised:      metrics.GetOrRegisterCounter("membership.incarnation_raised", cfg.Metrics),
	}
	if len(cfg.Seeds) > 0 {
		r.nextSeed = cfg.Rand.IntN(len(cfg.Seeds))
	}
	return r
}

// Incarnation returns the agent's incarnation.
func (r *Reporter) Incarnation() uint64 { return r.incarnation }

// Period returns the time between periodic reports: the longest that a home
// asks for, but not under the configured one.
func (r *Reporter) Period() time.Duration {
	period := r.cfg.Period
	for _, h := range r.active {
		period = max(period, min(h.period, maxReportPeriod))
	}
	return period
}

// SetConfigVersion tells the revision of the declared state in force here. A
// greater one is reported at once, so that homes stop announcing it.
func (r *Reporter) SetConfigVersion(v uint64) {
	if v <= r.config {
		return
	}
	r.config = v
	r.confirm = true
}

// SetDescriptor replaces the descriptor. Homes are told of it with the next
// report.
func (r *Reporter) SetDescriptor(d backend.Descriptor) {
	r.cfg.Descriptor = d
	for _, h := range r.entries {
		h.greeted = false
	}
}

// Tick sends what is due. Call it at least every MinInterval. load is the
// present load; its incarnation is set here, its sequence too if it has none or
// an old one.
func (r *Reporter) Tick(now time.Time, load backend.Load) Effects {
	var out Effects
	r.askSeeds(now, &out)
	r.pullConfig(now, &out)
	if r.nextAt.IsZero() {
		// A random first delay keeps the agents of a zone that comes back at
		// once from reporting in step ever after.
		r.nextAt = now.Add(r.spread(r.Period()))
		r.sent = load
	}
	if load.Draining && !r.sent.Draining && r.urgent == 0 {
		r.urgent = drainRepeats
		r.drainSeq = r.sequence + 1
	}
	if r.due(now, load) {
		r.report(now, load, &out)
	}
	return out
}

// due tells whether a report is to be sent now.
func (r *Reporter) due(now time.Time, load backend.Load) bool {
	if !now.Before(r.nextAt) {
		return true
	}
	if now.Sub(r.sentAt) < r.cfg.MinInterval {
		return false
	}
	if r.confirm || r.urgent > 0 && !r.drainAcked() {
		return true
	}
	return changed(r.sent, load) && r.deltas.AllowN(now, 1)
}

// DrainReported tells whether a load with the drain flag was reported, and either
// every home that answers knows of it or it was repeated often enough.
func (r *Reporter) DrainReported() bool {
	return r.sent.Draining && r.sequence > 0 && (r.urgent == 0 || r.drainAcked())
}

// drainAcked tells whether every home that answers knows of the drain.
func (r *Reporter) drainAcked() bool {
	for _, h := range r.active {
		if !h.suspect && h.acked < r.drainSeq {
			return false
		}
	}
	return true
}

// changed tells whether a load differs enough from the last one sent to be
// worth a report out of turn: half or double the work, and not a trifle.
func changed(old, now backend.Load) bool {
	const trifle = 8_000 // tokens
	before := old.PrefillShort + old.PrefillLong
	after := now.PrefillShort + now.PrefillLong
	diff := after - before
	if diff < 0 {
		diff = -diff
	}
	return diff > trifle && diff > max(before, after)/2
}

// report sends one sample to every home.
func (r *Reporter) report(now time.Time, load backend.Load, out *Effects) {
	// The load that goes with answers is numbered by the same counter as this
	// one. With numbers of the reporter's own, which lag behind it, an entry that
	// had one answer dropped all later reports as old, and its picture of the
	// backend server stood still until the next answer.
	r.sequence = max(r.sequence+1, load.Sequence)
	r.round++
	load.Sequence = r.sequence
	load.Incarnation = 0 // stands beside it in the message
	for _, h := range r.active {
		if h.suspect && r.round%probeEvery != 0 {
			continue
		}
		out.send(h.addr, r.message(h, load))
		h.unacked++
	}
	r.sent = load
	r.sentAt = now
	r.confirm = false
	r.urgent = max(r.urgent-1, 0)
	r.deltas.SetLimitAt(now, rate.Every(deltaEvery*r.Period()))
	r.nextAt = now.Add(r.Period()*9/10 + r.spread(r.Period()/5))
	r.suspectSilent()
}

// message is a report, or a hello to a home that has no descriptor yet.
func (r *Reporter) message(h *home, load backend.Load) *wirepb.Datagram {
	if !h.greeted {
		return r.hello(load)
	}
	return reportMessage(&wirepb.Report{
		Key:           wire.Key(r.cfg.Descriptor.Name),
		Incarnation:   r.incarnation,
		Load:          wire.LoadMessage(load),
		ConfigVersion: r.config,
		PeriodMs:      uint32(r.Period().Milliseconds()),
	})
}

func (r *Reporter) hello(load backend.Load) *wirepb.Datagram {
	return helloMessage(&wirepb.Hello{
		Descriptor_:   wire.DescriptorMessage(r.cfg.Descriptor, r.incarnation),
		Load:          wire.LoadMessage(load),
		ConfigVersion: r.config,
		PeriodMs:      uint32(r.Period().Milliseconds()),
	})
}

// spread returns a random part of d.
func (r *Reporter) spread(d time.Duration) time.Duration {
	return time.Duration(r.cfg.Rand.Float64() * float64(d))
}
