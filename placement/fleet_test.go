package placement

import (
	"math"
	"slices"
	"testing"
	"time"
)

// largeEngine is like the engines of a fleet of hundreds: ten slots, and passes of 70 ms.
var largeEngine = &EngineProfile{
	Capacity: 10, MemoryTokens: 232_000, Stride: 68, Chunk: 2048,
	StepTime: 1020 * time.Microsecond, SequenceTime: 2260 * time.Nanosecond, ContextTime: 4310 * time.Nanosecond,
	PrefillRate: 206_000, PairsTime: 138 * time.Microsecond, HopTime: 75 * time.Microsecond,
}

// The kinds of prompts of such a fleet.
var (
	playNotices = kindOfPrompt{
		perSecond: 191, median: 3_400, sigma: 0.8, shortest: 300, longest: 23_800, events: 22,
		objective: 400 * time.Millisecond, pause: 250 * time.Millisecond, patience: 10 * time.Second,
	}
	playSummaries = kindOfPrompt{
		perSecond: 15.1, median: 40_000, sigma: 0.47, shortest: 5_000, longest: 110_000, events: 13,
		objective: 1500 * time.Millisecond, pause: 600 * time.Millisecond, patience: 10 * time.Second,
	}
	playReviews = kindOfPrompt{
		perSecond: 7.2, median: 166_000, sigma: 0.52, shortest: 10_000, longest: 600_000, events: 11,
		objective: 3 * time.Second, pause: time.Second, patience: 15 * time.Second,
	}
)

// longEngine is like the engines of a fleet whose long prompts fill three quarters of one
// of them: a pass reads 78,000 tokens, which of a prompt of 600,000 takes four seconds.
var longEngine = &EngineProfile{
	Capacity: 12, MemoryTokens: 344_250, Stride: 38, Chunk: 2048,
	StepTime: 1310 * time.Microsecond, SequenceTime: 917 * time.Nanosecond, ContextTime: 2130 * time.Nanosecond,
	PrefillRate: 154_000, PairsTime: 162 * time.Microsecond, HopTime: 100 * time.Microsecond,
}

// The kinds of prompts of such a fleet.
var (
	longNotices = kindOfPrompt{
		perSecond: 71.3, median: 3_400, sigma: 0.8, shortest: 300, longest: 23_800, events: 36,
		objective: 300 * time.Millisecond, pause: 250 * time.Millisecond, patience: 10 * time.Second,
	}
	longSummaries = kindOfPrompt{
		perSecond: 8.68, median: 40_000, sigma: 0.47, shortest: 5_000, longest: 110_000, events: 21,
		objective: 1500 * time.Millisecond, pause: 600 * time.Millisecond, patience: 10 * time.Second,
	}
	longReviews = kindOfPrompt{
		perSecond: 1.62, median: 228_000, sigma: 0.51, shortest: 100_000, longest: 900_000, events: 18,
		objective: 4 * time.Second, pause: time.Second, patience: 15 * time.Second,
	}
)

// playLongReviews plays a burst of 2.7 times the usual reviews at 29 entries before 60
// such engines, and returns the callers when all had time to end. hidesEnd: the entries
// don't know when a caller's time ends.
func playLongReviews(seed uint64, hidesEnd bool) []*playCaller {
	const lasts = 9500 * time.Millisecond
	f := newPlayFleet(longEngine, seed, 29, 60)
	f.hidesEnd = hidesEnd
	f.traffic(longNotices.times(0.33), 0, lasts)
	f.traffic(longSummaries.times(1.3), 0, lasts)
	f.traffic(longReviews.times(2.7), 0, lasts)
	f.run(lasts + 20*time.Second)
	return f.callers
}

// times returns a kind that comes so many times as often.
func (k kindOfPrompt) times(x float64) kindOfPrompt {
	k.perSecond *= x
	return k
}

