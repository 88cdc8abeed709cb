package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// engine is like the engines of our users: a prompt of 133,000 tokens takes 1.9 s.
var engine = &EngineProfile{
	Capacity: 16, MemoryTokens: 232_000, Stride: 43, Chunk: 2048,
	StepTime: 1020 * time.Microsecond, SequenceTime: 2260 * time.Nanosecond, ContextTime: 4310 * time.Nanosecond,
	PrefillRate: 206_000, PairsTime: 138 * time.Microsecond, HopTime: 75 * time.Microsecond,
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fleet is a planner over some engines at a time that tests move.
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
		t.Fatalf("no place for %+v: %d", q, answer)
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

func TestReadTime(t *testing.T) {
	whole := engine.PrefillTime(133_000, 133_000)
	if whole < 1860*time.Millisecond || whole > 1870*time.Millisecond {
		t.Errorf("133,000 tokens take %v, want 0.645 s and 1.22 s for the pairs", whole)
	}
	if part := engine.PrefillTime(133_000/16, 133_000); part < whole/16-time.Millisecond || part > whole/16+time.Millisecond {
		t.Errorf("a sixteenth takes %v of %v", part, whole)
	}
}

// Symptom: short streams pause for a second whenever a long prompt comes.
// Sequence: notices are written on two of six engines; a long prompt is placed.
// Cause: an engine reads up to 88,000 tokens between two strides of its writers, and
// the prompt was read on all engines alike.
func TestLongPromptsKeepAwayFromShortStreams(t *testing.T) {
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
			t.Errorf("%s writes notices and reads %v of the review", name, p.PartTime)
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

// Symptom: the largest prompts are never served.
// Sequence: a prompt is larger than any engine's memory.
// Cause: it was sent to one engine, which refuses it.
func TestPromptThatFitsNowhereIsKeptOnSeveral(t *testing.T) {
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
			t.Errorf("holder %v does not help", h)
		}
	}
	f.candidates = f.candidates[:2]
	if _, answer := f.planner.Place(Query{Engine: engine, InputTokens: 600_000, Stream: true}, f.candidates); answer != NoCapacity {
		t.Error("two engines have no room for 600,000 tokens")
	}
}

// Symptom: in a burst of long prompts every stream of the fleet pauses for seconds.
// Sequence: all engines write short streams; a prompt comes that takes 12 s to read.
// Cause: it was placed at once, though it could not be on time for what it cost.
func TestHugePromptWaitsForAQuieterMoment(t *testing.T) {
	f := newFleet(3)
	for range 30 {
		f.place(t, notice()).FirstToken()
	}
	q := review(380_000)
	q.Engine, q.TimeLeft = engine, 15*time.Second
	if _, answer := f.planner.Place(q, slices.Clone(f.candidates)); answer != Deferred {
		t.Fatalf("answer %d, want that it waits", answer)
	}
	if len(f.ledger.works) != 30 {
		t.Error("a prompt that waits is noted as work")
	}
	q.Waited, q.TimeLeft = 11*time.Second, 4*time.Second
	if _, answer := f.planner.Place(q, slices.Clone(f.candidates)); answer != Placed {
		t.Errorf("answer %d, but its caller's time runs out", answer)
	}
}

// Symptom: every long prompt is answered with a failure.
// Sequence: a prompt that fills most of an engine; engines that don't help each other.
// Cause: helpers were named to engines that know none.
func TestEnginesThatDoNotJoinGetNoHelpers(t *testing.T) {
	alone := *engine
	alone.HopTime = 0
	f := newFleet(4)
	for _, tokens := range []int{100_000, 200_000, 400_000} {
		q := review(tokens)
		q.Engine = &alone
		p, answer := f.planner.Place(q, slices.Clone(f.candidates))
		if answer != Placed || len(p.Helpers)+len(p.Holders) != 0 {
			t.Errorf("%d tokens: answer %d, %d helpers, %d holders", tokens, answer, len(p.Helpers), len(p.Holders))
		}
	}
}

// Symptom: an engine is counted as full though nothing runs there.
// Sequence: a prompt on several engines ends.
// Cause: the memory of its holders wasn't given back.
func TestMemoryIsGivenBack(t *testing.T) {
	f := newFleet(4)
	p := f.place(t, review(600_000))
	p.End()
	for key, s := range f.ledger.servers {
		if s.memory() != 0 || len(s.queue) != 0 {
			t.Errorf("server %x keeps %d tokens and %d parts", key, s.memory(), len(s.queue))
		}
	}
}

