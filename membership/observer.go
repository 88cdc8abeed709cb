package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Timing of an entry.
const (
	defaultDigestPeriod = time.Second
	// suspectPeriods and deadPeriods are how many of its periods an agent may
	// be silent.
	suspectPeriods = 3
	deadPeriods    = 30
	// judgeEvery is how often silence is judged: at 2,400 agents that is most
	// of a tick, and a suspicion is a matter of seconds.
	judgeEvery = 500 * time.Millisecond
	// foreignForget is how long a server that only digests mentioned is kept.
	foreignForget = 5 * time.Minute
	// describeRate bounds the requests for descriptors, per second.
	describeRate  = 2
	describeBurst = 4
)

// The budget of control bytes.
const (
	// DefaultControlBudget is what an entry may spend on control, bytes a second, in
	// and out together.
	DefaultControlBudget = 3000
	// minReportShare is the least part of it for agents' reports and their
	// answers; they get what digests leave, less spareShare for the rest.
	minReportShare = 0.45
	spareShare     = 0.15
	// reportCost is a report with its share of an acknowledgement, in bytes.
	// TestReportCost holds it against the encoded messages.
	reportCost = 110
)

// Table is what an Observer drives: an entry's table of backend servers.
type Table interface {
	// Observe takes a server's descriptor with a sample of its load.
	Observe(d backend.Descriptor, incarnation uint64, load backend.Load, now time.Time)
	// ObserveLoad takes a sample that is age old. It returns false if the
	// server or that incarnation of it is unknown. A sample that another entry
	// passed on has sequence zero: its age alone orders it.
	ObserveLoad(key, incarnation uint64, load backend.Load, age time.Duration, now time.Time) bool
	// ObserveListed takes a server's descriptor and a sample that is age old,
	// both passed on by another entry: this one isn't a home of the server.
	ObserveListed(d backend.Descriptor, incarnation uint64, load backend.Load, age time.Duration, now time.Time)
	// MarkSuspect, MarkLeaving and MarkDead change what is believed of a
	// server until it is observed again. A leaving one stays leaving until it
	// is observed with a greater incarnation.
	MarkSuspect(key uint64)
	MarkLeaving(key uint64)
	MarkDead(key uint64)
}

// ObserverConfig configures an Observer.
type ObserverConfig struct {
	Self  *wirepb.Peer // with its incarnation: the start, Unix milliseconds
	Table Table
	// DigestPeriod is the time between digests. Default 1 s.
	DigestPeriod time.Duration
	// ControlBudget is what may be spent on control, bytes a second in and out. It
	// decides the report period that agents are asked for. Default 3000.
	ControlBudget float64
	Rand          *rand.Rand
	Metrics       metrics.Registry // nil: a registry of its own
}

// Observer is an entry's side of membership.
type Observer struct {
	cfg      ObserverConfig
	self     *wirepb.Peer
	key      uint64
	config   configState
	agents   map[uint64]*agent
	direct   int // agents that report here
	peers    peerSet
	rumors   rumors
	digests  digestState
	describe *rate.Limiter
	fill     fill

	lastTick  time.Time
	judgedAt  time.Time
	lastHeard time.Time // anything from anyone
	nextAt    time.Time // next digest

	oldIncarnation, oldSequence, suspected, died, missed metrics.Counter
}

// agent is what an Observer knows of one backend server's agent.
type agent struct {
	key         uint64
	name        string
	descriptor  *wirepb.Descriptor // of this incarnation
	hash        uint32             // of the descriptor
	askedAt     time.Time          // when a descriptor that changed was asked for
	pool        string
	addr        netip.AddrPort
	incarnation uint64
	sequence    uint64 // of the last sample taken
	config      uint64 // revision that it said is in force there
	load        backend.Load
	sampledAt   time.Time
	heardAt     time.Time
	period      time.Duration
	sinceAck    int
	direct      bool // reports here, rather than mentioned in digests
	suspect     bool
	gone        bool      // dead, or unmentioned for long; only the descriptor counts
	leaving     uint64    // incarnation that the VM list says is leaving; 0: none
	drainedAt   time.Time // when the drain flag was first seen
}

