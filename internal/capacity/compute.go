package capacity

import (
	"math"

	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/gatewaynode"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/routing"
)

// What the packages do that no slope tells; each names its source.
const (
	ticksPerSecond   = 10.0 // membership, tickInterval
	digestsPerSecond = 1.0  // membership, defaultDigestPeriod; as many come in
	minPeriod        = 1.0  // s; membership, defaultReportPeriod
	maxPeriod        = 30.0 // s; membership, maxReportPeriod
	periodJitter     = 1.1  // membership, Reporter.sendReport
	deltaFactor      = 1.25 // membership: one report out of turn in unscheduledEvery periods at most
	reportsPerAck    = 4.0  // membership, ackEvery
	tickDelay        = 0.1  // s; membership, tickInterval
	pullSpread       = 1.0  // s; membership, pullJitter: of entries, and of lists of entries
	announceSpread   = 1.0  // s; membership, announceSpread
	announceRepeat   = 1.5  // s; membership, announceRetryInterval
	listSpread       = 7.0  // s for each entry past maxEntriesAllHomes; membership, peerListSpread
	allHomes         = 3.0  // membership, maxEntriesAllHomes
	pullEvery        = 2.0  // s; membership, minPullInterval
	spareShare       = 0.15 // of the budget; membership, spareShare
	announceCost     = 1300 // bytes; membership, announceCost
	watchBackoff     = 0.15 // s; platform, watchBackoffInitial with its jitter
	callsOfPull      = 0.1  // s; allowance for a datagram and a call between zones
	renewPart        = 3.0  // lease: renewals in a term
	claimKey         = 10.0 // bytes; claim, sealedKey
	claimKeepers     = 2.0  // claim, keepers: entries of a region that index a shard
	nanos            = 1e9
)

// watchCycle is the time from one answer of a quiet watch to the next.
var watchCycle = (objectapi.DefaultWatchWait + objectapi.DefaultWatchInterval).Seconds()

// model is a fleet with the lines, and what several tables need.
type model struct {
	Fleet
	lines   map[string]Line
	region  float64 // entries of a region
	agents  float64 // agents of a region
	homes   float64 // of an agent
	direct  float64 // agents that report to an entry
	fullest float64 // agents that report to the entry that has the most
	period  float64 // s, between reports to an entry with the mean number
	slowest float64 // s, the same for the fullest entry
	reports float64 // that an entry gets, a second
	changes float64 // of declared objects, a second
}

func newModel(f Fleet, s Slopes) *model {
	m := &model{Fleet: f, lines: s.Lines, region: f.entriesPerRegion(), agents: f.backendsPerRegion()}
	m.homes = float64(membership.HomeCount(int(math.Round(m.region))))
	m.direct = m.agents * m.homes / m.region
	m.fullest = m.direct
	if m.homes < m.region {
		m.fullest = max(m.direct, m.at(lineFullest, m.agents))
	}
	m.period = m.periodAt(m.direct)
	m.slowest = m.periodAt(m.fullest)
	m.reports = m.direct * deltaFactor / m.period
	m.changes = f.ChangesPerDay / secondsADay
	return m
}

// periodAt is the report period that an entry with so many agents asks for.
func (m *model) periodAt(agents float64) float64 {
	return min(max(m.at(linePeriod, agents), minPeriod), maxPeriod)
}

// slope returns how much one more of a line's size takes.
func (m *model) slope(name string) float64 { return m.lines[name].Slope }

// at returns a line's value at size x. Far under the sizes that were measured a
// line may go under zero; nothing takes less than nothing.
func (m *model) at(name string, x float64) float64 { return max(m.lines[name].At(x), 0) }

// Compute works out all tables. It needs every line; ReadSlopes sees to that.
func Compute(f Fleet, s Slopes) Page {
	m := newModel(f, s)
	return Page{Fleet: f.Name, Tables: []Table{
		m.entryMessages(), m.entryCPU(), m.entryMemory(), m.entryStreams(),
		m.agentTable(), m.storeReads(), m.storeWrites(), m.gatewayTable(), m.delayTable(), m.stormTable(),
	}}
}

