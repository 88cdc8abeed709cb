package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// pullTimeout bounds one pull of declared state.
const pullTimeout = 3 * time.Second

// pullConfig brings a catalog up to date from the entry at a drpc address.
func pullConfig(ctx context.Context, dialer *wire.Dialer, addr string, catalog *declared.Catalog, scope declared.Scope) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	since := catalog.Revision()
	response, err := dialer.PullConfig(ctx, addr, &wirepb.PullRequest{
		Since: since,
		Kinds: scope.Kinds,
		Pools: scope.Pools,
	})
	if err != nil {
		return errors.Annotatef(err, "step pull declared state, peer %s", addr)
	}
	catalog.ApplyBatch(addr, batchOf(response, since))
	return nil
}

func batchOf(r *wirepb.PullResponse, since uint64) declared.Batch {
	b := declared.Batch{
		Since:          since,
		Revision:       r.GetRevision(),
		Complete:       r.GetComplete(),
		StoreConfirmed: r.GetStoreConfirmed(),
	}
	if b.Complete {
		b.Since = 0
	}
	for _, o := range r.GetObjects() {
		b.Objects = append(b.Objects, objectapi.Object{
			Kind:    o.GetKind(),
			Name:    o.GetName(),
			Version: o.GetVersion(),
			Data:    json.RawMessage(o.GetData()),
			Deleted: o.GetDeleted(),
		})
	}
	return b
}

func wireBatch(b declared.Batch) *wirepb.PullResponse {
	r := &wirepb.PullResponse{
		Revision:       b.Revision,
		Complete:       b.Complete,
		StoreConfirmed: b.StoreConfirmed,
	}
	for _, o := range b.Objects {
		r.Objects = append(r.Objects, &wirepb.Object{
			Kind:    o.Kind,
			Name:    o.Name,
			Version: o.Version,
			Data:    o.Data,
			Deleted: o.Deleted,
		})
	}
	return r
}
