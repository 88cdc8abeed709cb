package placement

import (
	"slices"
	"testing"
	"time"
)

// Symptom: a prompt whose answer can't come in its caller's time stops every stream of the
// servers that read it, and its caller gets nothing.
// Sequence: a first token is forecast after the objective, once within the caller's time
// and once beyond it.
// Cause: past the objective the loss rose by one slope, past the caller's end as before it.
func TestNothingIsLeftToGainPastTheEnd(t *testing.T) {
	const weight = 20.0
	d := due{objective: 4 * time.Second, end: 15 * time.Second}
	onTime, late, never := d.gain(time.Second, weight), d.gain(8*time.Second, weight), d.gain(20*time.Second, weight)
	if onTime <= late || never != 0 {
		t.Errorf("gains %.2f on time, %.2f late, %.2f never", onTime, late, never)
	}
	if d.loss(20*time.Second, weight)-d.loss(8*time.Second, weight) < weight*(1-LateLoss) {
		t.Error("an answer that comes too late for its caller costs no more than a late one")
	}
	unknown := due{objective: 4 * time.Second}
	if unknown.never(time.Hour, weight) != 0 {
		t.Error("an end that isn't known has passed")
	}
}

// Symptom: four prompts of a burst begin just when their objective has passed, stop some
// thirty streams each, and none of them is answered in time.
// Sequence: all servers write short streams; a prompt of 380,000 tokens waits for a quieter
// moment until it is late.
// Cause: a late first token counted as lost more with every second up to an hour, so that
// beginning at once gained more than anything that it cost.
func TestLatePromptGoesOnWaiting(t *testing.T) {
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
			t.Errorf("answer %d after %v, want that it waits", answer, waited)
		}
	}
}

// Symptom: every request to a plain service is answered with nothing. Sequence: a request
// with a limit of time is placed on a plain service. Cause: the time to write its answer was
// asked of an engine that it doesn't have.
func TestPlainServiceHasNoTimeToWrite(t *testing.T) {
	q := Query{FirstTokenObjective: 200 * time.Millisecond, TimeLeft: 1200 * time.Millisecond}
	if d := q.due(); d.end != q.TimeLeft {
		t.Errorf("%v left of %v", d.end, q.TimeLeft)
	}
}

// Symptom: a prompt of 900,000 tokens is read for 9 s by eight servers, which stops all that
// they write, and its caller has left before it is read.
// Sequence: servers that have much to read; a prompt whose forecast is far beyond what its
// caller has left, and one that has just enough.
// Cause: whatever waited until little of its time was left was placed then.
func TestPromptThatCannotBeInTimeIsNotPlaced(t *testing.T) {
	f := newFleet(3)
	q := review(380_000)
	q.Engine = engine
	alone, answer := f.planner.Place(withLeft(q, 15*time.Second), slices.Clone(f.candidates))
	if answer != Placed {
		t.Fatalf("answer %d with all of its time left", answer)
	}
	alone.End()
	if p, answer := f.planner.Place(withLeft(q, alone.Forecast/2), slices.Clone(f.candidates)); answer != DeadlineUnmeetable || p.Forecast < alone.Forecast/2 {
		t.Errorf("answer %d with half of its forecast left, forecast %v", answer, p.Forecast)
	}
	if len(f.ledger.works) != 0 {
		t.Error("a prompt that isn't placed is noted as work")
	}
}

// Symptom: a short prompt is refused at once with free servers, as one that can't be in time.
// Sequence: its caller has four seconds left, and its answer may hold 3,400 tokens, which
// take longer to write; it holds a few.
// Cause: the most that an answer may hold counted as what it holds.
func TestLongestAnswerRefusesNobody(t *testing.T) {
	f := newFleet(3)
	q := notice()
	q.Engine, q.MaxOutputTokens = engine, 3_400
	written := engine.writeTime(q.MaxOutputTokens)
	for _, left := range []time.Duration{written, written / 2, written / 8} {
		if _, answer := f.planner.Place(withLeft(q, left), slices.Clone(f.candidates)); answer != Placed {
			t.Errorf("answer %d with %v left", answer, left)
		}
	}
}

// withLeft returns a query with so much of its caller's time left.
func withLeft(q Query, left time.Duration) Query {
	q.TimeLeft = left
	return q
}
