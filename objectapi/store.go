// Package objectapi defines the interface of the object API: versioned objects
// with conditional writes and long-poll watches. Package platform has the
// client of the store that serves it.
package objectapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/boottime"
)

// Errors of a Store. Test with errors.Is.
const (
	// ErrNotFound means that no live object of that kind and name exists.
	ErrNotFound = errors.ConstError("object not found")
	// ErrExists means that Create found a live object of that kind and name.
	ErrExists = errors.ConstError("object already exists")
	// ErrConflict means that the version in a conditional write is not
	// current.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrUnavailable means that the store refused the call, or that it could
	// not be reached before the call was sent. A write did not take effect.
	ErrUnavailable = errors.ConstError("object API unavailable")
	// ErrOutcomeUnknown means that the call was sent and its response was
	// lost. A write may or may not have taken effect; read back a mark that is
	// unique to the writer.
	ErrOutcomeUnknown = errors.ConstError("object API outcome unknown")
	// ErrThrottled means that the rate limit of the store or of the client
	// rejected the call.
	ErrThrottled = errors.ConstError("object API throttled")
	// ErrGap means that a watch asked for a revision older than the history of
	// the store. List again, then watch from the revision of the list.
	ErrGap = errors.ConstError("object API watch gap")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("object value too large")
)

// MaxValueBytes is the maximum size of a value in the object API.
const MaxValueBytes = 1 << 20

// EraObserver is implemented by a Store whose eras a process may know of before the Store does, from a
// peer (see JoinRevision).
type EraObserver interface {
	// ObserveEra records that the store has reached an era. Watches of older ones end with ErrGap.
	ObserveEra(era uint64)
}

// Object is one version of one object. Version is the store-wide revision of
// the write that created this version (see JoinRevision), so the versions of all
// objects are totally ordered and a deleted and recreated object never repeats one.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Listing is the state of a kind at one revision.
type Listing struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// CurrentAsOf is a time at or after which the content of the listing was
	// current; a Watcher sets it. It is the start of the call that returned
	// the listing or, with WatcherConfig.EmptyWaitIsCurrent, the end of a wait
	// without a change.
	CurrentAsOf boottime.Instant `json:"-"`
	// Recovery tells how far the writers have written again what the store lost; a RecoverySink sets it.
	Recovery Recovery `json:"-"`
	// HeldBefore is the revision up to which the kind was known in the era before; 0: none. What has a
	// number up to it and wasn't known was written since the store came back. It is set while Recovering.
	HeldBefore uint64 `json:"-"`
}

// Store is the interface to the object API. All methods are safe for
// concurrent use. A write returns ErrOutcomeUnknown if it may have taken
// effect.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the live objects of a kind whose names begin with prefix.
	List(ctx context.Context, kind, prefix string) (Listing, error)
	Create(ctx context.Context, kind, name string, data json.RawMessage) (Object, error)
	// Update replaces the value if the current version is version.
	Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (Object, error)
	// Delete removes the object if the current version is version.
	Delete(ctx context.Context, kind, name string, version uint64) (Object, error)
	// Watch waits up to wait for changes of a kind after a revision. It
	// returns them in order, deletions as tombstones, with the revision to
	// continue from. An empty list after wait is not an error.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Listing, error)
}

// IsTransient reports whether a retry may succeed: the store was unreachable
// or over its rate limit. It is false for a write of unknown outcome.
func IsTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled)
}
