package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Forwarding brings the changes of one shard to one entry, its preferred
// writer, so that a write carries more of them and meets fewer others. Nothing
// of the safety rests on who that is: the preferred writer makes the same
// conditional write that any entry may make, under the mark of the claim's own
// entry. Only that entry dispatches, and only it takes the claim back.

// ChangeKind is what a Change does to a shard.
type ChangeKind uint8

// Kinds of change.
const (
	ChangeClaim ChangeKind = iota + 1
	ChangeSettle
)

// Change is one change of a shard on its way to the preferred writer.
type Change struct {
	Kind         ChangeKind
	Hash         string // of workspace and key
	Mark         string // unique to one claim; every path that a claim takes carries it
	Outcome      Outcome
	Issued       bool // the outcome of an issued key, whose claim is not on record
	WithdrawMark bool // no claim with this mark may be recorded any more
}

// Batch is what one entry sends to a shard's preferred writer.
type Batch struct {
	Shard     string
	Shards    int       // number of shards as set at the sender
	ExpiresAt time.Time // by wall clocks: no claim of the batch is recorded on a later reading
	Changes   []Change
}

// ChangeResultKind is what became of a Change.
type ChangeResultKind uint8

// Kinds of answer. With ResultUncertain the change may be on record, now or later.
const (
	ResultUncertain ChangeResultKind = iota
	ResultGranted                    // on record
	ResultPrior                      // another claim is on record; Prior tells of it
	ResultNotRun                     // not on record, nor will it be; nothing had run
	ResultSettled                    // on record
	ResultRefused                    // not on record, nor will it be; the store is in trouble there
)

// ChangeResult is the preferred writer's answer to one Change.
type ChangeResult struct {
	Kind  ChangeResultKind
	Prior Prior
}

const (
	// maxForwards is how many entries are asked before the claim's own entry
	// writes.
	maxForwards = 2
	// forwardLife is how long after it was sent a forwarded claim may still be
	// recorded.
	forwardLife = 30 * time.Second
	// withdrawnLife is how long a shard remembers a withdrawn mark: forwardLife
	// and ample room for wall clocks that differ.
	withdrawnLife = 10 * time.Minute
	// avoidFor is how long an entry that gave no answer isn't forwarded to, and
	// for how long one whose store failed lets others write.
	avoidFor = 5 * time.Second
)

// errUnsure: a served change may be on record, now or later.
const errUnsure = errors.ConstError("outcome of the write unknown")

// avoided remembers the entries that gave no answer.
type avoided struct {
	mu    sync.Mutex // guards until
	until map[string]time.Time
}

func (a *avoided) add(entry string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[entry] = until
}

func (a *avoided) has(entry string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.until[entry]
	if ok && !now.Before(until) {
		delete(a.until, entry)
	}
	return ok && now.Before(until)
}

// writer returns the entry to forward a shard's changes to, by rendezvous
// hashing over the live entries, and false if this entry writes itself. It does
// so until it has seen that its number of shards is the one on record.
func (g *group) writer() (string, bool) {
	if g.c.cfg.Peers == nil || !g.c.layout.agreed.Load() {
		return "", false
	}
	now := g.c.now()
	best, bestScore := "", uint64(0)
	for _, entry := range g.c.cfg.Peers.CandidateWriters() {
		score := g.score(entry)
		if (best == "" || score > bestScore) && !g.c.avoid.has(entry, now) {
			best, bestScore = entry, score
		}
	}
	return best, best != "" && best != g.c.cfg.Entry
}

func (g *group) score(entry string) uint64 { return xxhash.Sum64String(g.name + "/" + entry) }

// keeps reports whether this entry is the shard's preferred writer or would be
// the next.
func (g *group) keeps() bool {
	if g.c.cfg.Peers == nil {
		return true
	}
	mine, before := g.score(g.c.cfg.Entry), 0
	for _, entry := range g.c.cfg.Peers.CandidateWriters() {
		if g.score(entry) > mine {
			before++
		}
	}
	return before < keepers
}

// keepers is how many entries keep the index of a shard's sealed objects, so
// that the next one can take over at once.
const keepers = 2

// forward sends changes to one entry. An error or an answer that is missing
// leaves them unsure.
func (g *group) forward(ctx context.Context, entry string, changes []Change) ([]ChangeResult, error) {
	g.c.m.forwarded.Inc(int64(len(changes)))
	answers, err := g.c.cfg.Peers.Forward(ctx, entry, Batch{
		Shard:     g.name,
		Shards:    len(g.c.groups),
		ExpiresAt: g.c.now().Add(forwardLife),
		Changes:   changes,
	})
	if err == nil && len(answers) != len(changes) {
		err = errors.NotValidf("%d answers to %d changes", len(answers), len(changes))
	}
	if err != nil {
		g.c.m.forwardsLost.Inc(1)
		g.c.avoid.add(entry, g.c.now().Add(avoidFor))
	}
	return answers, errors.Annotatef(err, "step forward claims, shard %s, peer %s", g.name, entry)
}

