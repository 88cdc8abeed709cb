package backend

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The broken variants below show that the model can fail: each must be found.

type leaksOnFinish struct{ *Ledger }

func (b leaksOnFinish) Finish(now time.Time, id string) bool {
	ok := b.Ledger.Finish(now, id)
	if ok {
		b.reserved++
	}
	return ok
}

type freesTwice struct{ *Ledger }

func (b freesTwice) Finish(now time.Time, id string) bool {
	r := b.runs[id]
	ok := b.Ledger.Finish(now, id)
	if r != nil && r.hold == nil {
		b.reserved -= r.tokens
	}
	return ok
}

type revives struct{ *Ledger }

func (b revives) Hold(now time.Time, spec HoldSpec) (time.Time, error) {
	delete(b.ended, spec.ID)
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

type stealsEarmark struct{ *Ledger }

func (b stealsEarmark) Admit(now time.Time, spec RunSpec) error {
	b.queue.earmark = 0
	return b.Ledger.Admit(now, spec)
}

type forgetsDeadOwner struct{ *Ledger }

func (b forgetsDeadOwner) ReleaseOwner(time.Time, Owner) Cleanup { return Cleanup{} }

type dropsKeptCharge struct{ *Ledger }

func (b dropsKeptCharge) RetainSegment(now time.Time, id, handle string, tokens int64) error {
	err := b.Ledger.RetainSegment(now, id, handle, tokens)
	if err == nil {
		b.used = 0
	}
	return err
}

func TestModelFindsBrokenLedgers(t *testing.T) {
	variants := map[string]func() ledgerOps{
		"leaks on finish":     func() ledgerOps { return leaksOnFinish{newModelLedger()} },
		"frees twice":         func() ledgerOps { return freesTwice{newModelLedger()} },
		"revives ended holds": func() ledgerOps { return revives{newModelLedger()} },
		"ignores the owner":   func() ledgerOps { return ignoresOwner{newModelLedger()} },
		"never expires":       func() ledgerOps { return neverExpires{newModelLedger()} },
		"overcommits":         func() ledgerOps { return overcommits{newModelLedger()} },
		"steals the earmark":  func() ledgerOps { return stealsEarmark{newModelLedger()} },
		"forgets dead owner":  func() ledgerOps { return forgetsDeadOwner{newModelLedger()} },
		"drops kept charge":   func() ledgerOps { return dropsKeptCharge{newModelLedger()} },
	}
	const seeds = 500
	gen := rapid.SliceOfN(opGen(), 60, 80)
	for name, make := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds {
				if driveLedger(make(), gen.Example(seed)) != nil {
					return
				}
			}
			t.Fatalf("not found in %d runs", seeds)
		})
	}
}