// pullsByPool of one agent a second: it is told the newest version that concerns
// its pool. All changes are taken to concern one pool or service each, an upper
// bound: most objects are policies and service levels, which concern no agent.
func (m *model) pullsByPool() float64 {
	return min(m.changes/float64(m.Models+1), 1/pullEvery)
}

// poolChanges a second, if every object changes as often as any other.
func (m *model) poolChanges() float64 {
	return m.changes * float64(2*m.Models+1) / m.objects()
}

// bytesOfChange is what a change costs an entry for each agent of its own share
// that it concerns: an announcement and a confirming report at each home, and a
// pull at one of them.
func (m *model) bytesOfChange() float64 {
	return m.at(linePullBytes, 1) + m.homes*(m.slope(lineAckBytes)+m.slope(lineReportBytes))
}

// agentsPerEntry of the fleet, each counted once.
func (m *model) agentsPerEntry() float64 { return m.agents / m.region }

// steadyBytes of an entry a second while nothing but loads changes: digests,
// reports with their acknowledgements, and the watch with all declared changes.
func (m *model) steadyBytes() (digests, reports, watch float64) {
	digests = 2 * digestsPerSecond * m.at(lineDigestBytes, m.region)
	reports = m.reports * (m.slope(lineReportBytes) + m.slope(lineAckBytes)/reportsPerAck)
	watch = m.at(lineWatchBytes, 0)/watchCycle + m.changes*m.at(lineWatchBytes, 1)
	return digests, reports, watch
}

// toldBytes a second are what changes of pools cost an entry, if every object
// changes as often as any other.
func (m *model) toldBytes() float64 {
	return m.agentsPerEntry() * m.poolChanges() / float64(m.Models+1) * m.bytesOfChange()
}

func (m *model) entryMessages() Table {
	t := Table{Title: "Entry: control messages"}
	digests, reports, watch := m.steadyBytes()
	base := digests + reports + watch
	told := m.toldBytes()
	pulls := m.agentsPerEntry() * m.pullsByPool() * m.bytesOfChange()
	allowed := limitBytes * spareShare / announceCost
	t.add(Figure{"agents that report here", m.direct, "agents", 0, "", "agents of a region × homes / entries of a region", "membership.HomeCount, Rank"})
	t.add(Figure{"report period", m.period, "s", maxPeriod, "", "control.report.period at that number, 1 s to 30 s", "membership.Observer.ReportPeriod"})
	t.add(Figure{"agents at the fullest entry", m.fullest, "agents", 0, "", "control.homes.fullest(agents of a region)", "membership.Rank"})
	t.add(Figure{"report period there", m.slowest, "s", maxPeriod, "", "control.report.period at that number", "membership.Observer.ReportPeriod"})
	t.add(Figure{"reports in", m.reports, "a second", 0, "", "agents × 1.25 / period", "membership.Reporter"})
	t.add(Figure{"bytes of digests", digests, "B/s", 0, "", "2 × control.digest.bytes(entries of a region)", "membership.Observer.Tick"})
	t.add(Figure{"bytes of reports and acknowledgements", reports, "B/s", 0, "", "reports × (report + ack / 4)", "membership.Observer.Handle"})
	t.add(Figure{"bytes of the watch", watch, "B/s", 0, "", "store.watch.bytes: one quiet answer in a wait and 0.5 s, one for each change", "objectapi.Watcher"})
	t.add(Figure{"bytes, agents' pulls left out", base, "B/s", limitBytes, "", "sum of the above", "membership, budget of 3,000 B/s"})
	t.add(Figure{"bytes of announcements and pulls", told, "B/s", 0, "", "agents / entries × changes × (2 × models + 1) / objects / (models + 1) × (config.pull.bytes(1) + homes × (ack + report)); changes spread over all objects", "membership.Observer.SetConfig, declared.State.PoolVersion"})
	t.add(Figure{"bytes, all", base + told, "B/s", limitBytes, "", "sum", "membership, declared"})
	t.add(Figure{"the same, every change concerns a pool", base + pulls, "B/s", limitBytes, "", "agents / entries × changes / (models + 1) × the same", "membership, declared"})
	t.add(Figure{"announcements, changes spread over all objects", m.direct * m.poolChanges() / float64(m.Models+1), "a second", allowed, "", "agents that report × changes × (2 × models + 1) / objects / (models + 1); limit: 15% of the budget / 1,300 B", "membership.Observer.SetConfig"})
	t.add(Figure{"announcements, every change concerns a pool", m.direct * m.changes / float64(m.Models+1), "a second", allowed, "", "agents that report × changes / (models + 1); past the limit and a burst of 120, agents hear of a version by answers to their reports", "membership.Observer.SetConfig"})
	return t
}

