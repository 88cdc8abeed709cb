package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// ledgerOps are the methods that the model drives; broken variants override
// single methods.
type ledgerOps interface {
	Hold(time.Time, HoldSpec) (time.Time, error)
	Extend(time.Time, string, Owner, time.Duration) (time.Time, error)
	Release(time.Time, string, Owner) (Cleanup, error)
	Admit(time.Time, RunSpec) error
	UpdateUsage(string, int64) error
	Finish(time.Time, string) bool
	RetainSegment(now time.Time, id, handle string, tokens int64) error
	ReleaseOwner(time.Time, Owner) Cleanup
	Sweep(time.Time) Cleanup
	State() LedgerState
}

type ledgerOp struct {
	Kind   int
	Hold   int
	Run    int
	Owner  int
	Tokens int64
	Long   bool
	OnHold bool
	Wait   time.Duration
}

const (
	opHold = iota
	opExtend
	opRelease
	opAdmit
	opUpdateUsage
	opFinish
	opRetainSegment
	opReleaseOwner
	opCount
)

const modelCapacity = 1000

func opGen() *rapid.Generator[ledgerOp] {
	return rapid.Custom(func(t *rapid.T) ledgerOp {
		return ledgerOp{
			Kind:   rapid.IntRange(0, opCount-1).Draw(t, "kind"),
			Hold:   rapid.IntRange(0, 5).Draw(t, "hold"),
			Run:    rapid.IntRange(0, 7).Draw(t, "run"),
			Owner:  rapid.IntRange(0, 2).Draw(t, "owner"),
			Tokens: rapid.Int64Range(1, 600).Draw(t, "tokens"),
			Long:   rapid.Bool().Draw(t, "long"),
			OnHold: rapid.Bool().Draw(t, "on hold"),
			Wait:   time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond,
		}
	})
}

type modelHold struct {
	owner         Owner
	tokens        int64
	expiry        time.Time
	segmentTokens int64
}

type modelRun struct {
	owner  Owner
	hold   string
	tokens int64
	used   int64
}

// ledgerModel is a simple reference implementation of a ledger: plain maps, and
// totals that are recomputed each time.
type ledgerModel struct {
	now   time.Time
	holds map[string]*modelHold
	runs  map[string]*modelRun
	ended map[string]bool
}

func (m *ledgerModel) allocated(hold string) int64 {
	sum := m.holds[hold].segmentTokens
	for _, r := range m.runs {
		if r.hold == hold {
			sum += r.tokens
		}
	}
	return sum
}

func (m *ledgerModel) running(hold string) bool {
	for _, r := range m.runs {
		if r.hold == hold {
			return true
		}
	}
	return false
}

func (m *ledgerModel) totals() (reserved, used int64) {
	for _, h := range m.holds {
		reserved += h.tokens
		used += h.segmentTokens
	}
	for _, r := range m.runs {
		used += r.used
		if r.hold == "" {
			reserved += r.tokens
		}
	}
	return reserved, used
}

func (m *ledgerModel) endHold(hold string) {
	for _, r := range m.runs {
		if r.hold == hold {
			r.hold = ""
		}
	}
	delete(m.holds, hold)
	m.ended[hold] = true
}

func (m *ledgerModel) sweep() {
	for id, h := range m.holds {
		if m.now.After(h.expiry) && !m.running(id) {
			m.endHold(id)
		}
	}
}

// runOps applies the operations to the ledger and the model and returns the
// first difference. A violated invariant counts as a difference.
func runOps(l ledgerOps, ops []ledgerOp) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	m := &ledgerModel{now: time.Unix(1000, 0), holds: map[string]*modelHold{}, runs: map[string]*modelRun{}, ended: map[string]bool{}}
	for i, op := range ops {
		m.now = m.now.Add(op.Wait)
		l.Sweep(m.now)
		m.sweep()
		if err := m.apply(l, op); err != nil {
			return fmt.Errorf("step %d %+v: %w", i, op, err)
		}
		if err := m.compare(l.State()); err != nil {
			return fmt.Errorf("after step %d %+v: %w", i, op, err)
		}
	}
	return nil
}

func (m *ledgerModel) compare(s LedgerState) error {
	reserved, used := m.totals()
	if s.Used != used || s.Held != reserved-used || s.Holds != len(m.holds) || s.Runs != len(m.runs) {
		return fmt.Errorf("state %+v, model reserved %d, used %d, holds %d, runs %d",
			s, reserved, used, len(m.holds), len(m.runs))
	}
	if s.Held+s.Used > s.Capacity || s.Earmarked > s.Capacity-s.Held-s.Used {
		return fmt.Errorf("over capacity: %+v", s)
	}
	return nil
}

