package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Forwarding sends the changes of one shard to one entry, its preferred writer,
// so that each write carries more of them and conflicts with fewer others.
// Safety does not depend on which entry that is: the preferred writer makes the
// same conditional write that any entry may make, with the mark of the claim's
// own entry. Only that entry dispatches the call, and only that entry releases
// the claim.

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of change.
const (
	ChangeClaim ChangeKind = iota + 1
	ChangeSettle
)

// Change is one change of a shard, as sent to the preferred writer.
type Change struct {
	Kind         ChangeKind
	Hash         string // hash of workspace and key
	Mark         string // unique to one claim, and the same on every path that the claim takes
	Outcome      Outcome
	Issued       bool // the outcome of an issued key, whose claim is not recorded in the shard
	WithdrawMark bool // no claim with this mark may be recorded from now on
}

// Batch is what one entry sends to a shard's preferred writer.
type Batch struct {
	Shard     string
	Shards    int       // number of shards configured at the sender
	ExpiresAt time.Time // wall-clock time; a read of the shard after it records no claim of the batch
	Changes   []Change
}

// ChangeResultKind is the result of a Change.
type ChangeResultKind uint8

// Kinds of result. With ResultUncertain the change may be recorded, now or
// later.
const (
	ResultUncertain ChangeResultKind = iota
	ResultGranted                    // recorded
	ResultPrior                      // another claim is recorded; Prior holds its state
	ResultNotRun                     // not recorded and will not be; nothing had run
	ResultSettled                    // recorded
	ResultRefused                    // not recorded and will not be; the writer's store calls are failing or slow
)

// ChangeResult is the preferred writer's result for one Change.
type ChangeResult struct {
	Kind  ChangeResultKind
	Prior Prior
}

const (
	// maxForwardAttempts is how many entries are asked before the claim's own
	// entry writes.
	maxForwardAttempts = 2
	// forwardTTL is how long after sending a forwarded claim may still be
	// recorded.
	forwardTTL = 30 * time.Second
	// withdrawnTTL is how long a shard keeps a withdrawn mark: forwardTTL plus
	// a wide margin for clock differences between entries.
	withdrawnTTL = 10 * time.Minute
	// backoffPeriod is how long nothing is forwarded to an entry that did not
	// respond, and how long an entry refuses forwarded claims after its store
	// failed.
	backoffPeriod = 5 * time.Second
)

// errOutcomeUncertain: a change forwarded by a peer may be recorded, now or
// later.
const errOutcomeUncertain = errors.ConstError("outcome of the write unknown")

// peerBackoff holds the entries that recently did not respond.
type peerBackoff struct {
	mu    sync.Mutex // guards until
	until map[string]time.Time
}

func (a *peerBackoff) add(entry string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[entry] = until
}

func (a *peerBackoff) active(entry string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.until[entry]
	if ok && !now.Before(until) {
		delete(a.until, entry)
	}
	return ok && now.Before(until)
}

// preferredWriter returns the entry to forward a shard's changes to, by
// rendezvous hashing over the live entries, and false if this entry writes
// itself. It returns false until this entry has verified its number of shards
// against the one in the store.
func (g *group) preferredWriter() (string, bool) {
	if g.claimer.cfg.Peers == nil || !g.claimer.layout.verified.Load() {
		return "", false
	}
	now := g.claimer.now()
	best, bestScore := "", uint64(0)
	for _, entry := range g.claimer.cfg.Peers.CandidateWriters() {
		score := g.score(entry)
		if (best == "" || score > bestScore) && !g.claimer.peerBackoff.active(entry, now) {
			best, bestScore = entry, score
		}
	}
	return best, best != "" && best != g.claimer.cfg.Entry
}

func (g *group) score(entry string) uint64 { return xxhash.Sum64String(g.name + "/" + entry) }

// keepsIndex reports whether this entry is the shard's preferred writer or the
// next in line.
func (g *group) keepsIndex() bool {
	if g.claimer.cfg.Peers == nil {
		return true
	}
	ownScore, higherScores := g.score(g.claimer.cfg.Entry), 0
	for _, entry := range g.claimer.cfg.Peers.CandidateWriters() {
		if g.score(entry) > ownScore {
			higherScores++
		}
	}
	return higherScores < indexKeepers
}

// indexKeepers is how many entries keep the index of a shard's sealed objects,
// so that the next writer can take over at once.
const indexKeepers = 2

// forward sends changes to one entry. If it returns an error, or a result is
// missing, the outcome of the changes is uncertain.
func (g *group) forward(ctx context.Context, entry string, changes []Change) ([]ChangeResult, error) {
	g.claimer.counters.forwarded.Inc(int64(len(changes)))
	results, err := g.claimer.cfg.Peers.Forward(ctx, entry, Batch{
		Shard:     g.name,
		Shards:    len(g.claimer.groups),
		ExpiresAt: g.claimer.now().Add(forwardTTL),
		Changes:   changes,
	})
	if err == nil && len(results) != len(changes) {
		err = errors.NotValidf("%d results for %d changes", len(results), len(changes))
	}
	if err != nil {
		g.claimer.counters.forwardsLost.Inc(1)
		g.claimer.peerBackoff.add(entry, g.claimer.now().Add(backoffPeriod))
	}
	return results, errors.Annotatef(err, "step forward claims, shard %s, peer %s", g.name, entry)
}

