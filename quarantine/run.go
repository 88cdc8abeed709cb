package quarantine

import (
	"context"
	"slices"
	"time"
)

// PartVerdict is how a request with certain parts may run now.
type PartVerdict struct {
	Verdict Verdict
	// Busy means that the request has to wait until another one of this process has ended or
	// begun, since it may only run alone.
	Busy bool
	// RetryAt is when one request may try the parts again, if they are refused.
	RetryAt time.Time
}

// TryStart admits a request, unless its verdict is Refuse or Busy. Call Stop once an admitted
// request begins to respond or ends. changed is closed when the verdict may have changed.
func (t *PartTracker) TryStart(parts []Part, now time.Time) (v PartVerdict, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v = t.verdictLocked(parts, now, t.running)
	if v.Verdict == Refuse || v.Busy {
		return v, t.changed
	}
	for _, part := range parts {
		t.running[part]++
	}
	return v, t.changed
}

// Await is TryStart for a request that waits up to a time for its turn if it may only run alone. The
// verdict is Busy if its turn did not come.
func (t *PartTracker) Await(ctx context.Context, parts []Part, maxWait time.Duration) PartVerdict {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for {
		v, changed := t.TryStart(parts, time.Now())
		if v.Verdict == Refuse || !v.Busy {
			return v
		}
		select {
		case <-changed:
		case <-timeout.C:
			return v
		case <-ctx.Done():
			return v
		}
	}
}

// Stop ends what TryStart began.
func (t *PartTracker) Stop(parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if t.running[part]--; t.running[part] <= 0 {
			delete(t.running, part)
		}
	}
	if slices.ContainsFunc(t.suspects, func(s Suspicion) bool { return len(s.shared(parts)) > 0 }) {
		t.notifyLocked()
	}
}

// Verdict returns how a request with parts may run now, without regard to what runs already.
func (t *PartTracker) Verdict(parts []Part, now time.Time) PartVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdictLocked(parts, now, nil)
}

// verdictLocked refuses a request that has all parts of a refused suspicion. One that has some of
// them runs alone: it shows whether these crash engines.
func (t *PartTracker) verdictLocked(parts []Part, now time.Time, running map[Part]int) PartVerdict {
	var out PartVerdict
	for _, s := range t.suspects {
		shared := s.shared(parts)
		hasAll := len(shared) == len(s.Parts)
		if len(shared) == 0 || !s.Refused && !hasAll {
			continue
		}
		busy := slices.ContainsFunc(shared, func(part Part) bool { return running[part] > 0 })
		if s.Refused && hasAll && (now.Before(s.RetryAt) || busy) {
			return PartVerdict{Verdict: Refuse, RetryAt: s.RetryAt}
		}
		out.Verdict = RunAlone
		out.Busy = out.Busy || busy
	}
	return out
}

// shared returns the suspects among parts.
func (s Suspicion) shared(parts []Part) []Part {
	var out []Part
	for _, part := range s.Parts {
		if slices.Contains(parts, part) {
			out = append(out, part)
		}
	}
	return out
}
