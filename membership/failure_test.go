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

const settled = 20 * time.Second

// homesOf returns the entries that an agent reports to.
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
		c.t.Errorf("%s believes state %d of %s, want %d", e.self.GetName(), got, a.name(), want)
	}
}

// cut loses what goes from one address to another.
func (c *cluster) cut(lost func(from, to netip.AddrPort) bool) {
	c.deliver = func(from, to netip.AddrPort) []time.Duration {
		if lost(from, to) {
			return nil
		}
		return []time.Duration{linkDelay}
	}
}

func (c *cluster) heal() {
	c.cut(func(_, _ netip.AddrPort) bool { return false })
}

func TestEveryAgentIsKnownAtItsHomes(t *testing.T) {
	c := newCluster(t, 8, 40, 4, 1)
	c.run(settled)
	for _, a := range c.agents {
		homes := c.homesOf(a)
		if len(homes) != fewHomes {
			t.Fatalf("%s has homes %v", a.name(), a.Homes())
		}
		for _, e := range homes {
			c.wantState(e, a, backend.StateLive)
		}
	}
}

// Symptom: an entry holds a healthy server for suspect and sends it nothing.
// Sequence: the link from one agent to one of its homes is cut, that back isn't;
// its other home hears it and passes its load on.
// Cause: the entry trusts only what it hears itself.
func TestAgentHeardByAnotherHomeStaysLive(t *testing.T) {
	c := newCluster(t, 4, 4, 1, 2)
	c.run(settled)
	a := c.agents[0]
	home := c.homesOf(a)[0]
	c.cut(func(from, to netip.AddrPort) bool { return from == a.addr && to == home.addr })
	c.run(time.Minute)
	a.load.PrefillShort = 0 // least loaded, so that digests mention it
	c.run(time.Minute)
	c.wantState(home, a, backend.StateLive)
}

// Symptom: an entry is taken off the list of entries although it serves.
// Sequence: the link from entry 1 to entry 0 is cut in that direction only.
// Cause: one observer's silence is taken for death.
func TestAsymmetricLinkKillsNobody(t *testing.T) {
	c := newCluster(t, 5, 0, 1, 3)
	c.run(settled)
	c.cut(func(from, to netip.AddrPort) bool { return from == entryAddr(1) && to == entryAddr(0) })
	c.run(5 * time.Minute)
	if n := len(c.entries[0].Peers()); n != 5 {
		t.Fatalf("%d entries listed, want 5", n)
	}
}

// Symptom: agents go on reporting to an entry that is gone, or entries list it.
// Sequence: an entry dies for good.
// Cause: none of the others concludes from silence.
func TestDeadEntryIsAgreedOnAndReplacedAsHome(t *testing.T) {
	c := newCluster(t, 6, 30, 2, 4)
	c.run(settled)
	dead := c.entries[2]
	dead.dead = true
	c.run(3 * time.Minute)
	for _, e := range c.entries {
		if e != dead && len(e.Peers()) != 5 {
			t.Errorf("%s lists %d entries, want 5", e.self.GetName(), len(e.Peers()))
		}
	}
	for _, a := range c.agents {
		if slices.Contains(a.Homes(), dead.self.GetName()) || len(a.Homes()) != fewHomes {
			t.Errorf("%s has homes %v", a.name(), a.Homes())
		}
	}
}

// Symptom: two entries of a deployment with three take each other for dead.
// Sequence: one entry's own network is cut; it hears nobody for an hour.
// Cause: an entry that hears nobody judges the others by its own silence.
func TestIsolatedEntryDeclaresNobodyDead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 6, 1, 5)
	c.run(settled)
	alone := c.entries[0]
	c.cut(func(from, to netip.AddrPort) bool { return (from == alone.addr) != (to == alone.addr) })
	c.run(time.Hour)
	if n := len(alone.Peers()); n != 3 {
		t.Errorf("%d entries listed, want 3", n)
	}
	for _, a := range c.agents {
		c.wantState(alone, a, backend.StateSuspect)
	}
	c.heal()
	c.run(time.Minute)
	for _, a := range c.agents {
		c.wantState(alone, a, backend.StateLive)
	}
}