func (m *model) entryCPU() Table {
	t := Table{Title: "Entry: CPU of control, % of a core"}
	percent := func(ns float64) float64 { return 100 * ns / nanos }
	datagram := m.slope(lineDatagramCPU)
	reports := percent(m.reports * (m.slope(lineReportCPU) + datagram*(1+1/reportsPerAck)))
	digests := percent(2 * digestsPerSecond * (m.at(lineDigestCPU, m.agents) + datagram))
	ticks := percent(ticksPerSecond * m.at(lineTickCPU, m.agents))
	upkeep := percent(m.at(lineUpkeepCPU, m.agents))
	changes := percent(m.changes * m.at(lineChangeCPU, m.objects()))
	pulls := percent(m.agentsPerEntry() * m.pullsByPool() * (m.slope(linePullCPU) + 2*m.homes*datagram))
	idle := percent(m.slope(lineEntryIdleCPU))
	decisions := percent(m.Requests / float64(m.Entries) * m.at(lineDecisionCPU, m.agents/float64(m.Models)))
	t.add(Figure{"idle process", idle, "%", 0, "", "entry.idle.cpu", "node.Entry"})
	t.add(Figure{"reports", reports, "%", 0, "", "reports × (entry.report.cpu + 1.25 × control.datagram.cpu)", "membership.Observer.Handle"})
	t.add(Figure{"digests", digests, "%", 0, "", "2 a second × (entry.digest.cpu(agents of a region) + datagram)", "membership.Observer.Tick"})
	t.add(Figure{"silence judged", ticks, "%", 0, "", "10 a second × entry.tick.cpu(agents of a region)", "membership.Observer.Tick"})
	t.add(Figure{"sweep and windows", upkeep, "%", 0, "", "entry.upkeep.cpu(agents of a region)", "backend.Table, workspace.Scheduler.SetCapacity"})
	t.add(Figure{"declared changes", changes, "%", 0, "", "changes × config.change.cpu(objects)", "declared.Catalog.Events"})
	t.add(Figure{"announcements and pulls", pulls, "%", 0, "", "pulls × (config.pull.cpu, both ends, and 2 datagrams a home)", "declared.Catalog.Since"})
	t.add(Figure{"decisions", decisions, "%", 0, "", "requests / entries × entry.decision.cpu(engines of a pool)", "routing.Candidates, routing.Policy"})
	t.add(Figure{"control CPU", idle + reports + digests + ticks + upkeep + changes + pulls + decisions, "%", limitCPU, "", "sum", "all of the above"})
	return t
}

