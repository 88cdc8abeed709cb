package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// engine is typical of the engines in use: a prompt of 133,000 tokens takes 1.9 s.
var engine = &EngineProfile{
	Capacity: 16, MemoryTokens: 232_000, Stride: 43, Chunk: 2048,
	StepTime: 1020 * time.Microsecond, SequenceTime: 2260 * time.Nanosecond, ContextTime: 4310 * time.Nanosecond,
	PrefillRate: 206_000, PairsTime: 138 * time.Microsecond, HopTime: 75 * time.Microsecond, UsualPrompt: 12_300,
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fleet is a planner for some engines with a clock that tests set.
type fleet struct {
	planner    *Planner
	ledger     *Ledger
	now        time.Time
	candidates []Candidate
}

func newFleet(n int) *fleet {
	f := &fleet{now: start}
	f.ledger = NewLedger(func(uint64) *EngineProfile { return engine })
	f.planner = NewPlanner(f.ledger, 1, func() time.Time { return f.now }, nil)
	for i := range n {
		name := fmt.Sprintf("engine-%02d", i)
		f.candidates = append(f.candidates, Candidate{Instance: name, Address: name + ":1", Capacity: engine.Capacity})
	}
	return f
}

func (f *fleet) place(t testing.TB, q Query) Placement {
	t.Helper()
	q.Engine = engine
	p, answer := f.planner.Place(q, slices.Clone(f.candidates))
	if answer != Placed {
		t.Fatalf("query %+v not placed: decision %d", q, answer)
	}
	return p
}

func notice() Query {
	return Query{InputTokens: 5_000, MaxOutputTokens: 1_400, FirstTokenObjective: 300 * time.Millisecond, PauseObjective: 250 * time.Millisecond, Stream: true}
}

func review(tokens int) Query {
	return Query{InputTokens: tokens, MaxOutputTokens: 700, FirstTokenObjective: 3 * time.Second, PauseObjective: time.Second, Stream: true}
}

func instances(p Placement) []string {
	out := []string{p.Server.Instance}
	for _, h := range p.Helpers {
		out = append(out, h.Instance)
	}
	return out
}

func TestPrefillTime(t *testing.T) {
	whole := engine.PrefillTime(133_000, 133_000)
	if whole < 1860*time.Millisecond || whole > 1870*time.Millisecond {
		t.Errorf("133,000 tokens take %v, want 0.645 s plus 1.22 s for the pairs", whole)
	}
	if part := engine.PrefillTime(133_000/16, 133_000); part < whole/16-time.Millisecond || part > whole/16+time.Millisecond {
		t.Errorf("a sixteenth takes %v of %v", part, whole)
	}
}

// Short streams paused for a second whenever a long prompt arrived. Notices are decoded on
// two of six engines when a long prompt is placed. An engine prefills up to 88,000 tokens
// between two strides of its streams, and the prompt was spread over all engines alike.
func TestLongPromptsAvoidShortStreams(t *testing.T) {
	f := newFleet(6)
	writing := map[string]bool{}
	for range 8 {
		p := f.place(t, notice())
		p.FirstToken()
		writing[p.Server.Instance] = true
		f.now = f.now.Add(200 * time.Millisecond)
	}
	if len(writing) > 3 {
		t.Fatalf("8 notices are spread over %d engines", len(writing))
	}
	p := f.place(t, review(133_000))
	for _, name := range instances(p) {
		if writing[name] {
			t.Errorf("%s decodes notices and prefills %v of the review", name, p.PartTime)
		}
	}
}

func TestLongPromptIsSpreadToBeOnTime(t *testing.T) {
	f := newFleet(16)
	if p := f.place(t, review(200_000)); p.Forecast > 3*time.Second {
		t.Errorf("the first token is expected after %v", p.Forecast)
	}
	if p := newFleet(16).place(t, notice()); len(p.Helpers) != 0 {
		t.Errorf("a prompt of 30 ms has %d helpers", len(p.Helpers))
	}
}

// The largest prompts were never served: a prompt larger than any engine's memory was sent
// to one engine, which refused it.
func TestPromptTooLargeForOneServerIsSplit(t *testing.T) {
	f := newFleet(8)
	p := f.place(t, review(600_000))
	if len(p.Holders) < 3 || p.Holders[0] != p.Server || p.HolderTokens*len(p.Holders) < 600_700 {
		t.Errorf("%d holders with %d tokens each, the first %v, server %v", len(p.Holders), p.HolderTokens, p.Holders[0], p.Server)
	}
	if p.HolderTokens > engine.MemoryTokens {
		t.Errorf("%d tokens are over an engine's memory", p.HolderTokens)
	}
	for _, h := range p.Holders[1:] {
		if !slices.Contains(p.Helpers, h) {
			t.Errorf("holder %v is not a helper", h)
		}
	}
	f.candidates = f.candidates[:2]
	if _, answer := f.planner.Place(Query{Engine: engine, InputTokens: 600_000, Stream: true}, f.candidates); answer != NeverFits {
		t.Errorf("decision %d on two engines for 600,000 tokens, want NeverFits", answer)
	}
}

// In a burst of long prompts every stream of the fleet paused for seconds. All engines
// decode short streams when a prompt arrives that takes 12 s to prefill. It was placed at
// once, although it could not be on time at an acceptable cost.
func TestHugePromptIsDeferredUnderLoad(t *testing.T) {
	f := newFleet(3)
	for range 30 {
		f.place(t, notice()).FirstToken()
	}
	q := review(380_000)
	q.Engine, q.TimeLeft = engine, 15*time.Second
	if _, answer := f.planner.Place(q, slices.Clone(f.candidates)); answer != Deferred {
		t.Fatalf("decision %d, want Deferred", answer)
	}
	if len(f.ledger.attempts) != 30 {
		t.Error("a deferred prompt is recorded as an attempt")
	}
	q.Waited, q.TimeLeft = 11*time.Second, 4*time.Second
	if _, answer := f.planner.Place(q, slices.Clone(f.candidates)); answer != Placed {
		t.Errorf("decision %d shortly before the deadline, want Placed", answer)
	}
}

// Every long prompt failed on engines that don't support helpers: a prompt that fills most
// of an engine was placed with helpers.
func TestNoHelpersWithoutEngineSupport(t *testing.T) {
	alone := *engine
	alone.HopTime = 0
	f := newFleet(4)
	for _, tokens := range []int{100_000, 200_000, 400_000} {
		q := review(tokens)
		q.Engine = &alone
		p, answer := f.planner.Place(q, slices.Clone(f.candidates))
		if answer != Placed || len(p.Helpers)+len(p.Holders) != 0 {
			t.Errorf("%d tokens: decision %d, %d helpers, %d holders", tokens, answer, len(p.Helpers), len(p.Holders))
		}
	}
}

// An engine counted as full with nothing running there: the memory of the holders wasn't
// released when a prompt held by several engines ended.
func TestHolderMemoryIsReleased(t *testing.T) {
	f := newFleet(4)
	p := f.place(t, review(600_000))
	p.End()
	for key, s := range f.ledger.servers {
		if s.usedTokens() != 0 || len(s.queue) != 0 {
			t.Errorf("server %x holds %d tokens and %d parts", key, s.usedTokens(), len(s.queue))
		}
	}
}

// Engines prefill the newest helper part first: a part that is already queued waits for the
// new one, and the new one waits for nothing.
func TestForecastFollowsPrefillOrder(t *testing.T) {
	s := &serverState{heldFor: map[AttemptID]int{}}
	old := &activeAttempt{Attempt: Attempt{ID: AttemptID{1, 1}, Weight: 10, FirstTokenDeadline: start.Add(time.Second)}, expectedReady: start.Add(500 * time.Millisecond)}
	s.enqueue(&part{attempt: old, helper: true, timeLeft: 500 * time.Millisecond, tokensLeft: 40_000}, engine, start)
	helper := s.forecast(engine, 300*time.Millisecond, 20_000, true, start)
	own := s.forecast(engine, 300*time.Millisecond, 20_000, false, start)
	if helper.ready >= own.ready {
		t.Errorf("a helper part is prefilled after %v, a server's own part after %v", helper.ready, own.ready)
	}
	if own.ready < 800*time.Millisecond {
		t.Errorf("a server's own part is prefilled after %v, before the queued part", own.ready)
	}
	if loss := s.queueInterference(helper, start); loss <= 0 {
		t.Error("the delay of the queued part costs nothing")
	}
}

func TestAdvanceFinishesPasses(t *testing.T) {
	f := newFleet(1)
	f.place(t, review(133_000))
	s := f.ledger.servers[ServerKey("engine-00")]
	s.advance(engine, start.Add(5*time.Second))
	if len(s.queue) != 0 {
		t.Errorf("%d parts left after 5 s", len(s.queue))
	}
}

// The attempts of a dead peer occupied engines forever. One peer becomes silent, and
// messages of another are lost. Only the end of an attempt removed it from the ledger.
func TestPeerAttemptsAreRemoved(t *testing.T) {
	l := NewLedger(func(uint64) *EngineProfile { return engine })
	for owner := range uint64(2) {
		for seq := range uint64(3) {
			l.Begin(Attempt{ID: AttemptID{owner, seq}, Server: 7, Helpers: []uint64{8}, PartTime: time.Second, PartTokens: 1, MemoryTokens: 5}, start)
		}
	}
	l.Reconcile(0, []uint64{1}, 0, start.Add(time.Second))
	l.EndOwner(1)
	if n := len(l.attempts); n != 1 {
		t.Errorf("%d attempts are left, want 1", n)
	}
	if m := l.servers[7].usedTokens(); m != 5 {
		t.Errorf("memory %d, want 5", m)
	}
	l.Begin(Attempt{ID: AttemptID{0, 9}, Server: 7}, start.Add(2*time.Second))
	l.Reconcile(0, []uint64{1}, 0, start.Add(time.Second))
	if l.attempts[AttemptID{0, 9}] == nil {
		t.Error("an attempt that began after the list was made was ended by it")
	}
}

// An attempt that has ended leaves nothing in the ledger, whatever the order of events.
func TestLedgerEndsEmpty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 8).Draw(rt, "engines"))
		var open []Placement
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			switch {
			case len(open) > 0 && rapid.Bool().Draw(rt, "end"):
				i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
				if rapid.Bool().Draw(rt, "first token") {
					open[i].FirstToken()
				}
				open[i].End()
				open = slices.Delete(open, i, i+1)
			default:
				q := review(rapid.IntRange(100, 500_000).Draw(rt, "tokens"))
				q.Engine = engine
				if p, answer := f.planner.Place(q, slices.Clone(f.candidates)); answer == Placed {
					open = append(open, p)
				}
			}
		}
		for _, p := range open {
			p.End()
		}
		if len(f.ledger.attempts) != 0 {
			rt.Fatalf("%d attempts are left", len(f.ledger.attempts))
		}
		for _, s := range f.ledger.servers {
			if len(s.attempts)+len(s.heldFor)+len(s.queue) != 0 {
				rt.Fatalf("left: %d attempts, %d holds, %d parts", len(s.attempts), len(s.heldFor), len(s.queue))
			}
		}
	})
}