// Symptom: for a moment an entry has no server to choose and refuses all.
// Sequence: the entry's process is paused for two minutes and wakes.
// Cause: its clock ran on while it heard nobody, so all seem silent.
func TestPausedEntryWakesWithItsTable(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 6)
	c.run(settled)
	e := c.entries[0]
	e.paused = true
	c.run(2 * time.Minute)
	e.paused = false
	c.run(clusterStep)
	for _, a := range c.agents {
		c.wantState(e, a, backend.StateLive)
	}
}

// Symptom: an entry that was paused stays off the list of entries for good.
// Sequence: it is paused until the others agree that it is dead, then wakes.
// Cause: a suspicion goes round and outlives the entry's return.
func TestPausedEntryComesBack(t *testing.T) {
	c := newCluster(t, 6, 12, 1, 7)
	c.run(settled)
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

// Symptom: when a zone comes back its agents report in step, and every period
// brings a burst that drops datagrams.
// Sequence: half of the agents are cut off for four minutes, until entries
// hold them for dead, and return at once.
// Cause: agents send when the link returns, or keep the phase of a common start.
func TestReturningZoneReportsStaggered(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 200, 2, 8)
	c.run(settled)
	gone := func(a netip.AddrPort) bool { return c.agentAt(a) >= 0 && c.agentAt(a) < 100 }
	c.cut(func(from, to netip.AddrPort) bool { return gone(from) || gone(to) })
	c.run(4 * time.Minute)
	c.heal()
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

// Symptom: a restarted server is shown with the load, or the drain flag, of its
// former life.
// Sequence: an agent sends a report with the drain flag and restarts; its Hello
// arrives; the old report arrives late.
// Cause: samples are taken in the order of arrival.
func TestLateReportOfFormerLifeIsDropped(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 9)
	c.run(settled)
	a, e := c.agents[0], c.entries[0]
	old := a.message(a.entries[e.key], backend.Load{Draining: true, Sequence: a.sequence + 1})
	c.run(time.Second)
	c.startAgent(0, 1)
	c.run(settled)
	before := e.oldIncarnation.Count()
	c.entryEffects(e, e.Handle(c.now, a.addr, old))
	if e.table.rows[wire.Key(a.name())].load.Draining {
		t.Error("the former life's drain flag was taken")
	}
	if n := e.oldIncarnation.Count() - before; n != 1 {
		t.Errorf("old incarnation counted %d times, want 1", n)
	}
	c.run(settled)
	if a.raised.Count() != 0 {
		t.Error("the late report made the new life raise its incarnation")
	}
}

// Symptom: after a restart an agent is never heard again.
// Sequence: its VM's clock stood an hour lower at the second start.
// Cause: its new incarnation is less than the one that entries know.
func TestRestartWithClockBehindIsHeard(t *testing.T) {
	c := newCluster(t, 3, 1, 1, 10)
	c.run(settled)
	a := c.agents[0]
	now := c.now
	c.now = now.Add(-time.Hour)
	c.startAgent(0, 1)
	c.now = now
	a.load.Running = 77
	c.run(settled)
	for _, e := range c.entries {
		if row := e.table.rows[wire.Key(a.name())]; row.load.Running != 77 || row.state != backend.StateLive {
			t.Errorf("%s has %+v", e.self.GetName(), row)
		}
	}
}

