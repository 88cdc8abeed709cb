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
	// backoffFirst and backoffMost bound the pause after every candidate has
	// refused. It doubles from round to round and is jittered, so that entries
	// that were refused together don't come back together.
	backoffFirst = 25 * time.Millisecond
	backoffMost  = time.Second
	// emptyRounds is how often a pool without any candidate is looked at again.
	emptyRounds = 5
	// waitRefusals is how many refusals bound the wait; waitSlack is added to
	// what the policy expects, so that an engine that is hardly busier than
	// expected doesn't refuse.
	waitRefusals = 2
	waitSlack    = 20 * time.Millisecond
	// holdersAsked bounds the servers looked at because of their cache.
	holdersAsked = 4
	// settleTime bounds the write that records a claim's end.
	settleTime = 5 * time.Second
	// freeKeyTime bounds how long a refusal waits until its key is free again.
	freeKeyTime = time.Second
)

// errNoCandidate: the policy found no server for the request.
const errNoCandidate = errors.ConstError("no backend server for the request")

// call is one caller's request inside the entry. One goroutine owns it.
type call struct {
	e    *Entry
	spec *request.Spec
	body *chatBody // nil for a plain service
	pool string
	// engineTokens is the declared KV memory of the pool's engines.
	engineTokens int64
	policy       routing.Policy
	shortShare   float64 // see routing.Query
	life         *request.Lifecycle
	asm          *request.Assembler
	out          sink
	rnd          *rand.Rand

	exclude    []string // servers that refused or failed in this round
	rounds     int      // times that every candidate was excluded
	refusals   int
	groups     int           // groups formed, for their names
	admitted   uint32        // attempts whose body was sent
	mayHaveRun bool          // an attempt that is over may have begun to run
	alone      bool          // a suspect
	expected   time.Duration // to the first token, at admission
	ticket     workspace.Ticket
	output     int64     // output tokens, for the ticket
	began      time.Time // present attempt
	first      time.Time // its first chunk; zero before
	firstToken time.Time // of any attempt
}

func (e *Entry) newCall(spec *request.Spec, body *chatBody, pool Pool) *call {
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
		engineTokens: pool.EngineMemoryTokens,
		life:         request.NewLifecycle(spec.Deadline, spec.Arrived),
		asm:          request.NewAssembler(request.DefaultAssemblerLimits),
		rnd:          random(),
	}
}

// live takes the request from Received to its final state.
func (c *call) live(parent context.Context) {
	ctx, cancel := context.WithDeadline(parent, c.spec.Deadline)
	defer cancel()
	f := c.run(ctx)
	if f == nil {
		c.to(request.Finished)
		c.e.meters.finished.Inc(1)
		c.observe(nil, time.Now())
		return
	}
	f = c.life.CheckFailure(f)
	c.to(request.Failed)
	c.e.meters.failure(f)
	c.observe(f, time.Now())
	c.out.fail(f)
}

// to takes one step of the life cycle. A wrong step is a fault of this package;
// it is counted, and the request goes on.
func (c *call) to(s request.State) {
	if err := c.life.Transition(s, time.Now()); err != nil {
		c.e.meters.count("entry.bad_transition")
		c.e.log.WithError(err).WithField("request", c.spec.ID).Error("request life cycle")
	}
}

func (c *call) run(ctx context.Context) *request.Failure {
	if f := c.admit(time.Now()); f != nil {
		return f
	}
	c.to(request.Admitted)
	c.to(request.Queued)
	var f *request.Failure
	c.ticket, f = c.e.cfg.Scheduler.Submit(ctx, c.item())
	if f != nil {
		return f
	}
	defer func() { c.ticket.Release(c.used()) }()
	if ctx.Err() != nil {
		return c.ended(ctx, "queue")
	}
	if !c.needsClaim() {
		return c.serve(ctx)
	}
	grant, done, f := c.claim(ctx)
	if f != nil || done {
		return f
	}
	f = c.serve(ctx)
	c.settle(grant, f)
	return f
}

func (c *call) item() workspace.Item {
	return workspace.Item{
		Workspace:        c.spec.Workspace,
		Pool:             c.pool,
		Class:            c.spec.Class(),
		Cost:             c.spec.PromptTokens + c.spec.MaxTokens,
		PrefillTokens:    c.spec.PromptTokens,
		ExpectedDuration: c.expected,
		Deadline:         c.spec.Deadline,
		Priority:         c.spec.Priority,
	}
}

// used returns the tokens that the request is charged for.
func (c *call) used() int64 {
	if c.admitted == 0 {
		return 0
	}
	return c.spec.PromptTokens + c.output
}

