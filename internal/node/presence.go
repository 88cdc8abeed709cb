package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// KindEntry is the object kind by which entries find each other at their start.
// Membership runs on datagrams afterwards, so an outage of the object API hides
// only entries that start in it.
const KindEntry = "Entry"

// presenceRetry is the pause after a failed write of an entry's presence.
const presenceRetry = time.Second

// presence is the value of a KindEntry object.
type presence struct {
	RPCAddress      string `json:"rpc_address"`
	DatagramAddress string `json:"datagram_address"`
	Zone            string `json:"zone"`
	Region          string `json:"region"`
	Incarnation     uint64 `json:"incarnation"`
}

// announce writes the entry's presence, once, and tries until it is written. guard
// runs each try, or leaves it.
// The value is a function of the incarnation, so writing it again after a lost
// answer does no harm.
func announce(ctx context.Context, store objectapi.Store, self *wirepb.Peer, guard func(func() error) error) error {
	data, err := json.Marshal(presence{
		RPCAddress:      self.GetRpcAddress(),
		DatagramAddress: self.GetDatagramAddress(),
		Zone:            self.GetZone(),
		Region:          self.GetRegion(),
		Incarnation:     self.GetIncarnation(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	for {
		err := guard(func() error { return put(ctx, store, self.GetName(), data) })
		if err == nil {
			return nil
		}
		select {
		case <-time.After(presenceRetry):
		case <-ctx.Done():
			return errors.Annotatef(err, "step announce, entry %s", self.GetName())
		}
	}
}

func put(ctx context.Context, store objectapi.Store, name string, data []byte) error {
	old, err := store.Get(ctx, KindEntry, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		_, err = store.Create(ctx, KindEntry, name, data)
		return err
	}
	if err != nil {
		return err
	}
	_, err = store.Update(ctx, KindEntry, name, data, old.Version)
	return err
}

// withdraw deletes the entry's presence if it is still its own.
func withdraw(ctx context.Context, store objectapi.Store, self *wirepb.Peer) error {
	o, err := store.Get(ctx, KindEntry, self.GetName())
	if err != nil {
		return errors.Annotatef(err, "step withdraw, entry %s", self.GetName())
	}
	var p presence
	if err := json.Unmarshal(o.Data, &p); err != nil || p.Incarnation != self.GetIncarnation() {
		return nil
	}
	_, err = store.Delete(ctx, KindEntry, self.GetName(), o.Version)
	return errors.Annotatef(err, "step withdraw, entry %s", self.GetName())
}

// peerOf returns the entry that an object announces, or nil if it can't be read:
// one entry's fault must not hide the rest.
func peerOf(o objectapi.Object) *wirepb.Peer {
	var p presence
	if err := json.Unmarshal(o.Data, &p); err != nil {
		return nil
	}
	return &wirepb.Peer{
		Name:            o.Name,
		RpcAddress:      p.RPCAddress,
		DatagramAddress: p.DatagramAddress,
		Zone:            p.Zone,
		Region:          p.Region,
		Incarnation:     p.Incarnation,
	}
}
