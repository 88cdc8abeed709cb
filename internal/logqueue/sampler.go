package logqueue

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Sampler limits the rate of routine log lines, such as those of successful requests.
// This bounds the log volume under load and leaves room in the queue for the lines of
// refusals, failures and state changes. Without it, a full queue would drop the line
// that explains a failure as often as any routine line.
type Sampler struct {
	queue   *Queue
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewSampler returns a Sampler that allows up to perSecond routine lines per second
// while q is at most half full, and none otherwise.
func NewSampler(q *Queue, perSecond float64) *Sampler {
	return &Sampler{queue: q, limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// Allow reports whether a routine line may be written. If so, it also returns the
// number of lines that were skipped since the last allowed one.
func (s *Sampler) Allow() (skipped int64, ok bool) {
	const half = 2
	if len(s.queue.lines) > cap(s.queue.lines)/half || !s.limiter.Allow() {
		s.skipped.Add(1)
		return 0, false
	}
	return s.skipped.Swap(0), true
}
