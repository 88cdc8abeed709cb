package agent

import (
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// stepDelay is the delay of a short prompt on an engine that is in the middle
// of a prefill of lower priority: the rest of a step, and chunks of the other
// prefill in its own steps. The entries' placement policy assumes the same
// delay.
const stepDelay = 100 * time.Millisecond

// class returns the run's length class, which is its priority at the engine.
func (r *run) class() request.Class {
	return request.Class(min(max(r.start.Priority, 0), int32(request.ClassHuge)))
}

// yields reports whether the run's prefill has lower priority than that of
// shorter prompts.
func (r *run) yields() bool { return r.start.Long || r.class() >= request.ClassLarge }

// prefillLoad counts the tokens that wait for, or are in, prefill. It limits
// the total of long prompts: an engine that prefills several long prompts at
// once delays every short one, whose first token comes seconds late with no
// other symptom. Guarded by Agent.mu.
type prefillLoad struct {
	short, long int64
	longLimit   int64 // maximum of long
}

// admitsLong reports whether a long prompt may start. A prompt larger than the
// limit may start if it is the only one.
func (p *prefillLoad) admitsLong(tokens int64) bool {
	return p.long == 0 || p.long+tokens <= p.longLimit
}

// SetLongPrefillTokens replaces Limits.LongPrefillTokens. Runs that were
// admitted are not affected.
func (a *Agent) SetLongPrefillTokens(tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.prefill.longLimit == tokens {
		return
	}
	a.prefill.longLimit = tokens
	a.notifyWaitersLocked()
}

func (a *Agent) longPrefillLimit() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.prefill.longLimit
}

func (p *prefillLoad) add(long bool, tokens int64) {
	if long {
		p.long += tokens
		return
	}
	p.short += tokens
}

// tokensAhead returns the tokens that are prefilled before a new prompt: a
// short prompt goes ahead of the long ones.
func (p *prefillLoad) tokensAhead(long bool) int64 {
	if long {
		return p.short + p.long
	}
	return p.short
}

// expectedShortWait estimates how long a prompt under request.LargeTokens waits
// until its own prefill starts.
func (a *Agent) expectedShortWait() time.Duration {
	wait := a.expectedPrefill(false, 0)
	if a.prefill.long > 0 {
		wait += stepDelay
	}
	return wait
}

// checkMaxWait refuses a short prompt that would wait longer than its entry
// expected. Entries choose by loads that are up to a second old; without this
// check, bursts of several entries would go to one engine while others are
// idle, and all prompts but the first would wait. A refusal costs a round trip.
func checkMaxWait(a *Agent, r *run) *refusal {
	maxWait := durationFromMillis(r.start.MaxWaitMs)
	if maxWait == 0 || r.yields() || a.expectedShortWait() <= maxWait {
		return nil
	}
	return &refusal{wirepb.RefuseCode_REFUSE_BUSY, "more prefill is ahead than the entry expected"}
}
