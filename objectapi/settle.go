package objectapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
)

const (
	settleBackoffInitial = 20 * time.Millisecond
	settleBackoffMax     = time.Second
)

// ConditionalWrite is one conditional write: a Create if Version is 0, else an Update of
// that version.
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

// open reports whether the write could still take effect on what was read:
// its condition holds, so a copy of it that is on its way may yet land.
func (w ConditionalWrite) open(o Object, err error) bool {
	if w.Version == 0 {
		return errors.Is(err, ErrNotFound)
	}
	return err == nil && o.Version == w.Version
}

// WriteAndVerify sends a write and, where the outcome is unknown, finds it out by
// reading the object back. mine reports whether an object carries the mark that
// only this write put there (a random number in the value, say).
//
// Without it, a holder whose lease was renewed but whose answer was lost gives
// the lease up, or a claim that was written is written once more.
//
// The write is in force if the error is nil; the object is then what was read,
// perhaps a later version that still carries the mark. ErrConflict, ErrExists
// and ErrNotFound say that it is not in force and will not be: the condition is
// gone, so no late copy can land. While the condition still holds, the same
// write is sent again under the same condition and mark, at most one copy of
// which can take effect. When ctx ends first the error is ErrOutcomeUnknown;
// give ctx a deadline, for in an outage nothing else ends the call.
//
// A Create is settled only for names that are never deleted: a late copy could
// land after a deletion.
func WriteAndVerify(ctx context.Context, s Store, w ConditionalWrite, mine func(Object) bool) (Object, error) {
	o, err := w.send(ctx, s)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return o, err
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = settleBackoffInitial
	wait.MaxInterval = settleBackoffMax
	o, err = backoff.Retry(ctx, func() (Object, error) { return settleOnce(ctx, s, w, mine) },
		backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && !isSettled(err) {
		err = unknown(err)
	}
	return o, errors.Annotatef(err, "step settle write of %s/%s", w.Kind, w.Name)
}

// settleOnce reads back once, and writes once more where the condition holds.
// An error that is not permanent means: ask again.
func settleOnce(ctx context.Context, s Store, w ConditionalWrite, mine func(Object) bool) (Object, error) {
	o, err := s.Get(ctx, w.Kind, w.Name)
	switch {
	case err == nil && mine(o):
		return o, nil
	case w.open(o, err):
		if o, err = w.send(ctx, s); err == nil {
			return o, nil
		}
		// A conflict now may be with the first copy of this very write, and
		// a refusal says nothing of that copy.
		return Object{}, unknown(err)
	case err == nil && w.Version == 0:
		return Object{}, backoff.Permanent(ErrExists)
	case err == nil:
		return Object{}, backoff.Permanent(ErrConflict)
	case errors.Is(err, ErrNotFound):
		return Object{}, backoff.Permanent(ErrNotFound)
	}
	return Object{}, unknown(err)
}

// unknown keeps err's text only: a caller that finds ErrUnavailable in the
// chain would take the write for one that did not take effect.
func unknown(err error) error { return errors.Annotatef(ErrOutcomeUnknown, "%v", err) }

func isSettled(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrExists) || errors.Is(err, ErrNotFound)
}
