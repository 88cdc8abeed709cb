package lostservers

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/servernotice"
)

const (
	t0      = boottime.Instant(time.Hour)
	started = 1000 // Unix ms
	self    = 1
)

// fleet returns n servers that started at the same time. Their keys are 1 to n.
func fleet(n int) []servernotice.Server {
	out := make([]servernotice.Server, n)
	for i := range out {
		out[i] = servernotice.Server{Key: uint64(i + 1), StartedUnixMs: started}
	}
	return out
}

var (
	servers = fleet(10)
	lost    = servers[0]
	near    = func(entry uint64) Source { return Source{Entry: entry} }
	far     = func(entry uint64, zone string) Source { return Source{Entry: entry, Link: zone} }
)

func seen(s servernotice.Server, kind Kind, at boottime.Instant) Evidence {
	return Evidence{Server: s, Kind: kind, SeenAt: at}
}

// excludes reports whether a table excludes one server of the fleet.
func excludes(t *Table, s servernotice.Server, now boottime.Instant) bool {
	fleet := append([]servernotice.Server{s}, servers[1:]...)
	return t.Exclude(fleet, false, now)[s.Key]
}

// Guards against entries that each find a server that is down by failed attempts of their own.
func TestRefusalSeenByAnotherEntryExcludesServer(t *testing.T) {
	table := NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	if got := table.Exclude(servers, false, t0); len(got) != 1 || !got[lost.Key] {
		t.Errorf("excluded %v", got)
	}
}

// Guards against excluding servers at all entries because the links of one entry are cut.
func TestSilenceCountsFromTwoSourcesWithoutCommonLink(t *testing.T) {
	for name, c := range map[string]struct {
		sources []Source
		want    bool
	}{
		"one":                           {[]Source{near(2)}, false},
		"one, twice":                    {[]Source{near(2), near(2)}, false},
		"two of this zone":              {[]Source{near(2), near(3)}, true},
		"two of one other zone":         {[]Source{far(2, "b"), far(3, "b")}, false},
		"two of two other zones":        {[]Source{far(2, "b"), far(3, "c")}, true},
		"this zone and another":         {[]Source{near(2), far(3, "b")}, true},
		"this entry alone":              {[]Source{near(self)}, true},
		"many of one other zone":        {[]Source{far(2, "b"), far(3, "b"), far(4, "b"), far(5, "b")}, false},
		"this entry's message repeated": {[]Source{far(2, "b"), far(2, "c")}, false},
	} {
		for _, kind := range []Kind{Silent, Reset} {
			t.Run(name+" "+kind.String(), func(t *testing.T) {
				table := NewTable(self)
				for i, s := range c.sources {
					e := seen(lost, kind, t0.Add(time.Duration(i)*time.Millisecond))
					if s.Entry == self {
						table.Observe(e)
						continue
					}
					table.Merge(s, e, e.SeenAt)
				}
				if got := excludes(table, lost, t0.Add(10*time.Millisecond)); got != c.want {
					t.Errorf("excluded: %v, want %v", got, c.want)
				}
			})
		}
	}
}

// Guards against a server that works for this entry and is excluded because it doesn't for others.
func TestOwnNewerLifeOutweighsEvidence(t *testing.T) {
	table := NewTable(self)
	table.Alive(lost, t0)
	for entry := range uint64(5) {
		table.Merge(near(2+entry), seen(lost, Refused, t0.Add(time.Second)), t0.Add(time.Second))
	}
	now := t0.Add(time.Second)
	if !excludes(table, lost, now) {
		t.Error("older life outweighs the evidence")
	}
	table.Alive(lost, now.Add(transitTime-1))
	if !excludes(table, lost, now.Add(transitTime)) {
		t.Error("what may have been on its way outweighs the evidence")
	}
	table.Alive(lost, now.Add(transitTime))
	if excludes(table, lost, now.Add(transitTime)) {
		t.Error("a server that responds is excluded")
	}
	table.Merge(near(2), seen(lost, Refused, now), now.Add(2*transitTime))
	if excludes(table, lost, now.Add(2*transitTime)) {
		t.Error("a late message excludes a server that has responded since")
	}
}

// Guards against excluding the next start of a server, or another server at its address, which has an
// instance of its own.
func TestEvidenceIsAboutOneStart(t *testing.T) {
	table := NewTable(self)
	table.Observe(seen(lost, Refused, t0))
	next := servernotice.Server{Key: lost.Key, StartedUnixMs: started + 1}
	if excludes(table, next, t0) {
		t.Error("the next start is excluded")
	}
	if excludes(table, servernotice.Server{Key: 77, StartedUnixMs: started}, t0) {
		t.Error("another server is excluded")
	}
	for name, same := range map[string]servernotice.Server{
		"unknown start": {Key: lost.Key}, "late registration": {Key: lost.Key, StartedUnixMs: started - 1},
	} {
		if !excludes(table, same, t0) {
			t.Errorf("%s: not excluded", name)
		}
	}
	table = NewTable(self)
	table.Observe(seen(servernotice.Server{Key: lost.Key}, Refused, t0))
	if !excludes(table, lost, t0) {
		t.Error("evidence on an unknown start doesn't count")
	}
}

