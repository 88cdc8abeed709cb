package wire

import (
	"cmp"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/briarturn/briarturn/internal/quiet"
)

// MaxMessageBytes is the size of the largest message that either side of a
// stream accepts. A body part is at most 256 KiB and an object of the object
// API at most 1 MiB. PullConfig and PullStates don't split their responses, so
// all objects of a response must fit into one message.
const MaxMessageBytes = 1<<20 + 64<<10

// Defaults of Options.
const (
	defaultConnectTimeout  = 2 * time.Second
	defaultPoolExpiry      = 60 * time.Second
	defaultPoolCapacity    = 4096
	defaultPoolPerAddress  = 64
	defaultIdleTimeout     = 90 * time.Second // longer than defaultPoolExpiry
	defaultSoftCancelGrace = 20 * time.Millisecond
)

// Buffer sizes of a connection. A chunk is smaller than 1 KiB, so larger buffers
// would only cost memory with thousands of open streams.
const (
	writeBufferBytes       = 1 << 10
	maxRetainedBufferBytes = 4 << 10 // larger stream buffers are freed after use
)

// Options configures Server and Dialer. The zero value is usable.
type Options struct {
	Log     logrus.FieldLogger // nil: no logging
	Metrics metrics.Registry   // nil: a private registry

	// ConnectTimeout is the time limit for connecting (Dialer). Default 2 s.
	ConnectTimeout time.Duration
	// PoolCapacity and PoolPerAddress limit the idle connections that are kept,
	// in total and per address (Dialer). They don't limit open streams.
	// Defaults 4096 and 64.
	PoolCapacity   int
	PoolPerAddress int
	// PoolExpiry is the time after which an idle connection is closed
	// (Dialer). It must be shorter than the IdleTimeout of the peers;
	// otherwise a stream may start on a connection that the peer is closing.
	// Default 60 s.
	PoolExpiry time.Duration
	// IdleTimeout is the time after which a connection without a stream is
	// closed (Server). Default 90 s.
	IdleTimeout time.Duration
	// SoftCancelGrace is the time that a cancel waits for a send in progress
	// before it closes the connection. Default 20 ms.
	SoftCancelGrace time.Duration
}

// withDefaults returns a copy with zero fields replaced by their defaults.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = quiet.Logger()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, defaultConnectTimeout)
	o.PoolExpiry = cmp.Or(o.PoolExpiry, defaultPoolExpiry)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.SoftCancelGrace = cmp.Or(o.SoftCancelGrace, defaultSoftCancelGrace)
	o.PoolCapacity = cmp.Or(o.PoolCapacity, defaultPoolCapacity)
	o.PoolPerAddress = cmp.Or(o.PoolPerAddress, defaultPoolPerAddress)
	return o
}

// managerOptions returns the drpc options that Server and Dialer have in common.
func (o Options) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream:           drpcstream.Options{MaximumBufferSize: maxRetainedBufferBytes},
		SoftCancel:       true,
		SoftCancelGrace:  o.SoftCancelGrace,
	}
}

// keepAliveConfig returns the TCP keep-alive settings that detect a peer whose
// machine disappeared without closing its connections. The streams of such a
// peer fail within about 11 s; without these settings a run would be held for
// TCP's own timeout of two minutes.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     5 * time.Second,
		Interval: 2 * time.Second,
		Count:    3,
	}
}
