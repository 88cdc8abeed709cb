package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var scope = NewScope("s", "m")

// Parts of the tests.
const (
	bad uint64 = iota + 1
	otherBad
	first
	rare
	madeUp // and above
)

// partWorld is a PartTracker with a clock and deaths that have numbers.
type partWorld struct {
	t       testing.TB
	tracker *PartTracker
	now     time.Time
	deaths  uint64
}

func newPartWorld(t testing.TB) *partWorld {
	return &partWorld{t: t, tracker: NewPartTracker(DefaultPartOptions), now: t0}
}

// crash records the death of an engine under a request that was sent run before now.
func (w *partWorld) crash(run time.Duration, ids ...uint64) PartDeath {
	w.deaths++
	d := PartDeath{Death: Death{ID: w.deaths, Began: w.now.Add(-run), Ended: w.now}, Parts: scope.Parts(ids)}
	w.tracker.Record(d, w.now)
	return d
}

// crashes records deaths whose requests are sent one after the other.
func (w *partWorld) crashes(n int, ids ...uint64) {
	for range n {
		w.now = w.now.Add(100 * time.Millisecond)
		w.crash(50*time.Millisecond, ids...)
	}
}

func (w *partWorld) begin(ids ...uint64) { w.tracker.Clear(scope.Parts(ids), w.now) }

func (w *partWorld) want(want Verdict, ids ...uint64) {
	w.t.Helper()
	if got := w.tracker.Verdict(scope.Parts(ids), w.now).Verdict; got != want {
		w.t.Errorf("verdict on %v: %v, want %v", ids, got, want)
	}
}

// Guards against refusing the parts that requests which crash engines share with sound ones.
func TestOnlyPartThatNeverBeginsIsRefused(t *testing.T) {
	w := newPartWorld(t)
	for i := range uint64(DefaultPartOptions.RefuseThreshold) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.crash(50*time.Millisecond, first, bad, madeUp+i)
		w.now = w.now.Add(10 * time.Millisecond)
		w.begin(first, rare)
	}
	w.want(Refuse, bad)
	w.want(Refuse, first, bad, rare)
	w.want(Allow, first, rare)
	w.want(Allow, madeUp)
}

// Guards against refusing a part because one outage ended several engines under requests with it.
func TestOutageAtOnceRefusesNoPart(t *testing.T) {
	w := newPartWorld(t)
	for range 20 {
		w.now = w.now.Add(5 * time.Millisecond)
		w.crash(2*time.Second, rare)
	}
	w.want(Allow, rare)
}

// Guards against refusing a part because engines ended one after the other while they read prompts that
// had all been sent before.
func TestOutageInTurnRefusesNoPart(t *testing.T) {
	w := newPartWorld(t)
	sent := w.now
	for range 20 {
		w.now = w.now.Add(300 * time.Millisecond)
		w.crash(w.now.Sub(sent)+time.Millisecond, rare)
	}
	w.want(RunAlone, rare)
}

// Guards against counting the engines that one outage silenced as deaths at different times, because
// their requests timed out at different times.
func TestSilentDeathsOfOverlappingRunsCountOnce(t *testing.T) {
	w := newPartWorld(t)
	sent := w.now
	for i := range 10 {
		w.now = w.now.Add(time.Second)
		w.deaths++
		d := PartDeath{Death: Death{ID: w.deaths, Began: sent.Add(time.Duration(i) * time.Millisecond), Ended: w.now}, Silent: true, Parts: scope.Parts([]uint64{rare})}
		w.tracker.Record(d, w.now)
	}
	w.want(Allow, rare)
	w.crashes(DefaultPartOptions.RefuseThreshold-1, rare)
	w.want(Refuse, rare)
}

// Guards against missing a part whose requests run on several engines at once.
func TestDeathsOfOverlappingRunsCount(t *testing.T) {
	w := newPartWorld(t)
	for range 10 {
		w.now = w.now.Add(DefaultPartOptions.Burst)
		w.crash(4*DefaultPartOptions.Burst, bad)
	}
	w.want(Refuse, bad)
}

