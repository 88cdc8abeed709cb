package placement

import (
	"slices"
	"testing"
	"time"
)

// Guards against requests that wait on a slow or mute server until their caller leaves, and
// against moves that only add load: the load is a fleet of which a few servers show nothing, or
// all are late.
func TestSilentAttemptMovesWhenAnotherServerIsClearlyEarlier(t *testing.T) {
	const ms = time.Millisecond
	mute := Silence{
		Forecast: 60 * ms, Waited: 300 * ms, TimeLeft: 9 * time.Second,
		SuspectSilent: true, OverdueShare: 0.2,
	}
	for _, c := range []struct {
		name      string
		elsewhere time.Duration
		change    func(*Silence)
		verdict   MoveVerdict
		gains     bool
	}{
		{"mute", 80 * ms, func(*Silence) {}, MayMove, true},
		{"slow", 80 * ms, func(s *Silence) { s.SuspectSilent, s.SuspectSlow = false, true }, MayMove, true},
		{"not past its forecast", 50 * ms, func(s *Silence) { s.Waited = 170 * ms }, KeepWaiting, true},
		{"long prompt being read", 40 * ms, func(s *Silence) { s.Forecast = 200 * ms }, KeepWaiting, true},
		{"no evidence yet", 80 * ms, func(s *Silence) { s.SuspectSilent = false }, KeepWaiting, true},
		{"no evidence, long past", 80 * ms, func(s *Silence) { s.SuspectSilent, s.Waited = false, 600*ms }, MayMove, true},
		{"everything is slow", 80 * ms, func(s *Silence) { s.OverdueShare = 0.6 }, MoveOverloaded, true},
		{"others are as late", 200 * ms, func(*Silence) {}, MayMove, false},
		{"no other server", 0, func(*Silence) {}, MayMove, false},
		{"caller about to leave", 80 * ms, func(s *Silence) { s.TimeLeft = 50 * ms }, MayMove, false},
	} {
		s := mute
		c.change(&s)
		if verdict, gains := s.Verdict(), s.Gains(c.elsewhere); verdict != c.verdict || gains != c.gains {
			t.Errorf("%s: verdict %d, gains %v; want %d, %v", c.name, verdict, gains, c.verdict, c.gains)
		}
	}
}

// silenceOf returns what is known of a placement after the given time.
func (f *fleet) silenceOf(t *testing.T, p Placement, q Query, after time.Duration) Silence {
	t.Helper()
	f.now = f.now.Add(after)
	q.Engine = engine
	q.Waited, q.FirstTokenObjective = after, q.FirstTokenObjective-after
	s, ok := p.Silence(q)
	if !ok {
		t.Fatal("nothing is known of an attempt without a first token")
	}
	return s
}

// Guards against an entry that is cut off and takes every server for mute.
func TestSuspectIsMuteOnlyWhileOthersShowTokens(t *testing.T) {
	f := newFleet(4)
	p := f.place(t, notice())
	if s := f.silenceOf(t, p, notice(), 400*time.Millisecond); s.SuspectSilent {
		t.Error("a server counts as mute while nothing is received from any")
	}
	other := f.place(t, notice())
	if other.Server.Instance == p.Server.Instance {
		t.Fatal("both prompts are on one server")
	}
	f.now = f.now.Add(50 * time.Millisecond)
	other.FirstToken()
	s := f.silenceOf(t, p, notice(), 0)
	if !s.SuspectSilent || s.Suspect.Instance != p.Server.Instance {
		t.Errorf("another server has shown a token: %+v", s)
	}
	q := notice()
	q.Engine = engine
	if elsewhere := p.Elsewhere(s, q, slices.Clone(f.candidates)); elsewhere <= 0 || elsewhere > 200*time.Millisecond {
		t.Errorf("forecast on other servers %v", elsewhere)
	}
	if elsewhere := p.Elsewhere(s, q, []Candidate{p.Server}); elsewhere != 0 {
		t.Errorf("forecast %v without another server", elsewhere)
	}
}

// Guards against a server that answers others and is taken for mute.
func TestServerThatAnswersOthersIsNotMute(t *testing.T) {
	f := newFleet(1)
	p, other := f.place(t, notice()), f.place(t, notice())
	f.now = f.now.Add(50 * time.Millisecond)
	other.FirstToken()
	if s := f.silenceOf(t, p, notice(), 0); s.SuspectSilent {
		t.Error("a server that has just shown a token counts as mute")
	}
}

// Guards against prompts that leave a mute helper's primary for another primary with the same
// helper.
func TestSilentHelperIsTheSuspect(t *testing.T) {
	f := newFleet(4)
	p := f.place(t, review(60_000))
	if len(p.Helpers) == 0 {
		t.Fatal("the prompt has no helpers")
	}
	mute := p.Helpers[0]
	for _, c := range f.candidates {
		if c.Instance != mute.Instance {
			f.now = f.now.Add(time.Millisecond)
			f.ledger.recordSignLocked(f.ledger.serverLocked(ServerKey(c.Instance)), f.now)
		}
	}
	if s := f.silenceOf(t, p, review(60_000), 3*time.Second); s.Suspect.Instance != mute.Instance || !s.SuspectSilent {
		t.Errorf("suspect %s (mute %v), want %s", s.Suspect.Instance, s.SuspectSilent, mute.Instance)
	}
}

// Guards against a burst that makes every entry move its prompts from server to server.
func TestOverdueShareCountsServersNotAttempts(t *testing.T) {
	f := newFleet(8)
	for _, c := range f.candidates { // all have been used
		f.ledger.serverLocked(ServerKey(c.Instance))
	}
	only := []Candidate{f.candidates[0]}
	var p Placement
	for range 5 {
		q := notice()
		q.Engine = engine
		p, _ = f.planner.Place(q, slices.Clone(only))
	}
	if s := f.silenceOf(t, p, notice(), 2*time.Second); s.OverdueShare != 1.0/8 {
		t.Errorf("share %.3f with prompts on one of 8 servers", s.OverdueShare)
	}
	for _, c := range f.candidates[1:] {
		q := notice()
		q.Engine = engine
		f.planner.Place(q, []Candidate{c})
	}
	if s := f.silenceOf(t, p, notice(), 2*time.Second); s.OverdueShare != 1 || s.Verdict() != MoveOverloaded {
		t.Errorf("share %.3f, verdict %d while all servers are overdue", s.OverdueShare, s.Verdict())
	}
}

// Guards against moving a prompt behind which others were placed: its own forecast has grown.
func TestForecastOfSilentAttemptGrowsWithThePromptsAhead(t *testing.T) {
	f := newFleet(1)
	p := f.place(t, notice())
	before := f.silenceOf(t, p, notice(), 0).Forecast
	long := Attempt{
		ID: AttemptID{Owner: 9, Seq: 1}, Server: ServerKey("x"), Helpers: []uint64{ServerKey(f.candidates[0].Instance)},
		PartTime: time.Second, PartTokens: 60_000,
	}
	f.ledger.Begin(long, f.now)
	if after := f.silenceOf(t, p, notice(), 0).Forecast; after < before+time.Second/2 {
		t.Errorf("forecast %v, and %v with a long part ahead", before, after)
	}
}