// admit refuses at once what can't be served or can't be served in time.
func (c *call) admit(now time.Time) *request.Failure {
	if f := c.judge(now); f != nil {
		return f
	}
	if c.needsGroup() {
		return c.admitGroup()
	}
	best, ok := c.choose(now)
	left := c.spec.Deadline.Sub(now)
	if !ok || best.ExpectedTTFT <= left {
		c.expected = best.ExpectedTTFT
		return nil
	}
	return notRun(http.StatusServiceUnavailable, reasonDeadline, "admission",
		"the time limit can't be met: the first token is expected in "+best.ExpectedTTFT.Round(time.Millisecond).String(),
		max(best.ExpectedTTFT-left, retrySoon))
}

// judge asks the quarantine whether and how the request may run.
func (c *call) judge(now time.Time) *request.Failure {
	if c.body == nil {
		return nil // a plain service has no prompt to blame
	}
	verdict := c.e.cfg.Quarantine.Verdict(c.spec.Fingerprint, now)
	c.alone = verdict == quarantine.RunAlone
	if verdict != quarantine.Refuse {
		return nil
	}
	return c.failure(http.StatusUnprocessableEntity, reasonQuarantined, "admission",
		"engines died while they ran this prompt; it is refused for now", 0)
}

// serve runs attempts until one succeeds or nothing safe is left to try.
func (c *call) serve(ctx context.Context) *request.Failure {
	c.e.meters.added.UpdateSince(c.spec.Arrived)
	var last *request.Failure
	for {
		if ctx.Err() != nil {
			return c.ended(ctx, "dispatch")
		}
		if f := c.judge(time.Now()); f != nil {
			return f
		}
		res, ok := c.attempt(ctx)
		if !ok {
			if last = c.pause(ctx, last); last != nil && c.givesUp() {
				return last
			}
			continue
		}
		if res.done() {
			return nil
		}
		f, final := c.judgeEnd(ctx, res)
		if final {
			return f
		}
		last = f
	}
}

// attempt runs one attempt, on a group if the prompt needs one. It returns
// false if there is no server to ask.
func (c *call) attempt(ctx context.Context) (result, bool) {
	if c.needsGroup() {
		return c.groupAttempt(ctx)
	}
	to, ok := c.choose(time.Now())
	if !ok {
		return result{}, false
	}
	c.reach(request.Dispatched)
	work := backend.DispatchLoad{
		Prefill: max(c.spec.PromptTokens-to.CachedTokens, 0),
		Tokens:  c.spec.PromptTokens + c.spec.MaxTokens,
		Long:    c.spec.Class() >= request.ClassLarge,
	}
	dispatch := c.e.cfg.Servers.BeginDispatch(to.Name, work, time.Now())
	defer c.e.cfg.Servers.EndDispatch(dispatch)
	start := c.start()
	start.MaxWaitMs = c.maxWait(to)
	return c.exchange(ctx, to, start), true
}

// maxWait returns the longest wait for prefill, in milliseconds, at which the
// chosen server shall take the request, 0 for any. After some refusals any will
// do: all servers may be busier than this entry knows.
func (c *call) maxWait(to routing.Choice) uint64 {
	if c.body == nil || to.QueueWait == 0 || c.refusals >= waitRefusals || c.spec.Class() >= request.ClassLarge {
		return 0
	}
	return uint64((to.QueueWait + waitSlack).Milliseconds())
}

// reach steps to a state unless the request is there, or answering, already.
func (c *call) reach(s request.State) {
	if now := c.life.State(); now != s && now != request.Answering {
		c.to(s)
	}
}

// pause follows a round in which no server was left to ask. It returns the
// failure to give if that was the last round.
func (c *call) pause(ctx context.Context, last *request.Failure) *request.Failure {
	nobody := len(c.exclude) == 0
	switch {
	case c.alone && nobody: // an engine may become idle
		last = c.failure(http.StatusServiceUnavailable, reasonBusy, "choose", "no engine is idle, and this prompt runs only alone", retrySoon)
	case last == nil || nobody:
		last = c.failure(http.StatusServiceUnavailable, reasonNoBackend, "choose", errNoCandidate.Error(), retrySoon)
	}
	if nobody && !c.alone && c.rounds >= emptyRounds {
		c.refusals = c.e.limits.MaxRefusals
	}
	c.rounds++
	c.exclude = c.exclude[:0]
	if !c.givesUp() {
		sleep.For(ctx, c.backoff())
	}
	return last
}

// givesUp reports whether more asking is of no use: too often refused, or so
// much of the time limit is gone that the answer would come too late.
func (c *call) givesUp() bool {
	if c.refusals >= c.e.limits.MaxRefusals {
		return true
	}
	limit := c.spec.Deadline.Sub(c.spec.Arrived)
	share := time.Duration(float64(limit) * c.e.limits.PlacementTimeFraction)
	return c.admitted == 0 && time.Since(c.spec.Arrived) > share
}

func (c *call) backoff() time.Duration {
	d := min(backoffFirst<<min(c.rounds, 10), backoffMost)
	return d/2 + time.Duration(c.rnd.Int64N(int64(d/2)+1))
}
