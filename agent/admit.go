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

// Bounds of the retry_after value in a refusal.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// reserveRetryInterval is how often a waiting run retries its reservation, even
// if nothing was freed: the ledger removes queued requests that do not retry
// within WaitTTL.
const reserveRetryInterval = time.Second

// refusal is the reason why a run was not admitted. Nothing was sent to the
// engine.
type refusal struct {
	code   wirepb.RefuseCode
	detail string
}

// errDuplicate is returned for an attempt that is already in progress. A
// refusal would state that the attempt did not run, which is false for the
// first copy. The stream ends with an error instead, which leaves the outcome
// unknown.
const errDuplicate = errors.ConstError("attempt already in progress")

// admit decides whether to accept a run and registers it. A long run or a
// suspect may wait.
func (a *Agent) admit(r *run) (*refusal, error) {
	if freed, err := a.ledger.ObserveOwner(a.cfg.Now(), r.owner); err == nil {
		a.applyFreed(freed, errOwnerGone)
	}
	timeout := time.NewTimer(min(a.admissionTimeout(r), r.timeout))
	defer timeout.Stop()
	retry := time.NewTicker(reserveRetryInterval)
	defer retry.Stop()
	defer a.leaveQueue(r)
	for {
		freed := a.ledger.FreedNotify()
		refused, changed, err := a.tryAdmit(r)
		if err != nil || refused == nil || !a.tryEnqueue(r, refused) {
			return refused, err
		}
		select {
		case <-freed:
		case <-changed:
		case <-retry.C:
		case <-timeout.C:
			return refused, nil
		case <-r.ctx.Done():
			a.ledger.CancelWait(r.queueID())
			return &refusal{wirepb.RefuseCode_REFUSE_DEADLINE, context.Cause(r.ctx).Error()}, nil
		}
	}
}

// tryAdmit runs all checks and registers the run in one critical section, so
// that two runs can't both take the last slot.
func (a *Agent) tryAdmit(r *run) (*refusal, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.runs[r.id]; ok {
		return nil, nil, errDuplicate
	}
	for _, check := range admissionChecks {
		if refused := check(a, r); refused != nil {
			return refused, a.stateChanged, nil
		}
	}
	refused, err := a.reserveTokens(r)
	if refused != nil || err != nil {
		return refused, a.stateChanged, err
	}
	a.registerLocked(r)
	return nil, nil, nil
}

// admissionChecks run in this order with Agent.mu held; the first refusal is
// returned. The memory ledger comes last, because only it changes state.
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
	checkMaxWait,
}

func checkDraining(a *Agent, r *run) *refusal {
	// A run on a hold that was granted before the drain belongs to work in
	// progress.
	if a.draining && r.start.HoldId == "" {
		return &refusal{wirepb.RefuseCode_REFUSE_DRAINING, "backend server is leaving"}
	}
	return nil
}

func checkEngine(a *Agent, _ *run) *refusal {
	if !a.engine.up {
		return &refusal{wirepb.RefuseCode_REFUSE_ENGINE_DOWN, a.engine.downReason}
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
	if a.bufferedBodyBytes+r.start.BodyBytes > a.cfg.Limits.MaxTotalBodyBytes {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "too many bodies on the way"}
	}
	return nil
}

func checkDeadline(a *Agent, r *run) *refusal {
	if a.descriptor.Service || a.descriptor.PrefillRate <= 0 {
		return nil
	}
	if a.expectedPrefill(r.yields(), r.promptTokens) > r.timeLeft(a.cfg.Now()) {
		return &refusal{wirepb.RefuseCode_REFUSE_DEADLINE, "prefill would take longer than the time left"}
	}
	return nil
}

// expectedPrefill estimates the time to prefill so many tokens after the tokens
// that are already waiting for or in prefill.
func (a *Agent) expectedPrefill(long bool, tokens int64) time.Duration {
	if a.descriptor.PrefillRate <= 0 {
		return 0
	}
	seconds := float64(a.prefill.tokensAhead(long)+tokens) / float64(a.descriptor.PrefillRate)
	return time.Duration(seconds * float64(time.Second))
}

func checkAlone(a *Agent, r *run) *refusal {
	if r.start.Alone {
		first := len(a.runAloneQueue) == 0 || a.runAloneQueue[0] == r
		if len(a.runs) > 0 || !first {
			return &refusal{wirepb.RefuseCode_REFUSE_SUSPECT_ALONE, "engine is not idle"}
		}
		return nil
	}
	// A request beside a suspect would die with it and become a suspect too.
	if a.runningAlone {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "a suspect runs alone"}
	}
	// On a busy fleet no engine becomes idle on its own: harmless suspects
	// would be refused until their deadline. Runs on a hold are still admitted,
	// because they belong to work in progress that would otherwise keep its
	// memory held.
	if len(a.runAloneQueue) > 0 && r.start.HoldId == "" {
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
	first := len(a.longQueue) == 0 || a.longQueue[0] == r
	if !first || !a.prefill.admitsLong(r.promptTokens) {
		return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "long prompts in prefill"}
	}
	return nil
}

