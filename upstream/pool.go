package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/sleep"
)

const (
	// DefaultDialTimeout limits how long opening a connection may take. Zones are
	// less than a millisecond apart and a server needs a millisecond; a lost packet
	// is retransmitted after a second, when another server is the better choice.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultMaxIdle is how long an idle connection is kept if the server doesn't
	// advertise a Keep-Alive timeout.
	defaultMaxIdle = 2 * time.Second
	// keepAliveFraction is the fraction of the server's Keep-Alive timeout for which
	// an idle connection is kept. If the server closed a connection just as a request
	// was sent on it, it would be unknown whether the request ran.
	keepAliveFraction = 0.6
	// maxIdlePerServer limits the idle connections to one server. A server accepts
	// about 370 connections from all entries together; 22 entries with eight idle ones
	// each leave it half of them.
	maxIdlePerServer = 8
)

// Pool opens connections to backend servers and keeps idle ones by address. It is
// safe for concurrent use; mu guards idle and is a leaf lock.
type Pool struct {
	dialer net.Dialer
	opened metrics.Counter
	reused metrics.Counter
	// overLimit counts the exchanges that each limit ended.
	overLimit limitCounters

	mu   sync.Mutex
	idle map[string][]*conn // newest last
}

// NewPool returns an empty Pool.
func NewPool(r metrics.Registry) *Pool {
	return &Pool{
		dialer:    net.Dialer{Timeout: DefaultDialTimeout},
		opened:    metrics.GetOrRegisterCounter("upstream.connections.opened", r),
		reused:    metrics.GetOrRegisterCounter("upstream.connections.reused", r),
		overLimit: newLimitCounters(r),
		idle:      map[string][]*conn{},
	}
}

// get returns a connection to an address: the most recently used idle one, or a new
// one. An error means that nothing was sent.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < c.maxIdle && c.reusable() {
			p.reused.Inc(1)
			return c, nil
		}
		_ = c.Close() // no request is in progress on it
	}
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "step connect, peer %s", address)
	}
	p.opened.Inc(1)
	return newConn(c, address), nil
}

// ProbeResult is what a new connection to an address shows.
type ProbeResult uint8

// Results of a probe.
const (
	ProbeSilent  ProbeResult = iota // no reply in time
	ProbeRefused                    // no process listens at the address, or its VM is unreachable
	ProbeAccepted
)

var probeResultNames = [...]string{ProbeSilent: "silent", ProbeRefused: "refuses", ProbeAccepted: "accepts"}

// String implements fmt.Stringer.
func (r ProbeResult) String() string { return probeResultNames[r] }

// Probe opens a new connection to an address. An accepted connection is kept for the
// next request.
func (p *Pool) Probe(ctx context.Context, address string) ProbeResult {
	found, _ := p.ProbeWithCause(ctx, address)
	return found
}

// ProbeFor is Probe for a server that may just have ended: a connection that its listener took, but
// that is closed within a time, counts as refused.
func (p *Pool) ProbeFor(ctx context.Context, address string, within time.Duration) ProbeResult {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return probeFailure(ctx, err)
	}
	p.opened.Inc(1)
	held := newConn(c, address)
	if !sleep.For(ctx, within) {
		_ = held.Close()
		return ProbeSilent
	}
	if !held.reusable() {
		_ = held.Close()
		return ProbeRefused
	}
	p.put(address, held, defaultMaxIdle)
	return ProbeAccepted
}

// ProbeWithCause is Probe. It also returns why no connection was opened, for DialFailureOf.
func (p *Pool) ProbeWithCause(ctx context.Context, address string) (ProbeResult, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		p.opened.Inc(1)
		p.put(address, newConn(c, address), defaultMaxIdle)
		return ProbeAccepted, nil
	}
	return probeFailure(ctx, err), errors.Trace(err)
}

// probeFailure returns what a failed dial says of the server.
func probeFailure(ctx context.Context, err error) ProbeResult {
	if timeout := net.Error(nil); ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
		return ProbeSilent
	}
	return ProbeRefused
}

// pop takes the most recently used idle connection out of the pool. It returns nil
// if there is none.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool after an exchange that ended cleanly.
func (p *Pool) put(address string, c *conn, maxIdle time.Duration) {
	c.idleSince = time.Now()
	c.maxIdle = maxIdle
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[address] = append(list, c)
}

// Sweep closes connections that have been idle for too long, and all connections to
// addresses for which keep returns false.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Sub(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
