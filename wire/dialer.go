package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Dialer calls the services of agents and entries by their ip:port. It is safe
// for concurrent use. A stream uses an idle connection to its address or dials a
// new one. A connection that a cancelled stream left unusable is not reused, nor is one
// on which a call got no response in time.
type Dialer struct {
	opts Options
	pool *drpcpool.Pool[string, callConn]

	openConns  metrics.Counter // connections open now
	dials      metrics.Counter
	dialErrors metrics.Counter
}

// NewDialer returns a Dialer without connections.
func NewDialer(opts Options) *Dialer {
	opts = opts.withDefaults()
	return &Dialer{
		opts: opts,
		pool: drpcpool.New[string, callConn](drpcpool.Options{
			Expiration:  opts.PoolExpiry,
			Capacity:    opts.PoolCapacity,
			KeyCapacity: opts.PoolPerAddress,
		}),
		openConns:  metrics.GetOrRegisterCounter("wire.dialer.connections", opts.Metrics),
		dials:      metrics.GetOrRegisterCounter("wire.dialer.dials", opts.Metrics),
		dialErrors: metrics.GetOrRegisterCounter("wire.dialer.errors", opts.Metrics),
	}
}

// Close closes the idle connections. Open streams continue.
func (d *Dialer) Close() error {
	return errors.Annotate(d.pool.Close(), "step close idle connections")
}

// Run opens the stream of a run at an agent. Every error is ErrNotSent, because
// nothing is sent before the first Send of the stream. Cancel ctx to end the
// stream early.
func (d *Dialer) Run(ctx context.Context, addr string) (wirepb.DRPCAgent_RunClient, error) {
	stream, err := d.agentClient(ctx, addr).Run(ctx)
	if err != nil {
		return nil, annotateNotSent(err, "begin run", addr)
	}
	return stream, nil
}

// Hold requests a reservation of an agent's memory for a later run.
func (d *Dialer) Hold(ctx context.Context, addr string, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
	out, err := d.agentClient(ctx, addr).Hold(ctx, in)
	return out, annotateCall(err, "hold", addr)
}

// ExtendHolds renews holds. The response lists the holds that the agent could
// not renew.
func (d *Dialer) ExtendHolds(ctx context.Context, addr string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	out, err := d.agentClient(ctx, addr).ExtendHolds(ctx, in)
	return out, annotateCall(err, "extend holds", addr)
}

// ReleaseHolds releases holds. The response lists the holds that the agent could
// not release.
func (d *Dialer) ReleaseHolds(ctx context.Context, addr string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	out, err := d.agentClient(ctx, addr).ReleaseHolds(ctx, in)
	return out, annotateCall(err, "release holds", addr)
}

// Order sends a fenced order for the backend server of an agent.
func (d *Dialer) Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	out, err := d.agentClient(ctx, addr).Order(ctx, in)
	return out, annotateCall(err, "order", addr)
}

// Drain makes an agent reject new work and returns its status.
func (d *Dialer) Drain(ctx context.Context, addr string, in *wirepb.DrainRequest) (*wirepb.AgentStatus, error) {
	out, err := d.agentClient(ctx, addr).Drain(ctx, in)
	return out, annotateCall(err, "drain agent", addr)
}

// Status returns the status of an agent.
func (d *Dialer) Status(ctx context.Context, addr string) (*wirepb.AgentStatus, error) {
	out, err := d.agentClient(ctx, addr).Status(ctx, &wirepb.StatusRequest{})
	return out, annotateCall(err, "agent status", addr)
}

// PullConfig fetches objects newer than a revision from an entry.
func (d *Dialer) PullConfig(ctx context.Context, addr string, in *wirepb.PullRequest) (*wirepb.PullResponse, error) {
	out, err := d.entryClient(ctx, addr).PullConfig(ctx, in)
	return out, annotateCall(err, "pull config", addr)
}

// PullStates fetches an entry's states of the requested kinds of object API
// objects.
func (d *Dialer) PullStates(ctx context.Context, addr string, in *wirepb.StatesRequest) (*wirepb.States, error) {
	out, err := d.entryClient(ctx, addr).PullStates(ctx, in)
	return out, annotateCall(err, "pull states", addr)
}

