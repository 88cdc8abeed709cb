package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	for _, c := range []struct {
		name                     string
		limit, wait, wantElapsed time.Duration
		wantCompleted            bool
	}{
		{"full wait", 5 * time.Second, 2 * time.Second, 2 * time.Second, true},
		{"context ends during the wait", 2 * time.Second, 5 * time.Second, 2 * time.Second, false},
		{"negative duration", time.Second, -time.Second, 0, true},
		{"context already ended", 0, time.Second, 0, false},
		{"context already ended, zero duration", 0, 0, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), c.limit)
			defer cancel()
			start := time.Now()
			if completed := For(ctx, c.wait); completed != c.wantCompleted || time.Since(start) != c.wantElapsed {
				t.Errorf("%s: completed %v after %v", c.name, completed, time.Since(start))
			}
		})
	}
}
