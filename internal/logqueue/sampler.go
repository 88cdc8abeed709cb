package logqueue

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Sampler thins out the lines of what went well, so that the volume stays bounded
// under load and the queue has room for refusals, failures and changes of belief.
// Without it the line that explains a failure is dropped as readily as a thousand
// that nobody asks for.
type Sampler struct {
	queue   *Queue
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewSampler lets so many lines a second pass while the queue is at most half full.
func NewSampler(q *Queue, perSecond float64) *Sampler {
	return &Sampler{queue: q, limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// Allow reports whether a routine line is to be written, and how many before it
// were not.
func (s *Sampler) Allow() (skipped int64, ok bool) {
	const half = 2
	if len(s.queue.lines) > cap(s.queue.lines)/half || !s.limiter.Allow() {
		s.skipped.Add(1)
		return 0, false
	}
	return s.skipped.Swap(0), true
}
