package agent

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Bounds of the retry_after that a refusal carries.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// askAgain is how often a waiting run asks the ledger, also if nothing was freed:
// the ledger drops from its queue who doesn't ask within WaitTTL.
const askAgain = time.Second

// refusal says why a run was not admitted. Nothing was sent to the engine.
type refusal struct {
	code   wirepb.RefuseCode
	detail string
}

// errDuplicate: an attempt arrived twice. It can't be refused, since a refusal
// says "not run" and the first of the two runs; the stream ends with an error,
// which leaves the outcome unknown.
const errDuplicate = errors.ConstError("attempt already in progress")

// admit decides on a run and enters it in the tables. A long run or a suspect may
// wait.
func (a *Agent) admit(r *run) (*refusal, error) {
	if freed, err := a.ledger.ObserveOwner(a.cfg.Now(), r.owner); err == nil {
		a.apply(freed, errOwnerGone)
	}
	giveUp := time.NewTimer(min(a.patience(r), r.timeout))
	defer giveUp.Stop()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	defer a.leaveLine(r)
	for {
		memory := a.ledger.FreedNotify()
		refused, changed, err := a.tryAdmit(r)
		if err != nil || refused == nil || !a.mayWait(r, refused) {
			return refused, err
		}
		select {
		case <-memory:
		case <-changed:
		case <-again.C:
		case <-giveUp.C:
			return refused, nil
		case <-r.ctx.Done():
			a.ledger.CancelWait(r.queueID())
			return &refusal{wirepb.RefuseCode_REFUSE_DEADLINE, context.Cause(r.ctx).Error()}, nil
		}
	}
}

// tryAdmit makes all checks and the entry in the tables in one critical section,
// so that two runs can't both take the last place.
func (a *Agent) tryAdmit(r *run) (*refusal, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.runs[r.id]; ok {
		return nil, nil, errDuplicate
	}
	for _, check := range admissionChecks {
		if refused := check(a, r); refused != nil {
			return refused, a.changed, nil
		}
	}
	refused, err := a.reserve(r)
	if refused != nil || err != nil {
		return refused, a.changed, err
	}
	a.enter(r)
	return nil, nil, nil
}

// admissionChecks run in this order with Agent.mu held; the first refusal wins.
// The memory ledger comes last, since it alone changes state.
var admissionChecks = []func(*Agent, *run) *refusal{
	checkDraining,
	checkEngine,
	checkQuarantine,
	checkServed,
	checkBody,
	checkDeadline,
	checkAlone,
	checkConcurrency,
	checkPrefill,
	checkWait,
}

func checkDraining(a *Agent, r *run) *refusal {
	// A run on a hold granted before belongs to work in progress.
	if a.draining && r.start.HoldId == "" {
		return &refusal{wirepb.RefuseCode_REFUSE_DRAINING, "backend server is leaving"}
	}
	return nil
}

func checkEngine(a *Agent, _ *run) *refusal {
	if !a.engine.up {
		return &refusal{wirepb.RefuseCode_REFUSE_ENGINE_DOWN, a.engine.reason}
	}
	return nil
}

func checkQuarantine(a *Agent, r *run) *refusal {
	if a.cfg.Quarantined(r.start.Fingerprint) {
		return &refusal{wirepb.RefuseCode_REFUSE_QUARANTINED, "this content killed engines"}
	}
	return nil
}

func checkServed(a *Agent, r *run) *refusal {
	d, s := &a.descriptor, r.start
	service := s.Kind == wirepb.Kind_KIND_SERVICE
	if service != d.Service || (s.Pool != "" && s.Pool != d.Pool) {
		return &refusal{wirepb.RefuseCode_REFUSE_NOT_SERVED, "pool " + s.Pool + " is not here"}
	}
	if service {
		return nil
	}
	if s.Model != "" && s.Model != d.Pool && !slices.Contains(d.Models, s.Model) {
		return &refusal{wirepb.RefuseCode_REFUSE_NOT_SERVED, "model " + s.Model + " is not here"}
	}
	if len(d.Models) == 0 {
		return &refusal{wirepb.RefuseCode_REFUSE_NOT_SERVED, "no model is here"}
	}
	if s.Adapter != "" && !slices.Contains(d.Adapters, s.Adapter) {
		return &refusal{wirepb.RefuseCode_REFUSE_NOT_SERVED, "adapter " + s.Adapter + " is not here"}
	}
	return nil
}

