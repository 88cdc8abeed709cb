package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// ErrShardCountMismatch: the configured number of shards differs from the one
// recorded in the store.
const ErrShardCountMismatch = errors.ConstError("claim shards set differently in another entry")

// layoutName is the name of the object that records the number of shards.
const layoutName = "layout"

// layout verifies the number of shards. Two entries with different numbers
// would look for one key in two shards, and a resend through the other entry
// would run again.
type layout struct {
	store    objectapi.Store
	shards   int
	verified atomic.Bool
}

type layoutValue struct {
	Shards int `json:"shards"`
}

// check compares the configured number of shards with the recorded one until
// they have matched once. If none is recorded, it records this entry's number.
func (l *layout) check(ctx context.Context) error {
	if l.verified.Load() {
		return nil
	}
	obj, err := l.store.Get(ctx, Kind, layoutName)
	if errors.Is(err, objectapi.ErrNotFound) {
		obj, err = l.create(ctx)
	}
	if err != nil {
		return errors.Annotate(err, "step read claim layout")
	}
	var v layoutValue
	if err := json.Unmarshal(obj.Data, &v); err != nil {
		return errors.Annotate(err, "step decode claim layout")
	}
	if v.Shards != l.shards {
		return errors.Annotatef(ErrShardCountMismatch, "step check claim layout: %d here, %d on record", l.shards, v.Shards)
	}
	l.verified.Store(true)
	return nil
}

// create records the number and reads the recorded one back, so that the number
// of one entry prevails if two start together, even if responses are lost.
func (l *layout) create(ctx context.Context) (objectapi.Object, error) {
	data, err := json.Marshal(layoutValue{Shards: l.shards})
	if err != nil {
		return objectapi.Object{}, errors.Trace(err)
	}
	_, err = l.store.Create(ctx, Kind, layoutName, data)
	if err != nil && !errors.Is(err, objectapi.ErrExists) && !errors.Is(err, objectapi.ErrOutcomeUnknown) {
		return objectapi.Object{}, err
	}
	return l.store.Get(ctx, Kind, layoutName)
}
