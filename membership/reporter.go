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
	// ackEvery is the number of reports after which an entry acknowledges one.
	ackEvery = 4
	// suspectAfterUnacked is the number of reports without an acknowledgement
	// after which a home is suspect: two lost acknowledgements and one more
	// report.
	suspectAfterUnacked = 2*ackEvery + 1
	// probeEveryRounds is the interval, in rounds of reports, at which a suspect
	// home is probed.
	probeEveryRounds = 4
	// maxDrainRepeats is the number of reports with the drain flag that are sent
	// at the least interval until every home has acknowledged it. Without them a
	// lost datagram would cost a period of new work.
	maxDrainRepeats = 10
	// unscheduledEvery is the number of periods per unscheduled report.
	unscheduledEvery = 4
	// unscheduledBurst is the number of unscheduled reports that may follow one
	// another at the least interval.
	unscheduledBurst = 2
)

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Descriptor  backend.Descriptor
	Incarnation uint64 // start time of the process in Unix milliseconds
	// Seeds are the drpc addresses of entries to pull the first list of entries
	// from.
	Seeds []string
	// Homes is the number of homes. If it is zero, HomeCount of the region's
	// entries is used.
	Homes int
	// Period is the shortest time between periodic reports. Entries may request
	// a longer one. The default is 1 s.
	Period time.Duration
	// MinInterval is the least time between two reports. The default is 250 ms.
	MinInterval time.Duration
	Rand        *rand.Rand
	Metrics     metrics.Registry // nil: a new registry
}

// Reporter is the membership state of an agent.
type Reporter struct {
	cfg         ReporterConfig
	incarnation uint64
	sequence    uint64
	config      uint64 // newest configuration version in force here

	peerLists   map[string][]*wirepb.Peer // lists of entries by the name of the sender
	peersPullAt time.Time                 // when the pull of a changed list is due
	entries     map[uint64]*entryState
	ranked      []*entryState // all entries, best first
	active      []*entryState // entries that receive reports

	nextReportAt       time.Time
	lastSentAt         time.Time
	lastSent           backend.Load // load of the last report
	round              int
	drainRepeatsLeft   int    // reports with the drain flag left to send at the least interval
	drainSequence      uint64 // sequence of the first report with the drain flag
	unscheduledLimiter *rate.Limiter
	seedAskedAt        time.Time // time of the last pull from a seed
	nextSeed           int
	offer              configOffer
	confirmConfig      bool // a new configuration version is to be reported

	homesSuspected, oldIncarnation, incarnationRaised metrics.Counter
}

// NewReporter returns a reporter that has no list of entries yet.
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
		cfg:                cfg,
		incarnation:        cfg.Incarnation,
		peerLists:          map[string][]*wirepb.Peer{},
		entries:            map[uint64]*entryState{},
		unscheduledLimiter: rate.NewLimiter(rate.Every(unscheduledEvery*cfg.Period), unscheduledBurst),
		homesSuspected:     metrics.GetOrRegisterCounter("membership.homes_suspected", cfg.Metrics),
		oldIncarnation:     metrics.GetOrRegisterCounter("membership.old_incarnation", cfg.Metrics),
		incarnationRaised:  metrics.GetOrRegisterCounter("membership.incarnation_raised", cfg.Metrics),
	}
	if len(cfg.Seeds) > 0 {
		r.nextSeed = cfg.Rand.IntN(len(cfg.Seeds))
	}
	return r
}

// Incarnation returns the incarnation of the agent.
func (r *Reporter) Incarnation() uint64 { return r.incarnation }

// Period returns the time between periodic reports: the longest that a home
// requests, and at least the configured one.
func (r *Reporter) Period() time.Duration {
	period := r.cfg.Period
	for _, h := range r.active {
		period = max(period, min(h.period, maxReportPeriod))
	}
	return period
}

// SetConfigVersion sets the revision of the declared state in force here. A
// greater one is reported at once, so that homes stop announcing it.
func (r *Reporter) SetConfigVersion(v uint64) {
	if v <= r.config {
		return
	}
	r.config = v
	r.confirmConfig = true
}

// SetDescriptor replaces the descriptor. The next report to each home carries
// it.
func (r *Reporter) SetDescriptor(d backend.Descriptor) {
	r.cfg.Descriptor = d
	for _, h := range r.entries {
		h.hasDescriptor = false
	}
}

