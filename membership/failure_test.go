package membership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const settleTime = 20 * time.Second

// homesOf returns the entries that receive an agent's reports.
func (c *cluster) homesOf(a *agentNode) []*entryNode {
	var homes []*entryNode
	for _, name := range a.Homes() {
		for _, e := range c.entries {
			if e.self.GetName() == name {
				homes = append(homes, e)
			}
		}
	}
	return homes
}

func (a *agentNode) name() string { return a.cfg.Descriptor.Name }

func (c *cluster) wantState(e *entryNode, a *agentNode, want backend.State) {
	c.t.Helper()
	if got := e.table.state(a.name()); got != want {
		c.t.Errorf("%s has state %d for %s, want %d", e.self.GetName(), got, a.name(), want)
	}
}

// dropIf drops the datagrams for which lost returns true.
func (c *cluster) dropIf(lost func(from, to netip.AddrPort) bool) {
	c.deliver = func(from, to netip.AddrPort) []time.Duration {
		if lost(from, to) {
			return nil
		}
		return []time.Duration{linkDelay}
	}
}

func (c *cluster) dropNothing() {
	c.dropIf(func(_, _ netip.AddrPort) bool { return false })
}

func TestEveryAgentIsKnownAtItsHomes(t *testing.T) {
	c := newCluster(t, 8, 40, 4, 1)
	c.run(settleTime)
	for _, a := range c.agents {
		homes := c.homesOf(a)
		if len(homes) != homesPerAgent {
			t.Fatalf("%s has homes %v", a.name(), a.Homes())
		}
		for _, e := range homes {
			c.wantState(e, a, backend.StateLive)
		}
	}
}

// An entry must not suspect a healthy server whose samples arrive by another
// home. Here the link from an agent to one of its homes fails in that direction
// only. The other home receives the reports and relays the load.
func TestAgentSeenByAnotherHomeStaysLive(t *testing.T) {
	c := newCluster(t, 4, 4, 1, 2)
	c.run(settleTime)
	a := c.agents[0]
	home := c.homesOf(a)[0]
	c.dropIf(func(from, to netip.AddrPort) bool { return from == a.addr && to == home.addr })
	c.run(time.Minute)
	a.load.PrefillShort = 0 // least loaded, so that digests contain it
	c.run(time.Minute)
	c.wantState(home, a, backend.StateLive)
}

// An entry must not be removed from the list of entries because a single other
// entry misses it. Here the link from entry 1 to entry 0 fails in that direction
// only.
func TestAsymmetricLinkMarksNoEntryDead(t *testing.T) {
	c := newCluster(t, 5, 0, 1, 3)
	c.run(settleTime)
	c.dropIf(func(from, to netip.AddrPort) bool { return from == entryAddr(1) && to == entryAddr(0) })
	c.run(5 * time.Minute)
	if n := len(c.entries[0].Peers()); n != 5 {
		t.Fatalf("%d entries listed, want 5", n)
	}
}

// A dead entry must be removed from all lists of entries and replaced as a home.
// Otherwise agents would keep reporting to it.
func TestDeadEntryIsDelistedAndReplacedAsHome(t *testing.T) {
	c := newCluster(t, 6, 30, 2, 4)
	c.run(settleTime)
	dead := c.entries[2]
	dead.dead = true
	c.run(3 * time.Minute)
	for _, e := range c.entries {
		if e != dead && len(e.Peers()) != 5 {
			t.Errorf("%s lists %d entries, want 5", e.self.GetName(), len(e.Peers()))
		}
	}
	for _, a := range c.agents {
		if slices.Contains(a.Homes(), dead.self.GetName()) || len(a.Homes()) != homesPerAgent {
			t.Errorf("%s has homes %v", a.name(), a.Homes())
		}
	}
}

// An entry of three whose network is cut for an hour must not mark the others
// dead because of its own isolation.
func TestIsolatedEntryMarksNothingDead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 6, 1, 5)
	c.run(settleTime)
	alone := c.entries[0]
	c.dropIf(func(from, to netip.AddrPort) bool { return (from == alone.addr) != (to == alone.addr) })
	c.run(time.Hour)
	if n := len(alone.Peers()); n != 3 {
		t.Errorf("%d entries listed, want 3", n)
	}
	for _, a := range c.agents {
		c.wantState(alone, a, backend.StateSuspect)
	}
	c.dropNothing()
	c.run(time.Minute)
	for _, a := range c.agents {
		c.wantState(alone, a, backend.StateLive)
	}
}