// ListPeers returns an entry's list of entries, including itself.
func (d *Dialer) ListPeers(ctx context.Context, addr string) (*wirepb.Peers, error) {
	out, err := d.entryClient(ctx, addr).ListPeers(ctx, &wirepb.PeersRequest{})
	return out, annotateCall(err, "list peers", addr)
}

// ListServers returns a page of the backend servers that have the entry as a
// home.
func (d *Dialer) ListServers(ctx context.Context, addr string, in *wirepb.ServersRequest) (*wirepb.Servers, error) {
	out, err := d.entryClient(ctx, addr).ListServers(ctx, in)
	return out, annotateCall(err, "list servers", addr)
}

// EntryStatus returns the status of an entry. If pool is not empty, the status
// lists the servers of that pool that report to the entry.
func (d *Dialer) EntryStatus(ctx context.Context, addr, pool string) (*wirepb.EntryStatus, error) {
	out, err := d.entryClient(ctx, addr).Status(ctx, &wirepb.StatusRequest{Pool: pool})
	return out, annotateCall(err, "entry status", addr)
}

// DrainEntry makes an entry reject new requests and returns its status.
func (d *Dialer) DrainEntry(ctx context.Context, addr string, in *wirepb.DrainRequest) (*wirepb.EntryStatus, error) {
	out, err := d.entryClient(ctx, addr).Drain(ctx, in)
	return out, annotateCall(err, "drain entry", addr)
}

// ShareEvidence sends crash evidence to an entry and returns the evidence that
// the entry has.
func (d *Dialer) ShareEvidence(ctx context.Context, addr string, in *wirepb.EvidenceList) (*wirepb.EvidenceList, error) {
	out, err := d.entryClient(ctx, addr).ShareEvidence(ctx, in)
	return out, annotateCall(err, "share evidence", addr)
}

func (d *Dialer) agentClient(ctx context.Context, addr string) wirepb.DRPCAgentClient {
	return wirepb.NewDRPCAgentClient(d.conn(ctx, addr))
}

func (d *Dialer) entryClient(ctx context.Context, addr string) wirepb.DRPCEntryClient {
	return wirepb.NewDRPCEntryClient(d.conn(ctx, addr))
}

// conn returns a connection that, when it is used, takes an idle connection from
// the pool or dials a new one.
func (d *Dialer) conn(ctx context.Context, addr string) drpc.Conn {
	return d.pool.Get(ctx, addr, d.dial)
}

// dial connects to an address. Every error is ErrNotSent.
func (d *Dialer) dial(ctx context.Context, addr string) (callConn, error) {
	d.dials.Inc(1)
	dialer := net.Dialer{Timeout: d.opts.ConnectTimeout, KeepAliveConfig: keepAliveConfig()}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		d.dialErrors.Inc(1)
		return callConn{}, errors.WithType(err, ErrNotSent)
	}
	d.openConns.Inc(1)
	counted := &countedConn{Conn: raw, openConns: d.openConns}
	conn := drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: d.opts.managerOptions()})
	return callConn{Conn: conn, received: &counted.received}, nil
}

// callConn closes itself when a call or a stream gets nothing in time. The connection may be
// silent for good, and a soft cancel would leave it in the pool, where each further call would
// time out too.
type callConn struct {
	*drpcconn.Conn
	received *atomic.Int64 // bytes
}

// Invoke implements drpc.Conn.
func (c callConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		_ = c.Close() // the call has failed already
	}
	return err
}

// countedConn counts the bytes that it receives, and decrements a counter when it is closed for
// the first time.
type countedConn struct {
	net.Conn
	received  atomic.Int64
	openConns metrics.Counter
	closeOnce sync.Once
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.openConns.Dec(1) })
	return c.Conn.Close()
}

// annotateCall adds the step and the peer to the error of a call.
func annotateCall(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.Annotatef(err, "step %s, peer %s", step, peer)
}

// annotateNotSent is annotateCall for a step that can fail only before anything
// is sent. It marks the error as ErrNotSent.
func annotateNotSent(err error, step, peer string) error {
	if !errors.Is(err, ErrNotSent) {
		err = errors.WithType(err, ErrNotSent)
	}
	return annotateCall(err, step, peer)
}
