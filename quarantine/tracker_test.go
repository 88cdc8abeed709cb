package quarantine

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_000_000, 0)

// Symptom: one prompt, resent by its caller, takes engine after engine.
// Sequence: it runs beside others, the engine dies; it is sent again through
// another entry, the next engine dies; and so on.
// Cause: no memory of what ran on an engine when it died.
func TestTwoDeathsQuarantine(t *testing.T) {
	b := NewTracker(DefaultOptions)
	const killer, innocent = 1, 2
	b.RecordDeath(killer, 100, t0)
	b.RecordDeath(innocent, 100, t0)
	for _, fp := range []uint64{killer, innocent} {
		if got := b.Verdict(fp, t0); got != RunAlone {
			t.Fatalf("%d after one death: %v", fp, got)
		}
	}
	b.RecordCompletion(innocent, t0)
	b.RecordDeath(killer, 200, t0)
	if got := b.Verdict(killer, t0); got != Refuse {
		t.Fatalf("killer: %v", got)
	}
	if got := b.Verdict(innocent, t0); got != Allow {
		t.Fatalf("innocent: %v", got)
	}
	b.RecordCompletion(killer, t0)
	if got := b.Verdict(killer, t0); got != Refuse {
		t.Fatalf("a quarantine was lifted by a run that had started before it: %v", got)
	}
}

// Symptom: an innocent prompt is quarantined after one engine death.
// Sequence: the death is heard from the agent, again from a peer's digest and
// again from another peer.
// Cause: reports counted in place of deaths.
func TestOneDeathHeardTwiceCountsOnce(t *testing.T) {
	a, b := NewTracker(DefaultOptions), NewTracker(DefaultOptions)
	r, news := a.RecordDeath(7, 100, t0)
	if !news {
		t.Fatal("first report of a death is news")
	}
	for i := range 5 {
		if got := b.Merge(r, t0); got != (i == 0) {
			t.Fatalf("news at report %d: %v", i, got)
		}
	}
	if got := b.Verdict(7, t0); got != RunAlone {
		t.Fatalf("verdict %v", got)
	}
}

func TestSuspicionAndSentenceExpire(t *testing.T) {
	b := NewTracker(DefaultOptions)
	b.RecordDeath(7, 100, t0)
	if got := b.Verdict(7, t0.Add(DefaultOptions.SuspicionTTL)); got != Allow {
		t.Fatalf("suspicion after its time: %v", got)
	}
	b.RecordDeath(8, 100, t0)
	b.RecordDeath(8, 200, t0)
	if got := b.Verdict(8, t0.Add(DefaultOptions.SuspicionTTL)); got != Refuse {
		t.Fatalf("sentence at suspicion's end: %v", got)
	}
	if got := b.Verdict(8, t0.Add(DefaultOptions.QuarantineTTL)); got != Allow {
		t.Fatalf("sentence after its time: %v", got)
	}
}

// Symptom: a fingerprint is refused for days, long after its sentence.
// Sequence: just before a process forgets the verdict its successor starts and
// learns it from the records; so does the successor's successor, and so on.
// Cause: a verdict that begins anew wherever it is heard of.
func TestSentenceIsNotProlongedByHearsay(t *testing.T) {
	const killer = 7
	b := NewTracker(DefaultOptions)
	b.RecordDeath(killer, 100, t0)
	b.RecordDeath(killer, 200, t0)
	now := t0
	for range 5 {
		now = now.Add(DefaultOptions.QuarantineTTL / 6)
		next := NewTracker(DefaultOptions)
		for _, r := range b.Records(now) {
			next.Merge(r, now)
		}
		b = next
		if got := b.Verdict(killer, now); got != Refuse {
			t.Fatalf("verdict %v after %v of the sentence", got, now.Sub(t0))
		}
	}
	if got := b.Verdict(killer, t0.Add(DefaultOptions.QuarantineTTL)); got != Allow {
		t.Fatalf("verdict %v after the sentence", got)
	}
}

// Two processes that each heard of another death convict together, for the
// whole sentence: neither's suspicion bounds it.
func TestDeathsHeardSeparatelyConvict(t *testing.T) {
	const killer = 7
	a, b := NewTracker(DefaultOptions), NewTracker(DefaultOptions)
	r, _ := a.RecordDeath(killer, 100, t0)
	b.RecordDeath(killer, 200, t0)
	b.Merge(r, t0)
	if got := b.Verdict(killer, t0.Add(DefaultOptions.QuarantineTTL-1)); got != Refuse {
		t.Fatalf("verdict %v within the sentence", got)
	}
}

// Symptom: a prompt kills engine after engine and is never refused.
// Sequence: an operator asks for more deaths than are told apart.
// Cause: the count of deaths ends below the one that convicts.
func TestEveryNumberOfDeathsConvicts(t *testing.T) {
	for _, deaths := range []int{0, 1, maxDeaths, maxDeaths + 1} {
		opt := DefaultOptions
		opt.DeathThreshold = deaths
		b := NewTracker(opt)
		for death := range uint64(maxDeaths) {
			b.RecordDeath(7, death, t0)
		}
		if got := b.Verdict(7, t0); got != Refuse {
			t.Errorf("verdict %v after %d deaths with Deaths %d", got, maxDeaths, deaths)
		}
	}
}

func TestBookIsBounded(t *testing.T) {
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
