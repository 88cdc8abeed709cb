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
	// suspectPeriods and deadPeriods are the numbers of its report periods
	// without a sample after which an agent is suspect or dead.
	suspectPeriods = 3
	deadPeriods    = 30
	// silenceCheckInterval is the time between checks for silent agents and
	// entries. With 2,400 agents the check takes most of the time of a tick, and
	// suspicions need a resolution of seconds only.
	silenceCheckInterval = 500 * time.Millisecond
	// indirectServerTTL is the time after which a server that only digests
	// contained is removed.
	indirectServerTTL = 5 * time.Minute
	// describeRate, per second, and describeBurst bound the requests for
	// descriptors.
	describeRate  = 2
	describeBurst = 4
)

// The budget of control traffic.
const (
	// DefaultControlBudget is the control traffic that an entry may cause, in
	// bytes per second, in and out together.
	DefaultControlBudget = 3000
	// minReportShare is the least share of the budget for agents' reports and
	// their answers. They get what the digests leave, less spareShare for other
	// traffic.
	minReportShare = 0.45
	spareShare     = 0.15
	// reportCost is the cost of a report and its share of an acknowledgement, in
	// bytes. TestReportCost checks it against the encoded messages.
	reportCost = 110
)

// Table is the table of backend servers of an entry, which an Observer updates.
type Table interface {
	// Observe records a server's descriptor and a sample of its load.
	Observe(d backend.Descriptor, incarnation uint64, load backend.Load, now time.Time)
	// ObserveLoad records a sample that is age old. It returns false if the
	// server or that incarnation of it is unknown. A sample that another entry
	// relayed has sequence zero and is ordered by its age alone.
	ObserveLoad(key, incarnation uint64, load backend.Load, age time.Duration, now time.Time) bool
	// ObserveListed records a server's descriptor and a sample that is age old,
	// both relayed by another entry. This entry isn't a home of the server.
	ObserveListed(d backend.Descriptor, incarnation uint64, load backend.Load, age time.Duration, now time.Time)
	// MarkSuspect, MarkLeaving and MarkDead set the state of a server until it
	// is observed again. A leaving server stays leaving until it is observed
	// with a greater incarnation.
	MarkSuspect(key uint64)
	MarkLeaving(key uint64)
	MarkDead(key uint64)
}

// ObserverConfig configures an Observer.
type ObserverConfig struct {
	Self  *wirepb.Peer // its incarnation is the start time in Unix milliseconds
	Table Table
	// DigestPeriod is the time between digests. The default is 1 s.
	DigestPeriod time.Duration
	// ControlBudget is the control traffic that the entry may cause, in bytes
	// per second, in and out. It determines the report period requested from
	// agents. The default is 3000.
	ControlBudget float64
	Rand          *rand.Rand
	Metrics       metrics.Registry // nil: a new registry
}

// Observer is the membership state of an entry.
type Observer struct {
	cfg             ObserverConfig
	self            *wirepb.Peer
	key             uint64
	config          configState
	agents          map[uint64]*agent
	directAgents    int // agents that report here
	peers           peerSet
	evidence        evidenceSet
	digests         digestState
	describeLimiter *rate.Limiter
	tableFill       tableFill

	lastTick         time.Time
	silenceCheckedAt time.Time
	lastReceived     time.Time // last datagram from any agent or entry
	nextDigestAt     time.Time

	oldIncarnation, oldSequence, suspected, markedDead, selfMissed metrics.Counter
}

// agent is the state of one backend server's agent.
type agent struct {
	key                   uint64
	name                  string
	descriptor            *wirepb.Descriptor // of this incarnation
	hash                  uint32             // of the descriptor
	descriptorRequestedAt time.Time          // when a changed descriptor was requested
	pool                  string
	addr                  netip.AddrPort
	incarnation           uint64
	sequence              uint64 // of the newest sample
	config                uint64 // revision in force at the agent, as it reported
	load                  backend.Load
	sampledAt             time.Time
	lastSeen              time.Time
	period                time.Duration
	reportsSinceAck       int
	direct                bool // reports here, and isn't only contained in digests
	suspect               bool
	gone                  bool      // dead or not reported for long; only the descriptor is used
	leavingIncarnation    uint64    // incarnation that the VM list marks as leaving; 0: none
	drainSeenAt           time.Time // when the drain flag was first received
}

