package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// DefaultDialTimeout bounds the opening of a connection. Zones are under a
	// millisecond apart and a server takes a millisecond; a lost packet is sent
	// again after a second, by when another server is the better choice.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultKeep is how long an idle connection is kept where the server does
	// not say how long it keeps its end.
	defaultKeep = 2 * time.Second
	// keepShare of the server's own limit is how long an idle connection is used:
	// one that the server closes just as a request goes out leaves it unknown
	// whether the request ran.
	keepShare = 0.6
	// idlePerServer bounds the idle connections to one server. A server accepts some
	// 370 of all entries, and 22 entries with eight each leave it half of them.
	idlePerServer = 8
)

// Pool keeps idle connections by address. It is safe for concurrent use; mu
// guards idle and is a leaf lock.
type Pool struct {
	dialer net.Dialer
	opened metrics.Counter
	reused metrics.Counter

	mu   sync.Mutex
	idle map[string][]*conn // newest last
}

// NewPool returns an empty Pool.
func NewPool(r metrics.Registry) *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: DefaultDialTimeout},
		opened: metrics.GetOrRegisterCounter("upstream.connections.opened", r),
		reused: metrics.GetOrRegisterCounter("upstream.connections.reused", r),
		idle:   map[string][]*conn{},
	}
}

// get returns a connection to an address: the idle one that was used last, or a
// new one. An error means that nothing was sent.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Sub(c.idle) < c.keep && c.quiet() {
			p.reused.Inc(1)
			return c, nil
		}
		_ = c.Close() // nothing of ours is on it
	}
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "step connect, peer %s", address)
	}
	p.opened.Inc(1)
	return newConn(c), nil
}

// Probe reports whether a server takes a new connection, which is kept for the
// next request.
func (p *Pool) Probe(ctx context.Context, address string) bool {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	p.opened.Inc(1)
	p.put(address, newConn(c), defaultKeep)
	return true
}

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

// put takes a connection back whose exchange ended in good order.
func (p *Pool) put(address string, c *conn, keep time.Duration) {
	c.idle = time.Now()
	c.keep = keep
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= idlePerServer {
		_ = c.Close()
		return
	}
	p.idle[address] = append(list, c)
}

// Sweep closes connections that were idle for too long, and all to addresses that
// keep does not name.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Sub(c.idle) < c.keep {
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
