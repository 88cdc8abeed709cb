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
	// DefaultForwardTimeout is several times the duration of a healthy group.
	// With a shorter one, entries would write the shard of a busy writer
	// alongside it.
	DefaultForwardTimeout = 500 * time.Millisecond
)

// Config configures a Claimer. Shards must be equal in all entries that share a
// store; if it differs from the number recorded in the store, every claim is
// refused.
type Config struct {
	Store objectapi.Store
	Peers PeerClient // nil if this entry has no peers
	Entry string     // this entry's name; must not contain a slash

	Shards           int
	MinGroupInterval time.Duration // shortest time between the starts of two groups of a shard
	SettleDelay      time.Duration // longest time that settlements wait for a claim to share its write
	MaxBackoff       time.Duration // longest time between the starts of two groups while the store fails
	StoreTimeout     time.Duration // limit for one group, from its start or its last conflict
	Retention        time.Duration // how long the record of a call is kept for resends
	MaxRunTime       time.Duration // longest time that a request may run
	MaxResponseBytes int           // maximum size of a response stored for resends, in bytes
	MaxShardBytes    int           // shard size in bytes above which new claims are refused
	SealThreshold    int           // shard size in bytes above which settled claims are moved to a sealed object
	MaxGroupOps      int           // maximum number of ops in one write
	MaxPendingOps    int           // maximum number of queued ops of a shard
	MaxIssuedKeys    int           // maximum number of issued keys held in memory
	MaxAttempts      int           // maximum number of attempts to commit one group
	ForwardTimeout   time.Duration // limit for a claim at one entry before the next entry is asked

	Metrics metrics.Registry

	foldThreshold int // number of references to sealed objects at which they are folded into a new one
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
	setDefault(&c.foldThreshold, defaultFoldThreshold)
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

// PeerClient sends claims of issued keys to the entry that issued them, and
// other claims to the preferred writers of their shards. A call may be made
// twice with the same mark; only the response to one of them is used.
type PeerClient interface {
	// ClaimIssued calls Claimer.ServeClaim at the issuer. It returns ErrBadKey
	// if the issuer does.
	ClaimIssued(ctx context.Context, issuer Issuer, key Key, mark string) (Grant, error)
	// SettleIssued calls Claimer.ServeSettle at the issuer.
	SettleIssued(ctx context.Context, issuer Issuer, key Key, mark string, o Outcome) error
	// CandidateWriters returns the names of the live entries that share the
	// store and accept new work, including this one. Entries may have different
	// views.
	CandidateWriters() []string
	// Forward calls Claimer.ServeForward at an entry. The results are in the
	// order of the changes.
	Forward(ctx context.Context, entry string, b Batch) ([]ChangeResult, error)
}

// Claimer claims idempotency keys for one entry. It is safe for concurrent use.
type Claimer struct {
	cfg         Config
	counters    counters
	issuer      *issuer
	layout      *layout
	peerBackoff peerBackoff
	groups      []*group
	serial      atomic.Uint64
	markPrefix  string
	now         func() time.Time
}

// New returns a Claimer with a new incarnation.
func New(cfg Config) (*Claimer, error) {
	cfg.setDefaults()
	if cfg.Entry == "" || strings.Contains(cfg.Entry, "/") {
		return nil, errors.NotValidf("step new claimer: entry name %q", cfg.Entry)
	}
	c := &Claimer{
		cfg:         cfg,
		counters:    newCounters(cfg.Metrics),
		issuer:      newIssuer(Issuer{Entry: cfg.Entry, Incarnation: uuid.NewString()}, cfg.MaxIssuedKeys),
		layout:      &layout{store: cfg.Store, shards: cfg.Shards},
		peerBackoff: peerBackoff{until: map[string]time.Time{}},
		now:         time.Now,
		markPrefix:  newMarkPrefix(),
	}
	for i := range cfg.Shards {
		c.groups = append(c.groups, newGroup(c, fmt.Sprintf("%04d", i)))
	}
	return c, nil
}

// Issue returns an idempotency key that only this incarnation of the entry can
// grant. Claims of it need no store, so they also work during a store outage,
// as long as this entry lives. The key is valid for one call of the workspace.
func (c *Claimer) Issue(workspace string) string {
	c.counters.keysIssued.Inc(1)
	return c.issuer.issue(workspace)
}

// Issuer returns this entry's name and incarnation.
func (c *Claimer) Issuer() Issuer { return c.issuer.id }

// token permits one dispatch of a call and can be settled once.
type token struct {
	key              Key
	mark             string
	forwardUncertain bool // an entry that it was forwarded to may still record the claim
	settled          atomic.Bool
}

// Claim requests permission to dispatch a call; only a fresh grant is
// permission. Every error means that this call was not and will not be
// dispatched: ErrNotRun and ErrBadKey mean "not run", ErrUnverified means
// "outcome unknown".
func (c *Claimer) Claim(ctx context.Context, key Key, req Request) (Grant, error) {
	t := &token{key: key, mark: c.newMark()}
	g, err := c.claim(ctx, t)
	if err != nil {
		if req.FirstSend && errors.Is(err, ErrUnverified) {
			err = errors.Annotatef(ErrNotRun, "first call under the key: %v", err)
		}
		c.counters.refused.Inc(1)
		return Grant{}, errors.Annotatef(err, "request %s", req.ID)
	}
	if !g.Fresh {
		c.counters.prior.Inc(1)
		return g, nil
	}
	c.counters.granted.Inc(1)
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
		return Grant{Fresh: v != verdictRefuse && err == nil, Prior: prior}, errors.Trace(err)
	}
	return c.claimAtIssuer(ctx, by, key, mark)
}

