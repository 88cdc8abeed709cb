// Package engine is an HTTP client for model engines (the API in
// docs/design/0001-whole-path.md) and for plain services.
//
// It guarantees the following:
//   - ErrNotRun is returned only if it is certain. The bytes written to the
//     connection are counted, and a single byte leads to ErrBroken.
//   - A request is sent at most once. By default, net/http resends a request
//     that has an Idempotency-Key header and no body; the bodies of this client
//     can't be rewound, which prevents that. The client itself resends a request
//     only on a new connection, if no byte was written to a stale one.
//   - Redirects are not followed, and proxy settings of the environment are
//     ignored.
//   - An answer with an invalid head, or whose connection broke, is ErrBroken.
//   - The size of what an engine sends is limited: of a line, an error body and
//     a JSON response.
//   - A Stream may be used by one goroutine only, except for Close, which any
//     goroutine may call.
package engine

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/responsehead"
	"github.com/briarturn/briarturn/internal/serverconn"
)

// Defaults of Config.
const (
	DefaultMaxIdleConns = 256
	DefaultDialTimeout  = 2 * time.Second
	DefaultMaxLineBytes = 1 << 20
	DefaultCallTimeout  = 5 * time.Second
)

// maxHeadBytes limits a response's head.
const maxHeadBytes = 64 << 10

// idleTimeout is the time after which an idle connection to the engine is
// closed.
const idleTimeout = 60 * time.Second

// Config configures the client of one engine or service. Zero fields are set to
// the defaults.
type Config struct {
	Address      string        // ip:port
	MaxIdleConns int           // maximum number of idle connections
	DialTimeout  time.Duration // for opening a TCP connection
	CallTimeout  time.Duration // for all calls except runs, service calls, segment prefills, orders and long polls
	MaxLineBytes int           // maximum length of one line of a stream
	Metrics      metrics.Registry
}

// Client is a client of one engine or service. It is safe for concurrent use.
type Client struct {
	cfg       Config
	http      *http.Client
	transport *http.Transport
	counters  counters
}

type counters struct {
	runs, notRun, status, broken, malformed, resent, abandoned metrics.Counter
}

// New returns a client. It does not open a connection.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, counters: newCounters(cfg.Metrics)}
	dialer := net.Dialer{Timeout: cfg.DialTimeout}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: serverconn.New(conn)}, nil
		},
		MaxIdleConns:           cfg.MaxIdleConns,
		MaxIdleConnsPerHost:    cfg.MaxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
	c.http = &http.Client{
		Transport:     responsehead.Transport{Base: c.transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

func (c Config) withDefaults() Config {
	c.MaxIdleConns = cmp.Or(max(c.MaxIdleConns, 0), DefaultMaxIdleConns)
	c.DialTimeout = cmp.Or(max(c.DialTimeout, 0), DefaultDialTimeout)
	c.CallTimeout = cmp.Or(max(c.CallTimeout, 0), DefaultCallTimeout)
	c.MaxLineBytes = cmp.Or(max(c.MaxLineBytes, 0), DefaultMaxLineBytes)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

func newCounters(r metrics.Registry) counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("engine."+name, r) }
	return counters{runs: get("runs"), notRun: get("not_run"), status: get("status_error"),
		broken: get("broken"), malformed: get("malformed"), resent: get("resent"), abandoned: get("abandoned")}
}

// Address returns the ip:port of the engine.
func (c *Client) Address() string { return c.cfg.Address }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