// NewObserver returns an observer that knows nobody but itself.
func NewObserver(cfg ObserverConfig) *Observer {
	if cfg.DigestPeriod == 0 {
		cfg.DigestPeriod = defaultDigestPeriod
	}
	if cfg.ControlBudget == 0 {
		cfg.ControlBudget = DefaultControlBudget
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("membership."+name, cfg.Metrics)
	}
	return &Observer{
		cfg:            cfg,
		self:           proto.Clone(cfg.Self).(*wirepb.Peer),
		key:            wire.Key(cfg.Self.GetName()),
		agents:         map[uint64]*agent{},
		peers:          newPeerSet(),
		rumors:         newRumors(),
		describe:       rate.NewLimiter(describeRate, describeBurst),
		config:         newConfigState(cfg.ControlBudget),
		oldIncarnation: counter("old_incarnation"),
		oldSequence:    counter("old_sequence"),
		suspected:      counter("agents_suspected"),
		died:           counter("agents_dead"),
		missed:         counter("self_missed"),
	}
}

// Incarnation returns the entry's incarnation.
func (o *Observer) Incarnation() uint64 { return o.self.GetIncarnation() }

// ConfigVersions returns the configuration version in force at each agent that
// reports here, by name.
func (o *Observer) ConfigVersions() map[string]uint64 {
	out := make(map[string]uint64, o.direct)
	for _, a := range o.agents {
		if a.direct {
			out[a.name] = a.config
		}
	}
	return out
}

// SetDraining tells agents and peers that this entry is leaving.
func (o *Observer) SetDraining() {
	o.self.Draining = true
	o.peers.changed()
}

// ReportPeriod returns the period that this entry asks its agents for: what its
// budget allows for as many as report to it.
func (o *Observer) ReportPeriod() time.Duration {
	const withDeltas = reportCost * (1 + 1.0/deltaEvery)
	digests := 2 * float64(o.digests.bytes) / o.cfg.DigestPeriod.Seconds() // in and out
	left := max(o.cfg.ControlBudget*(1-spareShare)-digests, o.cfg.ControlBudget*minReportShare)
	seconds := float64(o.direct) * withDeltas / left
	period := time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
	return min(max(period, defaultReportPeriod), maxReportPeriod)
}

// Handle takes one datagram.
func (o *Observer) Handle(now time.Time, from netip.AddrPort, m *wirepb.Datagram) Effects {
	var out Effects
	if !o.lastHeard.IsZero() && now.Sub(o.lastHeard) > fillAfterPause {
		o.refill()
	}
	o.lastHeard = now
	switch body := m.GetBody().(type) {
	case *wirepb.Datagram_Report:
		o.handleReport(now, from, body.Report, &out)
	case *wirepb.Datagram_Hello:
		o.handleHello(now, from, body.Hello, &out)
	case *wirepb.Datagram_Digest:
		o.handleDigest(now, body.Digest, &out)
	case *wirepb.Datagram_Evidence:
		o.learnEvidence(now, body.Evidence.GetEvidence(), &out)
	}
	return out
}

// handleHello takes a descriptor: an agent's start, a change of it, or the
// answer to a request for it.
func (o *Observer) handleHello(now time.Time, from netip.AddrPort, h *wirepb.Hello, out *Effects) {
	d := h.GetDescriptor_()
	key := wire.Key(d.GetName())
	a := o.agents[key]
	if a != nil && d.GetIncarnation() < a.incarnation {
		o.oldIncarnation.Inc(1)
		o.ack(a, from, a.incarnation, out)
		return
	}
	load := wire.LoadOf(h.GetLoad())
	if a != nil && d.GetIncarnation() == a.incarnation && load.Sequence < a.sequence {
		o.oldSequence.Inc(1)
		return
	}
	if a == nil {
		a = &agent{key: key, name: d.GetName()}
		o.agents[key] = a
	}
	a.describe(d)
	a.config = h.GetConfigVersion()
	// The agent's own word: a new entry would ask for a shorter period than the
	// other homes, and suspect the agent before its first report.
	a.period = max(periodOf(h.GetPeriodMs()), o.ReportPeriod())
	o.setDirect(a, o.isHome(a.name))
	o.sample(now, a, load, 0)
	load.Incarnation = a.incarnation
	o.cfg.Table.Observe(wire.DescriptorOf(d), a.incarnation, load, now)
	o.remindLeaving(a)
	o.ack(a, from, 0, out)
}

