// Package engine is the HTTP client of a model engine (the API in
// docs/design/0001-whole-path.md) and of a plain service.
//
// Rules:
//   - ErrNotRun is said only if it is certain. Bytes handed to the connection
//     are counted, and one byte is enough for ErrBroken.
//   - A request is sent at most once. net/http by itself sends a request again
//     that carries an Idempotency-Key header and no body; the client's bodies
//     are made so that it can't. The client itself sends again only on a fresh
//     connection after no byte was written to a stale one.
//   - No redirect is followed and no proxy is taken from the environment.
//   - What an engine sends is bounded: a line, an error body, a JSON answer.
//   - A Stream belongs to one goroutine; Close may be called from any.
package engine

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Defaults of Config.
const (
	DefaultMaxIdleConns = 256
	DefaultDialTimeout  = 2 * time.Second
	DefaultMaxLineBytes = 1 << 20
	DefaultCallTimeout  = 5 * time.Second
)

// idleTimeout ends unused connections to the engine.
const idleTimeout = 60 * time.Second

// Config says how to reach one engine or service.
type Config struct {
	Address      string        // ip:port
	MaxIdleConns int           // idle connections kept
	DialTimeout  time.Duration // for a TCP connection
	CallTimeout  time.Duration // for calls beside runs, segments, orders and long polls
	MaxLineBytes int           // bytes in one line of a stream
	Metrics      metrics.Registry
}

// Client talks to one engine or service. It is safe for concurrent use.
type Client struct {
	cfg       Config
	http      *http.Client
	transport *http.Transport
	counters  counters
}

type counters struct {
	runs, notRun, status, broken, malformed, resent, abandoned metrics.Counter
}

// New makes a client; it does not connect yet.
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
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConns:        cfg.MaxIdleConns,
		MaxIdleConnsPerHost: cfg.MaxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c.http = &http.Client{
		Transport:     c.transport,
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

// Address returns the engine's ip:port.
func (c *Client) Address() string { return c.cfg.Address }

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