// claimStored records a claim in the key's shard, through the shard's preferred
// writer or else with a write of this entry.
func (c *Claimer) claimStored(ctx context.Context, t *token) (Grant, error) {
	o := newOp(opClaim, t.key.hash(), t.mark)
	g := c.groupFor(o.hash)
	r, certain := g.forwardClaim(ctx, o)
	err := r.err
	if !certain {
		r, err = c.runOp(ctx, o)
	}
	t.forwardUncertain = o.forwardUncertain
	fresh := err == nil && r.verdict != verdictRefuse
	if o.forwardUncertain && !fresh {
		g.release(o) // another entry may have recorded it or may still do so
	}
	if err != nil {
		return Grant{}, err
	}
	return Grant{Fresh: fresh, Prior: r.prior}, nil
}

// claimAtIssuer asks the issuer for the claim. Without its response the call is
// never granted, because the issuer may have granted another one. The recorded
// outcome is returned instead, if there is one.
func (c *Claimer) claimAtIssuer(ctx context.Context, by Issuer, key Key, mark string) (Grant, error) {
	err := error(ErrUnverified)
	if c.cfg.Peers != nil {
		var g Grant
		g, err = c.cfg.Peers.ClaimIssued(ctx, by, key, mark)
		if err == nil || errors.Is(err, ErrBadKey) {
			return Grant{Fresh: g.Fresh && err == nil, Prior: g.Prior}, err
		}
	}
	c.counters.issuerLost.Inc(1)
	r, lookupErr := c.runOp(ctx, newOp(opLookup, key.hash(), mark))
	if lookupErr != nil || r.prior.State == Unknown {
		return Grant{}, errors.Annotatef(ErrUnverified, "step claim at issuer, peer %s: %v", by.Entry, err)
	}
	return Grant{Prior: r.prior}, nil
}

// runOp queues one op of a shard and waits for its result or for ctx.
func (c *Claimer) runOp(ctx context.Context, o *op) (result, error) {
	g := c.groupFor(o.hash)
	if !g.enqueue(o) {
		c.counters.overloaded.Inc(1)
		return result{}, errors.Annotatef(ErrUnverified, "step queue claim, shard %s: %d pending", g.name, c.cfg.MaxPendingOps)
	}
	select {
	case r := <-o.resultCh:
		return c.loadSealedRecord(ctx, o, r), r.err
	case <-ctx.Done():
		if r, ok := g.abandon(o); ok {
			return c.loadSealedRecord(ctx, o, r), r.err
		}
		return result{}, errors.Annotatef(ErrUnverified, "step claim, shard %s: %v", g.name, ctx.Err())
	}
}

// loadSealedRecord reads the record of a key whose claim is in a sealed object.
// If the object can't be read now, the state stays Unknown.
func (c *Claimer) loadSealedRecord(ctx context.Context, o *op, r result) result {
	if r.sealed == "" {
		return r
	}
	s, err := readSealed(ctx, c.cfg.Store, r.sealed)
	if err != nil {
		c.counters.unsealFailed.Inc(1)
		return r
	}
	if e, ok := s.Claims[o.hash]; ok {
		r.prior = e.prior(c.now(), c.cfg.MaxRunTime)
	}
	return r
}

// Settle records how the call of a fresh grant ended. Use OutcomeNotRun only if
// the call certainly did not run and will not: it frees the key. Settle returns
// once the outcome is recorded. If ctx ends earlier, recording continues in the
// background and Settle returns ctx's error. Until the outcome is recorded, a
// resend gets Running, and if this entry dies before that, Unknown.
func (c *Claimer) Settle(ctx context.Context, g Grant, o Outcome) error {
	if g.token == nil || !g.token.settled.CompareAndSwap(false, true) {
		return errors.Annotate(ErrAlreadySettled, "step settle")
	}
	o.Record = c.truncateResponse(o.Record)
	t := g.token
	by, serial, err := parseIssued(t.key.IdempotencyKey)
	issued := err == nil
	if issued && by == c.issuer.id {
		c.issuer.settle(serial, t.mark, o)
	} else if issued {
		c.settleAtIssuer(ctx, by, t, o)
	}
	if issued && o.Kind == OutcomeNotRun {
		return nil // the store has no record of it
	}
	return c.settleStored(ctx, t, o, issued)
}

