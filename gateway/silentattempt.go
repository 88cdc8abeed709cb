package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/routetable"
)

// An attempt that shows nothing past its forecast moves to another server before its caller
// leaves. placement.Silence decides; this file watches the attempts and ends them.

// errMoved is the cancellation cause of an attempt that was ended because it showed nothing.
const errMoved = errors.ConstError("attempt showed nothing")

const (
	// silenceCheckInterval is the shortest time between two checks of a silent attempt, and
	// silenceCheckShare the share of the time since its start. In a burst an entry has hundreds of
	// them.
	silenceCheckInterval = 50 * time.Millisecond
	silenceCheckShare    = 0.125
	// maxCheckDelay is how late a check may run. If it is later, the process was stopped, and
	// events that have arrived meanwhile are not read yet.
	maxCheckDelay = 150 * time.Millisecond
	// movesPerSecond and moveBurst bound the moves of an entry.
	movesPerSecond = 5
	moveBurst      = 10
)

// moveDenial is why a silent attempt does not move.
type moveDenial string

const (
	moveDeniedOverload moveDenial = "overload" // too many servers are overdue, or requests wait for room
	moveDeniedNoGain   moveDenial = "no_gain"  // no other server is clearly earlier
	moveDeniedRate     moveDenial = "rate"     // moves of this entry
	moveDeniedBudget   moveDenial = "budget"   // retry budget that all entries share
)

var moveDenials = []moveDenial{moveDeniedOverload, moveDeniedNoGain, moveDeniedRate, moveDeniedBudget}

// silenceWatch ends one attempt if it shows nothing. Its checks run beside the exchange, of
// which they read only what doesn't change during an attempt.
type silenceWatch struct {
	exchange *exchange
	attempt  *placedAttempt
	cancel   context.CancelCauseFunc

	mu        sync.Mutex // guards what follows; the retry budget and the ledger are locked under it
	timer     *time.Timer
	due       time.Time // of the next check
	ended     bool      // something of the response is relayed, or the attempt has ended
	moved     bool
	silence   placement.Silence // that moved it
	elsewhere time.Duration     // forecast of another placement then
	retry     *retrybudget.Withdrawal
	denied    map[moveDenial]bool // causes that were counted
}

// watchSilence returns a context that ends with its parent, or with the cause errMoved when the
// attempt should move to another server. Call the returned function after the attempt; it hands
// the retry over to the next one.
func (e *exchange) watchSilence(parent context.Context, attempt *placedAttempt) (context.Context, func()) {
	if !e.mayMove(attempt) {
		return parent, func() {}
	}
	ctx, cancel := context.WithCancelCause(parent)
	w := &silenceWatch{exchange: e, attempt: attempt, cancel: cancel, denied: map[moveDenial]bool{}}
	attempt.watch = w
	w.mu.Lock()
	w.schedule(placement.Patience(attempt.Forecast))
	w.mu.Unlock()
	return ctx, func() {
		w.end()
		e.finishMove(w)
		cancel(context.Canceled)
	}
}

// mayMove reports whether an attempt may move if it shows nothing. Attempts with reserved memory
// are watched by their reservation.
func (e *exchange) mayMove(attempt *placedAttempt) bool {
	f := e.gateway.cfg.Options.Features
	return f.Enabled(f.SilentAttempts, e.service) &&
		e.route.Kind == routetable.Stream && e.route.Repeatable() && e.route.Objective > 0 &&
		!e.stream.headSent && attempt.reservation == nil && attempt.Forecast > 0 &&
		!e.moved && e.sends+1 < e.route.MaxAttempts
}

// schedule sets the time of the next check. The caller holds mu.
func (w *silenceWatch) schedule(after time.Duration) {
	w.due = time.Now().Add(after)
	w.timer = time.AfterFunc(after, w.check)
}

// check moves the attempt if it should, and otherwise schedules the next check.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := time.Now()
	if now.Sub(w.due) <= maxCheckDelay && w.decide(now) {
		return
	}
	w.schedule(max(silenceCheckInterval, time.Duration(silenceCheckShare*float64(now.Sub(w.exchange.placedAt)))))
}

// decide moves the attempt if it should and reports whether the watch is over. What is cheap to
// find out comes first: a forecast takes as long as a placement.
func (w *silenceWatch) decide(now time.Time) bool {
	e := w.exchange
	q := e.placementQuery()
	silence, ok := w.attempt.Silence(q)
	if !ok {
		return true
	}
	switch silence.Verdict() {
	case placement.KeepWaiting:
		return false
	case placement.MoveOverloaded:
		return w.deny(moveDeniedOverload)
	}
	if e.gateway.roomIsShort() {
		return w.deny(moveDeniedOverload)
	}
	if e.gateway.moves.TokensAt(now) < 1 {
		return w.deny(moveDeniedRate)
	}
	candidates, _, _ := e.candidates(now)
	elsewhere := w.attempt.Elsewhere(silence, q, candidates)
	if !silence.Gains(elsewhere) {
		return w.deny(moveDeniedNoGain)
	}
	w.silence, w.elsewhere = silence, elsewhere
	return w.move(now)
}

// move ends the attempt if the rate of moves and the retry budget allow it, and reports whether
// they do. The retry is withdrawn first: without one the attempt is better than none.
func (w *silenceWatch) move(now time.Time) bool {
	g := w.exchange.gateway
	w.retry = g.cfg.Budget.TryWithdraw(w.exchange.service.Name, boottime.Now())
	if w.retry == nil {
		return w.deny(moveDeniedBudget)
	}
	if !g.moves.AllowN(now, 1) {
		w.retry.Release()
		w.retry = nil
		return w.deny(moveDeniedRate)
	}
	w.moved = true
	w.cancel(errMoved)
	return true
}

// deny counts a denial once per attempt. It returns false.
func (w *silenceWatch) deny(cause moveDenial) bool {
	if !w.denied[cause] {
		w.denied[cause] = true
		w.exchange.gateway.counters.movesDenied[cause].Inc(1)
	}
	return false
}

// end ends the watch because something of the response is about to be relayed. It returns false
// if the attempt has moved, so that nothing of it may be relayed. It may be called more than
// once, and on a nil watch.
func (w *silenceWatch) end() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved {
		return false
	}
	w.ended = true
	w.timer.Stop()
	return true
}

// movedAway reports whether the context of an attempt ended because the attempt showed nothing.
func movedAway(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errMoved) }

// finishMove records a move after its attempt has ended.
func (e *exchange) finishMove(w *silenceWatch) {
	if !w.moved {
		return
	}
	e.moved, e.moveRetry = true, w.retry
	suspect := w.silence.Suspect
	e.triedInstances[suspect.Instance] = true
	w.attempt.Refused(suspect.Instance)
	e.gateway.counters.moved.Inc(1)
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.info.ID, "server": e.serverAddress, "suspect": suspect.Address, "mute": w.silence.SuspectSilent,
		"waited_ms": w.silence.Waited.Milliseconds(), "forecast_ms": w.silence.Forecast.Milliseconds(),
		"elsewhere_ms": w.elsewhere.Milliseconds(),
	}).Info("attempt moved, nothing shown")
}

// withdrawRetry returns the retry that a move has withdrawn, or withdraws one from the shared
// budget. It returns nil if the budget allows none.
func (e *exchange) withdrawRetry() *retrybudget.Withdrawal {
	if w := e.moveRetry; w != nil {
		e.moveRetry = nil
		return w
	}
	return e.gateway.cfg.Budget.TryWithdraw(e.service.Name, boottime.Now())
}
