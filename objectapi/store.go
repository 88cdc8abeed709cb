// Package objectapi is the object API as the system sees it: versioned objects
// with conditional writes and long-poll watches. Package platform has the client
// of the store that serves it.
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
	// ErrNotFound: there is no live object of that kind and name.
	ErrNotFound = errors.ConstError("object not found")
	// ErrExists: Create met a live object of that kind and name.
	ErrExists = errors.ConstError("object already exists")
	// ErrConflict: a conditional write named a version that is not current.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrUnavailable: the store refused or could not be reached before the
	// call was sent. The write did not take effect.
	ErrUnavailable = errors.ConstError("object API unavailable")
	// ErrOutcomeUnknown: the call was sent and its answer was lost. A write
	// may or may not have taken effect; read back a writer-unique mark.
	ErrOutcomeUnknown = errors.ConstError("object API outcome unknown")
	// ErrThrottled: the store or the client's own rate limit refused the call.
	ErrThrottled = errors.ConstError("object API throttled")
	// ErrGap: a watch asked for a revision older than the store's history.
	// List again, then watch from the list's revision.
	ErrGap = errors.ConstError("object API watch gap")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("object value too large")
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Object is one version of one object. Version is the store-wide revision of
// the write that made it, so versions of all objects are totally ordered and a
// deleted and recreated object never repeats one.
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
	// CurrentAsOf is when the call that brought it began; a Watcher sets it. What the
	// listing says was current then or later.
	CurrentAsOf boottime.Instant `json:"-"`
}

// Store is the object API as the rest of the system sees it. All methods are
// safe for concurrent use. A write returns ErrOutcomeUnknown where it may have
// taken effect.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the live objects of a kind whose names begin with prefix.
	List(ctx context.Context, kind, prefix string) (Listing, error)
	Create(ctx context.Context, kind, name string, data json.RawMessage) (Object, error)
	// Update replaces the value if the current version is version.
	Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (Object, error)
	// Delete removes the object if the current version is version.
	Delete(ctx context.Context, kind, name string, version uint64) (Object, error)
	// Watch waits up to wait for changes of a kind after a revision (deletions
	// come as tombstones) and returns them in order with the revision to go on
	// from. An empty list after wait is no error.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Listing, error)
}

// IsTransient reports whether asking again later may help: the store was out
// of reach or over its rate. It is false for a write of unknown outcome.
func IsTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled)
}