// handleReport takes a periodic sample.
func (o *Observer) handleReport(now time.Time, from netip.AddrPort, r *wirepb.Report, out *Effects) {
	a := o.agents[r.GetKey()]
	if a == nil {
		o.ackUnknown(from, r, 0, out)
		return
	}
	if r.GetIncarnation() < a.incarnation {
		o.oldIncarnation.Inc(1)
		o.ackUnknown(from, r, a.incarnation, out)
		return
	}
	if r.GetIncarnation() > a.incarnation {
		// A new life: its models, pool and addresses may differ, so the sample
		// isn't taken before the descriptor is here.
		o.ackUnknown(from, r, 0, out)
		return
	}
	load := wire.LoadOf(r.GetLoad())
	if load.Sequence <= a.sequence {
		o.oldSequence.Inc(1)
		return
	}
	load.Incarnation = a.incarnation
	if !o.cfg.Table.ObserveLoad(a.key, a.incarnation, load, 0, now) {
		o.ackUnknown(from, r, 0, out)
		return
	}
	// An agent that was silent may hold this entry for silent in turn. It then
	// sends only probes, and takes four of them for an answer without this.
	returned := a.suspect || a.gone
	a.period = max(periodOf(r.GetPeriodMs()), defaultReportPeriod)
	o.setDirect(a, true)
	o.sample(now, a, load, 0)
	o.remindLeaving(a)
	a.sinceAck++
	a.config = r.GetConfigVersion()
	news := returned || o.config.of(a) > a.config || load.Draining || o.self.GetDraining()
	if news || a.sinceAck >= ackEvery {
		o.ack(a, from, 0, out)
	}
}

// periodOf bounds what an agent says of its period: a faulty one must not keep
// itself from ever being suspect.
func periodOf(millis uint32) time.Duration {
	return min(time.Duration(millis)*time.Millisecond, maxReportPeriod)
}

// sample notes what an agent said, or was said to have said, age ago.
func (o *Observer) sample(now time.Time, a *agent, load backend.Load, age time.Duration) {
	if load.Draining && !a.load.Draining {
		a.drainedAt = now
	}
	a.load = load
	a.sequence = max(a.sequence, load.Sequence)
	if age == 0 {
		a.sequence = load.Sequence
	}
	a.sampledAt = now.Add(-age)
	a.heardAt = a.sampledAt
	a.suspect = false
	a.gone = false
}

// setDirect notes whether an agent reports here.
func (o *Observer) setDirect(a *agent, direct bool) {
	if a.direct == direct {
		return
	}
	a.direct = direct
	if direct {
		o.direct++
	} else {
		o.direct--
	}
}

// ack acknowledges a report or hello and passes on what is new.
func (o *Observer) ack(a *agent, to netip.AddrPort, known uint64, out *Effects) {
	a.sinceAck = 0
	m := o.ackFor(a.sequence)
	if v := o.config.of(a); v > a.config {
		m.ConfigVersion = v
	}
	m.KnownIncarnation = known
	out.send(to, ackMessage(m))
}

// ackUnknown asks for a descriptor, or tells an agent that a greater
// incarnation of it is known.
func (o *Observer) ackUnknown(to netip.AddrPort, r *wirepb.Report, known uint64, out *Effects) {
	m := o.ackFor(r.GetLoad().GetSequence())
	m.WantHello = known == 0
	m.KnownIncarnation = known
	out.send(to, ackMessage(m))
}