// forwardClaim asks the preferred writers in turn. It returns false if none
// gave a certain result; this entry's own group then settles the claim through
// the store, with the same mark.
func (g *group) forwardClaim(ctx context.Context, o *op) (result, bool) {
	for range maxForwardAttempts {
		entry, ok := g.preferredWriter()
		if !ok || ctx.Err() != nil {
			return result{}, false
		}
		sending, cancel := context.WithTimeout(ctx, g.claimer.cfg.ForwardTimeout)
		results, err := g.forward(sending, entry, []Change{{Kind: ChangeClaim, Hash: o.hash, Mark: o.mark}})
		cancel()
		if err == nil && results[0].Kind != ResultUncertain {
			return o.forwardResult(results[0], entry)
		}
		o.forwardUncertain = true
		if err == nil {
			return result{}, false // the entry responded; its store is failing
		}
	}
	return result{}, false
}

// forwardResult converts a result other than ResultUncertain. It is just as
// certain if another entry was asked before without an response, because the mark
// is the same.
func (o *op) forwardResult(a ChangeResult, entry string) (result, bool) {
	switch a.Kind {
	case ResultGranted:
		return result{verdict: verdictAlreadyGranted}, true
	case ResultPrior:
		return result{verdict: verdictRefuse, prior: a.Prior}, true
	case ResultNotRun:
		return result{verdict: verdictRefuse, err: errors.Annotatef(ErrNotRun, "step forward claim, peer %s", entry)}, true
	}
	return result{}, false
}

// forwardSettlements forwards a group of settlements. It returns false if they
// have to be written here, which is harmless for those already recorded.
func (g *group) forwardSettlements(batch []*op) bool {
	if slices.ContainsFunc(batch, func(o *op) bool { return o.kind != opSettle || o.fromPeer }) {
		return false
	}
	entry, ok := g.preferredWriter()
	if !ok {
		return false
	}
	changes := make([]Change, 0, len(batch))
	for _, o := range batch {
		changes = append(changes, Change{Kind: ChangeSettle, Hash: o.hash, Mark: o.mark,
			Outcome: o.outcome, Issued: o.issued, WithdrawMark: o.withdrawMark})
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.claimer.cfg.StoreTimeout)
	defer cancel()
	results, err := g.forward(ctx, entry, changes)
	markMaybeWritten(batch)
	unsettled := func(a ChangeResult) bool { return a.Kind != ResultSettled }
	if err != nil || slices.ContainsFunc(results, unsettled) {
		return false
	}
	g.written.rememberForwarded(batch, g.claimer.now())
	for _, o := range batch {
		o.resultCh <- result{}
	}
	return true
}

// ServeForward handles a peer's Forward call: it queues the batch for the
// shard's next group. It never releases a claim on the sender's behalf, because
// the sender may have found it recorded and be running the call.
func (c *Claimer) ServeForward(ctx context.Context, b Batch) ([]ChangeResult, error) {
	i := slices.IndexFunc(c.groups, func(g *group) bool { return g.name == b.Shard })
	if i < 0 || b.Shards != len(c.groups) {
		return nil, errors.Annotatef(ErrShardCountMismatch, "step serve forwarded claims: shard %s of %d", b.Shard, b.Shards)
	}
	ops := make([]*op, 0, len(b.Changes))
	for _, change := range b.Changes {
		ops = append(ops, newPeerOp(change, b.ExpiresAt))
	}
	queued := !c.groups[i].storeDegraded() && c.groups[i].enqueue(ops...)
	results := make([]ChangeResult, len(ops))
	for n, o := range ops {
		results[n] = ChangeResult{Kind: ResultRefused}
		if queued {
			results[n] = c.waitForPeerOp(ctx, c.groups[i], o)
		}
	}
	return results, nil
}

// storeDegraded reports whether forwarded claims should be refused: the last
// group failed less than backoffPeriod ago, or the store is slow to respond. The
// sender would stop waiting and could not determine whether the claim is
// recorded.
func (g *group) storeDegraded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.claimer.now()
	slow := !g.tryStarted.IsZero() && now.Sub(g.tryStarted) > g.claimer.cfg.ForwardTimeout/2
	return slow || now.Sub(g.lastFailure) < backoffPeriod
}

// setTryStarted records when the current attempt started; the zero time means
// that none is in progress. setLastFailure records when a group failed; the
// zero time means that the last one did not.
func (g *group) setTryStarted(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tryStarted = at
}

func (g *group) setLastFailure(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastFailure = at
}

func newPeerOp(change Change, until time.Time) *op {
	kind := opClaim
	if change.Kind == ChangeSettle {
		kind = opSettle
	}
	o := newOp(kind, change.Hash, change.Mark)
	o.outcome = change.Outcome
	o.issued = change.Issued
	o.withdrawMark = change.WithdrawMark
	o.fromPeer = true
	o.expiresAt = until
	return o
}

func (c *Claimer) waitForPeerOp(ctx context.Context, g *group, o *op) ChangeResult {
	select {
	case r := <-o.resultCh:
		return o.changeResult(c.loadSealedRecord(ctx, o, r))
	case <-ctx.Done():
	}
	if r, ok := g.abandon(o); ok {
		return o.changeResult(c.loadSealedRecord(ctx, o, r))
	}
	return ChangeResult{}
}

func (o *op) changeResult(r result) ChangeResult {
	switch {
	case errors.Is(r.err, errOutcomeUncertain):
		return ChangeResult{}
	case errors.Is(r.err, ErrNotRun):
		return ChangeResult{Kind: ResultNotRun}
	case r.err != nil:
		return ChangeResult{Kind: ResultRefused}
	case o.kind == opSettle:
		return ChangeResult{Kind: ResultSettled}
	case r.verdict == verdictRefuse:
		return ChangeResult{Kind: ResultPrior, Prior: r.prior}
	}
	return ChangeResult{Kind: ResultGranted}
}