// admissionTimeout returns the longest time that a run may wait for admission.
func (a *Agent) admissionTimeout(r *run) time.Duration {
	if r.start.Alone {
		return a.cfg.Limits.RunAloneAdmissionTimeout
	}
	return a.cfg.Limits.LongAdmissionTimeout
}

// tryEnqueue puts a run in a wait queue if the reason for its refusal is
// temporary. It reports whether the run is queued.
func (a *Agent) tryEnqueue(r *run, refused *refusal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue, limit := a.queueForLocked(r, refused.code)
	if queue == nil {
		return false
	}
	if slices.Contains(*queue, r) {
		return true
	}
	if len(*queue) >= limit {
		return false
	}
	*queue = append(*queue, r)
	return true
}

// queueForLocked returns the queue in which a refused run may wait and the
// queue's capacity, or nil if the run may not wait. Call with mu held.
func (a *Agent) queueForLocked(r *run, code wirepb.RefuseCode) (queue *[]*run, limit int) {
	switch code {
	case wirepb.RefuseCode_REFUSE_SUSPECT_ALONE:
		return &a.runAloneQueue, a.cfg.Limits.MaxRunAloneWaiting
	case wirepb.RefuseCode_REFUSE_BUSY, wirepb.RefuseCode_REFUSE_NO_MEMORY:
		if r.start.Long {
			return &a.longQueue, a.cfg.Limits.MaxLongWaiting
		}
	}
	return nil, 0
}

func (a *Agent) leaveQueue(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, queue := range []*[]*run{&a.longQueue, &a.runAloneQueue} {
		if i := slices.Index(*queue, r); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			a.notifyWaitersLocked()
		}
	}
}

// reserveTokens reserves the run's tokens in the ledger.
func (a *Agent) reserveTokens(r *run) (*refusal, error) {
	err := a.ledger.Admit(a.cfg.Now(), backend.RunSpec{
		ID:      r.id,
		Owner:   r.owner,
		HoldID:  r.start.HoldId,
		Tokens:  r.reservedTokens,
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

// refuseCode returns the refusal code for an error of the ledger.
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

// registerLocked adds an admitted run to the tables. Call with mu held.
func (a *Agent) registerLocked(r *run) {
	a.runs[r.id] = r
	r.bootID = a.engine.bootID
	r.bufferedBodyBytes = r.start.BodyBytes
	a.bufferedBodyBytes += r.bufferedBodyBytes
	r.prefillTokens = r.promptTokens
	a.prefill.add(r.yields(), r.prefillTokens)
	a.runningAlone = r.start.Alone
	// The load is sampled last: the entry drops its own count of this run when
	// it receives the sample. A sample without the run's prefill would make the
	// engine look idle until the next report, and the entry would send it one
	// prompt after another.
	r.admissionLoad = a.loadLocked()
	a.counters.admitted.Inc(1)
}

// finishPrefill releases the run's share of the prefill when its first chunk
// has arrived.
func (a *Agent) finishPrefill(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endPrefillLocked(r)
	a.notifyWaitersLocked()
}

func (a *Agent) endPrefillLocked(r *run) {
	a.prefill.add(r.yields(), -r.prefillTokens)
	r.prefillTokens = 0
}

// releaseBody records that the body is no longer in the agent's memory.
func (a *Agent) releaseBody(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bufferedBodyBytes -= r.bufferedBodyBytes
	r.bufferedBodyBytes = 0
}

// release frees everything that a run holds. Only the first call has an effect.
func (a *Agent) release(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[r.id] != r {
		return
	}
	delete(a.runs, r.id)
	a.bufferedBodyBytes -= r.bufferedBodyBytes
	r.bufferedBodyBytes = 0
	a.endPrefillLocked(r)
	if r.start.Alone {
		a.runningAlone = false
	}
	a.ledger.Finish(a.cfg.Now(), r.id)
	a.notifyWaitersLocked()
	a.checkDrainedLocked()
}

// notifyWaitersLocked wakes waiting runs and orders, so that they check again.
// Call with mu held.
func (a *Agent) notifyWaitersLocked() {
	close(a.stateChanged)
	a.stateChanged = make(chan struct{})
}

// sendRefusal sends Refuse for a run that was not admitted.
func (a *Agent) sendRefusal(r *run, refused *refusal) error {
	a.counters.refused(refused.code).Inc(1)
	a.mu.Lock()
	load := a.loadLocked()
	retry := a.expectedPrefill(r.yields(), 0)
	a.mu.Unlock()
	retry = min(max(retry, minRetryAfter), maxRetryAfter)
	msg := &wirepb.Refuse{
		Code:         refused.code,
		Detail:       refused.detail,
		Load:         wire.LoadToProto(load),
		RetryAfterMs: uint64(retry.Milliseconds()),
	}
	return r.send(&wirepb.RunDown{Body: &wirepb.RunDown_Refuse{Refuse: msg}})
}