func (o *Observer) ackFor(sequence uint64) *wirepb.ReportAck {
	return &wirepb.ReportAck{
		Entry:            o.key,
		EntryIncarnation: o.self.GetIncarnation(),
		Sequence:         sequence,
		PeersVersion:     o.PeersVersion(),
		Draining:         o.self.GetDraining(),
		PeriodMs:         uint32(o.ReportPeriod().Milliseconds()),
	}
}

// MarkLeaving takes names from the platform's list of leaving VMs. The list lags: a
// server that was replaced under the same name isn't leaving, so the hint holds
// only for the incarnation known now.
func (o *Observer) MarkLeaving(names []string) {
	for _, name := range names {
		a := o.agents[wire.Key(name)]
		if a == nil || a.leaving == a.incarnation {
			continue
		}
		a.leaving = a.incarnation
		o.cfg.Table.MarkLeaving(a.key)
	}
}

// remindLeaving repeats the hint, since a sample makes a row live again.
func (o *Observer) remindLeaving(a *agent) {
	if a.leaving != 0 && a.leaving == a.incarnation {
		o.cfg.Table.MarkLeaving(a.key)
	}
}

// Tick judges silence and sends the digest when it is due. Call it at least
// once a period.
func (o *Observer) Tick(now time.Time) Effects {
	var out Effects
	o.forgivePause(now)
	if now.Sub(o.judgedAt) >= judgeEvery {
		o.judgedAt = now
		o.judgeAgents(now)
		o.judgePeers(now)
	}
	o.announceConfig(now, &out)
	o.fillTable(now, &out)
	o.sendDigest(now, &out)
	return out
}

// forgivePause adds a gap between ticks to all signs of life. A process that
// was paused heard nobody; without this it wakes and takes everyone for dead,
// which one would notice as a moment without any server to choose.
func (o *Observer) forgivePause(now time.Time) {
	last := o.lastTick
	o.lastTick = now
	gap := now.Sub(last)
	if last.IsZero() || gap <= 2*o.cfg.DigestPeriod {
		return
	}
	if gap > fillAfterPause {
		o.refill()
	}
	for _, a := range o.agents {
		a.heardAt = shifted(a.heardAt, gap, now)
	}
	for _, p := range o.peers.all {
		p.heardAt = shifted(p.heardAt, gap, now)
	}
	o.lastHeard = shifted(o.lastHeard, gap, now)
}

// shifted moves a time on by gap, but not into the future: what was handled
// after the pause already counts as heard now.
func shifted(t time.Time, gap time.Duration, now time.Time) time.Time {
	if t = t.Add(gap); t.After(now) {
		return now
	}
	return t
}

// judgeAgents marks silent agents.
func (o *Observer) judgeAgents(now time.Time) {
	isolated := o.isolated(now)
	for _, a := range o.agents {
		silent := now.Sub(a.heardAt)
		if a.direct && silent > suspectPeriods*a.period && !o.isHome(a.name) {
			o.setDirect(a, false) // it moved to other homes and isn't silent
		}
		switch {
		case a.gone && silent > descriptorKeep && !isolated:
			delete(o.agents, a.key)
		case a.gone:
		case !a.direct && silent > foreignForget && !isolated:
			o.forget(a)
		case a.direct && silent > deadPeriods*a.period && !isolated:
			o.forget(a)
		case a.direct && silent > suspectPeriods*a.period && !a.suspect:
			a.suspect = true
			o.suspected.Inc(1)
			o.cfg.Table.MarkSuspect(a.key)
		}
	}
}

// isolated tells that this entry hears nobody at all. It then knows nothing of
// the others, and takes none for dead.
func (o *Observer) isolated(now time.Time) bool {
	return now.Sub(o.lastHeard) > suspectPeriods*o.ReportPeriod()
}

// forget takes a server for dead. Its descriptor is kept for a while.
func (o *Observer) forget(a *agent) {
	o.setDirect(a, false)
	a.gone = true
	o.died.Inc(1)
	o.cfg.Table.MarkDead(a.key)
}

// isHome tells whether this entry is a home of an agent, as far as it knows the
// entries.
func (o *Observer) isHome(name string) bool {
	return o.peers.isHome(name, o.self)
}
