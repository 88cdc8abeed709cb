package placement

import (
	"slices"
	"testing"
	"time"
)

// paceRecorder keeps the paces that a ledger announces.
type paceRecorder struct{ announced []Pace }

func (r *paceRecorder) Pace(p Pace) { r.announced = append(r.announced, p) }

// paceFleet is a fleet whose ledger shares paces. Passes are those of one stream per server.
type paceFleet struct {
	*fleet
	announced *paceRecorder
	seq       uint64
}

func newPaceFleet(n int) *paceFleet {
	f := &paceFleet{fleet: newFleet(n), announced: &paceRecorder{}}
	f.ledger.SharePaces(f.announced, func(uint64) bool { return true })
	for i := range n { // all have been used
		f.ledger.serverLocked(f.key(i))
	}
	return f
}

func (f *paceFleet) key(server int) uint64 { return ServerKey(f.candidates[server].Instance) }

// measure lets the entry relay a stream whose passes take the given multiple of their time.
func (f *paceFleet) measure(server int, factor float64) {
	f.seq++
	id := AttemptID{Owner: 1, Seq: f.seq}
	f.ledger.Begin(Attempt{ID: id, Server: f.key(server), Decoding: true}, f.now)
	for range passesPerSample + 1 {
		f.ledger.Event(id, f.key(server), f.now)
		f.now = f.now.Add(scale(engine.DecodePassTime(1, 0), factor))
	}
	f.ledger.End(id)
}

// receive merges what another entry measured some time ago.
func (f *paceFleet) receive(owner uint64, server int, factor float64, age time.Duration) bool {
	return f.ledger.MergePace(owner, Pace{Server: f.key(server), Factor: factor, Age: age}, f.now)
}

func (f *paceFleet) wantFactor(t *testing.T, server int, from, to float64) {
	t.Helper()
	if got := f.slowdownOf(f.candidates[server].Instance); got < from || got > to {
		t.Errorf("factor %.2f, want %.2f to %.2f", got, from, to)
	}
}

// Guards against a slow server that each entry finds by late prompts of its own.
func TestMeasuredPaceIsAnnounced(t *testing.T) {
	f := newPaceFleet(8)
	f.measure(0, 4)
	f.wantFactor(t, 0, 3.5, 4.1)
	if got := f.announced.announced; len(got) != 1 || got[0].Factor < 3.9 || got[0].Factor > 4.1 {
		t.Fatalf("announced %+v", got)
	}
	f.measure(0, 4.4)
	if len(f.announced.announced) != 1 {
		t.Error("a small change is announced")
	}
	f.measure(0, 1)
	if got := f.announced.announced; len(got) != 2 || got[1].Factor != 1 {
		t.Errorf("announced %+v after the server was well again", got)
	}
	f.wantFactor(t, 0, 1, 1)
	f.measure(1, 1)
	if len(f.announced.announced) != 2 {
		t.Error("the pace of a server that was never slow is announced")
	}
}

// Guards against messages that grow with the number of slow servers, and against the loss of the
// newest measurement among them.
func TestOwnPacesAreBoundedAndNewestFirst(t *testing.T) {
	f := newPaceFleet(10)
	for i := range 3 {
		f.measure(i, 4)
	}
	got := f.ledger.OwnPaces(time.Minute, 2, f.now)
	if len(got) != 2 || got[0].Server != f.key(2) || got[1].Server != f.key(1) {
		t.Errorf("repeated %+v", got)
	}
	f.now = f.now.Add(2 * time.Minute)
	if got := f.ledger.OwnPaces(time.Minute, 2, f.now); len(got) != 0 {
		t.Errorf("old measurements are repeated: %+v", got)
	}
}

// Guards against an entry whose link loses packets and to which sound servers look slow.
func TestOneEntryAloneRaisesToABound(t *testing.T) {
	f := newPaceFleet(8)
	f.receive(2, 0, 9, 0)
	f.wantFactor(t, 0, maxLoneSlowdown-0.1, maxLoneSlowdown)
	f.receive(2, 0, 9, 0) // twice
	f.wantFactor(t, 0, maxLoneSlowdown-0.1, maxLoneSlowdown)
	f.receive(3, 0, 4, 0)
	f.wantFactor(t, 0, 3.9, 4)
	f.measure(0, 1) // the receiver sees it serve at its declared speed
	f.wantFactor(t, 0, 1, 1)
	f.receive(4, 0, 9, time.Second) // measured before that
	f.wantFactor(t, 0, 1, 1)
}

