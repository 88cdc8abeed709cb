package peering

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/objectapi"
)

// KindGateway is the object kind under which entries announce themselves to each other.
const KindGateway = "briarturn-gateways"

// announceRetryDelay is the delay after a failed write of the own presence object.
const announceRetryDelay = 500 * time.Millisecond

// presence is the value of a KindGateway object. The object has the name of the VM.
type presence struct {
	DatagramAddress string `json:"datagram"`      // IP:PORT
	RPCAddress      string `json:"rpc,omitempty"` // IP:PORT of its drpc services, if it has any
	Incarnation     uint64 `json:"incarnation"`
	Zone            string `json:"zone"`
	Region          string `json:"region"`
	LinkMbps        int    `json:"link_mbps,omitempty"` // link capacity of the VM in Mbit/s; 0 if unknown
	Relays          bool   `json:"relays,omitempty"`    // can relay messages within its zone
}

// Peer describes another entry.
type Peer struct {
	Name            string
	DatagramAddress netip.AddrPort // receives datagrams
	RPCAddress      string         // IP:PORT of its drpc services; empty if it has none
	Zone            string
	Region          string
	LinkMbps        int  // link capacity of the VM in Mbit/s; 0 if unknown
	Relays          bool // can relay messages within its zone
	Incarnation     uint64
}

// firstListingTimeout is how long the write of the own presence waits for the first
// listing, which contains the version that an earlier process of the VM left. A listing
// takes milliseconds; without it the write needs up to two more calls.
const firstListingTimeout = 500 * time.Millisecond

// announce writes the own presence, and writes it again whenever the store has lost it, until ctx ends.
// Each try writes the same value, so that repeating a write whose response was lost is harmless.
func announce(ctx context.Context, store objectapi.Store, name string, p presence, r *presenceSink, log logrus.FieldLogger) {
	data, err := json.Marshal(p)
	if err != nil {
		log.WithError(err).Error("failed to encode presence")
		return
	}
	ctx = objectapi.WithReason(ctx, objectapi.ReasonAnnounce)
	select {
	case <-r.firstListing:
	case <-time.After(firstListingTimeout):
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		err := writePresence(ctx, store, name, data, r.ownVersion())
		if err != nil {
			log.WithError(err).Info("failed to write presence, retrying")
			sleep.For(ctx, announceRetryDelay)
			continue
		}
		r.recordWritten(p)
		select {
		case <-r.lost:
			log.Info("own presence lost, writing it again")
		case <-ctx.Done():
		}
	}
}

// writePresence updates the presence object at a known version, or creates it if version
// is 0. If the store has another version, it reads that one and updates it.
func writePresence(ctx context.Context, store objectapi.Store, name string, data json.RawMessage, version uint64) error {
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

// presenceSink is the objectapi.Sink that follows the presence objects of all entries.
type presenceSink struct {
	name string // of this entry
	log  logrus.FieldLogger
	// onChange is called with all peers after each change, without the lock held.
	onChange     func(peers []Peer)
	firstListing chan struct{} // closed by the first listing

	mu          sync.Mutex // guards what follows
	peers       map[string]Peer
	selfVersion uint64    // version of the own presence; 0 if none is known
	own         *presence // own presence as last listed; nil: none
	written     presence  // own presence as last written
	isListed    bool      // firstListing is closed

	lost chan struct{} // holds one token while the own presence may have to be written again
}

// signalLost wakes announce.
func (r *presenceSink) signalLost() {
	select {
	case r.lost <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// recordWritten records that the own presence was written.
func (r *presenceSink) recordWritten(p presence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = p
	select {
	case <-r.lost: // for a listing from before the write
	default:
	}
}

// decodeOwn returns the presence in an object, or nil if there is none.
func decodeOwn(o objectapi.Object) *presence {
	var p presence
	if o.Deleted || json.Unmarshal(o.Data, &p) != nil {
		return nil
	}
	return &p
}

func newPresenceSink(name string, log logrus.FieldLogger, changed func(peers []Peer)) *presenceSink {
	return &presenceSink{name: name, log: log, onChange: changed, firstListing: make(chan struct{}), lost: make(chan struct{}, 1), peers: map[string]Peer{}}
}

// ownVersion returns the last listed version of the own presence, or 0 if there is none.
func (r *presenceSink) ownVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selfVersion
}

// hasListed reports whether the object API has listed the presence objects at least once.
func (r *presenceSink) hasListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isListed
}

// Snapshot implements objectapi.Sink.
func (r *presenceSink) Snapshot(_ string, l objectapi.Listing) {
	r.mu.Lock()
	if l.Recovery == objectapi.Recovering {
		// Entries that are missing write their presence again; a known one may be an older process.
		l.Objects = slices.DeleteFunc(slices.Clone(l.Objects), func(o objectapi.Object) bool {
			_, known := r.peers[o.Name]
			return known
		})
	} else {
		clear(r.peers)
	}
	r.selfVersion = 0
	r.own = nil
	r.applyLocked(l.Objects)
	if r.own == nil || *r.own != r.written {
		r.signalLost()
	}
	list := r.peersLocked()
	if !r.isListed {
		r.isListed = true
		close(r.firstListing)
	}
	r.mu.Unlock()
	r.onChange(list)
}

// Events implements objectapi.Sink.
func (r *presenceSink) Events(_ string, l objectapi.Listing) {
	if len(l.Objects) == 0 {
		return
	}
	r.mu.Lock()
	r.applyLocked(l.Objects)
	list := r.peersLocked()
	r.mu.Unlock()
	r.onChange(list)
}

// applyLocked applies new, changed and deleted presence objects.
func (r *presenceSink) applyLocked(objects []objectapi.Object) {
	for _, o := range objects {
		if o.Name == r.name {
			r.selfVersion, r.own = o.Version, decodeOwn(o)
			if o.Deleted {
				r.signalLost()
			}
			continue
		}
		if o.Deleted {
			delete(r.peers, o.Name)
			continue
		}
		peer, err := parsePresence(o)
		if err != nil {
			r.log.WithError(err).Warn("invalid presence object of peer")
			continue
		}
		r.peers[o.Name] = peer
	}
}

func (r *presenceSink) peersLocked() []Peer {
	out := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		out = append(out, p)
	}
	return out
}

// parsePresence decodes a KindGateway object.
func parsePresence(o objectapi.Object) (Peer, error) {
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
