package gateway

import (
	"cmp"
	"time"
)

const (
	// DefaultTimeout bounds a request whose route and caller give no time limit.
	DefaultTimeout = 30 * time.Second
	// DefaultKeyAge is how old the proof that the configuration is current may be
	// for requests that need a key. Operators expect a removed key to be refused
	// everywhere after 5 s. The proof counts from before the store was asked and a
	// request was sent before it is judged, so that no more than the drift of a
	// clock has to fit in what is left.
	DefaultKeyAge = 4500 * time.Millisecond
	// DefaultBodyBytes bounds a body where the configuration sets no limit.
	DefaultBodyBytes = 4 << 20
	// DefaultBodiesBytes bounds the request bodies that are held at a time: a
	// quarter of the memory of the smallest entry VM, 184 MB.
	DefaultBodiesBytes = 48 << 20
	// DefaultRetryAfter is when a caller that was refused may come back. A refusal
	// comes from a state that passes within a second, such as a server that is
	// full or leaving.
	DefaultRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is the same where the configuration is too old: an outage of
	// the store takes seconds, and other entries are asked meanwhile.
	staleRetryAfter = time.Second
	// poisonRetryAfter is the same for a request that kills servers: soon would only
	// be refused again.
	poisonRetryAfter = 30 * time.Second
	// bodyTimeout bounds how long a caller takes to send a body; without it one that
	// stops in the middle holds its connection and its memory for ever.
	bodyTimeout = 10 * time.Second
	// writeSlack is how long past the end of its time a caller's connection may still
	// take an answer. One that reads nothing would hold the request for ever.
	writeSlack = 2 * time.Second
	// DefaultConnectTries is how many servers are dialled in vain for one attempt
	// of a caller; nothing is sent to them.
	DefaultConnectTries = 4
	// answerBuffer is the largest answer of a plain service that is read whole
	// before the caller gets any of it, so that one that breaks off can be replaced.
	answerBuffer = 1 << 20
)

// Options tune a Gateway. Zero values take the defaults.
type Options struct {
	KeyAge       time.Duration
	BodiesBytes  int64
	RetryAfter   time.Duration
	ConnectTries int
}

func (o Options) withDefaults() Options {
	o.KeyAge = cmp.Or(max(o.KeyAge, 0), DefaultKeyAge)
	o.BodiesBytes = cmp.Or(max(o.BodiesBytes, 0), DefaultBodiesBytes)
	o.RetryAfter = cmp.Or(max(o.RetryAfter, 0), DefaultRetryAfter)
	o.ConnectTries = cmp.Or(max(o.ConnectTries, 0), DefaultConnectTries)
	return o
}
