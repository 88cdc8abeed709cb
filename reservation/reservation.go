// Package reservation reserves memory on several engines for one prompt that no single
// engine has room for.
//
// The package guarantees the following. A reservation is all or nothing, and no memory is
// held while waiting for more, so two prompts can't wait for each other. Every reservation
// is released on every path, also when its caller is gone. Leases are short and renewed, so
// an entry that dies holds memory only briefly. The owner is notified if no prompt begins
// to use the memory, so an unresponsive engine doesn't hold it for long either.
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
	// ErrNoMemory means that the engine has no room at present. Nothing was reserved.
	ErrNoMemory = errors.ConstError("engine has no free memory")
	// ErrOutcomeUnknown means that no reply arrived; the memory may be reserved.
	ErrOutcomeUnknown = errors.ConstError("outcome of the engine call unknown")
	// ErrUnused means that no prompt has begun to use the memory in time. It is the
	// cancellation cause of the context that Reservation.Context returns.
	ErrUnused = errors.ConstError("reserved memory was not used in time")
)

const (
	// leaseDuration is how long a reservation lasts without renewal. The platform counts
	// memory as lost four seconds after its last use.
	leaseDuration = 3 * time.Second
	// renewInterval allows two renewals before the lease expires.
	renewInterval = time.Second
	// callTimeout bounds one call to an engine. Engines respond within a millisecond; a
	// lost packet is retransmitted after a second.
	callTimeout = 700 * time.Millisecond
	// maxReleaseAttempts and releaseRetryDelay bound the attempts to release a part. The
	// lease ends it in any case.
	maxReleaseAttempts = 3
	releaseRetryDelay  = 200 * time.Millisecond
)

// Usage is the state of a reservation as its engine reports it.
type Usage string

// The states of a reservation.
const (
	UsageUnknown Usage = "unknown" // the engine reported no state
	Unused       Usage = "unused"  // reserved, and no prompt has begun to fill it
	InUse        Usage = "in_use"  // a prompt is held in it or being prefilled into it
	NotHeld      Usage = "not_held"
)

// EngineClient sends requests to engines.
type EngineClient interface {
	// Reserve reserves tokens under an id, or renews the reservation with that id. The
	// error is ErrNoMemory or ErrOutcomeUnknown.
	Reserve(ctx context.Context, e Engine, id string, tokens int, hold time.Duration) error
	// Release ends a reservation. It is not an error if the reservation doesn't exist.
	Release(ctx context.Context, e Engine, id string) error
	// Usage returns the state of a reservation as of some hundred milliseconds ago. It
	// returns UsageUnknown with every error.
	Usage(ctx context.Context, e Engine, id string) (Usage, error)
}

// Engine identifies an engine for an EngineClient.
type Engine struct {
	Address  string
	Instance string
}

// Part is the memory reserved on one engine.
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
	metrics reservationMetrics
	pending sync.WaitGroup // renewals, releases and usage checks in progress
}

// New returns a Reserver whose ids begin with owner, which must be unique to this process.
func New(engines EngineClient, owner uint64, log logrus.FieldLogger, r metrics.Registry) *Reserver {
	return &Reserver{engines: engines, owner: strconv.FormatUint(owner, 36), log: log, metrics: newReservationMetrics(r)}
}

// Acquire reserves all parts or none. On failure it returns the index of the first part
// that could not be reserved and the error of that part. Log lines about the reservation
// carry request, the id of the request that it is for.
func (r *Reserver) Acquire(ctx context.Context, request string, parts []Part) (reservation *Reservation, failed int, err error) {
	for i := range parts {
		parts[i].ID = r.owner + "-" + strconv.FormatUint(r.seq.Add(1), 36)
	}
	results := make([]error, len(parts))
	var group errgroup.Group
	for i := range parts {
		group.Go(func() error {
			results[i] = r.call(ctx, func(ctx context.Context) error { return r.reserve(ctx, &parts[i]) })
			return nil
		})
	}
	_ = group.Wait() // the errors are in results
	for i, result := range results {
		if result == nil {
			continue
		}
		r.releaseFailed(parts, results)
		return nil, i, errors.Annotatef(result, "step reserve memory, peer %s", parts[i].Engine.Address)
	}
	return r.newReservation(context.WithoutCancel(ctx), request, parts), 0, nil
}

func (r *Reserver) reserve(ctx context.Context, p *Part) error {
	return r.engines.Reserve(ctx, p.Engine, p.ID, p.Tokens, leaseDuration)
}

func (r *Reserver) call(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return send(ctx)
}

// releaseFailed releases in the background what a failed Acquire may have reserved. A part
// whose reply was lost counts as reserved.
func (r *Reserver) releaseFailed(parts []Part, results []error) {
	for i := range parts {
		if errors.Is(results[i], ErrNoMemory) {
			continue
		}
		p := parts[i]
		r.pending.Go(func() { r.release(p) })
	}
}

// release releases one part, and retries if a reply is lost.
func (r *Reserver) release(p Part) {
	for try := range maxReleaseAttempts {
		err := r.call(context.Background(), func(ctx context.Context) error {
			return r.engines.Release(ctx, p.Engine, p.ID)
		})
		if err == nil {
			return
		}
		r.log.WithError(err).WithFields(logrus.Fields{"server": p.Engine.Address, "reservation": p.ID, "try": try + 1}).
			Warn("reservation not released; it ends when its lease expires")
		sleep.For(context.Background(), releaseRetryDelay)
	}
}

// Wait waits until all renewals, releases and usage checks have ended.
func (r *Reserver) Wait() { r.pending.Wait() }