// After a pause of two minutes an entry must not mark all servers dead. Its
// clock ran on while it received nothing, so it would refuse all requests for a
// moment.
func TestPausedEntryKeepsItsTable(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 6)
	c.run(settleTime)
	e := c.entries[0]
	e.paused = true
	c.run(2 * time.Minute)
	e.paused = false
	c.run(clusterStep)
	for _, a := range c.agents {
		c.wantState(e, a, backend.StateLive)
	}
}

// An entry that the others marked dead during a pause must be listed again
// afterwards. A suspicion that was relayed among the others must not outlive its
// return.
func TestPausedEntryIsListedAgain(t *testing.T) {
	c := newCluster(t, 6, 12, 1, 7)
	c.run(settleTime)
	e := c.entries[0]
	e.paused = true
	c.run(3 * time.Minute)
	if n := len(c.entries[1].Peers()); n != 5 {
		t.Fatalf("%d entries listed while one is paused, want 5", n)
	}
	e.paused = false
	c.run(2 * time.Minute)
	for _, other := range c.entries {
		if n := len(other.Peers()); n != 6 {
			t.Errorf("%s lists %d entries, want 6", other.self.GetName(), n)
		}
	}
}

// The agents of a zone must not report in step after its return, since each
// period would bring a burst that drops datagrams. Here half of the agents are
// cut off for four minutes, until the entries mark them dead, and return at the
// same time. They reported in step if they sent at the moment of the return or
// kept the phase of a common start.
func TestAgentsOfRestoredZoneReportStaggered(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 200, 2, 8)
	c.run(settleTime)
	gone := func(a netip.AddrPort) bool { return c.agentIndex(a) >= 0 && c.agentIndex(a) < 100 }
	c.dropIf(func(from, to netip.AddrPort) bool { return gone(from) || gone(to) })
	c.run(4 * time.Minute)
	c.dropNothing()
	perStep := map[time.Time]int{}
	c.deliver = func(from, _ netip.AddrPort) []time.Duration {
		if gone(from) {
			perStep[c.now]++
		}
		return []time.Duration{linkDelay}
	}
	c.run(time.Minute)
	total, worst := 0, 0
	for _, n := range perStep {
		total += n
		worst = max(worst, n)
	}
	if worst > total/10 {
		t.Errorf("%d of %d datagrams of the returning agents went out in one step of %s", worst, total, clusterStep)
	}
	for _, a := range c.agents {
		for _, e := range c.homesOf(a) {
			c.wantState(e, a, backend.StateLive)
		}
	}
}

// A late report of a previous incarnation must be dropped. An agent sends a
// report with the drain flag and restarts, its Hello arrives, and then the old
// report. If samples were applied in the order of arrival, the restarted server
// would get the old load and drain flag.
func TestLateReportOfOldIncarnationIsDropped(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 9)
	c.run(settleTime)
	a, e := c.agents[0], c.entries[0]
	old := a.reportOrHello(a.entries[e.key], backend.Load{Draining: true, Sequence: a.sequence + 1})
	c.run(time.Second)
	c.startAgent(0, 1)
	c.run(settleTime)
	before := e.oldIncarnation.Count()
	c.applyEntry(e, e.Handle(c.now, a.addr, old))
	if e.table.rows[wire.NameKey(a.name())].load.Draining {
		t.Error("the drain flag of the previous incarnation was applied")
	}
	if n := e.oldIncarnation.Count() - before; n != 1 {
		t.Errorf("old incarnation counted %d times, want 1", n)
	}
	c.run(settleTime)
	if a.incarnationRaised.Count() != 0 {
		t.Error("the late report made the agent raise its new incarnation")
	}
}

// An agent whose clock is an hour lower at its restart must be accepted again,
// although its new incarnation is lower than the one that the entries have.
func TestRestartWithClockBehindIsAccepted(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 10)
	c.run(settleTime)
	a := c.agents[0]
	now := c.now
	c.now = now.Add(-time.Hour)
	c.startAgent(0, 1)
	c.now = now
	a.load.Running = 77
	c.run(settleTime)
	for _, e := range c.entries {
		if row := e.table.rows[wire.NameKey(a.name())]; row.load.Running != 77 || row.state != backend.StateLive {
			t.Errorf("%s has row %+v", e.self.GetName(), row)
		}
	}
}

