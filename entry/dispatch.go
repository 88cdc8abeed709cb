package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/workspace"
)

const (
	// minBackoff and maxBackoff bound the delay after all candidates have
	// refused. The delay doubles with each round and is jittered, so that
	// entries that were refused at the same time don't retry at the same time.
	minBackoff = 25 * time.Millisecond
	maxBackoff = time.Second
	// maxEmptyRounds is how many times a pool without any candidate is checked
	// again.
	maxEmptyRounds = 5
	// boundedWaitRefusals is the number of refusals from which on a request is
	// sent without a limit on its queue wait. queueWaitSlack is added to the
	// wait that the policy expects, so that an engine that is only slightly
	// busier than expected doesn't refuse.
	boundedWaitRefusals = 2
	queueWaitSlack      = 20 * time.Millisecond
	// maxCacheHolders is the maximum number of servers that are considered
	// because they may have the prompt's prefix cached.
	maxCacheHolders = 4
	// settleTimeout is the time limit for recording the outcome of a claim.
	settleTimeout = 5 * time.Second
	// freeKeyTimeout is how long the response to a request that has not run waits
	// for the release of its key.
	freeKeyTimeout = time.Second
)

// errNoCandidate reports that the policy found no server for the request.
const errNoCandidate = errors.ConstError("no backend server for the request")

// call is the state of one caller's request in the entry. One goroutine owns it.
type call struct {
	e    *Entry
	spec *request.Spec
	body *requestBody // nil for a plain service
	pool string
	// engineTokens is the declared KV memory of the pool's engines, in tokens.
	engineTokens int64
	policy       routing.Policy
	shortShare   float64 // see routing.Query
	lifecycle    *request.Lifecycle
	assembler    *request.Assembler
	sink         sink
	rnd          *rand.Rand

	excluded         []string // servers that refused or failed in the current round
	rounds           int      // rounds that ended with no candidate left
	refusals         int
	groupCount       int               // groups formed so far; numbers their names
	admittedAttempts uint32            // attempts that were admitted and sent the body
	mayHaveRun       bool              // a finished attempt may have started to run
	parts            []quarantine.Part // of the prompt, that other prompts may share
	partsRunning     bool              // startParts admitted the attempt, and stopParts was not called
	runAlone         bool              // the quarantine requires it to run alone on its engine
	expectedTTFT     time.Duration     // estimate made at admission
	ownWork          time.Duration     // part of expectedTTFT that remains if nothing else runs
	ticket           workspace.Ticket
	outputTokens     int64     // charged to the workspace with the ticket
	attemptStart     time.Time // start of the current attempt
	firstChunkAt     time.Time // first chunk of the current attempt; zero before it
	firstTokenAt     time.Time // first token of the answer, over all attempts
}

func (e *Entry) newCall(spec *request.Spec, body *requestBody, pool Pool) *call {
	policy := pool.Policy
	if policy == nil {
		policy = e.cfg.Policy
	}
	return &call{
		e:            e,
		policy:       policy,
		shortShare:   pool.ShortShare,
		spec:         spec,
		body:         body,
		pool:         pool.Name,
		parts:        partsOf(spec, body, pool.Name),
		engineTokens: pool.EngineMemoryTokens,
		lifecycle:    request.NewLifecycle(spec.Deadline, spec.Arrived),
		assembler:    request.NewAssembler(request.DefaultAssemblerLimits),
		rnd:          newRand(),
	}
}

// execute runs the request from state Received to its final state.
func (c *call) execute(parent context.Context) {
	ctx, cancel := context.WithDeadline(parent, c.spec.Deadline)
	defer cancel()
	f := c.admitAndRun(ctx)
	if f == nil {
		c.transition(request.Finished)
		c.e.metrics.finished.Inc(1)
		c.reportObservation(nil, time.Now())
		return
	}
	f = c.lifecycle.CheckFailure(f)
	c.transition(request.Failed)
	c.e.metrics.countFailure(f)
	c.reportObservation(f, time.Now())
	c.sink.fail(f)
}