// NewObserver returns an observer that has no agents and no other entries.
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
		cfg:             cfg,
		self:            proto.Clone(cfg.Self).(*wirepb.Peer),
		key:             wire.NameKey(cfg.Self.GetName()),
		agents:          map[uint64]*agent{},
		peers:           newPeerSet(),
		evidence:        newEvidenceSet(),
		describeLimiter: rate.NewLimiter(describeRate, describeBurst),
		config:          newConfigState(cfg.ControlBudget),
		oldIncarnation:  counter("old_incarnation"),
		oldSequence:     counter("old_sequence"),
		suspected:       counter("agents_suspected"),
		markedDead:      counter("agents_dead"),
		selfMissed:      counter("self_missed"),
	}
}

// Incarnation returns the incarnation of the entry.
func (o *Observer) Incarnation() uint64 { return o.self.GetIncarnation() }

// ConfigVersions returns the configuration version in force at each agent that
// reports here, by the agent's name.
func (o *Observer) ConfigVersions() map[string]uint64 {
	out := make(map[string]uint64, o.directAgents)
	for _, a := range o.agents {
		if a.direct {
			out[a.name] = a.config
		}
	}
	return out
}

// SetDraining marks this entry as draining in its messages to agents and peers.
func (o *Observer) SetDraining() {
	o.self.Draining = true
	o.peers.invalidate()
}

// ReportPeriod returns the report period that this entry requests from its
// agents. It is the period at which the reports of all its agents fit the
// budget.
func (o *Observer) ReportPeriod() time.Duration {
	const reportBytes = reportCost * (1 + 1.0/unscheduledEvery)
	digests := 2 * float64(o.digests.lastBytes) / o.cfg.DigestPeriod.Seconds() // in and out
	available := max(o.cfg.ControlBudget*(1-spareShare)-digests, o.cfg.ControlBudget*minReportShare)
	seconds := float64(o.directAgents) * reportBytes / available
	period := time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
	return min(max(period, defaultReportPeriod), maxReportPeriod)
}

// Handle processes a datagram from an agent or entry.
func (o *Observer) Handle(now time.Time, from netip.AddrPort, m *wirepb.Datagram) Effects {
	var out Effects
	if !o.lastReceived.IsZero() && now.Sub(o.lastReceived) > refillAfterPause {
		o.resetTableFill()
	}
	o.lastReceived = now
	switch body := m.GetBody().(type) {
	case *wirepb.Datagram_Report:
		o.handleReport(now, from, body.Report, &out)
	case *wirepb.Datagram_Hello:
		o.handleHello(now, from, body.Hello, &out)
	case *wirepb.Datagram_Digest:
		o.handleDigest(now, body.Digest, &out)
	case *wirepb.Datagram_Evidence:
		o.handleEvidence(now, body.Evidence.GetEvidence(), &out)
	}
	return out
}

// handleHello processes a descriptor. An agent sends it at its start, after a
// change and as the answer to a request.
func (o *Observer) handleHello(now time.Time, from netip.AddrPort, h *wirepb.Hello, out *Effects) {
	d := h.GetDescriptor_()
	key := wire.NameKey(d.GetName())
	a := o.agents[key]
	if a != nil && d.GetIncarnation() < a.incarnation {
		o.oldIncarnation.Inc(1)
		o.sendAck(a, from, a.incarnation, out)
		return
	}
	load := wire.LoadFromProto(h.GetLoad())
	if a != nil && d.GetIncarnation() == a.incarnation && load.Sequence < a.sequence {
		o.oldSequence.Inc(1)
		return
	}
	if a == nil {
		a = &agent{key: key, name: d.GetName()}
		o.agents[key] = a
	}
	a.setDescriptor(d)
	a.config = h.GetConfigVersion()
	// Use at least the period that the agent reports. A new entry would compute
	// a shorter one than the other homes, and suspect the agent before its first
	// report.
	a.period = max(clampPeriod(h.GetPeriodMs()), o.ReportPeriod())
	o.setDirect(a, o.isHome(a.name))
	o.recordSample(now, a, load, 0)
	load.Incarnation = a.incarnation
	o.cfg.Table.Observe(wire.DescriptorFromProto(d), a.incarnation, load, now)
	o.reapplyLeaving(a)
	o.sendAck(a, from, 0, out)
}