// Agents must find new entries after all known ones were replaced while the
// agents ran. The seeds' addresses then belong to entries with other names, so
// the old list of entries is useless.
func TestAllHomesReplaced(t *testing.T) {
	c := newCluster(t, 3, 5, 1, 11)
	c.run(settleTime)
	c.run(time.Second)
	for i := range c.entries {
		fresh := c.newEntry(i)
		fresh.self.Name += "-b"
		fresh.key = wire.NameKey(fresh.self.Name)
		c.entries[i] = fresh
	}
	for _, e := range c.entries {
		e.SetPeers(c.now, c.peerList())
	}
	c.run(time.Minute)
	for _, e := range c.entries {
		for _, a := range c.agents {
			c.wantState(e, a, backend.StateLive)
		}
	}
}

// A drain flag must reach the entries within seconds although a third of all
// datagrams is lost. It came late if it waited for the next period or was sent
// only once.
func TestDrainReachesEntriesWithinSeconds(t *testing.T) {
	c := newCluster(t, 3, 24, 2, 12)
	c.run(settleTime)
	c.deliver = func(_, _ netip.AddrPort) []time.Duration {
		if c.rnd.IntN(3) == 0 {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	a := c.agents[0]
	a.load.Draining = true
	c.run(3 * time.Second)
	for _, e := range c.entries {
		if !e.table.rows[wire.NameKey(a.name())].load.Draining {
			t.Errorf("%s hasn't received the drain after 3 s", e.self.GetName())
		}
	}
}

// Reports must continue the sequence of the load in answers. An answer carries
// the agent's load, whose sequence counts every reading of it. If reports had a
// sequence of their own, an entry would drop them as older, and its data of the
// server would stay unchanged, with work that ended long ago.
func TestReportsContinueLoadSequence(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 14)
	c.run(settleTime)
	a := c.agents[0]
	const readings = 1_000_000 // far more than the number of reports
	a.load.Sequence = readings
	c.run(settleTime)
	for _, e := range c.homesOf(a) {
		if got := e.table.rows[wire.NameKey(a.name())].load.Sequence; got < readings {
			t.Errorf("%s has a report with sequence %d, an answer had %d", e.self.GetName(), got, readings)
		}
	}
}

// DrainReported must not return true before the homes have acknowledged the
// flag. An idle agent stops as soon as it does, and entries would choose a
// server without an agent. A third of all datagrams is lost here.
func TestDrainReportedAfterHomesAcknowledge(t *testing.T) {
	c := newCluster(t, 3, 24, 2, 13)
	c.run(settleTime)
	c.deliver = func(_, _ netip.AddrPort) []time.Duration {
		if c.rnd.IntN(3) == 0 {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	a := c.agents[0]
	a.load.Draining = true
	if a.DrainReported() {
		t.Fatal("the drain is reported as sent before any report")
	}
	for range 300 {
		if a.DrainReported() {
			break
		}
		c.run(10 * time.Millisecond)
	}
	if !a.DrainReported() {
		t.Fatal("the drain isn't reported as sent after 3 s")
	}
	for _, e := range c.homesOf(a) {
		if !e.table.rows[wire.NameKey(a.name())].load.Draining {
			t.Errorf("%s hasn't received the drain", e.self.GetName())
		}
	}
}

// A leaving mark must survive further reports, which set the row to live, and
// end with the incarnation. Otherwise a leaving VM would get new work, or a
// replacement with the same name would get none, since the VM list lags.
func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	c := newCluster(t, 3, 2, 1, 13)
	c.run(settleTime)
	a, e := c.agents[0], c.entries[0]
	e.MarkLeaving([]string{a.name()})
	c.run(settleTime)
	c.wantState(e, a, backend.StateLeaving)
	c.startAgent(0, 1)
	c.run(settleTime)
	c.wantState(e, a, backend.StateLive)
}

// An agent that dies without a message must become suspect and then dead.
// Otherwise its server would remain a candidate.
func TestSilentAgentIsSuspectThenDead(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 14)
	c.run(settleTime)
	a, e := c.agents[0], c.entries[0]
	a.dead = true
	c.run(4 * a.Period())
	c.wantState(e, a, backend.StateSuspect)
	c.run(30 * a.Period())
	c.wantState(e, a, backend.StateDead)
}

// A newer configuration version at one entry must reach the other entries and
// the agents without the store.
func TestNewerConfigIsPulled(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 15)
	c.run(settleTime)
	c.changeConfig("pool-0", c.entries[0])
	c.run(9 * time.Second)
	for _, e := range c.entries[1:] {
		if e.configPulls == 0 {
			t.Errorf("%s didn't pull the newer version", e.self.GetName())
		}
	}
	for _, a := range c.agents {
		if a.configPulls == 0 {
			t.Errorf("%s didn't pull the newer version", a.name())
		}
	}
}

