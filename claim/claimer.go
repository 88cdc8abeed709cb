package claim

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/objectapi"
)

// Defaults of a Config.
const (
	DefaultShards           = 2
	DefaultMinGroupInterval = 50 * time.Millisecond
	DefaultSettleDelay      = 250 * time.Millisecond
	DefaultMaxBackoff       = time.Second
	DefaultStoreTimeout     = 2 * time.Second
	DefaultRetention        = time.Hour
	DefaultMaxRunTime       = 15 * time.Minute
	DefaultMaxResponseBytes = 1 << 10
	DefaultMaxShardBytes    = objectapi.MaxValueBytes * 9 / 10
	DefaultSealThreshold    = 16 << 10
	DefaultMaxGroupOps      = 2_000
	DefaultMaxPendingOps    = 10_000
	DefaultMaxIssuedKeys    = 65_536
	DefaultMaxAttempts      = 20
	// DefaultForwardTimeout is several times what a healthy group takes: a
	// shorter one would make entries write a busy writer's shard beside it.
	DefaultForwardTimeout = 500 * time.Millisecond
)

// Config of a Claimer. Shards must be equal in all entries that share a store;
// with another number than the store has on record, every claim is refused.
type Config struct {
	Store objectapi.Store
	Peers PeerClient // nil if there are none
	Entry string     // this entry's name, without a slash

	Shards           int
	MinGroupInterval time.Duration // between the starts of two groups of a shard
	SettleDelay      time.Duration // that settlements wait for a claim's write to carry them
	MaxBackoff       time.Duration // MinGroupInterval while the store fails
	StoreTimeout     time.Duration // for one group, from its start or its last conflict
	Retention        time.Duration // how long a resend is recognised
	MaxRunTime       time.Duration // longest that a request may run
	MaxResponseBytes int           // bytes of an answer kept for resends
	MaxShardBytes    int           // new claims are refused above
	SealThreshold    int           // settled claims are moved out of a shard above
	MaxGroupOps      int           // ops of one write
	MaxPendingOps    int           // ops of a shard that may wait
	MaxIssuedKeys    int           // issued keys remembered
	MaxAttempts      int           // writes of one group
	ForwardTimeout   time.Duration // for a claim at another entry, before the next is asked

	Metrics metrics.Registry

	foldRefs int // references to sealed objects before one takes them
}

