package objectapi

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Defaults of a ClientConfig.
const (
	// DefaultCallTimeout bounds one try of a call, and what a watch may take
	// beyond its wait.
	DefaultCallTimeout = 2 * time.Second
	// DefaultReadTries is how often a read is tried in all.
	DefaultReadTries = 3
	// DefaultReadsPerSecond and DefaultWritesPerSecond are one process's own
	// limits. They only keep a process that runs wild from starving the rest.
	DefaultReadsPerSecond  = 50
	DefaultWritesPerSecond = 20
	// DefaultIdleConnections is how many idle connections are kept.
	DefaultIdleConnections = 8
)

const (
	readBackoffInitial = 50 * time.Millisecond
	readBackoffMax     = time.Second
	idleTimeout        = 90 * time.Second
)

// ClientConfig sets up a Client. Zero values take the defaults.
type ClientConfig struct {
	BaseURL         string // as http://IP:PORT
	CallTimeout     time.Duration
	ReadTries       int
	ReadsPerSecond  float64
	WritesPerSecond float64
	Metrics         metrics.Registry
}

func (c ClientConfig) withDefaults() ClientConfig {
	c.CallTimeout = cmp.Or(max(c.CallTimeout, 0), DefaultCallTimeout)
	c.ReadTries = cmp.Or(max(c.ReadTries, 0), DefaultReadTries)
	c.ReadsPerSecond = cmp.Or(max(c.ReadsPerSecond, 0), DefaultReadsPerSecond)
	c.WritesPerSecond = cmp.Or(max(c.WritesPerSecond, 0), DefaultWritesPerSecond)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// Client is the object API over HTTP. Reads are tried again with jittered
// back-off; writes are sent once, because only the caller knows the mark that
// tells whether a write whose answer was lost took effect (see SettleWrite).
type Client struct {
	config ClientConfig
	base   string
	http   *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
	tally  *callTally
}

var _ Store = (*Client)(nil)

// NewClient returns a client with its own connection pool. It opens no
// connection yet.
func NewClient(c ClientConfig) (*Client, error) {
	c = c.withDefaults()
	u, err := url.Parse(c.BaseURL)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, errors.NotValidf("step platform address %q", c.BaseURL)
	}
	transport := &http.Transport{
		MaxIdleConns:          DefaultIdleConnections,
		MaxIdleConnsPerHost:   DefaultIdleConnections,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: 0, // a watch answers late; each call has its own limit
	}
	return &Client{
		config: c,
		base:   strings.TrimSuffix(c.BaseURL, "/"),
		http:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		reads:  rate.NewLimiter(rate.Limit(c.ReadsPerSecond), max(1, int(c.ReadsPerSecond))),
		writes: rate.NewLimiter(rate.Limit(c.WritesPerSecond), max(1, int(c.WritesPerSecond))),
		tally:  newCallTally(c.Metrics),
	}, nil
}

// refuseRedirect keeps a conditional write from being sent a second time by
// the library.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, exchange{call: "get", method: http.MethodGet, path: objectPath(kind, name), into: &o})
	return o, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind, prefix string) (Listing, error) {
	var l Listing
	path := "/objects/" + url.PathEscape(kind) + "?" + url.Values{"prefix": {prefix}}.Encode()
	err := c.read(ctx, exchange{call: "list", method: http.MethodGet, path: path, into: &l})
	return l, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, data json.RawMessage) (Object, error) {
	return c.write(ctx, exchange{call: "create", method: http.MethodPost, path: objectPath(kind, name), body: data})
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (Object, error) {
	return c.write(ctx, exchange{
		call: "update", method: http.MethodPut, path: objectPath(kind, name), body: data, version: version,
	})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (Object, error) {
	return c.write(ctx, exchange{
		call: "delete", method: http.MethodDelete, path: objectPath(kind, name), version: version,
	})
}

// Watch implements Store. It is sent once; Watcher resumes and backs off.
func (c *Client) Watch(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Listing, error) {
	query := url.Values{
		"kinds":   {strings.Join(kinds, ",")},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var l Listing
	e := exchange{
		call: "watch", method: http.MethodGet, path: "/watch?" + query.Encode(),
		timeout: wait + c.config.CallTimeout, into: &l,
	}
	return l, c.once(ctx, e)
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// read tries an exchange until it gets an answer that says something of the
// object, the tries run out, or ctx ends.
func (c *Client) read(ctx context.Context, e exchange) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = readBackoffInitial
	wait.MaxInterval = readBackoffMax
	operation := func() (struct{}, error) {
		err := c.once(ctx, e)
		if err != nil && !IsTransient(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, operation,
		backoff.WithBackOff(wait),
		backoff.WithMaxTries(uint(c.config.ReadTries)),
		backoff.WithNotify(func(error, time.Duration) { c.tally.retries.Inc(1) }))
	if err != nil && ctx.Err() != nil && !errors.Is(err, ErrUnavailable) {
		err = errors.WithType(err, ErrUnavailable)
	}
	return err
}

func (c *Client) write(ctx context.Context, e exchange) (Object, error) {
	if len(e.body) > MaxValueBytes {
		return Object{}, errors.Annotatef(ErrTooLarge, "step %s, %d bytes", e.call, len(e.body))
	}
	var o Object
	e.write = true
	e.into = &o
	err := c.once(ctx, e)
	return o, err
}

// IsTransient reports whether asking again later may help: the store was out
// of reach or over its rate. It is false for a write of unknown outcome.
func IsTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled)
}
