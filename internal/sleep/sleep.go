// Package sleep provides a sleep that a context can interrupt.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx is done, and reports whether the full time has passed.
// It returns at once if ctx is already done or d isn't positive; in the latter case it
// reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