func (c *Config) setDefaults() {
	setDefault(&c.Shards, DefaultShards)
	setDefault(&c.MinGroupInterval, DefaultMinGroupInterval)
	setDefault(&c.SettleDelay, DefaultSettleDelay)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.StoreTimeout, DefaultStoreTimeout)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.MaxRunTime, DefaultMaxRunTime)
	setDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&c.MaxShardBytes, DefaultMaxShardBytes)
	setDefault(&c.SealThreshold, DefaultSealThreshold)
	setDefault(&c.MaxGroupOps, DefaultMaxGroupOps)
	setDefault(&c.MaxPendingOps, DefaultMaxPendingOps)
	setDefault(&c.MaxIssuedKeys, DefaultMaxIssuedKeys)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.foldRefs, defaultFoldRefs)
	setDefault(&c.ForwardTimeout, DefaultForwardTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// PeerClient carries claims of issued keys to the entry that issued them, and other
// claims to the preferred writers of their shards. A call may be made twice
// with the same mark; only the answer to one is used.
type PeerClient interface {
	// ClaimIssued asks the issuer's Claimer.ServeClaim. ErrBadKey is passed on.
	ClaimIssued(ctx context.Context, issuer Issuer, key Key, mark string) (Grant, error)
	// SettleIssued tells the issuer's Claimer.ServeSettle.
	SettleIssued(ctx context.Context, issuer Issuer, key Key, mark string, o Outcome) error
	// CandidateWriters returns the names of the live entries that share the store and
	// take new work, this one included. Views may differ between entries.
	CandidateWriters() []string
	// Forward asks an entry's Claimer.ServeForward. Its answers are in the order
	// of the changes.
	Forward(ctx context.Context, entry string, b Batch) ([]ChangeResult, error)
}

// Claimer makes claims for one entry. It is safe for concurrent use.
type Claimer struct {
	cfg        Config
	m          counters
	issuer     *issuer
	layout     *layout
	avoid      avoided
	groups     []*group
	serial     atomic.Uint64
	markPrefix string
	now        func() time.Time
}

// New returns a Claimer with an incarnation of its own.
func New(cfg Config) (*Claimer, error) {
	cfg.setDefaults()
	if cfg.Entry == "" || strings.Contains(cfg.Entry, "/") {
		return nil, errors.NotValidf("step new claimer: entry name %q", cfg.Entry)
	}
	c := &Claimer{
		cfg:        cfg,
		m:          newCounters(cfg.Metrics),
		issuer:     newIssuer(Issuer{Entry: cfg.Entry, Incarnation: uuid.NewString()}, cfg.MaxIssuedKeys),
		layout:     &layout{store: cfg.Store, shards: cfg.Shards},
		avoid:      avoided{until: map[string]time.Time{}},
		now:        time.Now,
		markPrefix: newMarkPrefix(),
	}
	for i := range cfg.Shards {
		c.groups = append(c.groups, newGroup(c, fmt.Sprintf("%04d", i)))
	}
	return c, nil
}

// Issue returns an idempotency key that this entry vouches for. Claims of it
// need no store, also in an outage, as long as this entry lives. It is good for
// one call of the workspace.
func (c *Claimer) Issue(workspace string) string {
	c.m.issued.Inc(1)
	return c.issuer.issue(workspace)
}

// Issuer returns this entry's name and incarnation.
func (c *Claimer) Issuer() Issuer { return c.issuer.id }

// token is the right to dispatch once. It is settled once.
type token struct {
	key       Key
	mark      string
	forwarded bool // another entry may still record the claim
	settled   atomic.Bool
}

// Claim asks for the right to dispatch a call. Only a fresh grant is one. Every
// error means that this call was not and will not be dispatched: ErrNotRun and
// ErrBadKey are a true "not run", ErrUnverified is an "outcome unknown".
func (c *Claimer) Claim(ctx context.Context, key Key, attempt Request) (Grant, error) {
	t := &token{key: key, mark: c.mark()}
	g, err := c.claim(ctx, t)
	if err != nil {
		if attempt.FirstSend && errors.Is(err, ErrUnverified) {
			err = errors.Annotatef(ErrNotRun, "first call under the key: %v", err)
		}
		c.m.refused.Inc(1)
		return Grant{}, errors.Annotatef(err, "request %s", attempt.ID)
	}
	if !g.Fresh {
		c.m.prior.Inc(1)
		return g, nil
	}
	c.m.granted.Inc(1)
	g.token = t
	return g, nil
}

func (c *Claimer) claim(ctx context.Context, t *token) (Grant, error) {
	key, mark := t.key, t.mark
	if !strings.HasPrefix(key.IdempotencyKey, issuedPrefix) {
		return c.claimStored(ctx, t)
	}
	by, serial, err := parseIssued(key.IdempotencyKey)
	if err != nil {
		return Grant{}, errors.Annotate(err, "step parse issued key")
	}
	if by == c.issuer.id {
		v, prior, err := c.issuer.claim(serial, key.Workspace, mark)
		return Grant{Fresh: v != refuse && err == nil, Prior: prior}, errors.Trace(err)
	}
	return c.claimAtPeer(ctx, by, key, mark)
}

// claimStored brings a claim into the key's shard, by the shard's preferred
// writer or else by this entry's own write.
func (c *Claimer) claimStored(ctx context.Context, t *token) (Grant, error) {
	o := newOp(opClaim, t.key.hash(), t.mark)
	g := c.group(o.hash)
	r, certain := g.forwardClaim(ctx, o)
	err := r.err
	if !certain {
		r, err = c.do(ctx, o)
	}
	t.forwarded = o.forwarded
	fresh := err == nil && r.verdict != refuse
	if o.forwarded && !fresh {
		g.release(o) // another entry may have recorded it, or may yet
	}
	if err != nil {
		return Grant{}, err
	}
	return Grant{Fresh: fresh, Prior: r.prior}, nil
}

// claimAtPeer asks the issuer. Without its answer the call is never granted:
// the issuer may have granted another. What is on record is told instead.
func (c *Claimer) claimAtPeer(ctx context.Context, by Issuer, key Key, mark string) (Grant, error) {
	err := error(ErrUnverified)
	if c.cfg.Peers != nil {
		var g Grant
		g, err = c.cfg.Peers.ClaimIssued(ctx, by, key, mark)
		if err == nil || errors.Is(err, ErrBadKey) {
			return Grant{Fresh: g.Fresh && err == nil, Prior: g.Prior}, err
		}
	}
	c.m.issuerLost.Inc(1)
	r, lookupErr := c.do(ctx, newOp(opLookup, key.hash(), mark))
	if lookupErr != nil || r.prior.State == Unknown {
		return Grant{}, errors.Annotatef(ErrUnverified, "step claim at issuer, peer %s: %v", by.Entry, err)
	}
	return Grant{Prior: r.prior}, nil
}

// do runs one op of a shard and waits for it or for ctx.
func (c *Claimer) do(ctx context.Context, o *op) (result, error) {
	g := c.group(o.hash)
	if !g.add(o) {
		c.m.overloaded.Inc(1)
		return result{}, errors.Annotatef(ErrUnverified, "step queue claim, shard %s: %d pending", g.name, c.cfg.MaxPendingOps)
	}
	select {
	case r := <-o.answer:
		return c.unseal(ctx, o, r), r.err
	case <-ctx.Done():
		if r, ok := g.abandon(o); ok {
			return c.unseal(ctx, o, r), r.err
		}
		return result{}, errors.Annotatef(ErrUnverified, "step claim, shard %s: %v", g.name, ctx.Err())
	}
}

// unseal reads the record of a key whose claim is sealed. If it can't be read
// now, the answer stays at Unknown, which is true of it.
func (c *Claimer) unseal(ctx context.Context, o *op, r result) result {
	if r.sealed == "" {
		return r
	}
	s, err := readSealed(ctx, c.cfg.Store, r.sealed)
	if err != nil {
		c.m.unsealFailed.Inc(1)
		return r
	}
	if e, ok := s.Claims[o.hash]; ok {
		r.prior = e.prior(c.now(), c.cfg.MaxRunTime)
	}
	return r
}

// Settle records how a fresh grant ended. OutcomeNotRun only if the call
// certainly did not run and will not: it frees the key. Settle returns once the
// outcome is on record; when ctx ends earlier it goes on in the background and
// returns ctx's error. Until it is on record, a resend is told Running, and if
// this entry dies before, Unknown.
func (c *Claimer) Settle(ctx context.Context, g Grant, o Outcome) error {
	if g.token == nil || !g.token.settled.CompareAndSwap(false, true) {
		return errors.Annotate(ErrAlreadySettled, "step settle")
	}
	o.Record = c.trim(o.Record)
	t := g.token
	by, serial, err := parseIssued(t.key.IdempotencyKey)
	issued := err == nil
	if issued && by == c.issuer.id {
		c.issuer.settle(serial, t.mark, o)
	} else if issued {
		c.settleAtPeer(ctx, by, t, o)
	}
	if issued && o.Kind == OutcomeNotRun {
		return nil // nothing is on record of it
	}
	return c.settleStored(ctx, t, o, issued)
}

// settleAtPeer is best effort: if the issuer does not hear of it, it goes on
// saying Running and never grants the key again.
func (c *Claimer) settleAtPeer(ctx context.Context, by Issuer, t *token, o Outcome) {
	if c.cfg.Peers == nil {
		return
	}
	if err := c.cfg.Peers.SettleIssued(ctx, by, t.key, t.mark, o); err != nil {
		c.m.issuerLost.Inc(1)
	}
}

func (c *Claimer) settleStored(ctx context.Context, t *token, o Outcome, issued bool) error {
	op := newOp(opSettle, t.key.hash(), t.mark)
	op.outcome = o
	op.issued = issued
	op.withdraw = t.forwarded && o.Kind == OutcomeNotRun
	g := c.group(op.hash)
	g.requeue(op)
	select {
	case r := <-op.answer:
		return r.err
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "step settle, shard %s", g.name)
	}
}

