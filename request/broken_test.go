package request

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// Checks that each invariant of the package detects a deliberately broken state.
func TestInvariantsDetectBrokenStates(t *testing.T) {
	now := time.Unix(1000, 0)
	invarianttest.ExpectViolation(t, "request.one-final-answer", func() {
		l := NewLifecycle(now.Add(time.Hour), now)
		_ = l.Transition(Failed, now)
		_ = l.Transition(Failed, now)
	})
	invarianttest.ExpectViolation(t, "request.ends-by-deadline", func() {
		_ = NewLifecycle(now, now).Transition(Failed, now.Add(time.Hour))
	})
	invarianttest.ExpectViolation(t, "request.not-run-is-true", func() {
		l := NewLifecycle(now.Add(time.Hour), now)
		l.MarkMayHaveRun()
		l.CheckFailure(&Failure{Code: NotRun})
	})
	invarianttest.ExpectViolation(t, "request.chunks-in-order-once", func() {
		a := NewAssembler(DefaultAssemblerLimits)
		_ = a.deliver(3, nil, func([]byte) error { return nil })
	})
}