func checkBody(a *Agent, r *run) *refusal {
	if a.bodies+r.start.BodyBytes > a.cfg.Limits.MaxTotalBodyBytes {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "too many bodies on the way"}
	}
	return nil
}

func checkDeadline(a *Agent, r *run) *refusal {
	if a.descriptor.Service || a.descriptor.PrefillRate <= 0 {
		return nil
	}
	if a.expectedPrefill(r.yields(), r.prompt) > r.left(a.cfg.Now()) {
		return &refusal{wirepb.RefuseCode_REFUSE_DEADLINE, "prefill would take longer than the time left"}
	}
	return nil
}

// expectedPrefill estimates the time to prefill so many tokens behind what is
// here already.
func (a *Agent) expectedPrefill(long bool, tokens int64) time.Duration {
	if a.descriptor.PrefillRate <= 0 {
		return 0
	}
	seconds := float64(a.prefill.backlog(long)+tokens) / float64(a.descriptor.PrefillRate)
	return time.Duration(seconds * float64(time.Second))
}

func checkAlone(a *Agent, r *run) *refusal {
	if r.start.Alone {
		first := len(a.loneWaiting) == 0 || a.loneWaiting[0] == r
		if len(a.runs) > 0 || !first {
			return &refusal{wirepb.RefuseCode_REFUSE_SUSPECT_ALONE, "engine is not idle"}
		}
		return nil
	}
	// Whatever ran beside a suspect would die with it and look as guilty.
	if a.alone {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "a suspect runs alone"}
	}
	// On a busy fleet no engine becomes idle by itself: innocent suspects would
	// be refused until their time is over. What runs on a hold is let in, since
	// it belongs to work in progress that would hold its memory meanwhile.
	if len(a.loneWaiting) > 0 && r.start.HoldId == "" {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "a suspect waits for the engine to be idle"}
	}
	return nil
}

func checkConcurrency(a *Agent, _ *run) *refusal {
	if len(a.runs) >= a.cfg.Limits.MaxRunning {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "too many runs"}
	}
	return nil
}

func checkPrefill(a *Agent, r *run) *refusal {
	if !r.start.Long {
		return nil
	}
	first := len(a.longWaiting) == 0 || a.longWaiting[0] == r
	if !first || !a.prefill.admits(r.prompt) {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "long prompts in prefill"}
	}
	return nil
}

// patience is how long a run may wait for admission.
func (a *Agent) patience(r *run) time.Duration {
	if r.start.Alone {
		return a.cfg.Limits.RunAloneAdmissionTimeout
	}
	return a.cfg.Limits.LongAdmissionTimeout
}

// mayWait puts a run in line if what refused it passes by itself.
func (a *Agent) mayWait(r *run, refused *refusal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	line, limit := a.lineFor(r, refused.code)
	if line == nil {
		return false
	}
	if slices.Contains(*line, r) {
		return true
	}
	if len(*line) >= limit {
		return false
	}
	*line = append(*line, r)
	return true
}

// lineFor returns the line in which a refused run may wait and how many may, or
// nil. Call with mu held.
func (a *Agent) lineFor(r *run, code wirepb.RefuseCode) (line *[]*run, limit int) {
	switch code {
	case wirepb.RefuseCode_REFUSE_SUSPECT_ALONE:
		return &a.loneWaiting, a.cfg.Limits.MaxRunAloneWaiting
	case wirepb.RefuseCode_REFUSE_BUSY, wirepb.RefuseCode_REFUSE_NO_MEMORY:
		if r.start.Long {
			return &a.longWaiting, a.cfg.Limits.MaxLongWaiting
		}
	}
	return nil, 0
}