// Guards against one loss that counts several times, because the entries know different starts.
func TestDifferingStartsAreOneServer(t *testing.T) {
	table := NewTable(self)
	for i, start := range []int64{started, started - 1, 0} {
		s := servernotice.Server{Key: lost.Key, StartedUnixMs: start}
		table.Merge(near(2), seen(s, Silent, t0.Add(time.Duration(i))), t0.Add(time.Duration(i)))
	}
	if excludes(table, lost, t0.Add(3)) {
		t.Error("one source counts as several")
	}
	table.Merge(near(3), seen(lost, Silent, t0.Add(3)), t0.Add(3))
	got := table.Lost([]servernotice.Server{lost}, t0.Add(3))
	if len(got) != 1 || len(got[0].Sources) != 2 || len(table.servers) != 1 {
		t.Errorf("status %+v of %d records", got, len(table.servers))
	}
}

// Guards against all entries that try a server again at the same moment, and against a server that
// is back and gets no requests.
func TestEntriesTryServerAgainOneAfterTheOther(t *testing.T) {
	const entries = 12
	first, last := time.Hour, time.Duration(0)
	distinct := map[time.Duration]bool{}
	for entry := range uint64(entries) {
		table := NewTable(entry + 1)
		table.Merge(near(99), seen(lost, Refused, t0), t0)
		wait := time.Duration(0)
		for excludes(table, lost, t0.Add(wait)) {
			wait += time.Millisecond
		}
		first, last = min(first, wait), max(last, wait)
		distinct[wait] = true
	}
	if first < holdTime || last > maxHoldFactor*holdTime || len(distinct) < entries/2 {
		t.Errorf("from %v to %v, %d distinct times", first, last, len(distinct))
	}
}

// Guards against an entry that sends several requests to a server of which it doesn't know
// whether it is back.
func TestOneRequestTriesServer(t *testing.T) {
	table := NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	now := t0.Add(maxHoldFactor * holdTime)
	if excludes(table, lost, now) {
		t.Fatal("the server isn't tried again")
	}
	table.StartTrial(lost, now)
	if !excludes(table, lost, now) {
		t.Error("a second request is sent during the trial")
	}
	table.Observe(seen(lost, Refused, now.Add(time.Millisecond)))
	if !excludes(table, lost, now.Add(holdTime)) {
		t.Error("a failed trial doesn't count")
	}
	table = NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	table.StartTrial(lost, now)
	table.Alive(lost, now.Add(time.Millisecond))
	if excludes(table, lost, now.Add(time.Millisecond)) {
		t.Error("a server that responded in the trial is excluded")
	}
	table.StartTrial(servers[1], now)
	if excludes(table, servers[1], now) {
		t.Error("a trial excludes a server without evidence")
	}
}

// Guards against requests that wait for a server that doesn't reply, as often as for one that refuses.
func TestSilentServerIsTriedLessOften(t *testing.T) {
	table := NewTable(self)
	table.Merge(near(2), seen(lost, Silent, t0), t0)
	table.Merge(near(3), seen(lost, Silent, t0), t0)
	if !excludes(table, lost, t0.Add(silentHoldTime-1)) {
		t.Error("tried too early")
	}
	if excludes(table, lost, t0.Add(maxHoldFactor*silentHoldTime)) {
		t.Error("not tried again")
	}
}

// Guards against entries that leave out a server which has responded to another one since, and against
// using one that this entry can't reach.
func TestLifeThatPeerSawEndsEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		observe func(*Table)
		want    bool // excluded afterwards
	}{
		"refused, other entry": {func(table *Table) { table.Merge(near(2), seen(lost, Refused, t0), t0) }, false},
		"refused, this entry":  {func(table *Table) { table.Observe(seen(lost, Refused, t0)) }, false},
		"silent, other entries": {func(table *Table) {
			table.Merge(near(2), seen(lost, Silent, t0), t0)
			table.Merge(near(3), seen(lost, Silent, t0), t0)
		}, false},
		"silent, this entry": {func(table *Table) { table.Observe(seen(lost, Silent, t0)) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(self)
			c.observe(table)
			table.PeerAlive(lost.Key, t0.Add(transitTime-1))
			if !excludes(table, lost, t0.Add(transitTime)) {
				t.Error("what may have been on its way ends the evidence")
			}
			table.PeerAlive(lost.Key, t0.Add(transitTime))
			if got := excludes(table, lost, t0.Add(transitTime)); got != c.want {
				t.Errorf("excluded: %v, want %v", got, c.want)
			}
		})
	}
	table := NewTable(self)
	table.PeerAlive(lost.Key, t0)
	if len(table.servers) != 0 {
		t.Error("life of a server without evidence is kept")
	}
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	woken := t0.Add(maxGap + 1)
	table.PeerAlive(lost.Key, woken) // waited during a suspension
	if !table.Exclude(servers, true, woken)[lost.Key] {
		t.Error("a message that waited during a suspension ends evidence")
	}
}

