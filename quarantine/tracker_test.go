package quarantine

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_000_000, 0)

// A prompt crashes an engine that also runs other requests. Its caller sends it again
// through another entry, it crashes the next engine, and so on, unless the requests that
// were running on each engine that died are recorded.
func TestTwoDeathsQuarantine(t *testing.T) {
	b := NewTracker(DefaultOptions)
	const crashing, harmless = 1, 2
	b.RecordDeath(crashing, 100, t0)
	b.RecordDeath(harmless, 100, t0)
	for _, fp := range []uint64{crashing, harmless} {
		if got := b.Verdict(fp, t0); got != RunAlone {
			t.Fatalf("fingerprint %d after one death: verdict %v", fp, got)
		}
	}
	b.RecordCompletion(harmless, t0)
	b.RecordDeath(crashing, 200, t0)
	if got := b.Verdict(crashing, t0); got != Refuse {
		t.Fatalf("crashing fingerprint: verdict %v", got)
	}
	if got := b.Verdict(harmless, t0); got != Allow {
		t.Fatalf("other fingerprint: verdict %v", got)
	}
	b.RecordCompletion(crashing, t0)
	if got := b.Verdict(crashing, t0); got != Refuse {
		t.Fatalf("a run that started before the quarantine lifted it: %v", got)
	}
}

// One death is reported by the agent, by the digest of a peer and by another peer. If
// reports were counted instead of deaths, one death would quarantine a harmless prompt.
func TestRepeatedDeathReportCountsOnce(t *testing.T) {
	a, b := NewTracker(DefaultOptions), NewTracker(DefaultOptions)
	r, isNew := a.RecordDeath(7, 100, t0)
	if !isNew {
		t.Fatal("the first report of a death does not count as new")
	}
	for i := range 5 {
		if got := b.Merge(r, t0); got != (i == 0) {
			t.Fatalf("report %d counts as new: %v", i, got)
		}
	}
	if got := b.Verdict(7, t0); got != RunAlone {
		t.Fatalf("verdict %v", got)
	}
}

// Guards against a suspect that was cleared, and is suspected again when a report of the same
// death arrives late or a second time.
func TestClearedDeathIsNotCountedAgain(t *testing.T) {
	a, b := NewTracker(DefaultOptions), NewTracker(DefaultOptions)
	late, _ := a.RecordDeath(7, 100, t0)
	b.Merge(late, t0)
	if !b.Clear(7, t0) {
		t.Fatal("the completion of a suspect doesn't clear it")
	}
	if b.Merge(late, t0) {
		t.Error("a late report counts as new")
	}
	if got := b.Verdict(7, t0); got != Allow {
		t.Errorf("verdict %v after a late report", got)
	}
	if b.Clear(7, t0) {
		t.Error("a fingerprint without deaths is reported as cleared")
	}
	if got := b.Remaining(7, t0); got != 0 {
		t.Errorf("a verdict without deaths lasts for %v", got)
	}
	next, _ := a.RecordDeath(7, 200, t0)
	b.Merge(next, t0)
	if got := b.Verdict(7, t0); got != RunAlone {
		t.Errorf("verdict %v after another death", got)
	}
}

func TestVerdictsExpire(t *testing.T) {
	b := NewTracker(DefaultOptions)
	b.RecordDeath(7, 100, t0)
	if got := b.Verdict(7, t0.Add(DefaultOptions.SuspicionTTL)); got != Allow {
		t.Fatalf("verdict %v after the suspicion expired", got)
	}
	b.RecordDeath(8, 100, t0)
	b.RecordDeath(8, 200, t0)
	if got := b.Verdict(8, t0.Add(DefaultOptions.SuspicionTTL)); got != Refuse {
		t.Fatalf("quarantine verdict %v after SuspicionTTL", got)
	}
	if got := b.Verdict(8, t0.Add(DefaultOptions.QuarantineTTL)); got != Allow {
		t.Fatalf("verdict %v after the quarantine expired", got)
	}
}