func TestPlainServiceUsesLeastRequests(t *testing.T) {
	f := newFleet(3)
	seen := map[string]int{}
	for range 6 {
		p, answer := f.planner.Place(Query{}, slices.Clone(f.candidates))
		if answer != Placed {
			t.Fatal("query not placed")
		}
		seen[p.Server.Instance]++
	}
	for name, n := range seen {
		if n != 2 {
			t.Errorf("%s has %d of 6 requests, want 2", name, n)
		}
	}
	p, _ := f.planner.Place(Query{}, slices.Clone(f.candidates))
	p.Refused("")
	p.End()
	for range 2 {
		next, _ := f.planner.Place(Query{}, slices.Clone(f.candidates))
		if next.Server == p.Server {
			t.Errorf("%v was chosen again right after its refusal", p.Server)
		}
	}
}

// BenchmarkPlace measures the placement of a prompt of 133,000 tokens among 16 busy
// engines.
func BenchmarkPlace(b *testing.B) {
	f := newFleet(16)
	for range 100 {
		f.place(b, notice()).FirstToken()
	}
	for b.Loop() {
		f.place(b, review(133_000)).End()
	}
}

// A list of an entry's active attempts that was delayed in transit, by a frozen entry that
// relays it, ended attempts that had begun since.
func TestDelayedListKeepsNewerAttempts(t *testing.T) {
	l := NewLedger(func(uint64) *EngineProfile { return nil })
	for seq := range uint64(4) {
		l.Begin(Attempt{ID: AttemptID{Owner: 7, Seq: seq + 1}, Server: 1}, start)
	}
	l.Reconcile(7, []uint64{2}, 3, start.Add(time.Minute))
	var left []uint64
	for _, w := range l.AttemptsOf(7) {
		left = append(left, w.ID.Seq)
	}
	slices.Sort(left)
	if !slices.Equal(left, []uint64{2, 4}) {
		t.Errorf("left %v, want the listed one and the newer one", left)
	}
}