// handleReport processes a periodic sample.
func (o *Observer) handleReport(now time.Time, from netip.AddrPort, r *wirepb.Report, out *Effects) {
	a := o.agents[r.GetKey()]
	if a == nil {
		o.rejectReport(from, r, 0, out)
		return
	}
	if r.GetIncarnation() < a.incarnation {
		o.oldIncarnation.Inc(1)
		o.rejectReport(from, r, a.incarnation, out)
		return
	}
	if r.GetIncarnation() > a.incarnation {
		// Models, pool and addresses of a new incarnation may differ, so the
		// sample isn't used before the descriptor has arrived.
		o.rejectReport(from, r, 0, out)
		return
	}
	load := wire.LoadFromProto(r.GetLoad())
	if load.Sequence <= a.sequence {
		o.oldSequence.Inc(1)
		return
	}
	load.Incarnation = a.incarnation
	if !o.cfg.Table.ObserveLoad(a.key, a.incarnation, load, 0, now) {
		o.rejectReport(from, r, 0, out)
		return
	}
	// An agent that was silent may in turn suspect this entry. It then sends
	// only probes, and would receive an answer only after four of them if this
	// one weren't acknowledged.
	returned := a.suspect || a.gone
	a.period = max(clampPeriod(r.GetPeriodMs()), defaultReportPeriod)
	o.setDirect(a, true)
	o.recordSample(now, a, load, 0)
	o.reapplyLeaving(a)
	a.reportsSinceAck++
	a.config = r.GetConfigVersion()
	needsAck := returned || o.config.versionFor(a) > a.config || load.Draining || o.self.GetDraining()
	if needsAck || a.reportsSinceAck >= ackEvery {
		o.sendAck(a, from, 0, out)
	}
}

// clampPeriod limits the period that an agent reports, so that a faulty agent
// can't prevent itself from becoming suspect.
func clampPeriod(millis uint32) time.Duration {
	return min(time.Duration(millis)*time.Millisecond, maxReportPeriod)
}

// recordSample stores a sample that is age old, from the agent itself or
// relayed.
func (o *Observer) recordSample(now time.Time, a *agent, load backend.Load, age time.Duration) {
	if load.Draining && !a.load.Draining {
		a.drainSeenAt = now
	}
	a.load = load
	a.sequence = max(a.sequence, load.Sequence)
	if age == 0 {
		a.sequence = load.Sequence
	}
	a.sampledAt = now.Add(-age)
	a.lastSeen = a.sampledAt
	a.suspect = false
	a.gone = false
}

// setDirect sets whether an agent reports here.
func (o *Observer) setDirect(a *agent, direct bool) {
	if a.direct == direct {
		return
	}
	a.direct = direct
	if direct {
		o.directAgents++
	} else {
		o.directAgents--
	}
}

// sendAck acknowledges a report or hello and includes a newer configuration
// version, if there is one.
func (o *Observer) sendAck(a *agent, to netip.AddrPort, knownIncarnation uint64, out *Effects) {
	a.reportsSinceAck = 0
	m := o.newAck(a.sequence)
	if v := o.config.versionFor(a); v > a.config {
		m.ConfigVersion = v
	}
	m.KnownIncarnation = knownIncarnation
	out.send(to, ackMessage(m))
}

// rejectReport requests a descriptor, or reports to an agent that a greater
// incarnation of it is known.
func (o *Observer) rejectReport(to netip.AddrPort, r *wirepb.Report, knownIncarnation uint64, out *Effects) {
	m := o.newAck(r.GetLoad().GetSequence())
	m.WantHello = knownIncarnation == 0
	m.KnownIncarnation = knownIncarnation
	out.send(to, ackMessage(m))
}

func (o *Observer) newAck(sequence uint64) *wirepb.ReportAck {
	return &wirepb.ReportAck{
		Entry:            o.key,
		EntryIncarnation: o.self.GetIncarnation(),
		Sequence:         sequence,
		PeersVersion:     o.PeersVersion(),
		Draining:         o.self.GetDraining(),
		PeriodMs:         uint32(o.ReportPeriod().Milliseconds()),
	}
}