// Guards against missing one of two parts that crash engines at the same time.
func TestTwoPartsAreRefused(t *testing.T) {
	w := newPartWorld(t)
	for range DefaultPartOptions.RefuseThreshold {
		w.crashes(1, bad, first)
		w.crashes(1, otherBad, first)
		w.begin(first)
	}
	w.want(Refuse, bad)
	w.want(Refuse, otherBad)
	w.want(Allow, first)
}

// Guards against refusing a part for good that only comes together with one that crashes engines
// until a sound request with it arrives.
func TestPartsThatOnlyCrashTogetherAreToldApart(t *testing.T) {
	w := newPartWorld(t)
	w.crashes(DefaultPartOptions.RefuseThreshold, first, bad)
	w.want(Refuse, first, bad)
	w.want(RunAlone, first)
	w.want(RunAlone, bad)
	w.begin(first)
	w.want(Allow, first)
	w.want(Refuse, bad)
}

// Guards against the same, where it is the part that crashes engines which comes alone first.
func TestPartThatCrashesAloneClearsItsCompanion(t *testing.T) {
	w := newPartWorld(t)
	w.crashes(DefaultPartOptions.RefuseThreshold, first, bad)
	w.crashes(1+maxUnmatched, bad)
	w.want(Refuse, bad)
	w.want(Allow, first)
}

// Guards against a part that served for hours before it began to crash engines.
func TestPartThatTurnsBadIsRefused(t *testing.T) {
	w := newPartWorld(t)
	w.crashes(1, bad)
	w.begin(bad)
	w.now = w.now.Add(5 * time.Hour)
	w.crashes(DefaultPartOptions.RefuseThreshold, bad, first)
	w.begin(first)
	w.want(Refuse, bad)
}

// Guards against a report of an old success that clears newer deaths, and a report of an old death
// that counts against a part which has since been cleared.
func TestReportsThatArriveLate(t *testing.T) {
	w := newPartWorld(t)
	early := w.now
	old := w.crash(time.Millisecond, first)
	w.crashes(DefaultPartOptions.RefuseThreshold, bad)
	if got := w.tracker.Clear(scope.Parts([]uint64{bad}), early); len(got) > 0 {
		t.Errorf("a success before all deaths clears %v", got)
	}
	w.want(Refuse, bad)
	w.begin(first)
	if w.tracker.Record(old, w.now) {
		t.Error("a death that was cleared counts again")
	}
}

// Guards against letting all requests through when a refusal ends.
func TestRefusalEndsWithOneTrial(t *testing.T) {
	w := newPartWorld(t)
	w.crashes(DefaultPartOptions.RefuseThreshold, bad)
	parts := scope.Parts([]uint64{bad, first})
	try := func() Verdict {
		v, _ := w.tracker.TryStart(parts, w.now)
		return v.Verdict
	}
	if got := try(); got != Refuse {
		t.Fatalf("verdict %v", got)
	}
	for trial := range 8 {
		length := min(DefaultPartOptions.MinRefusal<<trial, DefaultPartOptions.MaxRefusal)
		w.now = w.now.Add(length - time.Millisecond)
		w.want(Refuse, bad, first)
		w.now = w.now.Add(time.Millisecond)
		if got := try(); got != RunAlone {
			t.Fatalf("trial %d: verdict %v after %v", trial, got, length)
		}
		w.want(RunAlone, bad, first) // before it is sent
		if got := try(); got != Refuse {
			t.Fatalf("trial %d: verdict on a second request %v", trial, got)
		}
		w.crash(0, bad, first)
		w.tracker.Stop(parts)
		w.want(Refuse, bad, first)
	}
	w.now = w.now.Add(DefaultPartOptions.MaxRefusal)
	try()
	w.begin(bad, first)
	w.tracker.Stop(parts)
	w.want(Allow, bad, first)
}