// Symptom: agents that lost all their entries are never heard again.
// Sequence: every entry's VM is replaced while the agents run; the seeds'
// addresses now belong to entries with other names.
// Cause: an agent keeps only the list it once had.
func TestAllHomesReplaced(t *testing.T) {
	c := newCluster(t, 3, 5, 1, 11)
	c.run(settled)
	c.run(time.Second)
	for i := range c.entries {
		fresh := c.newEntry(i)
		fresh.self.Name += "-b"
		fresh.key = wire.Key(fresh.self.Name)
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

// Symptom: a server gets new work long after it began to drain.
// Sequence: the drain flag is set; a third of all datagrams is lost.
// Cause: the flag waits for the next period, or is sent once and lost.
func TestDrainIsKnownWithinSeconds(t *testing.T) {
	c := newCluster(t, 3, 24, 2, 12)
	c.run(settled)
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
		if !e.table.rows[wire.Key(a.name())].load.Draining {
			t.Errorf("%s doesn't know after 3 s", e.self.GetName())
		}
	}
}

// Symptom: an entry's picture of a backend server stands still, full of work
// that has long ended.
// Sequence: an answer carries the agent's load, whose number counts every look
// at it; then reports follow.
// Cause: the reports are numbered by themselves and pass for older.
func TestReportsFollowTheNumbersOfAnswers(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 14)
	c.run(settled)
	a := c.agents[0]
	const looks = 1_000_000 // far more than reports were sent
	a.load.Sequence = looks
	c.run(settled)
	for _, e := range c.homesOf(a) {
		if got := e.table.rows[wire.Key(a.name())].load.Sequence; got < looks {
			t.Errorf("%s has a report numbered %d, an answer had %d", e.self.GetName(), got, looks)
		}
	}
}

