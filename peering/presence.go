package peering

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/objectapi"
)

// KindGateway is the object kind by which entries find each other.
const KindGateway = "briarturn-gateways"

// announceRetry is the pause after a failed write of the own presence.
const announceRetry = 500 * time.Millisecond

// presence is the value of a KindGateway object; its name is the VM's.
type presence struct {
	DatagramAddress string `json:"datagram"`      // IP:PORT
	RPCAddress      string `json:"rpc,omitempty"` // IP:PORT of its drpc services, where it has any
	Incarnation     uint64 `json:"incarnation"`
	Zone            string `json:"zone"`
	Region          string `json:"region"`
	LinkMbps        int    `json:"link_mbps,omitempty"` // of the VM; 0: not known
	Relays          bool   `json:"relays,omitempty"`    // passes news on to its zone
}

// Peer is another entry.
type Peer struct {
	Name            string
	DatagramAddress netip.AddrPort // datagrams
	RPCAddress      string         // IP:PORT of its drpc services; empty: none
	Zone            string
	Region          string
	LinkMbps        int  // of the VM; 0: not known
	Relays          bool // passes news on to its zone
	Incarnation     uint64
}

// listedWait bounds how long the own presence waits for the list of the others, which
// tells the version of the one that an earlier process of the VM left. A list takes
// milliseconds; without it the write costs up to two calls more.
const listedWait = 500 * time.Millisecond

// announce writes the own presence and tries until it is written. The value is the
// same at each try, so that a write whose answer was lost does no harm.
func announce(ctx context.Context, store objectapi.Store, name string, p presence, r *roster, log logrus.FieldLogger) {
	data, err := json.Marshal(p)
	if err != nil {
		log.WithError(err).Error("presence can't be encoded")
		return
	}
	ctx = objectapi.WithReason(ctx, objectapi.ReasonAnnounce)
	select {
	case <-r.listed:
	case <-time.After(listedWait):
	case <-ctx.Done():
		return
	}
	for {
		err := put(ctx, store, name, data, r.ownVersion())
		if err == nil {
			return
		}
		log.WithError(err).Info("presence not written yet")
		if !sleep.For(ctx, announceRetry) {
			return
		}
	}
}

// put writes a presence over the version that is known to be there, or makes it if none
// is known (0). Where that is wrong it reads the version first.
func put(ctx context.Context, store objectapi.Store, name string, data json.RawMessage, version uint64) error {
	var err error
	if version == 0 {
		_, err = store.Create(ctx, KindGateway, name, data)
	} else {
		_, err = store.Update(ctx, KindGateway, name, data, version)
	}
	if !errors.Is(err, objectapi.ErrExists) && !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	old, err := store.Get(ctx, KindGateway, name)
	if err != nil {
		return err
	}
	_, err = store.Update(ctx, KindGateway, name, data, old.Version)
	return err
}

// roster is the objectapi.Sink that follows the presences of the other entries.
type roster struct {
	name string // the own
	log  logrus.FieldLogger
	// changed is told of each change, without the roster's lock.
	changed func(peers []Peer)
	listed  chan struct{} // closed by the first listing

	mu    sync.Mutex // guards what follows
	peers map[string]Peer
	own   uint64 // version of the own presence; 0: none is known
	known bool   // listed is closed
}

func newRoster(name string, log logrus.FieldLogger, changed func(peers []Peer)) *roster {
	return &roster{name: name, log: log, changed: changed, listed: make(chan struct{}), peers: map[string]Peer{}}
}

// ownVersion returns the version of the own presence as last listed; 0 if there is none.
func (r *roster) ownVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// hasListed reports whether the object API has listed the presences once.
func (r *roster) hasListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Snapshot implements objectapi.Sink.
func (r *roster) Snapshot(_ string, l objectapi.Listing) {
	r.mu.Lock()
	clear(r.peers)
	r.own = 0
	r.takeLocked(l.Objects)
	list := r.listLocked()
	if !r.known {
		r.known = true
		close(r.listed)
	}
	r.mu.Unlock()
	r.changed(list)
}

// Events implements objectapi.Sink.
func (r *roster) Events(_ string, l objectapi.Listing) {
	if len(l.Objects) == 0 {
		return
	}
	r.mu.Lock()
	r.takeLocked(l.Objects)
	list := r.listLocked()
	r.mu.Unlock()
	r.changed(list)
}

func (r *roster) takeLocked(objects []objectapi.Object) {
	for _, o := range objects {
		if o.Name == r.name {
			r.own = o.Version
			continue
		}
		if o.Deleted {
			delete(r.peers, o.Name)
			continue
		}
		peer, err := peerOf(o)
		if err != nil {
			r.log.WithError(err).Warn("peer's presence can't be read")
			continue
		}
		r.peers[o.Name] = peer
	}
}

func (r *roster) listLocked() []Peer {
	out := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		out = append(out, p)
	}
	return out
}

func peerOf(o objectapi.Object) (Peer, error) {
	var p presence
	if err := json.Unmarshal(o.Data, &p); err != nil {
		return Peer{}, errors.Annotatef(err, "step read presence, peer %s", o.Name)
	}
	address, err := netip.ParseAddrPort(p.DatagramAddress)
	if err != nil {
		return Peer{}, errors.Annotatef(err, "step read presence, peer %s", o.Name)
	}
	return Peer{
		Name: o.Name, DatagramAddress: address, RPCAddress: p.RPCAddress, Zone: p.Zone, Region: p.Region, LinkMbps: p.LinkMbps, Relays: p.Relays, Incarnation: p.Incarnation,
	}, nil
}
