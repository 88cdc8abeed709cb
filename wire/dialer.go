package wire

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Dialer calls the services of agents and entries by their ip:port. It is safe
// for concurrent use. A stream takes an idle connection of its address or dials
// one; a connection that a cancelled stream left unusable isn't kept.
type Dialer struct {
	opts Options
	pool *drpcpool.Pool[string, *drpcconn.Conn]

	connections metrics.Counter // open now
	dials       metrics.Counter
	dialErrors  metrics.Counter
}

// NewDialer returns a dialer without connections.
func NewDialer(opts Options) *Dialer {
	opts = opts.withDefaults()
	return &Dialer{
		opts: opts,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  opts.PoolExpiry,
			Capacity:    opts.PoolCapacity,
			KeyCapacity: opts.PoolPerAddress,
		}),
		connections: metrics.GetOrRegisterCounter("wire.dialer.connections", opts.Metrics),
		dials:       metrics.GetOrRegisterCounter("wire.dialer.dials", opts.Metrics),
		dialErrors:  metrics.GetOrRegisterCounter("wire.dialer.errors", opts.Metrics),
	}
}

// Close closes the idle connections. Open streams go on.
func (d *Dialer) Close() error {
	return errors.Annotate(d.pool.Close(), "step close idle connections")
}

// Run begins a run at an agent. Every error of it is ErrNotSent: the Start
// message goes out with the first Send. Cancel ctx to end the stream early.
func (d *Dialer) Run(ctx context.Context, addr string) (wirepb.DRPCAgent_RunClient, error) {
	stream, err := d.agent(ctx, addr).Run(ctx)
	if err != nil {
		return nil, notSent(err, "begin run", addr)
	}
	return stream, nil
}

// Hold asks an agent for memory for a later run.
func (d *Dialer) Hold(ctx context.Context, addr string, in *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
	out, err := d.agent(ctx, addr).Hold(ctx, in)
	return out, annotate(err, "hold", addr)
}

// ExtendHolds renews holds and returns those that the agent doesn't know.
func (d *Dialer) ExtendHolds(ctx context.Context, addr string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	out, err := d.agent(ctx, addr).ExtendHolds(ctx, in)
	return out, annotate(err, "extend holds", addr)
}

// ReleaseHolds gives holds back.
func (d *Dialer) ReleaseHolds(ctx context.Context, addr string, in *wirepb.HoldRefs) (*wirepb.HoldStates, error) {
	out, err := d.agent(ctx, addr).ReleaseHolds(ctx, in)
	return out, annotate(err, "release holds", addr)
}

// Order gives a fenced order to an agent's backend server.
func (d *Dialer) Order(ctx context.Context, addr string, in *wirepb.OrderRequest) (*wirepb.OrderResponse, error) {
	out, err := d.agent(ctx, addr).Order(ctx, in)
	return out, annotate(err, "order", addr)
}

// Drain makes an agent refuse new work and returns its status.
func (d *Dialer) Drain(ctx context.Context, addr string, in *wirepb.DrainRequest) (*wirepb.AgentStatus, error) {
	out, err := d.agent(ctx, addr).Drain(ctx, in)
	return out, annotate(err, "drain agent", addr)
}

// Status returns an agent's status.
func (d *Dialer) Status(ctx context.Context, addr string) (*wirepb.AgentStatus, error) {
	out, err := d.agent(ctx, addr).Status(ctx, &wirepb.StatusRequest{})
	return out, annotate(err, "agent status", addr)
}

// PullConfig fetches objects newer than a revision from an entry.
func (d *Dialer) PullConfig(ctx context.Context, addr string, in *wirepb.PullRequest) (*wirepb.PullResponse, error) {
	out, err := d.entry(ctx, addr).PullConfig(ctx, in)
	return out, annotate(err, "pull config", addr)
}

// PullStates fetches what an entry knows of some kinds of objects of the object API.
func (d *Dialer) PullStates(ctx context.Context, addr string, in *wirepb.StatesRequest) (*wirepb.States, error) {
	out, err := d.entry(ctx, addr).PullStates(ctx, in)
	return out, annotate(err, "pull states", addr)
}

// ListPeers returns the entries that an entry knows, itself included.
func (d *Dialer) ListPeers(ctx context.Context, addr string) (*wirepb.Peers, error) {
	out, err := d.entry(ctx, addr).ListPeers(ctx, &wirepb.PeersRequest{})
	return out, annotate(err, "list peers", addr)
}

// ListServers returns a page of the backend servers whose home an entry is.
func (d *Dialer) ListServers(ctx context.Context, addr string, in *wirepb.ServersRequest) (*wirepb.Servers, error) {
	out, err := d.entry(ctx, addr).ListServers(ctx, in)
	return out, annotate(err, "list servers", addr)
}

// EntryStatus returns an entry's status, with the servers of a pool that report
// to it unless pool is empty.
func (d *Dialer) EntryStatus(ctx context.Context, addr, pool string) (*wirepb.EntryStatus, error) {
	out, err := d.entry(ctx, addr).Status(ctx, &wirepb.StatusRequest{Pool: pool})
	return out, annotate(err, "entry status", addr)
}

// DrainEntry makes an entry refuse new requests and returns its status.
func (d *Dialer) DrainEntry(ctx context.Context, addr string, in *wirepb.DrainRequest) (*wirepb.EntryStatus, error) {
	out, err := d.entry(ctx, addr).Drain(ctx, in)
	return out, annotate(err, "drain entry", addr)
}

// ShareEvidence gives an entry crash evidence and returns what it has.
func (d *Dialer) ShareEvidence(ctx context.Context, addr string, in *wirepb.EvidenceList) (*wirepb.EvidenceList, error) {
	out, err := d.entry(ctx, addr).ShareEvidence(ctx, in)
	return out, annotate(err, "share evidence", addr)
}

func (d *Dialer) agent(ctx context.Context, addr string) wirepb.DRPCAgentClient {
	return wirepb.NewDRPCAgentClient(d.conn(ctx, addr))
}

func (d *Dialer) entry(ctx context.Context, addr string) wirepb.DRPCEntryClient {
	return wirepb.NewDRPCEntryClient(d.conn(ctx, addr))
}

// conn returns a connection that takes an idle one or dials when it is used.
func (d *Dialer) conn(ctx context.Context, addr string) drpc.Conn {
	return d.pool.Get(ctx, addr, d.dial)
}

// dial connects to an address. Its errors are ErrNotSent.
func (d *Dialer) dial(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	d.dials.Inc(1)
	dialer := net.Dialer{Timeout: d.opts.ConnectTimeout, KeepAliveConfig: keepAlive()}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		d.dialErrors.Inc(1)
		return nil, errors.WithType(err, ErrNotSent)
	}
	d.connections.Inc(1)
	counted := &countedConn{Conn: raw, open: d.connections}
	return drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: d.opts.manager()}), nil
}

// countedConn takes itself off a counter when it is closed.
type countedConn struct {
	net.Conn
	open metrics.Counter
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Dec(1) })
	return c.Conn.Close()
}

// annotate adds the step and the peer to an error of a call.
func annotate(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.Annotatef(err, "step %s, peer %s", step, peer)
}

// notSent is annotate for a step that fails only before anything is sent.
func notSent(err error, step, peer string) error {
	if !errors.Is(err, ErrNotSent) {
		err = errors.WithType(err, ErrNotSent)
	}
	return annotate(err, step, peer)
}