func (m *model) entryMemory() Table {
	t := Table{Title: "Entry: memory of control"}
	idle := m.slope(lineEntryIdle)
	rows := m.slope(lineRowMemory) * m.agents
	objects := m.slope(lineObject) * m.objects()
	workspaces := m.slope(lineWorkspace) * float64(m.Workspaces)
	series := m.slope(lineSeries) * float64(m.Workspaces) * levelsPerWorkspace * targetsPerLevel
	hints := m.slope(lineHint) * routing.DefaultHints
	evidence := m.slope(lineEvidence) * min(suspects, float64(quarantine.DefaultOptions.MaxFingerprints))
	hashes := claimKey * m.Requests * m.KeyedShare * claim.DefaultRetention.Seconds()
	heap := idle + rows + objects + workspaces + series + hints + evidence + hashes
	process, program := m.lines[lineProcess].Intercept, m.lines[lineProgram].Intercept
	t.add(Figure{"idle node", idle, "B", 0, "", "entry.idle.memory", "node.Entry"})
	t.add(Figure{"backend servers", rows, "B", 0, "", "entry.row.memory × agents of a region", "backend.Table, membership.Observer"})
	t.add(Figure{"declared objects", objects, "B", 0, "", "config.object.memory × (3 × workspaces + 2 × models + 1)", "declared.Catalog"})
	t.add(Figure{"workspaces", workspaces, "B", 0, "", "entry.workspace.memory × workspaces", "workspace.Scheduler"})
	t.add(Figure{"latencies and burn", series, "B", 0, "", "entry.series.memory × workspaces × 2 service levels × 2 targets, all seen", "slo.Tracker"})
	t.add(Figure{"prefix hints", hints, "B", 0, "", "entry.hint.memory × 65,536, its bound", "routing.PrefixIndex"})
	t.add(Figure{"crash evidence", evidence, "B", 0, "", "entry.evidence.memory × 1,000 suspects", "quarantine.Book"})
	t.add(Figure{"index of sealed claims", hashes, "B", 0, "", "10 B × keyed requests of an hour, of all entries: at an entry that keeps every shard, where most keep none; from the type, not measured", "claim.Claimer"})
	t.add(Figure{"control state, live", heap, "B", limitMemory, "", "sum", "all of the above"})
	t.add(Figure{"control state with the collector's room", garbage * heap, "B", limitMemory, "", "1.4 × sum, as the daemon sets the collector", "Go runtime"})
	t.add(Figure{"process without state", process, "B", 0, "", "process.memory at 0 MB: the runtime and what libraries keep, as resident anonymous memory", "Go runtime"})
	t.add(Figure{"process, without streams", garbage*heap + process, "B", limitMemory, "", "sum; the reading that is taken", "briarturn, role entry"})
	t.add(Figure{"pages of the program file", program, "B", 0, "", "process.program: clean pages, which the system can drop and read again", "Linux"})
	t.add(Figure{"all resident, without streams", garbage*heap + process + program, "B", limitMemory, "", "sum; the strictest reading", "briarturn, role entry"})
	return t
}