// Guards against servers that stay avoided after another entry has seen that they are well, and
// against late messages that make them slow again.
func TestNewerMeasurementCounts(t *testing.T) {
	f := newPaceFleet(8)
	f.receive(2, 0, 4, 0)
	f.receive(3, 0, 4, 0)
	f.now = f.now.Add(time.Second)
	f.receive(4, 0, 1, 0)
	f.wantFactor(t, 0, 1, 1)
	if f.receive(2, 0, 4, 3*time.Second) {
		t.Error("a measurement older than the known one of the same entry counts")
	}
	f.receive(5, 0, 4, 500*time.Millisecond) // late: measured before the server was well
	f.wantFactor(t, 0, 1, 1)
	f.now = f.now.Add(time.Second)
	f.receive(2, 0, 4, 0) // slow again
	f.wantFactor(t, 0, maxLoneSlowdown-0.1, maxLoneSlowdown)
}

// Guards against a server that is avoided for good since the entries that measured it are gone.
func TestReceivedPaceDecaysAndAges(t *testing.T) {
	f := newPaceFleet(8)
	f.receive(2, 0, 4, 0)
	f.receive(3, 0, 4, 0)
	f.now = f.now.Add(3 * slowdownDecay)
	f.wantFactor(t, 0, 1, maxNormalSlowdown)
	if f.receive(4, 0, 9, 2*paceReportAge) {
		t.Error("an old measurement counts")
	}
}

// Guards against a restarted server that is avoided for what its predecessor showed.
func TestRestartForgetsPace(t *testing.T) {
	f := newPaceFleet(8)
	f.receive(2, 0, 4, 0)
	f.receive(3, 0, 4, 0)
	f.now = f.now.Add(time.Second)
	f.ledger.Restarted(f.key(0), f.now)
	f.wantFactor(t, 0, 1, 1)
	f.receive(3, 0, 4, 1500*time.Millisecond) // of the predecessor
	f.wantFactor(t, 0, 1, 1)
	f.now = f.now.Add(time.Second)
	f.receive(3, 0, 4, 0) // slow just after its start
	f.wantFactor(t, 0, maxLoneSlowdown-0.1, maxLoneSlowdown)
}

// Guards against a fleet in which everything is slow and prompts are refused or deferred.
func TestMeasuredSlowServersAreLimited(t *testing.T) {
	f := newPaceFleet(8)
	for i := range f.candidates {
		f.receive(2, i, 4, 0)
		f.receive(3, i, 4, 0)
	}
	if n := len(f.ledger.SlowServers(f.now)); n > 3 { // the smallest count at or above maxSlowShare of eight
		t.Errorf("%d of 8 servers count as slow", n)
	}
}

// Guards against an entry that was stopped, reads events in a bunch and reports servers as well.
func TestBunchedEventsMeasureNothing(t *testing.T) {
	f := newPaceFleet(8)
	f.receive(2, 0, 4, 0)
	f.receive(3, 0, 4, 0)
	f.measure(0, 0.1)
	if len(f.announced.announced) != 0 {
		t.Errorf("announced %+v", f.announced.announced)
	}
}

// Guards against state that grows with the number of entries.
func TestReportsOfAServerAreBounded(t *testing.T) {
	f := newPaceFleet(8)
	for owner := range uint64(50) {
		f.receive(owner+2, 0, 4, 0)
	}
	if n := len(f.ledger.servers[f.key(0)].pace.reports); n > maxPaceReports {
		t.Errorf("%d reports are kept", n)
	}
	slow := f.ledger.SlowServers(f.now)[f.key(0)]
	if slow.Own || len(slow.Reporters) != maxPaceReports || slices.Contains(slow.Reporters, 0) {
		t.Errorf("status %+v", slow)
	}
}

// Guards against paces that change anything for services that don't share them.
func TestPaceIsNotSharedWhereItIsOff(t *testing.T) {
	f := newPaceFleet(8)
	f.ledger.SharePaces(f.announced, func(uint64) bool { return false })
	f.measure(0, 4)
	if f.receive(2, 0, 4, 0) || len(f.announced.announced) != 0 || len(f.ledger.OwnPaces(time.Minute, 9, f.now)) != 0 {
		t.Error("a pace is shared or merged")
	}
	f.wantFactor(t, 0, 1, 1)
}