// Shortly before a process drops a verdict, its successor starts and copies the verdict from
// the records; so does the successor's successor, and so on. If each copy restarted the
// expiry, the fingerprint would be refused for days, long after its quarantine.
func TestMergedVerdictKeepsItsExpiry(t *testing.T) {
	const crashing = 7
	b := NewTracker(DefaultOptions)
	b.RecordDeath(crashing, 100, t0)
	b.RecordDeath(crashing, 200, t0)
	now := t0
	for range 5 {
		now = now.Add(DefaultOptions.QuarantineTTL / 6)
		next := NewTracker(DefaultOptions)
		for _, r := range b.Records(now) {
			next.Merge(r, now)
		}
		b = next
		if got := b.Verdict(crashing, now); got != Refuse {
			t.Fatalf("verdict %v after %v of the quarantine", got, now.Sub(t0))
		}
	}
	if got := b.Verdict(crashing, t0.Add(DefaultOptions.QuarantineTTL)); got != Allow {
		t.Fatalf("verdict %v after the quarantine", got)
	}
}

// Two processes that each recorded a different death quarantine the fingerprint once they
// exchange records. The quarantine lasts its full time; neither suspicion shortens it.
func TestMergedDeathsQuarantine(t *testing.T) {
	const crashing = 7
	a, b := NewTracker(DefaultOptions), NewTracker(DefaultOptions)
	r, _ := a.RecordDeath(crashing, 100, t0)
	b.RecordDeath(crashing, 200, t0)
	b.Merge(r, t0)
	if got := b.Verdict(crashing, t0.Add(DefaultOptions.QuarantineTTL-1)); got != Refuse {
		t.Fatalf("verdict %v within the quarantine", got)
	}
}

// If the configured threshold exceeded the number of deaths that are distinguished, the
// count would never reach it, and a prompt that crashes engines would never be refused.
func TestEveryDeathThresholdCanQuarantine(t *testing.T) {
	for _, deaths := range []int{0, 1, maxTrackedDeaths, maxTrackedDeaths + 1} {
		opt := DefaultOptions
		opt.DeathThreshold = deaths
		b := NewTracker(opt)
		for death := range uint64(maxTrackedDeaths) {
			b.RecordDeath(7, death, t0)
		}
		if got := b.Verdict(7, t0); got != Refuse {
			t.Errorf("verdict %v after %d deaths with DeathThreshold %d", got, maxTrackedDeaths, deaths)
		}
	}
}

func TestTrackerIsBounded(t *testing.T) {
	opt := DefaultOptions
	opt.MaxFingerprints = 8
	b := NewTracker(opt)
	for fp := range uint64(100) {
		b.RecordDeath(fp, 1, t0)
	}
	if got := len(b.Records(t0)); got != opt.MaxFingerprints {
		t.Fatalf("%d records kept, want %d", got, opt.MaxFingerprints)
	}
}

func run(id uint64, began, ended time.Duration) Death {
	return Death{ID: id, Began: t0.Add(began), Ended: t0.Add(ended)}
}

// Guards against quarantining a call that many callers make at the same time because an
// outage ended several engines under it, in this process or in several.
func TestOverlappingRunsCountOnce(t *testing.T) {
	const outage = time.Second
	a, b := NewTracker(DefaultOptions), NewTracker(DefaultOptions)
	first, _ := a.RecordRunDeath(7, run(100, 0, outage), t0.Add(outage))
	if _, isNew := a.RecordRunDeath(7, run(200, outage/2, outage), t0.Add(outage)); isNew {
		t.Error("two overlapping runs in one process count twice")
	}
	b.RecordRunDeath(7, run(300, outage/3, outage), t0.Add(outage))
	if b.Merge(first, t0.Add(outage)) {
		t.Error("two overlapping runs in two processes count twice")
	}
	if got := b.Verdict(7, t0.Add(outage)); got != RunAlone {
		t.Errorf("verdict %v", got)
	}
}

// Guards against missing a death because its report was faster than that of the one before.
func TestReportsOfUnequalTransitCount(t *testing.T) {
	const length, transit = 100 * time.Millisecond, 20 * time.Millisecond
	a, b, c := NewTracker(DefaultOptions), NewTracker(DefaultOptions), NewTracker(DefaultOptions)
	first, _ := a.RecordRunDeath(7, run(100, 0, length), t0.Add(length))
	second, _ := b.RecordRunDeath(7, run(200, length+time.Millisecond, 2*length), t0.Add(2*length))
	c.Merge(first, t0.Add(length+transit))
	c.Merge(second, t0.Add(2*length))
	if got := c.Verdict(7, t0.Add(2*length)); got != Refuse {
		t.Errorf("verdict %v after two deaths", got)
	}
}