// transition moves the request to state s. An invalid transition is a bug in this
// package; it is counted and logged, and the request continues.
func (c *call) transition(s request.State) {
	if err := c.lifecycle.Transition(s, time.Now()); err != nil {
		c.e.metrics.count("entry.bad_transition")
		c.e.log.WithError(err).WithField("request", c.spec.ID).Error("invalid request state transition")
	}
}

func (c *call) admitAndRun(ctx context.Context) *request.Failure {
	if f := c.admit(time.Now()); f != nil {
		return f
	}
	c.transition(request.Admitted)
	c.transition(request.Queued)
	var f *request.Failure
	c.ticket, f = c.e.cfg.Scheduler.Submit(ctx, c.queueItem())
	if f != nil {
		return f
	}
	defer func() { c.ticket.Release(c.chargedTokens()) }()
	if ctx.Err() != nil {
		return c.contextFailure(ctx, "queue")
	}
	if !c.needsClaim() {
		return c.runAttempts(ctx)
	}
	grant, done, f := c.claim(ctx)
	if f != nil || done {
		return f
	}
	f = c.runAttempts(ctx)
	c.settle(grant, f)
	return f
}

func (c *call) queueItem() workspace.Item {
	return workspace.Item{
		Workspace:        c.spec.Workspace,
		Pool:             c.pool,
		Class:            c.spec.Class(),
		Cost:             c.spec.PromptTokens + c.spec.MaxTokens,
		PrefillTokens:    c.spec.PromptTokens,
		ExpectedDuration: c.expectedTTFT,
		Deadline:         c.spec.Deadline,
		Priority:         c.spec.Priority,
	}
}

// chargedTokens returns the number of tokens charged for the request.
func (c *call) chargedTokens() int64 {
	if c.admittedAttempts == 0 {
		return 0
	}
	return c.spec.PromptTokens + c.outputTokens
}

// admit refuses a request that can't be served, or not before its deadline.
func (c *call) admit(now time.Time) *request.Failure {
	if f := c.checkQuarantine(now); f != nil {
		return f
	}
	if c.needsGroup() {
		return c.admitGroup()
	}
	best, ok := c.chooseServer(now)
	left := c.spec.Deadline.Sub(now)
	if !ok || best.ExpectedTTFT <= left {
		c.expect(best)
		return nil
	}
	return notRun(http.StatusServiceUnavailable, reasonDeadline, "admission",
		"the time limit can't be met: the first token is expected in "+best.ExpectedTTFT.Round(time.Millisecond).String(),
		max(best.ExpectedTTFT-left, retrySoon))
}

// expect records how long the request takes to its first token on a server.
func (c *call) expect(best routing.Choice) {
	c.expectedTTFT = best.ExpectedTTFT
	c.ownWork = max(best.ExpectedTTFT-best.QueueWait, 0)
}

// checkQuarantine checks whether the quarantine allows the request to run, and
// whether only alone.
func (c *call) checkQuarantine(now time.Time) *request.Failure {
	if c.body == nil {
		return nil // a plain service has no prompt to quarantine
	}
	if f := c.checkParts(now); f != nil {
		return f
	}
	verdict := c.e.cfg.Quarantine.Verdict(c.spec.Fingerprint, now)
	c.runAlone = verdict == quarantine.RunAlone
	if verdict != quarantine.Refuse {
		return nil
	}
	return c.newFailure(http.StatusUnprocessableEntity, reasonQuarantined, "admission",
		"engines died while they ran this prompt; it is refused for now", 0)
}

// runAttempts runs attempts until one succeeds or no safe retry is left.
func (c *call) runAttempts(ctx context.Context) *request.Failure {
	c.e.metrics.dispatchDelay.UpdateSince(c.spec.Arrived)
	var last *request.Failure
	for {
		if ctx.Err() != nil {
			return c.contextFailure(ctx, "dispatch")
		}
		if f := c.checkQuarantine(time.Now()); f != nil {
			return f
		}
		if f := c.startParts(ctx); f != nil {
			return f
		}
		res, ok := c.attempt(ctx)
		c.stopParts()
		if !ok {
			if last = c.finishRound(ctx, last); last != nil && c.shouldGiveUp() {
				return last
			}
			continue
		}
		if res.succeeded() {
			return nil
		}
		f, final := c.handleFailedAttempt(ctx, res)
		if final {
			return f
		}
		last = f
	}
}

