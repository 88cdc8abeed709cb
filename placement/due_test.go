package placement

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A prompt whose answer could not arrive by its caller's deadline stopped every stream of
// the servers that prefilled it, and its caller got nothing. Past the objective the loss
// rose with a constant slope, before the deadline as after it.
func TestNothingIsKeptAfterCutoff(t *testing.T) {
	const weight = 20.0
	d := timeBudget{objective: 4 * time.Second, cutoff: 15 * time.Second}
	onTime, late, afterCutoff := d.kept(time.Second, weight), d.kept(8*time.Second, weight), d.kept(20*time.Second, weight)
	if onTime <= late || afterCutoff != 0 {
		t.Errorf("%.2f kept on time, %.2f late, %.2f after the cutoff", onTime, late, afterCutoff)
	}
	if d.loss(20*time.Second, weight)-d.loss(8*time.Second, weight) < weight {
		t.Error("an answer after the deadline costs no more than a late one")
	}
	unknown := timeBudget{objective: 4 * time.Second}
	if unknown.missedDeadlineLoss(time.Hour, weight) != 0 {
		t.Error("a missed deadline costs something although the deadline is unknown")
	}
}

// Four prompts of a burst started just after their objective had passed, stopped some
// thirty streams each, and none was answered in time. All servers decode short streams
// while a prompt of 380,000 tokens is deferred until it is late. The loss from a late first
// token rose every second up to an hour, so starting at once gained more than any cost.
func TestLatePromptIsStillDeferred(t *testing.T) {
	f := newFleet(3)
	for range 30 {
		f.place(t, notice()).FirstToken()
	}
	q := review(380_000)
	q.Engine, q.TimeLeft = engine, 15*time.Second
	for _, waited := range []time.Duration{0, 3100 * time.Millisecond} {
		late := q
		late.FirstTokenObjective, late.TimeLeft, late.Waited = q.FirstTokenObjective-waited, q.TimeLeft-waited, waited
		if _, answer := f.planner.Place(late, slices.Clone(f.candidates)); answer != Deferred {
			t.Errorf("decision %d after %v, want Deferred", answer, waited)
		}
	}
}

// Guards against callers that count by the length of their prompts alone, and against a promise that
// counts more than another: a late answer was taken for nearly as bad as none.
func TestCallersAndTheirPromisesCountAlike(t *testing.T) {
	e := &EngineProfile{UsualPrompt: 10_000}
	for tokens, want := range map[int]float64{0: 1, 10_000: 2, 50_000: 6} {
		if got := e.Weight(tokens); got != want {
			t.Errorf("a prompt of %d tokens weighs %v, want %v", tokens, got, want)
		}
	}
	if got := (&EngineProfile{}).Weight(50_000); got != 1 {
		t.Errorf("without a declared length a prompt weighs %v, want 1", got)
	}
	const weight = 3.0
	d := timeBudget{objective: time.Second, cutoff: 10 * time.Second}
	late, missed := d.latenessLoss(5*time.Second, weight), d.missedDeadlineLoss(20*time.Second, weight)
	if latency := weight * onTimeLatencyCost * 5; late-latency != missed {
		t.Errorf("a late answer costs %v, a missed deadline %v more", late-latency, missed)
	}
	const limit, exact = 200 * time.Millisecond, 1e-9
	if pause := pauseLoss(2*limit, limit, weight) - weight*onTimePauseCost*4; math.Abs(pause-missed) > exact {
		t.Errorf("a late pause costs %v, a missed deadline %v", pause, missed)
	}
}

// Guards against a prompt that is deferred until its caller has no time left, and against one that is
// placed at any cost though it could wait: what decides is its own work, with and without a queue.
func TestDeferredPromptIsPlacedWhileItsWorkFits(t *testing.T) {
	for _, mayWait := range []bool{false, true} {
		f := newFleet(3)
		for range 30 {
			f.place(t, notice()).FirstToken()
		}
		f.now = f.now.Add(2 * propagationDelay)
		q := review(380_000)
		q.Engine, q.MayWait, q.TimeLeft, q.FirstTokenObjective = engine, mayWait, 15*time.Second, -time.Second
		work := q.leastPrefill(len(f.candidates))
		for _, c := range []struct {
			left time.Duration
			want Decision
		}{
			{15 * time.Second, Deferred},
			{scale(work, 2), Deferred},
			{scale(work, 1.4), Placed},
		} {
			q.TimeLeft = c.left
			q.Waited = 15*time.Second - c.left
			if _, got := f.planner.Place(q, slices.Clone(f.candidates)); got != c.want {
				t.Errorf("queue %v: decision %d with %v left of 15 s and work of %v, want %d", mayWait, got, c.left, work, c.want)
			}
		}
	}
}