func (m *model) entryStreams() Table {
	t := Table{Title: "Entry: data path"}
	streams := m.openStreams() / float64(m.Entries)
	toAgent := m.slope(lineStreamEntry) * streams
	toCaller := m.slope(lineCaller) * streams
	tokens := shortPromptTokens*(1-1.0/longPromptOneIn) + longPromptTokens/longPromptOneIn
	bodies := streams * tokens * bytesPerToken
	chunks := m.Tokens / float64(m.Entries)
	t.add(Figure{"requests", m.Requests / float64(m.Entries), "a second", 0, "", "requests / entries", "entry.Entry"})
	t.add(Figure{"open streams", streams, "streams", 0, "", "requests × (TTFT + tokens a request × time between tokens) / entries", "entry.Entry"})
	t.add(Figure{"goroutines", streams * m.slope(lineStreamRoutine), "", 0, "", "stream.goroutines, both ends: an upper bound", "wire.Dialer"})
	t.add(Figure{"memory towards agents", toAgent, "B", 0, "", "stream.entry.memory × streams", "wire.Dialer, drpc"})
	t.add(Figure{"memory towards callers", toCaller, "B", 0, "", "stream.caller.memory × streams", "net/http"})
	t.add(Figure{"memory of streams", toAgent + toCaller, "B", limitMemory, "", "sum; data path, held against the limit all the same", "wire, net/http"})
	t.add(Figure{"prompts kept for a retry", bodies, "B", 0, "", "streams × mean prompt of 8,920 tokens × 4 B; assumed, not measured; an upper bound, all kept to the end", "entry"})
	calls := m.claims(lineClaimReads, m.KeyedShare) + m.claims(lineClaimWrites, m.KeyedShare)
	t.add(Figure{"store bytes of claims, at most", (calls*shardBytes() + m.sealedReads()*claim.DefaultSealThreshold) / float64(m.Entries), "B/s", 0, "", "(reads + writes) × 24 KiB and sealed reads × 16 KiB, / entries; from the bounds, not measured", "claim.Claimer"})
	t.add(Figure{"CPU of relaying", 100 * chunks * m.slope(lineChunkCPU) / nanos, "%", 0, "", "tokens / entries × stream.chunk.cpu; a chunk a token, both ends of drpc, without the caller's side", "wire, entry"})
	return t
}

func (m *model) agentTable() Table {
	t := Table{Title: "Agent"}
	reports := m.homes * deltaFactor / m.period
	acks := reports / reportsPerAck
	messages := reports*m.slope(lineReportBytes) + acks*m.slope(lineAckBytes)
	pulls := m.pullsByPool() * m.bytesOfChange()
	cpu := 100 * (m.slope(lineAgentIdleCPU) + reports*(m.slope(lineAgentReport)+m.slope(lineDatagramCPU)) +
		acks*(m.slope(lineAgentAck)+m.slope(lineDatagramCPU)) + m.pullsByPool()*m.slope(linePullCPU)) / nanos
	streams := m.openStreams() / float64(m.Backends)
	heap := m.slope(lineAgentIdle) + m.slope(lineEvidence)*suspects + m.slope(lineObject)*2
	runs := streams * (m.slope(lineRunMemory) + m.slope(lineStreamAgent))
	process, program := m.lines[lineProcess].Intercept, m.lines[lineProgram].Intercept
	t.add(Figure{"reports out", reports, "a second", 0, "", "homes × 1.25 / period", "membership.Reporter"})
	t.add(Figure{"bytes of reports and acknowledgements", messages, "B/s", 0, "", "reports × (report + ack / 4)", "membership.Reporter"})
	t.add(Figure{"bytes, all", messages + pulls, "B/s", limitBytes, "", "and what a change costs × changes / (models + 1)", "membership, declared"})
	t.add(Figure{"control CPU", cpu, "%", limitCPU, "", "agent.idle.cpu + reports × (agent.report.cpu + datagram) + acks × (agent.ack.cpu + datagram) + pulls", "node.Agent"})
	t.add(Figure{"control state, live", heap, "B", limitMemory, "", "agent.idle.memory + 1,000 suspects + objects of its pool", "agent, quarantine, declared"})
	t.add(Figure{"open streams", streams, "streams", 0, "", "open streams of the fleet / engines", "agent.Agent"})
	t.add(Figure{"runs and their streams (data path)", runs, "B", 0, "", "streams × (agent.run.memory + stream.agent.memory)", "backend.Ledger, wire.Server"})
	t.add(Figure{"process without state", process, "B", 0, "", "process.memory at 0 MB", "Go runtime"})
	t.add(Figure{"process", process + garbage*(heap+runs), "B", limitMemory, "", "process + 1.4 × (state + streams); bodies in transit left out; the reading that is taken", "briarturn, role agent"})
	t.add(Figure{"all resident", program + process + garbage*(heap+runs), "B", limitMemory, "", "and pages of the program file", "briarturn, role agent"})
	return t
}