// Helpers read the newest part first: a part that is there already waits for the
// new one, and the new one for nothing.
func TestForecastFollowsTheOrderOfReading(t *testing.T) {
	s := &serverState{holds: map[AttemptID]int{}}
	old := &activeWork{Attempt: Attempt{ID: AttemptID{1, 1}, Weight: 10, FirstTokenDeadline: start.Add(time.Second)}, ready: start.Add(500 * time.Millisecond)}
	s.add(&part{work: old, helper: true, left: 500 * time.Millisecond, tokens: 40_000}, engine, start)
	helper := s.forecast(engine, 300*time.Millisecond, 20_000, true, start)
	own := s.forecast(engine, 300*time.Millisecond, 20_000, false, start)
	if helper.ready >= own.ready {
		t.Errorf("a helper's part is read after %v, a server's own after %v", helper.ready, own.ready)
	}
	if own.ready < 800*time.Millisecond {
		t.Errorf("a server's own part is read after %v, before what was there", own.ready)
	}
	if harm := s.harmWaiting(helper, start); harm <= 0 {
		t.Error("the delay of the part that waits costs nothing")
	}
}

func TestPassesEndInTime(t *testing.T) {
	f := newFleet(1)
	f.place(t, review(133_000))
	s := f.ledger.servers[ServerKey("engine-00")]
	s.advance(engine, start.Add(5*time.Second))
	if len(s.queue) != 0 {
		t.Errorf("%d parts left after 5 s", len(s.queue))
	}
}

// Symptom: an entry's dead peer keeps engines busy for ever.
// Sequence: peers tell of work; one falls silent, one's news are lost.
// Cause: only the end of a work took it off the ledger.
func TestWorkOfOthersIsForgotten(t *testing.T) {
	l := NewLedger(func(uint64) *EngineProfile { return engine })
	for owner := range uint64(2) {
		for seq := range uint64(3) {
			l.Begin(Attempt{ID: AttemptID{owner, seq}, Server: 7, Helpers: []uint64{8}, PartTime: time.Second, PartTokens: 1, MemoryTokens: 5}, start)
		}
	}
	l.Reconcile(0, []uint64{1}, 0, start.Add(time.Second))
	l.EndOwner(1)
	if n := len(l.works); n != 1 {
		t.Errorf("%d works are left, want 1", n)
	}
	if m := l.servers[7].memory(); m != 5 {
		t.Errorf("memory %d, want 5", m)
	}
	l.Begin(Attempt{ID: AttemptID{0, 9}, Server: 7}, start.Add(2*time.Second))
	l.Reconcile(0, []uint64{1}, 0, start.Add(time.Second))
	if l.works[AttemptID{0, 9}] == nil {
		t.Error("what began after the beat was listed is ended by it")
	}
}

// Whatever happens in whatever order, an ended work leaves nothing in the ledger.
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
		if len(f.ledger.works) != 0 {
			rt.Fatalf("%d works are left", len(f.ledger.works))
		}
		for _, s := range f.ledger.servers {
			if len(s.works)+len(s.holds)+len(s.queue) != 0 {
				rt.Fatalf("left: %d works, %d holds, %d parts", len(s.works), len(s.holds), len(s.queue))
			}
		}
	})
}

func TestPlainServicesTakeTheLeastBusy(t *testing.T) {
	f := newFleet(3)
	seen := map[string]int{}
	for range 6 {
		p, answer := f.planner.Place(Query{}, slices.Clone(f.candidates))
		if answer != Placed {
			t.Fatal("no place")
		}
		seen[p.Server.Instance]++
	}
	for name, n := range seen {
		if n != 2 {
			t.Errorf("%s has %d of 6", name, n)
		}
	}
	p, _ := f.planner.Place(Query{}, slices.Clone(f.candidates))
	p.Refused("")
	p.End()
	for range 2 {
		next, _ := f.planner.Place(Query{}, slices.Clone(f.candidates))
		if next.Server == p.Server {
			t.Errorf("%v refused just now and is chosen again", p.Server)
		}
	}
}

// BenchmarkPlace: a prompt of 133,000 tokens among 16 busy engines.
func BenchmarkPlace(b *testing.B) {
	f := newFleet(16)
	for range 100 {
		f.place(b, notice()).FirstToken()
	}
	for b.Loop() {
		f.place(b, review(133_000)).End()
	}
}

// A list of an entry's attempts that was held up on its way, by an entry that passes it on
// and was frozen, ends attempts that began since.
func TestLateListEndsNothingNewer(t *testing.T) {
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
		t.Errorf("left %v, want the one that is listed and the one that is newer", left)
	}
}