// Guards against a burst in which each prompt is placed at any cost, because those before it make its
// forecast long.
func TestWorkOfOthersDoesNotEndADeferral(t *testing.T) {
	f := newFleet(3)
	for range 30 {
		f.place(t, notice()).FirstToken()
	}
	for i, c := range f.candidates {
		f.ledger.Begin(Attempt{
			ID: AttemptID{Owner: 2, Seq: uint64(i) + 1}, Server: ServerKey(c.Instance),
			PartTime: 7 * time.Second, PartTokens: 250_000, PauseObjective: time.Second, Weight: 20,
		}, f.now)
	}
	f.now = f.now.Add(2 * propagationDelay)
	q := review(380_000)
	q.Engine, q.TimeLeft = engine, 15*time.Second
	if _, got := f.planner.Place(q, slices.Clone(f.candidates)); got != Deferred {
		t.Errorf("decision %d with %v left and own work of %v, want Deferred", got, q.TimeLeft, q.leastPrefill(len(f.candidates)))
	}
}

// Guards against prompts of the same work that are deferred, and served by engines, in another order
// because their routes allow shorter pauses.
func TestShortPromptIsOneWithLittleWork(t *testing.T) {
	for _, pause := range []time.Duration{250 * time.Millisecond, time.Second} {
		f := newFleet(3)
		for range 30 {
			f.place(t, notice()).FirstToken()
		}
		long := review(380_000)
		long.Engine, long.TimeLeft, long.PauseObjective = engine, 15*time.Second, pause
		if _, got := f.planner.Place(long, slices.Clone(f.candidates)); got != Deferred {
			t.Errorf("pauses of %v: decision %d for a long prompt, want Deferred", pause, got)
		}
		short := notice()
		short.Engine, short.PauseObjective = engine, pause
		if short.queuePriority() != priorityShort || long.queuePriority() != priorityLong {
			t.Errorf("pauses of %v: priorities %d and %d, want %d and %d", pause, short.queuePriority(), long.queuePriority(), priorityShort, priorityLong)
		}
	}
}

// Every request to a plain service got no answer: with a deadline the placement asked for
// the decode time of an engine, which a plain service doesn't have.
func TestPlainServiceHasNoDecodeTime(t *testing.T) {
	q := Query{FirstTokenObjective: 200 * time.Millisecond, TimeLeft: 1200 * time.Millisecond}
	if d := q.timeBudget(); d.cutoff != q.TimeLeft {
		t.Errorf("cutoff %v, want %v", d.cutoff, q.TimeLeft)
	}
}

// A prompt of 900,000 tokens was prefilled for 9 s by eight servers, which stopped all
// their streams, and its caller had left before it was done. The servers have a long
// backlog; one query has too little time left for its forecast, another has enough. Any
// deferred prompt was placed once little of its time was left.
func TestPromptWithUnmeetableDeadlineIsNotPlaced(t *testing.T) {
	f := newFleet(3)
	q := review(380_000)
	q.Engine = engine
	alone, answer := f.planner.Place(withTimeLeft(q, 15*time.Second), slices.Clone(f.candidates))
	if answer != Placed {
		t.Fatalf("decision %d with all of its time left, want Placed", answer)
	}
	alone.End()
	if p, answer := f.planner.Place(withTimeLeft(q, alone.Forecast/2), slices.Clone(f.candidates)); answer != DeadlineUnmeetable || p.Forecast < alone.Forecast/2 {
		t.Errorf("decision %d with half of its forecast left, forecast %v", answer, p.Forecast)
	}
	if len(f.ledger.attempts) != 0 {
		t.Error("a prompt that isn't placed is recorded as an attempt")
	}
}

// A short prompt was rejected at once as unable to be in time, although servers were free.
// Its caller has four seconds left, and an answer of the maximum of 3,400 tokens takes
// longer to decode; the real one has a few. The maximum length was taken for the actual
// length.
func TestMaxOutputTokensDoesNotRejectQuery(t *testing.T) {
	f := newFleet(3)
	q := notice()
	q.Engine, q.MaxOutputTokens = engine, 3_400
	decodeTime := engine.decodeTime(q.MaxOutputTokens)
	for _, left := range []time.Duration{decodeTime, decodeTime / 2, decodeTime / 8} {
		if _, answer := f.planner.Place(withTimeLeft(q, left), slices.Clone(f.candidates)); answer != Placed {
			t.Errorf("decision %d with %v left, want Placed", answer, left)
		}
	}
}

// withTimeLeft returns the query with the given time left.
func withTimeLeft(q Query, left time.Duration) Query {
	q.TimeLeft = left
	return q
}
