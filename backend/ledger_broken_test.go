package backend

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The broken variants below show that the model can fail: each must be found.

// The broken variants below verify that the model can fail: the test must
// detect each of them.
type leaksOnFinish struct{ *Ledger }

func (b leaksOnFinish) Finish(now time.Time, id string) bool {
	ok := b.Ledger.Finish(now, id)
	if ok {
		b.reservedTokens++
	}
	return ok
}

type freesTwice struct{ *Ledger }

func (b freesTwice) Finish(now time.Time, id string) bool {
	r := b.runs[id]
	ok := b.Ledger.Finish(now, id)
	if r != nil && r.hold == nil {
		b.reservedTokens -= r.tokens
	}
	return ok
}

type revivesHolds struct{ *Ledger }

func (b revivesHolds) Hold(now time.Time, spec HoldSpec) (time.Time, error) {
	delete(b.endedHolds, spec.ID)
	return b.Ledger.Hold(now, spec)
}

type ignoresOwner struct{ *Ledger }

func (b ignoresOwner) Release(now time.Time, id string, owner Owner) (Cleanup, error) {
	if h := b.holds[id]; h != nil {
		owner = h.owner
	}
	return b.Ledger.Release(now, id, owner)
}

type neverExpires struct{ *Ledger }

func (b neverExpires) Sweep(time.Time) Cleanup { return Cleanup{} }

type overcommits struct{ *Ledger }

func (b overcommits) Admit(now time.Time, spec RunSpec) error {
	b.cfg.Capacity *= 2
	defer func() { b.cfg.Capacity /= 2 }()
	return b.Ledger.Admit(now, spec)
}

type ignoresEarmark struct{ *Ledger }

func (b ignoresEarmark) Admit(now time.Time, spec RunSpec) error {
	b.queue.earmark = 0
	return b.Ledger.Admit(now, spec)
}

type ignoresDeadOwner struct{ *Ledger }

func (b ignoresDeadOwner) ReleaseOwner(time.Time, Owner) Cleanup { return Cleanup{} }

type dropsSegmentCharge struct{ *Ledger }

func (b dropsSegmentCharge) RetainSegment(now time.Time, id, handle string, tokens int64) error {
	err := b.Ledger.RetainSegment(now, id, handle, tokens)
	if err == nil {
		b.usedTokens = 0
	}
	return err
}

func TestModelDetectsBrokenLedgers(t *testing.T) {
	variants := map[string]func() ledgerOps{
		"leaks on finish":      func() ledgerOps { return leaksOnFinish{newModelLedger()} },
		"frees twice":          func() ledgerOps { return freesTwice{newModelLedger()} },
		"revives ended holds":  func() ledgerOps { return revivesHolds{newModelLedger()} },
		"ignores the owner":    func() ledgerOps { return ignoresOwner{newModelLedger()} },
		"never expires":        func() ledgerOps { return neverExpires{newModelLedger()} },
		"overcommits":          func() ledgerOps { return overcommits{newModelLedger()} },
		"ignores the earmark":  func() ledgerOps { return ignoresEarmark{newModelLedger()} },
		"ignores dead owner":   func() ledgerOps { return ignoresDeadOwner{newModelLedger()} },
		"drops segment charge": func() ledgerOps { return dropsSegmentCharge{newModelLedger()} },
	}
	const seeds = 500
	gen := rapid.SliceOfN(opGen(), 60, 80)
	for name, make := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds {
				if runOps(make(), gen.Example(seed)) != nil {
					return
				}
			}
			t.Fatalf("not detected in %d runs", seeds)
		})
	}
}