// Guards against a request that is used for one trial after another until it is refused.
func TestRequestThatMetFailureTriesNoServer(t *testing.T) {
	table := NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	now := t0.Add(maxHoldFactor * holdTime)
	if got := table.Exclude(servers, true, now); !got[lost.Key] {
		t.Error("a request after a failed attempt tries the server")
	}
	if got := table.Exclude([]servernotice.Server{lost}, true, now); got != nil {
		t.Errorf("no server is left, excluded %v", got)
	}
	if got := table.Exclude(servers, true, t0.Add(retention)); got != nil {
		t.Errorf("excluded %v after the evidence has expired", got)
	}
}

// Guards against a server that crashes and comes back again and again, and is either excluded for good
// or gets every request while it is down.
func TestServerThatFlapsIsUsedWhileItResponds(t *testing.T) {
	table := NewTable(self)
	now := t0
	for range 20 {
		table.Observe(seen(lost, Refused, now))
		if !excludes(table, lost, now.Add(holdTime-1)) {
			t.Fatal("used while it is down")
		}
		now = now.Add(maxHoldFactor * holdTime)
		if excludes(table, lost, now) {
			t.Fatal("not tried again")
		}
		table.Alive(lost, now)
		if table.Exclude(servers, true, now)[lost.Key] {
			t.Fatal("excluded although it responded")
		}
		now = now.Add(time.Second)
	}
}

// Guards against an entry that takes all servers for lost, because its links are cut or another
// entry says so.
func TestAllServersAreNeverExcluded(t *testing.T) {
	table := NewTable(self)
	for _, s := range servers {
		table.Observe(seen(s, Silent, t0))
	}
	if got := table.Exclude(servers, false, t0); got != nil {
		t.Errorf("excluded %d of %d", len(got), len(servers))
	}
}

// Guards against one entry, whose connections are all refused, that takes most servers out of use
// everywhere.
func TestMostServersAreExcludedOnlyIfConfirmed(t *testing.T) {
	table := NewTable(self)
	for _, s := range servers[:6] {
		table.Merge(near(2), seen(s, Refused, t0), t0)
	}
	if got := table.Exclude(servers, false, t0); len(got) != 0 {
		t.Errorf("one entry excludes %d of %d", len(got), len(servers))
	}
	for _, s := range servers[:5] {
		table.Merge(near(3), seen(s, Refused, t0), t0)
	}
	if got := table.Exclude(servers, false, t0); len(got) != 5 {
		t.Errorf("two entries exclude %d of %d, want 5", len(got), len(servers))
	}
	table.Observe(seen(servers[5], Refused, t0))
	if got := table.Exclude(servers, false, t0); len(got) != 6 {
		t.Errorf("excluded %d of %d, want 6", len(got), len(servers))
	}
}

// Guards against an entry that was cut off and reports all servers as lost when it is back.
func TestCutOffEntryReportsNoSilence(t *testing.T) {
	table := NewTable(self)
	for _, s := range servers {
		table.Alive(s, t0)
	}
	later := t0.Add(retention)
	table.Sweep(later)
	reported := 0
	for _, s := range servers {
		if table.Observe(seen(s, Silent, later)) {
			reported++
		}
	}
	if reported != 0 || len(table.OwnEvidence(time.Second, later)) != 0 {
		t.Errorf("reported %d servers, repeats %d", reported, len(table.OwnEvidence(time.Second, later)))
	}
}

// Guards against a lost server of which only its own callers learn, because entries don't report it.
func TestEntryThatHearsFromOthersReportsSilence(t *testing.T) {
	table := NewTable(self)
	for _, s := range servers[1:4] {
		table.Alive(s, t0)
	}
	if !table.Observe(seen(lost, Silent, t0)) {
		t.Error("silence isn't reported")
	}
	if table.Observe(seen(lost, Silent, t0.Add(reportInterval-1))) {
		t.Error("each of many failed attempts is reported")
	}
	if !table.Observe(seen(lost, Silent, t0.Add(reportInterval))) {
		t.Error("later evidence isn't reported")
	}
	now := t0.Add(reportInterval)
	if got := table.OwnEvidence(time.Second, now); len(got) != 1 || got[0].Server != lost {
		t.Errorf("repeats %v", got)
	}
	table.Merge(near(2), seen(servers[5], Refused, now), now)
	table.Alive(lost, now.Add(transitTime))
	if got := table.OwnEvidence(time.Second, now.Add(transitTime)); len(got) != 0 {
		t.Errorf("repeats %v, which another entry has seen or is outdated", got)
	}
}