// listedKinds is how many kinds an entry watches beside the declared ones: the
// entries and the VM list.
const listedKinds = 2

func (m *model) storeReads() Table {
	t := Table{Title: "Platform's object API: reads"}
	entries := float64(m.Entries)
	kinds := float64(len(declared.Kinds()) + listedKinds)
	idle := kinds * entries / (objectapi.DefaultWatchWait + objectapi.DefaultWatchInterval).Seconds()
	busy := m.slope(lineWatchBusy)*entries + idle*(kinds-1)/kinds
	churn := m.RestartsPerDay + m.FailuresPerDay
	wakes := entries * (m.changes + 3*churn/secondsADay)
	starts := m.slope(lineStartReads) * churn / secondsADay * entries / (entries + float64(m.Backends))
	claims := m.claims(lineClaimReads, m.KeyedShare)
	t.add(Figure{"waiting watches", idle, "a second", 0, "", "entries × kinds watched ÷ (wait + interval): a waiting watch is one call of one kind", "objectapi.Watcher"})
	t.add(Figure{"watches woken", min(wakes, busy-idle), "a second", 0, "", "entries × (declared changes + 3 changes of the VM and entry lists for each failure or restart)", "objectapi.Watcher"})
	t.add(Figure{"starts of entries", starts, "a second", 0, "", "store.start.reads × entries' share of failures and restarts", "node.StartEntry"})
	t.add(Figure{"claims", claims, "a second", 0, "", "store.claim.reads at the keyed share of requests; measured with 5 regions, so high for one", "claim.Claimer"})
	sealed := m.sealedReads()
	t.add(Figure{"sealed claims", sealed, "a second", 0, "", "keyed requests × store.claim.bytes / 16 KiB × 2 keepers × regions × 2: read when sealed and when folded; from the code, not measured", "claim.Claimer"})
	t.add(Figure{"reads, mean", idle + min(wakes, busy-idle) + starts + claims + sealed, "a second", limitReads, "", "sum", "all of the above"})
	t.add(Figure{"reads in a burst of changes", busy + starts + claims + sealed, "a second", limitReads, "", "store.watch.busy.reads × entries for the kind that changes, the other kinds wait", "objectapi.DefaultWatchInterval"})
	t.add(Figure{"reads by agents", 0, "a second", limitReads, "", "agents pull from entries; the store isn't asked", "node.Agent, declared"})
	return t
}

// gatewayTable is what gateways exchange about their attempts, and what they ask of
// the store. They have no agents to hear from.
func (m *model) gatewayTable() Table {
	t := Table{Title: "Gateway: news of attempts, and the store"}
	requests := m.Requests / float64(m.Entries)
	streams := m.openStreams() / float64(m.Entries)
	news := requests * m.slope(lineNewsBytes)
	beats := m.at(lineBeatBytes, streams)
	peer := 2 * (news + beats)
	watches := gatewaynode.IdleReadsPerSecond(m.Entries, m.Zones)
	t.add(Figure{"news to one peer", news, "B/s", 0, "", "requests / entries × gateway.news.bytes", "peering.Exchange"})
	t.add(Figure{"beats to one peer", beats, "B/s", 0, "", "gateway.beat.bytes(open streams of a gateway)", "peering.Exchange"})
	t.add(Figure{"bytes, in and out, a peer", peer, "B/s", limitBytes, "", "2 × both", "peering.Exchange"})
	t.add(Figure{"bytes, all gateways of a region are peers", peer * (m.region - 1), "B/s", limitBytes, "", "the same × (entries of a region - 1)", "peering.Exchange"})
	t.add(Figure{"peers within the budget", limitBytes / peer, "gateways", 0, "", "3,000 B/s / bytes a peer: how many may share the engines that they place on", "peering.Exchange"})
	t.add(Figure{"quiet watches of all gateways", watches, "a second", limitReads, "", "readers of each zone, three of a region at least, × watches of configuration, backend servers and gateways", "peering.Exchange.Readers"})
	return t
}