// playPhase plays some seconds of a fleet's traffic, with rates that are shares of the
// usual ones, and lets all that came end.
func playPhase(seed uint64, entries, servers int, lasts time.Duration, notices, summaries, reviews float64) []*playCaller {
	f := newPlayFleet(largeEngine, seed, entries, servers)
	size := float64(servers) / largeServers
	f.traffic(playNotices.times(notices*size), 0, lasts)
	f.traffic(playSummaries.times(summaries*size), 0, lasts)
	f.traffic(playReviews.times(reviews*size), 0, lasts)
	f.run(lasts + 20*time.Second)
	return f.callers
}

// largeServers is how many servers the kinds' rates are for.
const largeServers = 135

// report logs what callers got, by the length of their prompts, and returns the share of
// what all are owed.
func report(t *testing.T, callers []*playCaller) float64 {
	t.Helper()
	t.Logf("to 32,000:  %v", resultOf(callers, 0, 32_000))
	t.Logf("to 100,000: %v", resultOf(callers, 32_000, 100_000))
	t.Logf("to 350,000: %v", resultOf(callers, 100_000, 350_000))
	t.Logf("beyond:     %v", resultOf(callers, 350_000, math.MaxInt))
	all := resultOf(callers, 0, math.MaxInt)
	return all.earned / all.owed
}

// Symptom: in a burst of long prompts a fifth of them have their first token seconds
// later than forecast, though the forecast was right but for one of their servers.
// Sequence: 9.5 s with 2.8 times the usual reviews on 45 servers, of which 0.8 of the
// reading is asked for; 28 entries place them.
// Cause: a server counted as free when the last of a part should have been read. Those
// that waited for a server took it then, and what was left of the part was read after
// all of them. Callers got 0.76 of what they were owed, and 0.81 since.
func TestNearlyReadPromptsAreNotOvertaken(t *testing.T) {
	const seeds, least = 20, 0.79
	var all []*playCaller
	for seed := range uint64(seeds) {
		all = append(all, playPhase(seed, 28, 45, 9500*time.Millisecond, 0.36, 1.3, 2.8)...)
	}
	got := report(t, all)
	t.Logf("callers got %.3f of what they were owed", got)
	if got < least {
		t.Errorf("callers got %.3f of what they were owed, want %.2f", got, least)
	}
}

// Symptom: notices are late by a hundred milliseconds though a third of all slots is
// free, and one server has twice as many as the mean.
// Sequence: 2 s with 2.5 times the usual notices, 480 a second, at 68 entries.
// Cause: entries that chose within some milliseconds of each other took the same server.
// 0.91 of the notices were in time, and 0.97 since.
func TestEntriesThatChooseAtOnceChooseApart(t *testing.T) {
	const least = 0.95
	callers := playPhase(1, 68, largeServers, 3*time.Second, 2.5, 0.5, 0.05)
	report(t, callers)
	notices := resultOf(callers, 0, 32_000)
	if got := float64(notices.onTime) / float64(notices.callers); got < least {
		t.Errorf("%.3f of the notices were in time, want %.2f", got, least)
	}
}

// Symptom: short streams of a small fleet are stopped more often. Sequence: 13 prompts a
// second at 5 entries, long ones among them. Cause: chance among servers that aren't
// alike, where hardly ever two entries choose at once.
func TestFewEntriesTakeTheBest(t *testing.T) {
	const perSecond, seconds = 13, 5
	var a arrivals
	now := start
	for range perSecond * seconds {
		a.note(now)
		now = now.Add(time.Second / perSecond)
	}
	if got := a.alike(now); got > pausePressure {
		t.Errorf("servers that differ by %.3f count as alike", got)
	}
}

// Symptom: a server counts as wanted by a prompt that has been read for long. Sequence: a
// part was read; nothing comes to the server for seconds. Cause: parts whose time is up
// were dropped at the look after the next.
func TestPartIsConfirmedByTime(t *testing.T) {
	f := newFleet(1)
	key := ServerKey(f.candidates[0].Instance)
	part := Attempt{ID: AttemptID{Owner: 2, Seq: 1}, Server: key, PartTime: 100 * time.Millisecond, PartTokens: 4_000, Weight: 5}
	f.ledger.Begin(part, f.now)
	s := f.ledger.servers[key]
	s.advance(engine, f.now.Add(100*time.Millisecond))
	if len(s.unconfirmed) != 1 {
		t.Errorf("%d parts unconfirmed when it should be read, want 1", len(s.unconfirmed))
	}
	const second = time.Second // the part that is read behind it
	f.ledger.Begin(Attempt{ID: AttemptID{Owner: 2, Seq: 2}, Server: key, PartTime: second, PartTokens: 4_000, Weight: 5}, f.now.Add(100*time.Millisecond))
	s.advance(engine, f.now.Add(200*time.Millisecond+second+confirmTime))
	if len(s.unconfirmed) != 0 {
		t.Errorf("%d parts unconfirmed long after, want none", len(s.unconfirmed))
	}
}