// attempt runs one attempt, on a group if the prompt needs one. It returns
// false if there is no candidate server.
func (c *call) attempt(ctx context.Context) (result, bool) {
	if c.needsGroup() {
		return c.groupAttempt(ctx)
	}
	to, ok := c.chooseServer(time.Now())
	if !ok {
		return result{}, false
	}
	c.ensureState(request.Dispatched)
	work := backend.DispatchLoad{
		Prefill: max(c.spec.PromptTokens-to.CachedTokens, 0),
		Tokens:  c.spec.PromptTokens + c.spec.MaxTokens,
		Long:    c.spec.Class() >= request.ClassLarge,
	}
	dispatch := c.e.cfg.Servers.BeginDispatch(to.Name, work, time.Now())
	defer c.e.cfg.Servers.EndDispatch(dispatch)
	start := c.newStart()
	start.MaxWaitMs = c.maxQueueWaitMs(to)
	return c.runAttempt(ctx, to, start), true
}

// maxQueueWaitMs returns the longest wait for prefill, in milliseconds, with
// which the chosen server may admit the request; 0 means no limit. After
// boundedWaitRefusals refusals there is no limit, since all servers may be busier
// than their last load reports show.
func (c *call) maxQueueWaitMs(to routing.Choice) uint64 {
	if c.body == nil || to.QueueWait == 0 || c.refusals >= boundedWaitRefusals || c.spec.Class() >= request.ClassLarge {
		return 0
	}
	return uint64((to.QueueWait + queueWaitSlack).Milliseconds())
}

// ensureState moves the request to state s unless it is already in s or in
// Answering.
func (c *call) ensureState(s request.State) {
	if now := c.lifecycle.State(); now != s && now != request.Answering {
		c.transition(s)
	}
}

// finishRound ends a round in which no candidate server was left, and waits
// for the backoff delay unless it was the last round. It returns the failure
// to report if it was.
func (c *call) finishRound(ctx context.Context, last *request.Failure) *request.Failure {
	noneTried := len(c.excluded) == 0
	switch {
	case c.runAlone && noneTried: // an engine may become idle later
		last = c.newFailure(http.StatusServiceUnavailable, reasonBusy, "choose", "no engine is idle, and this prompt runs only alone", retrySoon)
	case last == nil || noneTried:
		last = c.newFailure(http.StatusServiceUnavailable, reasonNoBackend, "choose", errNoCandidate.Error(), retrySoon)
	}
	if noneTried && !c.runAlone && c.rounds >= maxEmptyRounds {
		c.refusals = c.e.limits.MaxRefusals
	}
	c.rounds++
	c.excluded = c.excluded[:0]
	if !c.shouldGiveUp() {
		sleep.For(ctx, c.backoffDelay())
	}
	return last
}

// shouldGiveUp reports whether the request fails now: it was refused too
// often, or no other round fits before its work doesn't fit into the rest of its
// caller's time any more.
func (c *call) shouldGiveUp() bool {
	return c.refusals >= c.e.limits.MaxRefusals || time.Until(c.latestStart()) <= minBackoff
}

// latestStart returns the latest time at which the prefill may begin for the
// first token to come before the deadline.
func (c *call) latestStart() time.Time { return c.spec.Deadline.Add(-c.ownWork) }

// backoffDelay returns the delay until the next round. It leaves time for a last one.
func (c *call) backoffDelay() time.Duration {
	d := min(minBackoff<<min(c.rounds, 10), maxBackoff)
	d = d/2 + time.Duration(c.rnd.Int64N(int64(d/2)+1))
	return min(d, time.Until(c.latestStart())-minBackoff)
}