// Guards against holding requests with a suspect part to one at a time without waking the next one.
func TestHeldRequestsRunInTurn(t *testing.T) {
	w := newPartWorld(t)
	parts := scope.Parts([]uint64{bad})
	if v, _ := w.tracker.TryStart(parts, w.now); v.Verdict != Allow {
		t.Fatalf("verdict %v", v)
	}
	w.crashes(DefaultPartOptions.HoldThreshold, bad)
	v, changed := w.tracker.TryStart(parts, w.now)
	if v.Verdict != RunAlone || !v.Busy {
		t.Fatalf("verdict %+v beside a request that was sent before", v)
	}
	w.tracker.Stop(parts)
	select {
	case <-changed:
	default:
		t.Error("the request that waits isn't woken")
	}
	if v, _ = w.tracker.TryStart(parts, w.now); v.Verdict != RunAlone || v.Busy {
		t.Errorf("verdict %+v once the other has ended", v)
	}
}

// Guards against entries that each see too few deaths to refuse a part.
func TestDeathsOfSeveralProcessesAddUp(t *testing.T) {
	w := newPartWorld(t)
	there := NewPartTracker(DefaultPartOptions)
	for i := range DefaultPartOptions.RefuseThreshold {
		w.now = w.now.Add(100 * time.Millisecond)
		d := w.crash(50*time.Millisecond, bad, madeUp+uint64(i))
		there.Record(d, w.now)
		there.Record(d, w.now)
	}
	started := NewPartTracker(DefaultPartOptions)
	for _, d := range w.tracker.Deaths(w.now) {
		started.Record(d, w.now)
	}
	for _, tracker := range []*PartTracker{there, started} {
		if got := tracker.Verdict(scope.Parts([]uint64{bad}), w.now); got.Verdict != Refuse {
			t.Errorf("verdict %+v", got)
		}
		if got := tracker.Verdict(scope.Parts([]uint64{madeUp}), w.now); got.Verdict != Allow {
			t.Errorf("verdict on another part %+v", got)
		}
	}
}

// Guards against counting or clearing a part of another service or model, whose parts have the same IDs.
func TestPartsAreScoped(t *testing.T) {
	w := newPartWorld(t)
	w.crashes(DefaultPartOptions.RefuseThreshold, bad)
	for _, other := range []Scope{NewScope("s", "other"), NewScope("other", "m"), NewScope("sm", "")} {
		parts := other.Parts([]uint64{bad})
		if got := w.tracker.Verdict(parts, w.now).Verdict; got != Allow {
			t.Errorf("%+v: verdict %v", other, got)
		}
		w.tracker.Clear(parts, w.now)
	}
	w.want(Refuse, bad)
}

// Guards against a table without bounds, and against a caller that makes up parts until one that crashes
// engines is forgotten.
func TestMadeUpPartsDontReplaceRefusedPart(t *testing.T) {
	w := newPartWorld(t)
	w.crashes(DefaultPartOptions.RefuseThreshold, bad)
	refusedAt := w.now
	next := madeUp
	for range 2 * DefaultPartOptions.MaxDeaths {
		ids := make([]uint64, 500)
		for i := range ids {
			next++
			ids[i] = next
		}
		w.crashes(1, ids...)
	}
	w.now = refusedAt
	w.want(Refuse, bad)
	kept := keptParts(w.tracker.deaths)
	if n := len(w.tracker.deaths); n > DefaultPartOptions.MaxDeaths || kept > DefaultPartOptions.MaxParts || kept != sumOf(w.tracker.parts) {
		t.Errorf("%d deaths, %d parts, %d counted", n, kept, sumOf(w.tracker.parts))
	}
}