// Tick sends what is due. Call it at least every MinInterval. load is the
// present load. Its incarnation is set here, and its sequence if it has none or
// an old one.
func (r *Reporter) Tick(now time.Time, load backend.Load) Effects {
	var out Effects
	r.pullFromSeed(now, &out)
	r.pullConfig(now, &out)
	if r.nextReportAt.IsZero() {
		// A random first delay keeps the agents of a zone that all start at the
		// same time from reporting in step permanently.
		r.nextReportAt = now.Add(r.randomPart(r.Period()))
		r.lastSent = load
	}
	if load.Draining && !r.lastSent.Draining && r.drainRepeatsLeft == 0 {
		r.drainRepeatsLeft = maxDrainRepeats
		r.drainSequence = r.sequence + 1
	}
	if r.isDue(now, load) {
		r.sendReport(now, load, &out)
	}
	return out
}

// isDue reports whether a report is to be sent now.
func (r *Reporter) isDue(now time.Time, load backend.Load) bool {
	if !now.Before(r.nextReportAt) {
		return true
	}
	if now.Sub(r.lastSentAt) < r.cfg.MinInterval {
		return false
	}
	if r.confirmConfig || r.drainRepeatsLeft > 0 && !r.drainAcked() {
		return true
	}
	return loadChanged(r.lastSent, load) && r.unscheduledLimiter.AllowN(now, 1)
}

// DrainReported reports whether a load with the drain flag was sent and either
// every home that isn't suspect has acknowledged it or all its repeats were
// sent.
func (r *Reporter) DrainReported() bool {
	return r.lastSent.Draining && r.sequence > 0 && (r.drainRepeatsLeft == 0 || r.drainAcked())
}

// drainAcked reports whether every home that isn't suspect has acknowledged the
// drain.
func (r *Reporter) drainAcked() bool {
	for _, h := range r.active {
		if !h.suspect && h.ackedSequence < r.drainSequence {
			return false
		}
	}
	return true
}

// loadChanged reports whether a load justifies an unscheduled report: the
// prefill changed by more than minChange, and by more than half of the greater
// value.
func loadChanged(old, now backend.Load) bool {
	const minChange = 8_000 // tokens
	before := old.PrefillShort + old.PrefillLong
	after := now.PrefillShort + now.PrefillLong
	diff := after - before
	if diff < 0 {
		diff = -diff
	}
	return diff > minChange && diff > max(before, after)/2
}

// sendReport sends one sample to every home.
func (r *Reporter) sendReport(now time.Time, load backend.Load, out *Effects) {
	// The load that agents send with answers takes its sequence from the same
	// counter. With a separate, lower sequence in reports, an entry that had
	// received one answer dropped all later reports as old, and its data of the
	// backend server stayed unchanged until the next answer.
	r.sequence = max(r.sequence+1, load.Sequence)
	r.round++
	load.Sequence = r.sequence
	load.Incarnation = 0 // the message has a separate field for it
	for _, h := range r.active {
		if h.suspect && r.round%probeEveryRounds != 0 {
			continue
		}
		out.send(h.addr, r.reportOrHello(h, load))
		h.unacked++
	}
	r.lastSent = load
	r.lastSentAt = now
	r.confirmConfig = false
	r.drainRepeatsLeft = max(r.drainRepeatsLeft-1, 0)
	r.unscheduledLimiter.SetLimitAt(now, rate.Every(unscheduledEvery*r.Period()))
	r.nextReportAt = now.Add(r.Period()*9/10 + r.randomPart(r.Period()/5))
	r.suspectUnackedHomes()
}

// reportOrHello returns a report, or a hello for a home that doesn't have the
// descriptor yet.
func (r *Reporter) reportOrHello(h *entryState, load backend.Load) *wirepb.Datagram {
	if !h.hasDescriptor {
		return r.newHello(load)
	}
	return reportMessage(&wirepb.Report{
		Key:           wire.NameKey(r.cfg.Descriptor.Name),
		Incarnation:   r.incarnation,
		Load:          wire.LoadToProto(load),
		ConfigVersion: r.config,
		PeriodMs:      uint32(r.Period().Milliseconds()),
	})
}

func (r *Reporter) newHello(load backend.Load) *wirepb.Datagram {
	return helloMessage(&wirepb.Hello{
		Descriptor_:   wire.DescriptorToProto(r.cfg.Descriptor, r.incarnation),
		Load:          wire.LoadToProto(load),
		ConfigVersion: r.config,
		PeriodMs:      uint32(r.Period().Milliseconds()),
	})
}

// randomPart returns a random part of d.
func (r *Reporter) randomPart(d time.Duration) time.Duration {
	return time.Duration(r.cfg.Rand.Float64() * float64(d))
}
