package upstream

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

// Limit names a limit on what a backend server sends and that is no answer, or none yet.
type Limit string

// Limits.
const (
	LimitHead           Limit = "head"            // head of a response
	LimitInterim        Limit = "interim"         // head of a response and the interim responses before it
	LimitOtherResponse  Limit = "other_response"  // bodies of responses to other requests
	LimitBody           Limit = "body"            // body that is held as a whole
	LimitEvent          Limit = "event"           // event of a stream
	LimitComments       Limit = "comments"        // bytes of a stream without data
	LimitRepeatedEvents Limit = "repeated_events" // events of a resumed stream that the caller has
	LimitMemory         Limit = "memory"          // what all exchanges together hold
)

// Limits returns all limits.
func Limits() []Limit {
	return []Limit{LimitHead, LimitInterim, LimitOtherResponse, LimitBody, LimitEvent, LimitComments, LimitRepeatedEvents, LimitMemory}
}

const (
	// maxHeadBytes limits a response's head together with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxOtherResponseBytes limits what is skipped of responses to other requests. They
	// are discarded as they come and hold no memory.
	maxOtherResponseBytes = 1 << 20
	// maxUselessTime is how long bytes that are no answer may come. Callers abandon a
	// response after a gap of two seconds.
	maxUselessTime = 2 * time.Second
	// maxGap is the longest pause between two reads that counts as time in which bytes
	// come. A longer one is silence, which has no limit.
	maxGap = time.Second
)

// LimitError means that a server sent more than a limit allows. It is an ErrBroken.
type LimitError struct {
	Limit Limit
	Peer  string        // address of the server
	Bytes int64         // that came under the limit
	Time  time.Duration // in which they came, without pauses
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("limit %s, peer %s: %d bytes in %v", e.Limit, e.Peer, e.Bytes, e.Time.Round(time.Millisecond))
}

// Is reports whether target is ErrBroken.
func (e *LimitError) Is(target error) bool { return target == ErrBroken }

// Quota limits bytes that are no answer, in bytes and in the time in which they come. The zero
// value of MaxBytes or MaxTime is no limit.
type Quota struct {
	MaxBytes int64
	MaxTime  time.Duration

	bytes  int64
	spent  time.Duration
	lastAt time.Time // of the last bytes
}

// Add records n bytes that came at a time.
func (q *Quota) Add(n int, now time.Time) {
	if gap := now.Sub(q.lastAt); gap <= maxGap { // longer also for the first bytes
		q.spent += max(gap, 0)
	}
	q.lastAt = now
	q.bytes += int64(n)
}

// Exhausted reports whether no more bytes may come.
func (q *Quota) Exhausted() bool {
	return q.MaxBytes > 0 && q.bytes >= q.MaxBytes || q.MaxTime > 0 && q.spent >= q.MaxTime
}

// Reset makes the quota whole again.
func (q *Quota) Reset() { q.bytes, q.spent, q.lastAt = 0, 0, time.Time{} }

// room returns how many of n bytes may be read next.
func (q *Quota) room(n int) int {
	if q.MaxBytes <= 0 {
		return n
	}
	return int(min(int64(n), q.MaxBytes-q.bytes))
}

// Used returns the bytes that came, and the time in which they did.
func (q *Quota) Used() (bytes int64, spent time.Duration) { return q.bytes, q.spent }

// boundedReader reads from a connection. While it has a quota, it reads no more than that
// allows.
type boundedReader struct {
	source io.Reader
	peer   string
	limit  Limit
	quota  *Quota // nil: no limit
}

// bound limits what is read from now on.
func (r *boundedReader) bound(l Limit, q *Quota) { r.limit, r.quota = l, q }

// unbound ends all limits.
func (r *boundedReader) unbound() { r.quota = nil }

// exhausted returns the error of the quota, which is used up.
func (r *boundedReader) exhausted() error {
	bytes, spent := r.quota.Used()
	return &LimitError{Limit: r.limit, Peer: r.peer, Bytes: bytes, Time: spent}
}

// Read implements io.Reader. It checks the quota before it waits for bytes and not while it
// waits, so that a silent server is waited for.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.quota == nil {
		return r.source.Read(p)
	}
	if r.quota.Exhausted() {
		return 0, r.exhausted()
	}
	n, err := r.source.Read(p[:r.quota.room(len(p))])
	r.quota.Add(n, time.Now())
	return n, err
}

// limitCounters counts the exchanges that each limit ended. It is not changed after
// newLimitCounters.
type limitCounters map[Limit]metrics.Counter

func newLimitCounters(r metrics.Registry) limitCounters {
	out := limitCounters{}
	for _, l := range Limits() {
		out[l] = metrics.GetOrRegisterCounter("upstream.over_limit."+string(l), r)
	}
	return out
}

// countLimit counts err if it is a LimitError.
func (p *Pool) countLimit(err error) {
	if over := (*LimitError)(nil); errors.As(err, &over) {
		p.overLimit[over.Limit].Inc(1)
	}
}

// Exceeded records that a body exceeds a limit that its reader holds it to, by what came under
// the limit and in which time, and returns the error. The connection is not used again.
func (r *Response) Exceeded(l Limit, bytes int64, spent time.Duration) error {
	r.exchange.reusable = false
	err := &LimitError{Limit: l, Peer: r.exchange.address, Bytes: bytes, Time: spent}
	r.exchange.pool.countLimit(err)
	return err
}

// ReadBody reads a body of at most maxBytes as a whole. A longer one is a LimitError.
func (r *Response) ReadBody(maxBytes int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBytes {
		return nil, r.Exceeded(LimitBody, int64(len(body)), 0)
	}
	return body, nil
}