func (c *Claimer) trim(r Record) Record {
	if len(r.Response) > c.cfg.MaxResponseBytes {
		return Record{Status: r.Status, Truncated: true}
	}
	return r
}

// ServeClaim answers a peer's ClaimIssued.
func (c *Claimer) ServeClaim(key Key, mark string) (Grant, error) {
	by, serial, err := parseIssued(key.IdempotencyKey)
	if err != nil {
		return Grant{}, errors.Annotate(err, "step serve claim")
	}
	if by != c.issuer.id {
		return Grant{}, errors.Annotatef(ErrUnverified, "step serve claim: issued by %s/%s", by.Entry, by.Incarnation)
	}
	v, prior, err := c.issuer.claim(serial, key.Workspace, mark)
	return Grant{Fresh: v != refuse && err == nil, Prior: prior}, errors.Trace(err)
}

// ServeSettle answers a peer's SettleIssued.
func (c *Claimer) ServeSettle(key Key, mark string, o Outcome) error {
	by, serial, err := parseIssued(key.IdempotencyKey)
	if err != nil || by != c.issuer.id {
		return errors.Annotate(ErrBadKey, "step serve settle")
	}
	c.issuer.settle(serial, mark, o)
	return nil
}

// Preload reads what is on record in the shards that this entry may come to write,
// so that claims need not wait for it. Call it before the entry says that it is
// ready, and from time to time. It may run beside claims.
func (c *Claimer) Preload(ctx context.Context) error {
	if err := c.layout.check(ctx); err != nil {
		return errors.Annotate(err, "step warm claims")
	}
	for _, g := range c.groups {
		if !g.keeps() {
			continue
		}
		s, _, err := g.read(ctx)
		if err == nil {
			_, err = g.sealed.load(ctx, c, s.Sealed)
		}
		if err != nil {
			return errors.Annotatef(err, "step warm claims, shard %s", g.name)
		}
	}
	return nil
}