// claims returns store calls a second of the claims of a share of requests.
// Below the rates that were measured they are in proportion to the least one.
func (m *model) claims(line string, share float64) float64 {
	confirmations := m.Requests * share
	first := m.lines[line].Points[0]
	if confirmations < first.X {
		return first.Y / first.X * confirmations
	}
	return m.at(line, confirmations)
}

// sealedReads a second: what claims fill is sealed and later folded, and each
// entry that keeps a shard reads it both times. Each region has its own keepers.
func (m *model) sealedReads() float64 {
	filled := m.Requests * m.KeyedShare * m.slope(lineClaimBytes)
	keepers := min(claimKeepers, m.region)
	return filled / claim.DefaultSealThreshold * keepers * float64(m.Regions) * 2
}

// shardBytes is about what one call for a shard carries at most: the claims not
// sealed yet, and half as much again for references.
func shardBytes() float64 { return 1.5 * claim.DefaultSealThreshold }

func (m *model) storeWrites() Table {
	t := Table{Title: "Platform's object API: writes"}
	leases := m.slope(lineLeaseWrites) * float64(m.Models) * renewPart / lease.DefaultTerm.Seconds()
	churn := (m.RestartsPerDay + m.FailuresPerDay) / secondsADay * float64(m.Entries) / float64(m.Entries+m.Backends)
	presence := 2 * m.slope(lineStartWrites) * churn
	claims := m.claims(lineClaimWrites, m.KeyedShare)
	many := m.claims(lineClaimWrites, 5*m.KeyedShare)
	others := m.changes + leases + presence
	t.add(Figure{"declared changes", m.changes, "a second", 0, "", "changes a day / 86,400", "operators"})
	t.add(Figure{"leases", leases, "a second", 0, "", "store.lease.writes × model pools × 3 / 10 s", "lease.Manager"})
	t.add(Figure{"presence of entries", presence, "a second", 0, "", "2 × store.start.writes × entries' share of failures and restarts", "node, KindEntry"})
	t.add(Figure{"claims", claims, "a second", 0, "", "store.claim.writes at the keyed share of requests; measured with 5 regions, so high for one", "claim.Claimer"})
	t.add(Figure{"writes", others + claims, "a second", limitWrites, "", "sum", "all of the above"})
	t.add(Figure{"writes at five times the keyed share", others + many, "a second", limitWrites, "", "store.claim.writes at that share", "claim.Claimer"})
	return t
}

func (m *model) delayTable() Table {
	t := Table{Title: "A change of configuration in force everywhere"}
	limit := m.ConfigDelay.Seconds()
	watch := objectapi.DefaultWatchInterval.Seconds()
	told := announceSpread + tickDelay
	sum := watch + told + callsOfPull
	dead := objectapi.DefaultWatchWait.Seconds() + objectapi.DefaultCallTimeout.Seconds() + watchBackoff
	report := m.slowest * periodJitter
	t.add(Figure{"entry's watch", watch, "s", 0, "", "least time between two watches; a waiting one answers at once", "objectapi.Watcher"})
	t.add(Figure{"entry's announcement to an agent", told, "s", 0, "", "spread of 1 s, and a tick of 0.1 s", "membership.Observer.SetConfig"})
	t.add(Figure{"agent's pull", callsOfPull, "s", 0, "", "allowance for a datagram and a call", "membership, declared"})
	t.add(Figure{"worst sum, nothing lost", sum, "s", limit, "", "sum", "all of the above"})
	t.add(Figure{"worst sum, an announcement from each home lost", sum + announceRepeat, "s", limit, "", "1.5 s more, the pause before it is repeated", "membership.Observer"})
	t.add(Figure{"worst sum, an announcement from each home and a pull lost", sum + announceRepeat + pullEvery, "s", limit, "", "2 s more, the least time between two pulls", "membership.Reporter"})
	t.add(Figure{"worst sum, watches of all homes dead without a sign", sum + dead, "s", limit, "", "the watch's wait, the call's timeout and a pause more; peers' digests shorten it", "objectapi.Watcher"})
	t.add(Figure{"the same, an announcement from each home lost as well", sum + dead + announceRepeat, "s", limit, "", "1.5 s more", "objectapi.Watcher, membership.Observer"})
	t.add(Figure{"worst sum, announcements past their budget", watch + report + callsOfPull, "s", limit, "", "report period at the fullest entry × 1.1 in place of the announcement", "membership.Reporter"})
	return t
}