func (a *Agent) leaveLine(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, line := range []*[]*run{&a.longWaiting, &a.loneWaiting} {
		if i := slices.Index(*line, r); i >= 0 {
			*line = slices.Delete(*line, i, i+1)
			a.wake()
		}
	}
}

// reserve takes the run's tokens from the ledger.
func (a *Agent) reserve(r *run) (*refusal, error) {
	err := a.ledger.Admit(a.cfg.Now(), backend.RunSpec{
		ID:      r.id,
		Owner:   r.owner,
		HoldID:  r.start.HoldId,
		Tokens:  r.tokens,
		Long:    r.start.Long,
		QueueID: r.queueID(),
	})
	if errors.Is(err, backend.ErrRunExists) {
		return nil, errDuplicate
	}
	if err == nil {
		return nil, nil
	}
	return &refusal{refuseCode(err), err.Error()}, nil
}

// refuseCode maps an error of the ledger.
func refuseCode(err error) wirepb.RefuseCode {
	switch {
	case errors.Is(err, backend.ErrNoMemory), errors.Is(err, backend.ErrNeverFits):
		return wirepb.RefuseCode_REFUSE_NO_MEMORY
	case errors.Is(err, backend.ErrTooManyReservations):
		return wirepb.RefuseCode_REFUSE_BUSY
	case errors.Is(err, backend.ErrHoldUnknown), errors.Is(err, backend.ErrHoldEnded),
		errors.Is(err, backend.ErrNotOwner):
		return wirepb.RefuseCode_REFUSE_HOLD_UNKNOWN
	}
	return wirepb.RefuseCode_REFUSE_BAD_REQUEST
}

// enter puts an admitted run in the tables. Call with mu held.
func (a *Agent) enter(r *run) {
	a.runs[r.id] = r
	r.boot = a.engine.boot
	r.bodyHeld = r.start.BodyBytes
	a.bodies += r.bodyHeld
	r.prefilling = r.prompt
	a.prefill.add(r.yields(), r.prefilling)
	a.alone = r.start.Alone
	// Last: the entry drops its own count of this run when it gets this sample.
	// A sample without the run's prefill would make the engine look idle until
	// the next report, and the entry would send it one prompt after the other.
	r.load = a.load()
	a.counter.admitted.Inc(1)
}

// prefillDone gives the run's prefill share back: the first chunk came.
func (a *Agent) prefillDone(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endPrefill(r)
	a.wake()
}

func (a *Agent) endPrefill(r *run) {
	a.prefill.add(r.yields(), -r.prefilling)
	r.prefilling = 0
}

// bodySent notes that the body is no longer in the agent's memory.
func (a *Agent) bodySent(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies -= r.bodyHeld
	r.bodyHeld = 0
}

// leave frees all that a run took, once, whoever calls first.
func (a *Agent) leave(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[r.id] != r {
		return
	}
	delete(a.runs, r.id)
	a.bodies -= r.bodyHeld
	r.bodyHeld = 0
	a.endPrefill(r)
	if r.start.Alone {
		a.alone = false
	}
	a.ledger.Finish(a.cfg.Now(), r.id)
	a.wake()
	a.noteDrained()
}

// wake tells waiting long runs that something was freed. Call with mu held.
func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// refuse answers a run that was not admitted.
func (a *Agent) refuse(r *run, refused *refusal) error {
	a.counter.refused(refused.code).Inc(1)
	a.mu.Lock()
	load := a.load()
	retry := a.expectedPrefill(r.yields(), 0)
	a.mu.Unlock()
	retry = min(max(retry, minRetryAfter), maxRetryAfter)
	msg := &wirepb.Refuse{
		Code:         refused.code,
		Detail:       refused.detail,
		Load:         wire.LoadMessage(load),
		RetryAfterMs: uint64(retry.Milliseconds()),
	}
	return r.send(&wirepb.RunDown{Body: &wirepb.RunDown_Refuse{Refuse: msg}})
}