// Symptom: entries choose a backend server whose agent has ended.
// Sequence: an idle agent is told to stop while a third of all datagrams is
// lost; it ends as soon as its reporter says that the entries know.
// Cause: the reporter says so before its homes have acknowledged the flag.
func TestDrainIsToldOnceTheHomesKnow(t *testing.T) {
	c := newCluster(t, 3, 24, 2, 13)
	c.run(settled)
	c.deliver = func(_, _ netip.AddrPort) []time.Duration {
		if c.rnd.IntN(3) == 0 {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	a := c.agents[0]
	a.load.Draining = true
	if a.DrainReported() {
		t.Fatal("told before anything was sent")
	}
	for range 300 {
		if a.DrainReported() {
			break
		}
		c.run(10 * time.Millisecond)
	}
	if !a.DrainReported() {
		t.Fatal("not told after 3 s")
	}
	for _, e := range c.homesOf(a) {
		if !e.table.rows[wire.Key(a.name())].load.Draining {
			t.Errorf("%s doesn't know", e.self.GetName())
		}
	}
}

// Symptom: a leaving VM gets new work because its agent still reports, or its
// replacement of the same name gets none.
// Sequence: the VM list names it; reports go on; a new life says hello.
// Cause: a report makes the row live, or the lagging list outlives the VM.
func TestLeavingHintHoldsForOneLife(t *testing.T) {
	c := newCluster(t, 3, 2, 1, 13)
	c.run(settled)
	a, e := c.agents[0], c.entries[0]
	e.MarkLeaving([]string{a.name()})
	c.run(settled)
	c.wantState(e, a, backend.StateLeaving)
	c.startAgent(0, 1)
	c.run(settled)
	c.wantState(e, a, backend.StateLive)
}

// Symptom: a dead server stays among the candidates.
// Sequence: an agent dies without a word.
// Cause: nobody concludes from silence.
func TestSilentAgentIsSuspectThenDead(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 14)
	c.run(settled)
	a, e := c.agents[0], c.entries[0]
	a.dead = true
	c.run(4 * a.Period())
	c.wantState(e, a, backend.StateSuspect)
	c.run(30 * a.Period())
	c.wantState(e, a, backend.StateDead)
}

// Symptom: configuration is old somewhere for long after it was accepted.
// Sequence: one entry has a newer version; the store is of no help.
// Cause: versions aren't passed on.
func TestNewerConfigIsPulled(t *testing.T) {
	c := newCluster(t, 3, 6, 1, 15)
	c.run(settled)
	c.change("pool-0", c.entries[0])
	c.run(9 * time.Second)
	for _, e := range c.entries[1:] {
		if e.pulls == 0 {
			t.Errorf("%s doesn't know of the newer version", e.self.GetName())
		}
	}
	for _, a := range c.agents {
		if a.pulls == 0 {
			t.Errorf("%s doesn't know of the newer version", a.name())
		}
	}
}

func samplesOfEvidence() []*wirepb.Evidence {
	return []*wirepb.Evidence{{Fingerprint: 1, Death: 2, Deaths: 1, TtlMs: 600_000}}
}

// Symptom: a crashing prompt kills engines through entries that didn't hear of
// it.
// Sequence: one entry of a region of 86 learns of the death; a fifth of all
// datagrams is lost.
// Cause: evidence isn't passed on widely or soon enough.
func TestEvidenceReachesTheRegion(t *testing.T) {
	c := newCluster(t, 86, 0, 1, 16)
	c.run(settled)
	c.deliver = func(_, _ netip.AddrPort) []time.Duration {
		if c.rnd.IntN(5) == 0 {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	e := c.entries[0]
	c.entryEffects(e, e.AddEvidence(c.now, samplesOfEvidence()))
	c.run(9 * time.Second)
	for _, other := range c.entries[1:] {
		if other.evidence == 0 {
			t.Errorf("%s doesn't know after 9 s", other.self.GetName())
		}
		if other.evidence > 1 {
			t.Errorf("%s was told %d times", other.self.GetName(), other.evidence)
		}
	}
}

// Symptom: after a cut between two zones their entries never list each other
// again.
// Sequence: a region's entries are cut into halves until each half holds the
// other for dead; the link returns.
// Cause: nobody sends to an entry that is held for dead.
func TestHalvesFindEachOtherAgain(t *testing.T) {
	c := newCluster(t, 6, 0, 1, 17)
	c.run(settled)
	half := func(a netip.AddrPort) bool { return a.Addr().As4()[3] < 3 }
	c.cut(func(from, to netip.AddrPort) bool { return half(from) != half(to) })
	c.run(5 * time.Minute)
	if n := len(c.entries[0].Peers()); n != 3 {
		t.Fatalf("%d entries listed while cut, want 3", n)
	}
	c.heal()
	c.run(2 * time.Minute)
	for _, e := range c.entries {
		if n := len(e.Peers()); n != 6 {
			t.Errorf("%s lists %d entries, want 6", e.self.GetName(), n)
		}
	}
}

// Symptom: a fleet that starts at once reports in step.
// Sequence: 200 agents start in the same moment.
// Cause: the first report goes out at the start.
func TestStartIsStaggered(t *testing.T) {
	c := newCluster(t, 4, 200, 2, 18)
	perStep := map[time.Time]int{}
	c.deliver = func(from, _ netip.AddrPort) []time.Duration {
		if c.agentAt(from) >= 0 {
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

// Symptom: an entry goes on choosing a server that took on much work.
// Sequence: a server's load jumps just after a report.
// Cause: the news waits for the next period.
func TestJumpIsReportedOutOfTurn(t *testing.T) {
	c := newCluster(t, 3, 24, 1, 19)
	c.run(settled)
	a := c.agents[0]
	for a.sentAt != c.now {
		c.run(clusterStep)
	}
	a.load.PrefillShort = 300_000
	c.run(5 * clusterStep)
	if a.Period() < time.Second {
		t.Fatal("the period is so short that the test shows nothing")
	}
	for _, e := range c.entries {
		if got := e.table.rows[wire.Key(a.name())].load.PrefillShort; got != 300_000 {
			t.Errorf("%s has %d tokens", e.self.GetName(), got)
		}
	}
}