// settleAtIssuer is best effort: an issuer that does not receive the outcome
// keeps reporting Running and never grants the key again.
func (c *Claimer) settleAtIssuer(ctx context.Context, by Issuer, t *token, o Outcome) {
	if c.cfg.Peers == nil {
		return
	}
	if err := c.cfg.Peers.SettleIssued(ctx, by, t.key, t.mark, o); err != nil {
		c.counters.issuerLost.Inc(1)
	}
}

func (c *Claimer) settleStored(ctx context.Context, t *token, o Outcome, issued bool) error {
	op := newOp(opSettle, t.key.hash(), t.mark)
	op.outcome = o
	op.issued = issued
	op.withdrawMark = t.forwardUncertain && o.Kind == OutcomeNotRun
	g := c.groupFor(op.hash)
	g.enqueueSettlement(op)
	select {
	case r := <-op.resultCh:
		return r.err
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "step settle, shard %s", g.name)
	}
}

func (c *Claimer) truncateResponse(r Record) Record {
	if len(r.Response) > c.cfg.MaxResponseBytes {
		return Record{Status: r.Status, Truncated: true}
	}
	return r
}

// ServeClaim handles a peer's ClaimIssued call.
func (c *Claimer) ServeClaim(key Key, mark string) (Grant, error) {
	by, serial, err := parseIssued(key.IdempotencyKey)
	if err != nil {
		return Grant{}, errors.Annotate(err, "step serve claim")
	}
	if by != c.issuer.id {
		return Grant{}, errors.Annotatef(ErrUnverified, "step serve claim: issued by %s/%s", by.Entry, by.Incarnation)
	}
	v, prior, err := c.issuer.claim(serial, key.Workspace, mark)
	return Grant{Fresh: v != verdictRefuse && err == nil, Prior: prior}, errors.Trace(err)
}

// ServeSettle handles a peer's SettleIssued call.
func (c *Claimer) ServeSettle(key Key, mark string, o Outcome) error {
	by, serial, err := parseIssued(key.IdempotencyKey)
	if err != nil || by != c.issuer.id {
		return errors.Annotate(ErrBadKey, "step serve settle")
	}
	c.issuer.settle(serial, mark, o)
	return nil
}

// Preload reads the sealed objects of the shards that this entry may have to
// write, so that claims need not wait for these reads. Call it before the entry
// reports that it is ready, and repeatedly afterwards. It may run concurrently
// with claims.
func (c *Claimer) Preload(ctx context.Context) error {
	if err := c.layout.check(ctx); err != nil {
		return errors.Annotate(err, "step preload claims")
	}
	for _, g := range c.groups {
		if !g.keepsIndex() {
			continue
		}
		s, _, err := g.readShard(ctx)
		if err == nil {
			_, err = g.sealed.loadView(ctx, c, s.Sealed)
		}
		if err != nil {
			return errors.Annotatef(err, "step preload claims, shard %s", g.name)
		}
	}
	return nil
}

// Flush waits until no shard has pending writes, for a graceful shutdown.
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

func (c *Claimer) groupFor(hash string) *group {
	h := fnv.New32a()
	_, _ = h.Write([]byte(hash))
	return c.groups[h.Sum32()%uint32(len(c.groups))]
}

// newMark returns a mark that is unique to one claim of one incarnation.
func (c *Claimer) newMark() string {
	return c.markPrefix + strconv.FormatUint(c.serial.Add(1), serialBase)
}

// newMarkPrefix returns 64 random bits as text. It is short because every
// record contains a mark.
func newMarkPrefix() string { return randomID() + "." }

// counters are the metrics of a Claimer.
type counters struct {
	granted, prior, refused, released, overloaded, shardFull                  metrics.Counter
	keysIssued, issuerLost                                                    metrics.Counter
	storeReads, storeWrites, storeConflicts, storeResponsesLost, opsCommitted metrics.Counter
	restored                                                                  metrics.Counter
	responsesDropped, settlementsDropped                                      metrics.Counter
	sealed, unsealFailed                                                      metrics.Counter
	forwarded, forwardsLost, withdrawnDropped                                 metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("claim."+name, r) }
	return counters{
		granted:            get("granted"),
		prior:              get("prior"),
		refused:            get("refused"),
		released:           get("released"),
		overloaded:         get("overloaded"),
		shardFull:          get("shard_full"),
		keysIssued:         get("keys_issued"),
		issuerLost:         get("issuer_lost"),
		storeReads:         get("store_reads"),
		storeWrites:        get("store_writes"),
		storeConflicts:     get("store_conflicts"),
		storeResponsesLost: get("store_answers_lost"),
		opsCommitted:       get("ops_landed"),
		sealed:             get("sealed"),
		forwarded:          get("forwarded"),
		forwardsLost:       get("forwards_lost"),
		withdrawnDropped:   get("withdrawn_dropped"),
		unsealFailed:       get("unseal_failed"),
		responsesDropped:   get("answers_dropped"),
		settlementsDropped: get("settlements_dropped"),
		restored:           get("restored"),
	}
}