func (m *ledgerModel) apply(l ledgerOps, op ledgerOp) error {
	hold, run := fmt.Sprintf("h%d", op.Hold), fmt.Sprintf("r%d", op.Run)
	owner := Owner{Entry: fmt.Sprintf("e%d", op.Owner), Incarnation: 1}
	switch op.Kind {
	case opHold:
		return m.applyHold(l, hold, owner, op.Tokens)
	case opExtend:
		return m.applyExtend(l, hold, owner)
	case opRelease:
		return m.applyRelease(l, hold, owner)
	case opAdmit:
		return m.applyAdmit(l, hold, run, owner, op)
	case opUpdateUsage:
		return m.applyUpdateUsage(l, run, op.Tokens)
	case opFinish:
		_, known := m.runs[run]
		delete(m.runs, run)
		return check(l.Finish(m.now, run) == known, "finish of run known: %v", known)
	case opRetainSegment:
		return m.applyRetainSegment(l, run, op.Tokens)
	}
	for id, h := range m.holds {
		if h.owner == owner {
			m.endHold(id)
		}
	}
	l.ReleaseOwner(m.now, owner)
	return nil
}

func check(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func (m *ledgerModel) applyHold(l ledgerOps, id string, owner Owner, tokens int64) error {
	before := l.State()
	expiry, err := l.Hold(m.now, HoldSpec{ID: id, Owner: owner, Tokens: tokens, TTL: 3 * time.Second})
	if h, ok := m.holds[id]; ok {
		same := h.owner == owner && h.tokens == tokens
		if same {
			h.expiry = expiry
		}
		return check(same == (err == nil), "repeated hold: %v", err)
	}
	if err != nil {
		return nil
	}
	m.holds[id] = &modelHold{owner: owner, tokens: tokens, expiry: expiry}
	if m.ended[id] {
		return fmt.Errorf("hold %s was revived", id)
	}
	return check(tokens <= before.Capacity-before.Held-before.Used, "hold of %d over %+v", tokens, before)
}

func (m *ledgerModel) applyExtend(l ledgerOps, id string, owner Owner) error {
	expiry, err := l.Extend(m.now, id, owner, 5*time.Second)
	h, ok := m.holds[id]
	mine := ok && h.owner == owner
	if mine {
		h.expiry = expiry
	}
	return check(mine == (err == nil), "extend of own live hold %v: %v", mine, err)
}

func (m *ledgerModel) applyRelease(l ledgerOps, id string, owner Owner) error {
	_, err := l.Release(m.now, id, owner)
	h, ok := m.holds[id]
	if !ok {
		m.ended[id] = true
		return check(err != nil, "release of unknown hold")
	}
	if h.owner != owner {
		return check(errors.Is(err, ErrNotOwner), "release by another: %v", err)
	}
	m.endHold(id)
	return check(err == nil, "release: %v", err)
}

func (m *ledgerModel) applyAdmit(l ledgerOps, hold, run string, owner Owner, op ledgerOp) error {
	spec := RunSpec{ID: run, Owner: owner, Tokens: op.Tokens, Long: op.Long}
	if op.OnHold {
		spec.HoldID = hold
	}
	before := l.State()
	err := l.Admit(m.now, spec)
	if _, ok := m.runs[run]; ok {
		return check(errors.Is(err, ErrRunExists), "second admit: %v", err)
	}
	if op.OnHold {
		h, ok := m.holds[hold]
		fits := ok && h.owner == owner && op.Tokens <= h.tokens-m.allocated(hold)
		if fits {
			m.runs[run] = &modelRun{owner: owner, hold: hold, tokens: op.Tokens}
		}
		return check(fits == (err == nil), "run on hold, fits %v: %v", fits, err)
	}
	free := before.Capacity - before.Held - before.Used
	if err == nil {
		m.runs[run] = &modelRun{owner: owner, tokens: op.Tokens}
	}
	if op.Long {
		return check(err != nil || op.Tokens <= free, "long run of %d over %+v", op.Tokens, before)
	}
	fits := op.Tokens <= free-before.Earmarked
	return check(fits == (err == nil), "short run of %d, %+v: %v", op.Tokens, before, err)
}

func (m *ledgerModel) applyUpdateUsage(l ledgerOps, run string, used int64) error {
	before := l.State()
	err := l.UpdateUsage(run, used)
	r, ok := m.runs[run]
	if !ok || used <= r.used {
		return check(err == nil, "grow: %v", err)
	}
	more := used - r.tokens
	if more > 0 && r.hold != "" {
		h := m.holds[r.hold]
		r.tokens += min(more, h.tokens-m.allocated(r.hold))
	} else if more > 0 && err == nil {
		r.tokens = used
		free := before.Capacity - before.Held - before.Used - before.Earmarked
		if more > free {
			return fmt.Errorf("grew by %d over %+v", more, before)
		}
	}
	r.used = min(used, r.tokens)
	return nil
}

func (m *ledgerModel) applyRetainSegment(l ledgerOps, run string, tokens int64) error {
	err := l.RetainSegment(m.now, run, "handle-"+run, tokens)
	r, ok := m.runs[run]
	if !ok || r.hold == "" {
		return check(errors.Is(err, ErrHoldUnknown), "keep without hold: %v", err)
	}
	delete(m.runs, run)
	h := m.holds[r.hold]
	h.segmentTokens += min(tokens, h.tokens-m.allocated(r.hold))
	return check(err == nil, "keep: %v", err)
}

func newModelLedger() *Ledger { return NewLedger(LedgerConfig{Capacity: modelCapacity}) }

func TestLedgerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ops := rapid.SliceOfN(opGen(), 20, 120).Draw(t, "ops")
		if err := runOps(newModelLedger(), ops); err != nil {
			t.Fatal(err)
		}
	})
}