func sumOf(counts map[Part]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Guards against refusing a part for deaths that a success has cleared, whatever the order of events.
func TestSuspectsNeverBeganSinceTheirDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &partWorld{t: nil, tracker: NewPartTracker(DefaultPartOptions), now: t0}
		lastBegan := map[uint64]time.Time{}
		ids := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 4, rapid.ID[uint64])
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			parts := ids.Draw(t, "parts")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				w.begin(parts...)
				for _, id := range parts {
					lastBegan[id] = w.now
				}
				continue
			}
			w.crash(time.Duration(rapid.IntRange(0, 600).Draw(t, "ran"))*time.Millisecond, parts...)
		}
		for _, d := range w.tracker.deaths {
			for part := range d.began {
				if !d.ended.After(lastBegan[part.ID]) {
					t.Fatalf("part %v began at %v, and a death at %v counts", part, lastBegan[part.ID], d.ended)
				}
			}
		}
		for _, s := range w.tracker.Suspicions() {
			for _, part := range s.Parts {
				if n := w.tracker.parts[part]; n < len(s.Deaths)-maxUnmatched || n < DefaultPartOptions.HoldThreshold-maxUnmatched {
					t.Fatalf("part %v is suspected for %d of %d deaths", part, n, len(s.Deaths))
				}
			}
		}
		if counted := sumOf(w.tracker.parts); counted != keptParts(w.tracker.deaths) {
			t.Fatalf("%d parts counted, %d kept", counted, keptParts(w.tracker.deaths))
		}
		if !slices.IsSortedFunc(w.tracker.deaths, func(a, b *trackedDeath) int { return a.ended.Compare(b.ended) }) {
			t.Fatal("deaths aren't in order")
		}
	})
}

func keptParts(deaths []*trackedDeath) (n int) {
	for _, d := range deaths {
		n += len(d.began)
	}
	return n
}

// Guards against refusing a sound part because it was under one death more, of another cause, than the part
// that crashes engines beside it.
func TestPartWithOneMoreDeathIsNotRefusedAlone(t *testing.T) {
	w := newPartWorld(t)
	w.crashes(1, rare)
	w.crashes(DefaultPartOptions.RefuseThreshold-1, rare, bad)
	w.want(Refuse, rare, bad)
	w.want(RunAlone, rare)
	w.want(RunAlone, bad)
	w.begin(rare)
	w.want(Allow, rare)
	w.crashes(1, bad)
	w.want(Refuse, bad)
}

// Guards against counting one death several times because the entries that report it hold different
// registrations of the engine, for example after the store came back from an older copy.
func TestDeathWithSeveralIDsCountsOnce(t *testing.T) {
	w := newPartWorld(t)
	for range DefaultPartOptions.RefuseThreshold - 1 {
		w.now = w.now.Add(time.Second)
		for range 3 { // entries
			w.deaths++
			d := PartDeath{
				Death:  Death{ID: w.deaths, Began: w.now.Add(-50 * time.Millisecond), Ended: w.now},
				Server: 7, Parts: scope.Parts([]uint64{bad}),
			}
			w.tracker.Record(d, w.now)
			w.now = w.now.Add(40 * time.Millisecond)
		}
	}
	w.want(RunAlone, bad)
	if got := len(w.tracker.Deaths(w.now)); got != DefaultPartOptions.RefuseThreshold-1 {
		t.Errorf("%d deaths are known, want %d", got, DefaultPartOptions.RefuseThreshold-1)
	}
}

// Guards against counting the deaths of several engines at one moment, or of one engine that came
// back, as one.
func TestDeathsOfSeveralEnginesAreToldApart(t *testing.T) {
	w := newPartWorld(t)
	record := func(id, server uint64) {
		d := PartDeath{Death: Death{ID: id, Began: w.now, Ended: w.now}, Server: server, Parts: scope.Parts([]uint64{bad})}
		w.tracker.Record(d, w.now)
	}
	record(1, 7)
	record(2, 8)
	record(3, 0)
	w.now = w.now.Add(2 * sameDeathWindow)
	record(4, 7)
	if got := len(w.tracker.Deaths(w.now)); got != 4 {
		t.Errorf("%d deaths are known, want 4", got)
	}
}
