package gateway

import (
	"cmp"
	"time"
)

const (
	// DefaultTimeout bounds a request whose route and caller give no time limit.
	DefaultTimeout = 30 * time.Second
	// DefaultBodyBytes bounds a body where the configuration sets no limit.
	DefaultBodyBytes = 4 << 20
	// answerBuffer is the largest answer of a plain service that is read whole
	// before the caller gets any of it, so that one that breaks off can be replaced.
	answerBuffer = 1 << 20
)

// Defaults of Options.
const (
	// DefaultKeyAge leaves half a second of the five in which operators expect a
	// removed key to be refused everywhere. The proof counts from before the store was
	// asked and a request was sent before it is judged, so that no more than the drift
	// of a clock has to fit in what is left.
	DefaultKeyAge = 4500 * time.Millisecond
	// DefaultBodiesBytes is a quarter of the memory of the smallest entry VM, 184 MB.
	DefaultBodiesBytes = 48 << 20
	// DefaultBodyTimeout is a hundred times what the longest prompt, 4 MB, takes at
	// 40 MB/s.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultWriteSlack is well over what an answer on its way takes.
	DefaultWriteSlack = 2 * time.Second
	// DefaultRetryAfter: a refusal comes from a state that passes within a second, such
	// as a server that is full or leaving.
	DefaultRetryAfter = 300 * time.Millisecond
	// DefaultStaleRetryAfter: an outage of the store takes seconds, and other entries
	// are asked meanwhile.
	DefaultStaleRetryAfter = time.Second
	// DefaultDeclaredRetryAfter: operators have left no server for the request, and change
	// that in seconds at the soonest.
	DefaultDeclaredRetryAfter = time.Second
	// DefaultPoisonRetryAfter: sooner, a request that kills servers would only be
	// refused again.
	DefaultPoisonRetryAfter = 30 * time.Second
	// DefaultConnectTries: nothing was sent, so that only the caller's time is lost.
	DefaultConnectTries = 4
	// DefaultMemoryWait: where no memory is free the fleet is full of long prompts, and
	// one more that waits at hand takes the next room from shorter ones that come in
	// time.
	DefaultMemoryWait = 150 * time.Millisecond
)

// Options tune a Gateway. Zero values take the defaults.
type Options struct {
	// KeyAge is how old the proof that the configuration is current may be for
	// requests that need a key.
	KeyAge time.Duration
	// BodiesBytes bounds the request bodies that are held at a time.
	BodiesBytes int64
	// BodyTimeout bounds how long a caller takes to send a body; without it one that
	// stops in the middle holds its connection and its memory for ever.
	BodyTimeout time.Duration
	// WriteSlack is how long past the end of its time a caller's connection may still
	// take an answer. One that reads nothing would hold the request for ever.
	WriteSlack time.Duration
	// RetryAfter is when a caller that was refused may come back; StaleRetryAfter the
	// same where the configuration is too old, PoisonRetryAfter for a request that
	// kills servers, DeclaredRetryAfter for one that operators have left no server.
	RetryAfter, StaleRetryAfter, PoisonRetryAfter, DeclaredRetryAfter time.Duration
	// ConnectTries is how many servers are dialled in vain for one attempt of a caller.
	ConnectTries int
	// MemoryWait is how long memory is looked for before the caller is refused.
	MemoryWait time.Duration
}

func (o Options) withDefaults() Options {
	o.KeyAge = cmp.Or(max(o.KeyAge, 0), DefaultKeyAge)
	o.BodiesBytes = cmp.Or(max(o.BodiesBytes, 0), DefaultBodiesBytes)
	o.BodyTimeout = cmp.Or(max(o.BodyTimeout, 0), DefaultBodyTimeout)
	o.WriteSlack = cmp.Or(max(o.WriteSlack, 0), DefaultWriteSlack)
	o.RetryAfter = cmp.Or(max(o.RetryAfter, 0), DefaultRetryAfter)
	o.StaleRetryAfter = cmp.Or(max(o.StaleRetryAfter, 0), DefaultStaleRetryAfter)
	o.PoisonRetryAfter = cmp.Or(max(o.PoisonRetryAfter, 0), DefaultPoisonRetryAfter)
	o.DeclaredRetryAfter = cmp.Or(max(o.DeclaredRetryAfter, 0), DefaultDeclaredRetryAfter)
	o.ConnectTries = cmp.Or(max(o.ConnectTries, 0), DefaultConnectTries)
	o.MemoryWait = cmp.Or(max(o.MemoryWait, 0), DefaultMemoryWait)
	return o
}