func sampleEvidence() []*wirepb.Evidence {
	return []*wirepb.Evidence{{Fingerprint: 1, Death: 2, Deaths: 1, TtlMs: 600_000}}
}

// Evidence of a death at one entry of a region of 86 must reach all others soon,
// although a fifth of all datagrams is lost. Otherwise a prompt that crashes
// engines would kill more of them through entries without the evidence.
func TestEvidenceReachesAllEntries(t *testing.T) {
	c := newCluster(t, 86, 0, 1, 16)
	c.run(settleTime)
	c.deliver = func(_, _ netip.AddrPort) []time.Duration {
		if c.rnd.IntN(5) == 0 {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	e := c.entries[0]
	c.applyEntry(e, e.AddEvidence(c.now, sampleEvidence()))
	c.run(9 * time.Second)
	for _, other := range c.entries[1:] {
		if other.evidenceReceived == 0 {
			t.Errorf("%s hasn't received the evidence after 9 s", other.self.GetName())
		}
		if other.evidenceReceived > 1 {
			t.Errorf("%s received the evidence %d times", other.self.GetName(), other.evidenceReceived)
		}
	}
}

// The halves of a partitioned region must list each other again after the
// partition ends. They never would if nobody sent anything to entries that are
// marked dead.
func TestPartitionedHalvesRejoin(t *testing.T) {
	c := newCluster(t, 6, 0, 1, 17)
	c.run(settleTime)
	half := func(a netip.AddrPort) bool { return a.Addr().As4()[3] < 3 }
	c.dropIf(func(from, to netip.AddrPort) bool { return half(from) != half(to) })
	c.run(5 * time.Minute)
	if n := len(c.entries[0].Peers()); n != 3 {
		t.Fatalf("%d entries listed during the partition, want 3", n)
	}
	c.dropNothing()
	c.run(2 * time.Minute)
	for _, e := range c.entries {
		if n := len(e.Peers()); n != 6 {
			t.Errorf("%s lists %d entries, want 6", e.self.GetName(), n)
		}
	}
}

// 200 agents that start at the same moment must not report in step. They did if
// the first report was sent at the start.
func TestInitialReportsAreStaggered(t *testing.T) {
	c := newCluster(t, 4, 200, 2, 18)
	perStep := map[time.Time]int{}
	c.deliver = func(from, _ netip.AddrPort) []time.Duration {
		if c.agentIndex(from) >= 0 {
			perStep[c.now]++
		}
		return []time.Duration{linkDelay}
	}
	c.run(2 * time.Second)
	for at, n := range perStep {
		if n > 100 {
			t.Errorf("%d datagrams at %s, 400 hellos in all", n, at)
		}
	}
}

// A jump of the load just after a report must be reported before the next
// period. Otherwise entries would keep choosing a server that took on much work.
func TestLoadJumpIsReportedEarly(t *testing.T) {
	c := newCluster(t, 3, 24, 1, 19)
	c.run(settleTime)
	a := c.agents[0]
	for a.lastSentAt != c.now {
		c.run(clusterStep)
	}
	a.load.PrefillShort = 300_000
	c.run(5 * clusterStep)
	if a.Period() < time.Second {
		t.Fatal("the report period is too short for this test")
	}
	for _, e := range c.entries {
		if got := e.table.rows[wire.NameKey(a.name())].load.PrefillShort; got != 300_000 {
			t.Errorf("%s has %d tokens of short prefill, want 300000", e.self.GetName(), got)
		}
	}
}
