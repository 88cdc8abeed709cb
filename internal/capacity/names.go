package capacity

// Names of the lines.
const (
	lineProcess       = "process.memory"
	lineProgram       = "process.program"
	lineRowMemory     = "entry.row.memory"
	lineReportCPU     = "entry.report.cpu"
	lineTickCPU       = "entry.tick.cpu"
	lineDigestCPU     = "entry.digest.cpu"
	lineUpkeepCPU     = "entry.upkeep.cpu"
	lineDecisionCPU   = "entry.decision.cpu"
	lineEntryIdle     = "entry.idle.memory"
	lineEntryIdleCPU  = "entry.idle.cpu"
	lineWorkspace     = "entry.workspace.memory"
	lineSeries        = "entry.series.memory"
	lineHint          = "entry.hint.memory"
	lineEvidence      = "entry.evidence.memory"
	lineObject        = "config.object.memory"
	lineChangeCPU     = "config.change.cpu"
	linePullBytes     = "config.pull.bytes"
	linePullCPU       = "config.pull.cpu"
	linePeersBytes    = "control.peers.bytes"
	linePeriod        = "control.report.period"
	lineFullest       = "control.homes.fullest"
	lineWatchBytes    = "store.watch.bytes"
	lineDigestBytes   = "control.digest.bytes"
	lineReportBytes   = "control.report.bytes"
	lineAckBytes      = "control.ack.bytes"
	lineHelloBytes    = "control.hello.bytes"
	lineDatagramCPU   = "control.datagram.cpu"
	lineAgentIdle     = "agent.idle.memory"
	lineAgentIdleCPU  = "agent.idle.cpu"
	lineAgentReport   = "agent.report.cpu"
	lineAgentAck      = "agent.ack.cpu"
	lineRunMemory     = "agent.run.memory"
	lineStreamEntry   = "stream.entry.memory"
	lineStreamAgent   = "stream.agent.memory"
	lineStreamRoutine = "stream.goroutines"
	lineCaller        = "stream.caller.memory"
	lineChunkCPU      = "stream.chunk.cpu"
	lineWatchIdle     = "store.watch.idle.reads"
	lineWatchBusy     = "store.watch.busy.reads"
	lineStartReads    = "store.start.reads"
	lineStartWrites   = "store.start.writes"
	lineLeaseWrites   = "store.lease.writes"
	lineClaimWrites   = "store.claim.writes"
	lineClaimReads    = "store.claim.reads"
	lineClaimBytes    = "store.claim.bytes"
	lineNewsBytes     = "gateway.news.bytes"
	lineBeatBytes     = "gateway.beat.bytes"
)

// lineNames are those that Compute needs.
var lineNames = []string{
	lineProcess, lineProgram, lineRowMemory, lineReportCPU, lineTickCPU, lineDigestCPU,
	lineUpkeepCPU, lineDecisionCPU, lineEntryIdle, lineEntryIdleCPU,
	lineWorkspace, lineSeries, lineHint, lineEvidence, lineObject,
	lineChangeCPU, linePullBytes, linePullCPU, linePeersBytes, linePeriod, lineFullest,
	lineWatchBytes, lineDigestBytes, lineReportBytes,
	lineAckBytes, lineHelloBytes, lineDatagramCPU, lineAgentIdle,
	lineAgentIdleCPU, lineAgentReport, lineAgentAck, lineRunMemory,
	lineStreamEntry, lineStreamAgent, lineStreamRoutine, lineCaller,
	lineChunkCPU, lineWatchIdle, lineWatchBusy, lineStartReads,
	lineStartWrites, lineLeaseWrites, lineClaimWrites, lineClaimReads, lineClaimBytes,
	lineNewsBytes, lineBeatBytes,
}