// forwardClaim asks the preferred writers in turn. It returns false if none
// gave a certain answer: the claim is then settled through the store, under the
// same mark, by this entry's own group.
func (g *group) forwardClaim(ctx context.Context, o *op) (result, bool) {
	for range maxForwards {
		entry, ok := g.writer()
		if !ok || ctx.Err() != nil {
			return result{}, false
		}
		sending, cancel := context.WithTimeout(ctx, g.c.cfg.ForwardTimeout)
		answers, err := g.forward(sending, entry, []Change{{Kind: ChangeClaim, Hash: o.hash, Mark: o.mark}})
		cancel()
		if err == nil && answers[0].Kind != ResultUncertain {
			return o.forwardResult(answers[0], entry)
		}
		o.forwarded = true
		if err == nil {
			return result{}, false // the store is in trouble, not the entry
		}
	}
	return result{}, false
}

// forwardResult is the result of a certain answer. One that came after another
// entry was asked in vain is as certain: the mark is the same.
func (o *op) forwardResult(a ChangeResult, entry string) (result, bool) {
	switch a.Kind {
	case ResultGranted:
		return result{verdict: granted}, true
	case ResultPrior:
		return result{verdict: refuse, prior: a.Prior}, true
	case ResultNotRun:
		return result{verdict: refuse, err: errors.Annotatef(ErrNotRun, "step forward claim, peer %s", entry)}, true
	}
	return result{}, false
}

// forwardSettlements sends a group of settlements on. It returns false if they
// have to be written here, which does no harm where they are on record.
func (g *group) forwardSettlements(batch []*op) bool {
	if slices.ContainsFunc(batch, func(o *op) bool { return o.kind != opSettle || o.served }) {
		return false
	}
	entry, ok := g.writer()
	if !ok {
		return false
	}
	changes := make([]Change, 0, len(batch))
	for _, o := range batch {
		changes = append(changes, Change{Kind: ChangeSettle, Hash: o.hash, Mark: o.mark,
			Outcome: o.outcome, Issued: o.issued, WithdrawMark: o.withdraw})
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.c.cfg.StoreTimeout)
	defer cancel()
	answers, err := g.forward(ctx, entry, changes)
	markSent(batch)
	unsettled := func(a ChangeResult) bool { return a.Kind != ResultSettled }
	if err != nil || slices.ContainsFunc(answers, unsettled) {
		return false
	}
	for _, o := range batch {
		o.answer <- result{}
	}
	return true
}

// ServeForward answers a peer's Forward: it brings the batch into the shard
// with whatever else waits for it. It never takes a claim back on the sender's
// behalf: the sender may have found it on record and be running the call.
func (c *Claimer) ServeForward(ctx context.Context, b Batch) ([]ChangeResult, error) {
	i := slices.IndexFunc(c.groups, func(g *group) bool { return g.name == b.Shard })
	if i < 0 || b.Shards != len(c.groups) {
		return nil, errors.Annotatef(ErrShardCountMismatch, "step serve forwarded claims: shard %s of %d", b.Shard, b.Shards)
	}
	ops := make([]*op, 0, len(b.Changes))
	for _, change := range b.Changes {
		ops = append(ops, servedOp(change, b.ExpiresAt))
	}
	queued := !c.groups[i].inTrouble() && c.groups[i].add(ops...)
	answers := make([]ChangeResult, len(ops))
	for n, o := range ops {
		answers[n] = ChangeResult{Kind: ResultRefused}
		if queued {
			answers[n] = c.awaitServed(ctx, c.groups[i], o)
		}
	}
	return answers, nil
}

// inTrouble reports whether a forwarded claim had better not wait here: the last
// group failed a moment ago or the store is slow to answer. Its sender would
// stop waiting and could not tell whether the claim is on record.
func (g *group) inTrouble() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.c.now()
	slow := !g.started.IsZero() && now.Sub(g.started) > g.c.cfg.ForwardTimeout/2
	return slow || now.Sub(g.failed) < avoidFor
}

// setStarted notes that a try is on its way, or with the zero time that none
// is; setFailed notes when one failed, or with the zero time that the last did not.
func (g *group) setStarted(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = at
}

func (g *group) setFailed(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed = at
}

func servedOp(change Change, until time.Time) *op {
	kind := opClaim
	if change.Kind == ChangeSettle {
		kind = opSettle
	}
	o := newOp(kind, change.Hash, change.Mark)
	o.outcome = change.Outcome
	o.issued = change.Issued
	o.withdraw = change.WithdrawMark
	o.served = true
	o.until = until
	return o
}

func (c *Claimer) awaitServed(ctx context.Context, g *group, o *op) ChangeResult {
	select {
	case r := <-o.answer:
		return o.answerOf(c.unseal(ctx, o, r))
	case <-ctx.Done():
	}
	if r, ok := g.abandon(o); ok {
		return o.answerOf(c.unseal(ctx, o, r))
	}
	return ChangeResult{}
}

func (o *op) answerOf(r result) ChangeResult {
	switch {
	case errors.Is(r.err, errUnsure):
		return ChangeResult{}
	case errors.Is(r.err, ErrNotRun):
		return ChangeResult{Kind: ResultNotRun}
	case r.err != nil:
		return ChangeResult{Kind: ResultRefused}
	case o.kind == opSettle:
		return ChangeResult{Kind: ResultSettled}
	case r.verdict == refuse:
		return ChangeResult{Kind: ResultPrior, Prior: r.prior}
	}
	return ChangeResult{Kind: ResultGranted}
}