// Guards against as many messages for each server as there are entries, which all meet it at once.
func TestLossThatOthersHaveReportedIsNotReportedAgain(t *testing.T) {
	table := NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	table.Merge(near(3), seen(servernotice.Server{Key: lost.Key}, Refused, t0), t0)
	table.Merge(near(4), seen(lost, Silent, t0), t0)
	if !table.Observe(seen(lost, Refused, t0)) {
		t.Fatal("not reported, though only one other entry says the same of the same start")
	}
	table = NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	table.Merge(near(3), seen(lost, Refused, t0), t0)
	if table.Observe(seen(lost, Refused, t0.Add(reportInterval-1))) || len(table.OwnEvidence(time.Second, t0.Add(reportInterval-1))) != 0 {
		t.Error("reported, though two entries have done so")
	}
	if !table.Observe(seen(lost, Refused, t0.Add(reportInterval))) {
		t.Error("later evidence isn't reported")
	}
}

// Guards against exclusion by old messages, which waited while this entry or another was suspended.
func TestOldMessagesCountForNothing(t *testing.T) {
	table := NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0.Add(retention))
	if len(table.servers) != 0 {
		t.Error("old evidence is kept")
	}
	now := t0.Add(retention)
	table.Sweep(now)
	woken := now.Add(time.Minute)
	table.Merge(near(2), seen(lost, Refused, woken), woken) // its age doesn't include the suspension
	if excludes(table, lost, woken) {
		t.Error("a message that waited during a suspension counts")
	}
	fresh := woken.Add(settleTime)
	table.Merge(near(2), seen(lost, Refused, fresh), fresh)
	if !excludes(table, lost, fresh) {
		t.Error("a message after a suspension doesn't count")
	}
}

// Guards against an entry that was suspended and takes the servers it was connecting to for lost.
func TestTimeLimitsThatPassedInSuspensionAreNoEvidence(t *testing.T) {
	table := NewTable(self)
	table.Alive(servers[1], t0)
	woken := t0.Add(maxGap + 1)
	if table.Observe(seen(lost, Silent, woken)) || excludes(table, lost, woken) {
		t.Error("silence counts right after a suspension")
	}
	table.Observe(seen(servers[2], Refused, woken))
	if !excludes(table, servers[2], woken) {
		t.Error("a refusal doesn't count")
	}
	table.Observe(seen(lost, Silent, woken.Add(settleTime)))
	if !excludes(table, lost, woken.Add(settleTime)) {
		t.Error("later silence doesn't count")
	}
}

// Guards against a late or repeated message that makes evidence look newer than it is.
func TestLateAndRepeatedMessagesChangeNothing(t *testing.T) {
	table := NewTable(self)
	table.Merge(near(2), seen(lost, Refused, t0), t0)
	now := t0.Add(maxHoldFactor * holdTime)
	table.Merge(near(2), seen(lost, Refused, t0), now)
	table.Merge(near(2), seen(lost, Silent, t0.Add(-time.Second)), now)
	if excludes(table, lost, now) {
		t.Error("a repeated message extends the exclusion")
	}
	if got := table.Lost([]servernotice.Server{lost}, now); len(got) != 1 || got[0].Kind != Refused {
		t.Errorf("status %+v", got)
	}
}

// Guards against state that grows with the number of servers that were ever lost.
func TestStateIsBounded(t *testing.T) {
	table := NewTable(self)
	for i := range uint64(2 * maxServers) {
		s := servernotice.Server{Key: i + 1}
		table.Alive(s, t0)
		table.Merge(near(i+2), seen(s, Refused, t0), t0)
		table.Merge(near(i+2), seen(lost, Refused, t0), t0)
	}
	if len(table.servers) > maxServers || len(table.life) > maxServers || len(table.servers[lost.Key].byEntry) > maxSources {
		t.Errorf("%d servers, %d alive, %d sources", len(table.servers), len(table.life), len(table.servers[lost.Key].byEntry))
	}
	table.Sweep(t0.Add(retention))
	if len(table.servers) != 0 || len(table.life) != 0 {
		t.Errorf("%d servers, %d alive after their time", len(table.servers), len(table.life))
	}
}
