package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// ErrShardCountMismatch: the number of shards set here is not the one on record.
const ErrShardCountMismatch = errors.ConstError("claim shards set differently in another entry")

// layoutName is the object that records the number of shards.
const layoutName = "layout"

// layout guards the number of shards. Two entries that disagree would look for
// one key in two shards, and a resend through the other would run again.
type layout struct {
	store  objectapi.Store
	shards int
	agreed atomic.Bool
}

type layoutValue struct {
	Shards int `json:"shards"`
}

// check compares with the number on record until it agreed once, and records
// this entry's number if there is none.
func (l *layout) check(ctx context.Context) error {
	if l.agreed.Load() {
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
	l.agreed.Store(true)
	return nil
}

// create records the number and reads back what is on record, so that of two
// entries that start together one wins, whatever becomes of the answers.
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