// Symptom: in a burst of prompts of 260,000 tokens in the mean some of 150,000 have their
// first token after ten seconds, though the forecast was one, and the largest never.
// Sequence: 9.5 s with 2.7 times the usual reviews at 29 entries before 60 servers.
// Cause: a prompt that was past its objective was placed whatever it cost the others, also
// where its answer could not come in its caller's time. Callers got 0.865 of what they were
// owed, and 0.908 since; the largest prompts are served all the same.
func TestEndOfTheCallersTimeIsWeighed(t *testing.T) {
	const seeds = 12
	var with, without []*playCaller
	for seed := range uint64(seeds) {
		with = append(with, playLongReviews(seed, false)...)
		without = append(without, playLongReviews(seed, true)...)
	}
	got, blind := report(t, with), report(t, without)
	t.Logf("callers got %.3f of what they were owed, %.3f where the end isn't known", got, blind)
	if got <= blind {
		t.Errorf("callers got %.3f of what they were owed, and %.3f where the end isn't known", got, blind)
	}
	checkLargestServed(t, with)
}

// checkLargestServed checks that the largest tenth of the long prompts is served at least
// half as often as all of them.
func checkLargestServed(t *testing.T, callers []*playCaller) {
	t.Helper()
	var long []*playCaller
	for _, c := range callers {
		if c.query.InputTokens >= longReviews.shortest {
			long = append(long, c)
		}
	}
	slices.SortFunc(long, func(a, b *playCaller) int { return b.query.InputTokens - a.query.InputTokens })
	all, largest := servedShare(long), servedShare(long[:len(long)/10])
	if largest < all/2 {
		t.Errorf("%.2f of the largest tenth served, %.2f of all", largest, all)
	}
}

// servedShare is the share of callers that got their whole answer.
func servedShare(callers []*playCaller) float64 {
	served := 0
	for _, c := range callers {
		if c.done {
			served++
		}
	}
	return float64(served) / float64(len(callers))
}

// Symptom: a prompt of 210,000 tokens, forecast for 1.2 s, has its first token after 11.5 s.
// Sequence: its parts were read on all servers but one, which was still reading another
// prompt; 2.6 s later, and four times again, newer parts came there.
// Cause: that server's part counted as read 0.15 s after it should have been, though no
// first token had come, and the server as free for everybody.
func TestPartHasAPriceUntilItIsSurelyRead(t *testing.T) {
	f := newFleet(1)
	key := ServerKey(f.candidates[0].Instance)
	const part, wait = 800 * time.Millisecond, 500 * time.Millisecond
	f.ledger.Begin(Attempt{
		ID: AttemptID{Owner: 2, Seq: 1}, Server: key, PartTime: part, PartTokens: 35_000,
		PauseObjective: time.Second, FirstTokenDeadline: f.now.Add(4 * time.Second), Weight: 22,
	}, f.now)
	s := f.ledger.servers[key]
	due := f.now.Add(part + wait)
	s.advance(engine, due)
	long := s.forecast(engine, 3*time.Second, 100_000, true, due)
	if harm := s.harmWaiting(long, due); harm <= 0 {
		t.Errorf("a part of 3 s costs %.2f where one is late without a word", harm)
	}
	f.ledger.FirstToken(AttemptID{Owner: 2, Seq: 1}, due)
	if harm := s.harmWaiting(long, due); harm != 0 {
		t.Errorf("it costs %.2f where that is read", harm)
	}
}