// Flush waits until no shard has anything to write, for a graceful shutdown.
func (c *Claimer) Flush(ctx context.Context) error {
	for _, g := range c.groups {
		for g.busy() {
			select {
			case <-ctx.Done():
				return errors.Annotatef(ctx.Err(), "step flush, shard %s", g.name)
			case <-time.After(c.cfg.MinGroupInterval):
			}
		}
	}
	return nil
}

func (c *Claimer) group(hash string) *group {
	h := fnv.New32a()
	_, _ = h.Write([]byte(hash))
	return c.groups[h.Sum32()%uint32(len(c.groups))]
}

// mark is unique to one claim of one incarnation.
func (c *Claimer) mark() string {
	return c.markPrefix + strconv.FormatUint(c.serial.Add(1), serialBase)
}

// newMarkPrefix is short, for every record carries one: 64 random bits.
func newMarkPrefix() string { return shortName() + "." }

// counters of a Claimer.
type counters struct {
	granted, prior, refused, released, overloaded, full metrics.Counter
	issued, issuerLost                                  metrics.Counter
	reads, writes, conflicts, answersLost, landed       metrics.Counter
	answersDropped, settlementsDropped                  metrics.Counter
	sealed, unsealFailed                                metrics.Counter
	forwarded, forwardsLost, withdrawnDropped           metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("claim."+name, r) }
	return counters{
		granted:            get("granted"),
		prior:              get("prior"),
		refused:            get("refused"),
		released:           get("released"),
		overloaded:         get("overloaded"),
		full:               get("shard_full"),
		issued:             get("keys_issued"),
		issuerLost:         get("issuer_lost"),
		reads:              get("store_reads"),
		writes:             get("store_writes"),
		conflicts:          get("store_conflicts"),
		answersLost:        get("store_answers_lost"),
		landed:             get("ops_landed"),
		sealed:             get("sealed"),
		forwarded:          get("forwarded"),
		forwardsLost:       get("forwards_lost"),
		withdrawnDropped:   get("withdrawn_dropped"),
		unsealFailed:       get("unseal_failed"),
		answersDropped:     get("answers_dropped"),
		settlementsDropped: get("settlements_dropped"),
	}
}