func (m *model) stormTable() Table {
	t := Table{Title: "Failures and restarts"}
	nodes := float64(m.Entries + m.Backends)
	churn := m.RestartsPerDay + m.FailuresPerDay
	entryChanges := 2 * churn * float64(m.Entries) / nodes / float64(m.Regions)
	zoneAgents := float64(m.Backends) / float64(m.Zones)
	zoneEntries := float64(m.Entries) / float64(m.Zones)
	list := m.at(linePeersBytes, m.region)
	hellos := zoneAgents * m.homes / m.region
	spread := max(listSpread*(m.region-allHomes), m.period*reportsPerAck/deltaFactor)
	pulled := m.agentsPerEntry() * list / spread
	digests, reports, watch := m.steadyBytes()
	told := m.toldBytes()
	t.add(Figure{"agents' starts a day", churn * float64(m.Backends) / nodes, "", 0, "", "failures and restarts × agents / nodes", "membership.Reporter, hello"})
	t.add(Figure{"entry list pulled, mean", entryChanges / secondsADay * m.agentsPerEntry() * list, "B/s", limitBytes, "", "2 × a region's entry changes a day × agents / entries × control.peers.bytes", "membership, PeersVersion"})
	t.add(Figure{"entry list pulled, one entry's change", pulled, "B/s", limitBytes, "", "agents / entries × control.peers.bytes over 7 s for each entry past 3, or the time from one acknowledgement to the next: 4 report periods / 1.25", "membership.Reporter"})
	t.add(Figure{"control bytes of an entry meanwhile", digests + reports + watch + told + pulled, "B/s", limitBytes, "", "sum with digests, reports, watch and announcements, changes spread over all objects", "membership"})
	t.add(Figure{"entry lists are being pulled", 100 * min(entryChanges*spread/secondsADay, 1), "%", 0, "", "of the time; 2 × a region's entry changes a day × that time", "membership.Reporter"})
	t.add(Figure{"entry dies: list pulled at once from another", m.direct * list / max(m.region-1, 1), "B", 0, "", "agents that report × control.peers.bytes / other entries, when they miss its answers", "membership.Reporter"})
	t.add(Figure{"zone back: hellos to an entry", hellos, "", 0, "", "agents of a zone × homes / entries of a region", "membership.Observer"})
	t.add(Figure{"zone back: bytes of hellos", hellos * m.slope(lineHelloBytes), "B", 0, "", "× control.hello.bytes, over a second or more", "membership.Observer"})
	t.add(Figure{"zone back: entry list pulled from an entry", (1/m.homes + 1) * hellos * list, "B", 0, "", "one pull from a seed and one from each home whose list differs; an upper bound, all differ", "membership, PeersVersion"})
	t.add(Figure{"zone back: store reads", zoneEntries * m.slope(lineStartReads), "reads", limitReads, "", "entries of a zone × store.start.reads, against a second's reads", "node.StartEntry"})
	t.add(Figure{"zone back: store writes", zoneEntries * m.slope(lineStartWrites), "writes", limitWrites, "", "entries of a zone × store.start.writes", "node, KindEntry"})
	t.add(Figure{"zone back: store calls by agents", 0, "", 0, "", "none at a start", "node.StartAgent"})
	return t
}
