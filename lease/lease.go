package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// Lease is one held term, kept up by renewal until it lapses, is lost or is
// released. Its methods are safe for concurrent use.
type Lease struct {
	m     *Manager
	name  string
	fence uint64
	done  chan struct{}

	// renewing serialises writes of this lease; taken before mu.
	renewing sync.Mutex

	mu      sync.Mutex // guards what follows
	version uint64     // of the object as this holder last wrote it
	until   time.Time  // end of the term, monotonic
	ended   bool
	sent    map[string]time.Time // marks of writes without an answer: when they were sent
}

// Name returns the lease's object name.
func (l *Lease) Name() string { return l.name }

// Fence returns the fencing number of this term. Attach it to every order that
// is given under the lease.
func (l *Lease) Fence() uint64 { return l.fence }

// Held reports whether the term still runs by this process's own clock. It
// needs no timer to have fired, so it is right at once after a pause.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && l.m.now().Before(l.until)
}

// Check returns ErrNotHeld once the term is over. Call it right before each
// order.
func (l *Lease) Check() error {
	if l.Held() {
		return nil
	}
	return errors.Annotatef(ErrNotHeld, "step check, lease %s", l.name)
}

// Done is closed when the term is over, for whatever reason.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Release gives the lease up so that the next holder need not wait a term. The
// term ends here at once, also when the store can't be reached; then the next
// holder waits the term out.
func (l *Lease) Release(ctx context.Context) error {
	l.end()
	l.renewing.Lock()
	defer l.renewing.Unlock()
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	value := l.m.value(l.fence)
	value.Released = true
	_, err := l.m.update(ctx, l.name, value, version)
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	return errors.Annotatef(err, "step release, lease %s", l.name)
}

// renew writes a new term once. It returns ErrNotHeld when the lease is lost
// and other errors when trying again may help.
func (l *Lease) renew(ctx context.Context) error {
	l.renewing.Lock()
	defer l.renewing.Unlock()
	if err := l.Check(); err != nil {
		l.end()
		return err
	}
	value := l.m.value(l.fence)
	l.mu.Lock()
	version := l.version
	start := l.m.now()
	l.sent[value.Mark] = start
	l.mu.Unlock()
	obj, err := l.m.update(ctx, l.name, value, version)
	switch {
	case err == nil:
		return l.extend(obj.Version, value.Mark)
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrOutcomeUnknown):
		return l.readBack(ctx)
	case errors.Is(err, objectapi.ErrNotFound):
		l.end()
		return errors.Annotatef(ErrNotHeld, "step renew, lease %s: object deleted", l.name)
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrThrottled):
		l.forget(value.Mark)
	}
	return errors.Annotatef(err, "step renew, lease %s", l.name)
}

// readBack settles a write whose answer was lost, or a conflict, which may be
// with an earlier write of this very holder that landed late: the mark in the
// object tells whose write it was.
func (l *Lease) readBack(ctx context.Context) error {
	obj, err := l.m.cfg.Store.Get(ctx, Kind, l.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		l.end()
		return errors.Annotatef(ErrNotHeld, "step read back, lease %s: object deleted", l.name)
	}
	if err != nil {
		return errors.Annotatef(err, "step read back, lease %s", l.name)
	}
	var value record
	if err := json.Unmarshal(obj.Data, &value); err != nil {
		return errors.Annotatef(err, "step read back, lease %s", l.name)
	}
	l.mu.Lock()
	_, mine := l.sent[value.Mark]
	unchanged := obj.Version <= l.version
	l.mu.Unlock()
	if mine {
		return l.extend(obj.Version, value.Mark)
	}
	if unchanged {
		// Not taken effect yet, or a stale read: the next renewal is
		// conditional on the same version, so only one of the two can land.
		return errors.Annotatef(objectapi.ErrOutcomeUnknown, "step read back, lease %s", l.name)
	}
	l.end()
	return errors.Annotatef(ErrNotHeld, "step read back, lease %s: taken by %s", l.name, value.Holder)
}

// extend moves the end of the term to one term after the write with this mark
// was sent.
func (l *Lease) extend(version uint64, mark string) error {
	answered := l.m.now()
	l.mu.Lock()
	start, known := l.sent[mark]
	if l.m.countFromAnswer {
		start = answered
	}
	alive := !l.ended && answered.Before(l.until)
	if known && alive {
		l.version = version
		l.until = start.Add(l.m.cfg.Term)
		clear(l.sent)
	}
	l.mu.Unlock()
	if alive {
		l.m.renewals.Inc(1)
		return nil
	}
	// The answer came after the term had lapsed. Done has told the user that
	// the lease is gone, so it must not come back to life under this fence.
	l.end()
	return errors.Annotatef(ErrNotHeld, "step renew, lease %s: answered after the term", l.name)
}

// forget drops the mark of a write that certainly took no effect.
func (l *Lease) forget(mark string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sent, mark)
}

// end closes Done once.
func (l *Lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	close(l.done)
	l.m.ended.Inc(1)
}

// left returns how much of the term remains.
func (l *Lease) left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0
	}
	return l.until.Sub(l.m.now())
}

func (l *Lease) isEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// keep renews until the lease is over. The write's context ends with the term:
// a store that does not answer must not keep a lapsed lease looking alive.
func (l *Lease) keep() {
	for {
		wait := min(l.m.cfg.RenewInterval, l.left())
		select {
		case <-l.done:
			return
		case <-time.After(wait):
		}
		if l.isEnded() {
			return
		}
		left := l.left()
		if left <= 0 {
			l.end()
			l.m.log.WithField("lease", l.name).Warn("lease lapsed")
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		stop := context.AfterFunc(ctx, func() {
			if l.left() <= 0 {
				l.end()
			}
		})
		err := l.renew(ctx)
		stop()
		cancel()
		if errors.Is(err, ErrNotHeld) {
			l.m.log.WithError(err).Warn("lease lost")
			return
		}
		if err != nil {
			l.m.failures.Inc(1)
		}
	}
}
