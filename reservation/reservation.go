// Package reservation sets memory aside on several engines for one prompt that no
// single engine has room for.
//
// Rules kept here: all or nothing, and nothing is held while it waits for more, so
// that two prompts can't wait for each other; every reservation is released on
// every way out, also when its caller is gone; its lease is short and renewed, so
// that an entry that dies leaves nothing behind for long; and its owner is told where
// no prompt begins to use it, so that a silent engine keeps nothing for long either.
package reservation

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/briarturn/briarturn/internal/sleep"
)

// Errors of a reservation. Test with errors.Is.
const (
	// ErrNoMemory: the engine has no room now. Nothing was reserved.
	ErrNoMemory = errors.ConstError("engine has no free memory")
	// ErrOutcomeUnknown: no answer; the reservation may be held.
	ErrOutcomeUnknown = errors.ConstError("outcome of the order unknown")
	// ErrUnused: no prompt has begun to use the memory in time. It is the cause of
	// the end of a Held's Context.
	ErrUnused = errors.ConstError("reserved memory is not used")
)

const (
	// lease is how long a reservation holds without being renewed. The platform
	// counts memory as lost four seconds after its last use.
	lease = 3 * time.Second
	// renewEvery leaves two tries before the lease ends.
	renewEvery = time.Second
	// orderTimeout bounds one order. Engines answer within a millisecond; a lost
	// packet is sent again after a second.
	orderTimeout = 700 * time.Millisecond
	// releaseTries and releasePause bound the tries of a release; the lease ends
	// the reservation in any case.
	releaseTries = 3
	releasePause = 200 * time.Millisecond
)

// Usage is what an engine says of a reservation.
type Usage string

// Uses of a reservation.
const (
	UsageUnknown Usage = "unknown" // the engine didn't say
	Unused       Usage = "unused"  // reserved, and no prompt has begun to fill it
	InUse        Usage = "in_use"  // a prompt is kept in it, or being read into it
	NotHeld      Usage = "not_held"
)

// EngineClient gives orders to engines.
type EngineClient interface {
	// Reserve sets tokens aside under an id, or renews what is under it. The error
	// is ErrNoMemory or ErrUnknown.
	Reserve(ctx context.Context, e Engine, id string, tokens int, hold time.Duration) error
	// Release ends a reservation; one that doesn't exist is no error.
	Release(ctx context.Context, e Engine, id string) error
	// Usage tells whether a reservation is in use, as of some hundred milliseconds ago.
	// With an error it is UsageUnknown.
	Usage(ctx context.Context, e Engine, id string) (Usage, error)
}

// Engine names an engine to an Engines.
type Engine struct {
	Address  string
	Instance string
}

// Part is what one engine holds.
type Part struct {
	Engine Engine
	Tokens int
	ID     string // set by Acquire
}

// Reserver makes reservations. It is safe for concurrent use.
type Reserver struct {
	engines EngineClient
	owner   string
	seq     atomic.Uint64
	log     logrus.FieldLogger
	tally   tally
	pending sync.WaitGroup // releases and renewals in progress
}

// New returns a Reserver whose ids begin with owner, which no other process uses.
func New(engines EngineClient, owner uint64, log logrus.FieldLogger, r metrics.Registry) *Reserver {
	return &Reserver{engines: engines, owner: strconv.FormatUint(owner, 36), log: log, tally: newTally(r)}
}

// Acquire reserves all parts or none. The error is that of a part that could not be
// had; failed is its index. Lines about the reservations carry request, the id of the
// request that they are for.
func (r *Reserver) Acquire(ctx context.Context, request string, parts []Part) (held *Reservation, failed int, err error) {
	for i := range parts {
		parts[i].ID = r.owner + "-" + strconv.FormatUint(r.seq.Add(1), 36)
	}
	results := make([]error, len(parts))
	var group errgroup.Group
	for i := range parts {
		group.Go(func() error {
			results[i] = r.order(ctx, func(ctx context.Context) error { return r.reserve(ctx, &parts[i]) })
			return nil
		})
	}
	_ = group.Wait() // the errors are in results
	for i, result := range results {
		if result == nil {
			continue
		}
		r.releaseAll(parts, results)
		return nil, i, errors.Annotatef(result, "step reserve memory, peer %s", parts[i].Engine.Address)
	}
	return r.hold(context.WithoutCancel(ctx), request, parts), 0, nil
}

func (r *Reserver) reserve(ctx context.Context, p *Part) error {
	return r.engines.Reserve(ctx, p.Engine, p.ID, p.Tokens, lease)
}

func (r *Reserver) order(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return send(ctx)
}

// releaseAll ends what a failed Acquire may hold, in the background: a part whose
// answer was lost counts as held.
func (r *Reserver) releaseAll(parts []Part, results []error) {
	for i := range parts {
		if errors.Is(results[i], ErrNoMemory) {
			continue
		}
		p := parts[i]
		r.pending.Go(func() { r.release(p) })
	}
}

// release ends one part, and tries again where an answer is lost.
func (r *Reserver) release(p Part) {
	for try := range releaseTries {
		err := r.order(context.Background(), func(ctx context.Context) error {
			return r.engines.Release(ctx, p.Engine, p.ID)
		})
		if err == nil {
			return
		}
		r.log.WithError(err).WithFields(logrus.Fields{"server": p.Engine.Address, "reservation": p.ID, "try": try + 1}).
			Warn("reservation not released; its lease ends it")
		sleep.For(context.Background(), releasePause)
	}
}

// Wait waits until all releases have ended.
func (r *Reserver) Wait() { r.pending.Wait() }