// MarkLeaving processes the names of the VMs that the platform lists as leaving.
// The list lags: a server that was replaced under the same name isn't leaving.
// So the mark applies only to the incarnation known at this time.
func (o *Observer) MarkLeaving(names []string) {
	for _, name := range names {
		a := o.agents[wire.NameKey(name)]
		if a == nil || a.leavingIncarnation == a.incarnation {
			continue
		}
		a.leavingIncarnation = a.incarnation
		o.cfg.Table.MarkLeaving(a.key)
	}
}

// reapplyLeaving repeats the mark, since a sample sets the row to live again.
func (o *Observer) reapplyLeaving(a *agent) {
	if a.leavingIncarnation != 0 && a.leavingIncarnation == a.incarnation {
		o.cfg.Table.MarkLeaving(a.key)
	}
}

// Tick checks for silent agents and entries and sends a digest when it is due.
// Call it at least once per digest period.
func (o *Observer) Tick(now time.Time) Effects {
	var out Effects
	o.compensatePause(now)
	if now.Sub(o.silenceCheckedAt) >= silenceCheckInterval {
		o.silenceCheckedAt = now
		o.checkAgents(now)
		o.checkPeers(now)
	}
	o.sendAnnouncements(now, &out)
	o.fillTable(now, &out)
	o.sendDigest(now, &out)
	return out
}

// compensatePause adds a gap between ticks to all times of the last sign of
// life. A paused process received nothing. Without the correction it would mark
// all others dead when it resumes, and have no server to choose for a moment.
func (o *Observer) compensatePause(now time.Time) {
	last := o.lastTick
	o.lastTick = now
	gap := now.Sub(last)
	if last.IsZero() || gap <= 2*o.cfg.DigestPeriod {
		return
	}
	if gap > refillAfterPause {
		o.resetTableFill()
	}
	for _, a := range o.agents {
		a.lastSeen = shiftTime(a.lastSeen, gap, now)
	}
	for _, p := range o.peers.all {
		p.lastSeen = shiftTime(p.lastSeen, gap, now)
	}
	o.lastReceived = shiftTime(o.lastReceived, gap, now)
}

// shiftTime adds gap to t, but returns at most now: what was handled after the
// pause already has the present time.
func shiftTime(t time.Time, gap time.Duration, now time.Time) time.Time {
	if t = t.Add(gap); t.After(now) {
		return now
	}
	return t
}

// checkAgents marks silent agents as suspect or dead and removes agents after
// descriptorTTL.
func (o *Observer) checkAgents(now time.Time) {
	isolated := o.isolated(now)
	for _, a := range o.agents {
		silent := now.Sub(a.lastSeen)
		if a.direct && silent > suspectPeriods*a.period && !o.isHome(a.name) {
			o.setDirect(a, false) // it moved to other homes and isn't silent
		}
		switch {
		case a.gone && silent > descriptorTTL && !isolated:
			delete(o.agents, a.key)
		case a.gone:
		case !a.direct && silent > indirectServerTTL && !isolated:
			o.markDead(a)
		case a.direct && silent > deadPeriods*a.period && !isolated:
			o.markDead(a)
		case a.direct && silent > suspectPeriods*a.period && !a.suspect:
			a.suspect = true
			o.suspected.Inc(1)
			o.cfg.Table.MarkSuspect(a.key)
		}
	}
}

// isolated reports whether this entry receives nothing at all. It then has no
// information about the others and marks none of them dead.
func (o *Observer) isolated(now time.Time) bool {
	return now.Sub(o.lastReceived) > suspectPeriods*o.ReportPeriod()
}

// markDead marks a server as dead. Its descriptor is kept for descriptorTTL.
func (o *Observer) markDead(a *agent) {
	o.setDirect(a, false)
	a.gone = true
	o.markedDead.Inc(1)
	o.cfg.Table.MarkDead(a.key)
}

// isHome reports whether this entry is a home of an agent, according to its list
// of entries.
func (o *Observer) isHome(name string) bool {
	return o.peers.isHome(name, o.self)
}
