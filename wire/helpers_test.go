package wire

import (
	"sync/atomic"
	"time"
)

// stableCounter is a counter that can wait until its value stops increasing.
type stableCounter struct{ n atomic.Int64 }

func (c *stableCounter) add(n int64) { c.n.Add(n) }

// waitStable returns the count once it is positive and hasn't changed for one
// interval. A slow machine can only make it return an earlier count; it never
// fails.
func (c *stableCounter) waitStable() int64 {
	const interval = 200 * time.Millisecond
	last := c.n.Load()
	for {
		time.Sleep(interval)
		now := c.n.Load()
		if now == last && now > 0 {
			return now
		}
		last = now
	}
}
