package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// Lease is one held term, extended by renewal until it expires, is lost or is
// released. Its methods are safe for concurrent use.
type Lease struct {
	manager *Manager
	name    string
	fence   uint64
	done    chan struct{}

	// writeMu serializes the writes of this lease. Lock it before mu.
	writeMu sync.Mutex

	mu                sync.Mutex // guards the fields below
	version           uint64     // version of the object that this holder last wrote
	expiresAt         time.Time  // end of the term, monotonic
	ended             bool
	unconfirmedWrites map[string]time.Time // send time of each write without a response, by mark
}

// Name returns the lease's object name.
func (l *Lease) Name() string { return l.name }

// Fence returns the fencing number of this term. Attach it to every order that
// is given under the lease.
func (l *Lease) Fence() uint64 { return l.fence }

// Held reports whether the term has not ended by this process's own clock. It
// does not depend on a timer, so it is correct immediately after a pause of
// the process.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && l.manager.now().Before(l.expiresAt)
}

// Check returns ErrNotHeld once the term is over. Call it immediately before
// each order.
func (l *Lease) Check() error {
	if l.Held() {
		return nil
	}
	return errors.Annotatef(ErrNotHeld, "step check, lease %s", l.name)
}

// Done returns a channel that is closed when the term ends for any reason.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Release gives the lease up so that the next holder does not have to wait a
// term. The local term ends at once, even if the store cannot be reached; in
// that case the next holder waits until the term has passed.
func (l *Lease) Release(ctx context.Context) error {
	l.end()
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	value := l.manager.newRecord(l.fence)
	value.Released = true
	_, err := l.manager.updateRecord(ctx, l.name, value, version)
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	return errors.Annotatef(err, "step release, lease %s", l.name)
}

// renew writes a new term once. It returns ErrNotHeld when the lease is lost,
// and another error when a retry may succeed.
func (l *Lease) renew(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.Check(); err != nil {
		l.end()
		return err
	}
	value := l.manager.newRecord(l.fence)
	l.mu.Lock()
	version := l.version
	start := l.manager.now()
	l.unconfirmedWrites[value.Mark] = start
	l.mu.Unlock()
	obj, err := l.manager.updateRecord(ctx, l.name, value, version)
	switch {
	case err == nil:
		return l.extend(obj.Version, value.Mark)
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrOutcomeUnknown):
		return l.readBack(ctx)
	case errors.Is(err, objectapi.ErrNotFound):
		l.end()
		return errors.Annotatef(ErrNotHeld, "step renew, lease %s: object deleted", l.name)
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrThrottled):
		l.dropMark(value.Mark)
	}
	return errors.Annotatef(err, "step renew, lease %s", l.name)
}

// readBack resolves a write whose response was lost, or a conflict. The
// conflict may be with an earlier, delayed write of the same holder: the mark
// in the object identifies the write.
func (l *Lease) readBack(ctx context.Context) error {
	obj, err := l.manager.cfg.Store.Get(ctx, Kind, l.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		l.end()
		return errors.Annotatef(ErrNotHeld, "step read back, lease %s: object deleted", l.name)
	}
	if err != nil {
		return errors.Annotatef(err, "step read back, lease %s", l.name)
	}
	var value leaseRecord
	if err := json.Unmarshal(obj.Data, &value); err != nil {
		return errors.Annotatef(err, "step read back, lease %s", l.name)
	}
	l.mu.Lock()
	_, mine := l.unconfirmedWrites[value.Mark]
	unchanged := obj.Version <= l.version
	l.mu.Unlock()
	if mine {
		return l.extend(obj.Version, value.Mark)
	}
	if unchanged {
		// The write has not taken effect yet, or the read is stale. The next
		// renewal is conditional on the same version, so at most one of the
		// two writes can succeed.
		return errors.Annotatef(objectapi.ErrOutcomeUnknown, "step read back, lease %s", l.name)
	}
	l.end()
	return errors.Annotatef(ErrNotHeld, "step read back, lease %s: acquired by %s", l.name, value.Holder)
}

// extend moves the end of the term to one term after the write with this mark
// was sent.
func (l *Lease) extend(version uint64, mark string) error {
	answered := l.manager.now()
	l.mu.Lock()
	start, known := l.unconfirmedWrites[mark]
	if l.manager.countTermFromResponse {
		start = answered
	}
	alive := !l.ended && answered.Before(l.expiresAt)
	if known && alive {
		l.version = version
		l.expiresAt = start.Add(l.manager.cfg.Term)
		clear(l.unconfirmedWrites)
	}
	l.mu.Unlock()
	if alive {
		l.manager.renewals.Inc(1)
		return nil
	}
	// The response arrived after the term had expired. Done is closed, so the
	// lease must not be held again under this fence.
	l.end()
	return errors.Annotatef(ErrNotHeld, "step renew, lease %s: response received after the term", l.name)
}

// dropMark removes the mark of a write that certainly had no effect.
func (l *Lease) dropMark(mark string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unconfirmedWrites, mark)
}

// end marks the lease as ended and closes Done. Later calls do nothing.
func (l *Lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	close(l.done)
	l.manager.ended.Inc(1)
}

// remaining returns the time until the term ends, zero once the lease has
// ended.
func (l *Lease) remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0
	}
	return l.expiresAt.Sub(l.manager.now())
}

func (l *Lease) isEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// renewLoop renews until the lease ends. The context of each write ends with
// the term, so that a store that does not respond cannot keep an expired lease
// open.
func (l *Lease) renewLoop() {
	for {
		wait := min(l.manager.cfg.RenewInterval, l.remaining())
		select {
		case <-l.done:
			return
		case <-time.After(wait):
		}
		if l.isEnded() {
			return
		}
		left := l.remaining()
		if left <= 0 {
			l.end()
			l.manager.log.WithField("lease", l.name).Warn("lease expired")
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		stop := context.AfterFunc(ctx, func() {
			if l.remaining() <= 0 {
				l.end()
			}
		})
		err := l.renew(ctx)
		stop()
		cancel()
		if errors.Is(err, ErrNotHeld) {
			l.manager.log.WithError(err).Warn("lease lost")
			return
		}
		if err != nil {
			l.manager.renewFailures.Inc(1)
		}
	}
}
