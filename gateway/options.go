package gateway

import (
	"cmp"
	"time"

	"github.com/briarturn/briarturn/routetable"
)

const (
	// DefaultTimeout is the time limit of a request whose route and caller set none.
	DefaultTimeout = 30 * time.Second
	// DefaultBodyBytes is the largest request body in bytes if the configuration sets no
	// limit.
	DefaultBodyBytes = 4 << 20
	// maxBufferedResponse is the size in bytes up to which a response that is not a
	// stream is read completely before the caller gets any of it. If such a response
	// breaks off, another server can be tried.
	maxBufferedResponse = 1 << 20
)

// Defaults of Options.
const (
	// DefaultKeyAge leaves half a second of the five seconds within which operators
	// expect a removed key to be refused everywhere. The age counts from before the store
	// was queried, and a caller sends a request before the gateway checks its key, so
	// only clock drift has to fit into that half second.
	DefaultKeyAge = 4500 * time.Millisecond
	// DefaultRefusalAge is the time within which a change of the configuration must be in
	// force at every entry.
	DefaultRefusalAge = 2 * time.Second
	// DefaultBodiesBytes is a quarter of the memory of the smallest entry VM, 184 MB.
	DefaultBodiesBytes = 48 << 20
	// DefaultBodyTimeout is a hundred times what the longest prompt, 4 MB, takes at
	// 40 MB/s.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultWriteSlack is well above the time that a response in transit needs.
	DefaultWriteSlack = 2 * time.Second
	// DefaultRetryAfter is short because a refusal comes from a state that passes within
	// a second, such as a server that is full or shutting down.
	DefaultRetryAfter = 300 * time.Millisecond
	// DefaultStaleRetryAfter is longer because an outage of the store lasts seconds.
	// Meanwhile callers use other entries.
	DefaultStaleRetryAfter = time.Second
	// DefaultDeclaredRetryAfter applies where operators have left no server for the
	// request, or all servers drain. That changes within seconds at the earliest.
	DefaultDeclaredRetryAfter = time.Second
	// DefaultPoisonRetryAfter is long because a request that kills servers would only be
	// refused again if it came back sooner.
	DefaultPoisonRetryAfter = 30 * time.Second
	// DefaultConnectTries allows several connection attempts: nothing has been sent yet,
	// so they cost only the caller's time.
	DefaultConnectTries = 4
)

// Options configure a Gateway. Values that are zero or negative take the defaults.
type Options struct {
	// KeyAge is the age of the last proof that the configuration is current above which
	// requests that need an API key are refused.
	KeyAge time.Duration
	// RefusalAge is the age of the same proof above which no request is refused for good for
	// what the configuration lacks. It is KeyAge at most.
	RefusalAge time.Duration
	// BodiesBytes is the total size of the request bodies in memory, in bytes, above
	// which requests are refused. Of responses that are not relayed yet as much is held
	// at most.
	BodiesBytes int64
	// BodyTimeout is how long a caller may take to send a body. Without it a caller that
	// stops in the middle would hold its connection and its memory forever.
	BodyTimeout time.Duration
	// WriteSlack is how long after a request's deadline the response may still be written
	// to the caller's connection. Without it a caller that reads nothing would hold the
	// request forever.
	WriteSlack time.Duration
	// RetryAfter is the delay after which a refused caller may retry. StaleRetryAfter is
	// the same if the configuration is too old, PoisonRetryAfter for a request that kills
	// servers, and DeclaredRetryAfter for a request that operators or draining servers have
	// left no server.
	RetryAfter, StaleRetryAfter, PoisonRetryAfter, DeclaredRetryAfter time.Duration
	// ConnectTries is the number of servers that can't be connected to after which a
	// request is not sent to any other.
	ConnectTries int
	// Features switches what decides under contention for servers; the zero value switches
	// all of it off.
	Features routetable.Features
}

func (o Options) withDefaults() Options {
	o.KeyAge = cmp.Or(max(o.KeyAge, 0), DefaultKeyAge)
	o.RefusalAge = min(cmp.Or(max(o.RefusalAge, 0), DefaultRefusalAge), o.KeyAge)
	o.BodiesBytes = cmp.Or(max(o.BodiesBytes, 0), DefaultBodiesBytes)
	o.BodyTimeout = cmp.Or(max(o.BodyTimeout, 0), DefaultBodyTimeout)
	o.WriteSlack = cmp.Or(max(o.WriteSlack, 0), DefaultWriteSlack)
	o.RetryAfter = cmp.Or(max(o.RetryAfter, 0), DefaultRetryAfter)
	o.StaleRetryAfter = cmp.Or(max(o.StaleRetryAfter, 0), DefaultStaleRetryAfter)
	o.PoisonRetryAfter = cmp.Or(max(o.PoisonRetryAfter, 0), DefaultPoisonRetryAfter)
	o.DeclaredRetryAfter = cmp.Or(max(o.DeclaredRetryAfter, 0), DefaultDeclaredRetryAfter)
	o.ConnectTries = cmp.Or(max(o.ConnectTries, 0), DefaultConnectTries)
	return o
}
