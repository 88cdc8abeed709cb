package objectapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
)

const (
	verifyBackoffInitial = 20 * time.Millisecond
	verifyBackoffMax     = time.Second
)

// ConditionalWrite is a Create if Version is 0, otherwise an Update of that
// version.
type ConditionalWrite struct {
	Kind    string
	Name    string
	Data    json.RawMessage
	Version uint64
}

func (w ConditionalWrite) send(ctx context.Context, s Store) (Object, error) {
	if w.Version == 0 {
		return s.Create(ctx, w.Kind, w.Name, w.Data)
	}
	return s.Update(ctx, w.Kind, w.Name, w.Data, w.Version)
}

// mayStillApply reports whether the write could still take effect on the
// object that was read: its condition holds, so a delayed copy of it may still
// be applied.
func (w ConditionalWrite) mayStillApply(o Object, err error) bool {
	if w.Version == 0 {
		return errors.Is(err, ErrNotFound)
	}
	return err == nil && o.Version == w.Version
}

// WriteAndVerify sends a write and, if its outcome is unknown, determines it
// by reading the object back. mine reports whether an object has the mark that
// only this write stored, for example a random number in the value.
//
// Without it, a holder whose lease was renewed but whose response was lost
// would give the lease up, or a claim that was written would be written again.
//
// The write is in force if the error is nil; the object is then the one that
// was read, which may be a later version that still has the mark. ErrConflict,
// ErrExists and ErrNotFound mean that the write is not in force and will not
// be: its condition no longer holds, so no delayed copy can be applied. While
// the condition holds, the same write is sent again with the same condition
// and mark, so at most one copy can take effect. If ctx ends first, the error
// is ErrOutcomeUnknown. Give ctx a deadline, because in an outage nothing else
// ends the call.
//
// The outcome of a Create is reliable only for names that are never deleted: a
// delayed copy could be applied after a deletion.
func WriteAndVerify(ctx context.Context, s Store, w ConditionalWrite, mine func(Object) bool) (Object, error) {
	o, err := w.send(ctx, s)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return o, err
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = verifyBackoffInitial
	wait.MaxInterval = verifyBackoffMax
	o, err = backoff.Retry(ctx, func() (Object, error) { return verifyOnce(ctx, s, w, mine) },
		backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && !isDefinite(err) {
		err = outcomeUnknown(err)
	}
	return o, errors.Annotatef(err, "step settle write of %s/%s", w.Kind, w.Name)
}

// verifyOnce reads the object back once, and sends the write once more if its
// condition holds. The caller retries after an error that is not permanent.
func verifyOnce(ctx context.Context, s Store, w ConditionalWrite, mine func(Object) bool) (Object, error) {
	o, err := s.Get(ctx, w.Kind, w.Name)
	switch {
	case err == nil && mine(o):
		return o, nil
	case w.mayStillApply(o, err):
		if o, err = w.send(ctx, s); err == nil {
			return o, nil
		}
		// A conflict here may be with the first copy of this write, and a
		// rejection gives no information about that copy.
		return Object{}, outcomeUnknown(err)
	case err == nil && w.Version == 0:
		return Object{}, backoff.Permanent(ErrExists)
	case err == nil:
		return Object{}, backoff.Permanent(ErrConflict)
	case errors.Is(err, ErrNotFound):
		return Object{}, backoff.Permanent(ErrNotFound)
	}
	return Object{}, outcomeUnknown(err)
}

// outcomeUnknown keeps only the text of err: a caller that finds
// ErrUnavailable in the chain would assume that the write had no effect.
func outcomeUnknown(err error) error { return errors.Annotatef(ErrOutcomeUnknown, "%v", err) }

// isDefinite reports whether the error means that the write is not and will
// not be in force.
func isDefinite(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrExists) || errors.Is(err, ErrNotFound)
}
