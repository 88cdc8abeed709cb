package gateway

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

const (
	// maxUselessBytes limits the bytes of a stream that bring the caller no event. Servers
	// send some comments, to keep a connection open.
	maxUselessBytes = 64 << 10
	// minEventTimeout, timeoutObjectives and timeoutPauses are how long callers wait for the
	// next event of a stream: the longest of the first, so many objectives of its first
	// event, and so many of its longest pauses.
	minEventTimeout   = 2 * time.Second
	timeoutObjectives = 4
	timeoutPauses     = 8
)

// uselessBytes limits what one attempt of a stream may send without bringing the caller an event.
type uselessBytes struct {
	comments upstream.Quota // since the last event with data
	repeated upstream.Quota // of events that the caller has
}

// newUselessBytes returns the limits of an attempt on a route that resumes a stream of which the
// caller has relayed bytes. A server may send all of them again.
func newUselessBytes(route *routetable.Route, relayed int64) uselessBytes {
	return uselessBytes{
		comments: upstream.Quota{MaxBytes: maxUselessBytes, MaxTime: eventTimeout(route)},
		repeated: upstream.Quota{MaxBytes: relayed + maxUselessBytes},
	}
}

// eventTimeout returns how long callers of a route wait for the next event of a stream; 0 if the
// route has no objective, which tells it.
func eventTimeout(route *routetable.Route) time.Duration {
	if route.Objective <= 0 && route.PauseObjective <= 0 {
		return 0
	}
	return max(minEventTimeout, timeoutObjectives*route.Objective, timeoutPauses*route.PauseObjective)
}

// exceeded records n bytes that were read at a time, and returns the error of the first limit
// that is exceeded now.
func (s *streamRelay) exceeded(r *upstream.Response, n int, now time.Time) error {
	s.shrinkPending()
	u := &s.useless
	if hasData(s.pending) {
		u.comments.Reset() // an event with data has begun
	} else {
		u.comments.Add(n, now)
	}
	switch {
	case len(s.pending) > maxEventBytes:
		return r.Exceeded(upstream.LimitEvent, int64(len(s.pending)), 0)
	case !s.exchange.held.resize(cap(s.pending)):
		return r.Exceeded(upstream.LimitMemory, int64(len(s.pending)), 0)
	case u.comments.Exhausted():
		bytes, spent := u.comments.Used()
		return r.Exceeded(upstream.LimitComments, bytes, spent)
	case u.repeated.Exhausted():
		bytes, spent := u.repeated.Used()
		return r.Exceeded(upstream.LimitRepeatedEvents, bytes, spent)
	}
	return nil
}

// shrinkPending frees the buffer of a long event that was relayed.
func (s *streamRelay) shrinkPending() {
	if cap(s.pending) > freeHeldBytes && len(s.pending) < readBufferSize {
		s.pending = slices.Clone(s.pending)
	}
}

// recordOverLimit records that an attempt ended with err because of a limit, and reports whether it
// did. Its server counts as one that refused: the next request there would likely end in the same way.
// It is no death: the server was sending.
func (e *exchange) recordOverLimit(attempt *placedAttempt, err error) bool {
	over := (*upstream.LimitError)(nil)
	if !errors.As(err, &over) {
		return false
	}
	attempt.Refused("")
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.info.ID, "server": attempt.Server.Address, "instance": attempt.Server.Instance,
		"limit": over.Limit, "bytes": over.Bytes, "ms": over.Time.Milliseconds(),
	}).Warn("server exceeded a limit")
	return true
}

// minBufferBytes is the size of the smallest buffer that grow returns. Most events are shorter.
const minBufferBytes = 512

// grow returns b with room for n more bytes. Its capacity doubles up to most, so that all buffers
// that b had before take less than the last one.
func grow(b []byte, n, most int) []byte {
	if len(b)+n <= cap(b) {
		return b
	}
	size := max(cap(b), minBufferBytes)
	for size < len(b)+n {
		size *= 2
	}
	if 2*size > most {
		size = max(most, len(b)+n)
	}
	out := make([]byte, len(b), size)
	copy(out, b)
	return out
}
