package peering

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// An entry that starts finds its peers in one listing of the object API, but the peers find
// it only half a second later, through their readers. Until then they send it nothing, so
// that it would place its first prompts on busy servers and assume that it is the only
// entry. After all entries of several zones were killed, most callers arrive in just that
// time. A starting entry therefore sends a hello to its peers, and each peer answers with
// all its active attempts.
const (
	// helloPeriod is the time after the start of an entry in which each heartbeat carries
	// a hello: three or four hellos, because datagrams can be lost.
	helloPeriod = 2 * time.Second
	// helloTTL is how long a peer is kept that is known only from its hello. The object
	// API lists it within seconds, unless the object API is unavailable.
	helloTTL = 30 * time.Second
)

// receivedHello is a peer that announced itself by a hello.
type receivedHello struct {
	peer       Peer
	receivedAt time.Time
}

// helloMessage returns the hello that announces an entry to its peers.
func (p presence) helloMessage(name string) *wirepb.Peer {
	return &wirepb.Peer{
		Name: name, DatagramAddress: p.DatagramAddress, RpcAddress: p.RPCAddress, Zone: p.Zone, Region: p.Region,
		Incarnation: p.Incarnation, LinkMbps: uint32(max(p.LinkMbps, 0)), Relays: p.Relays,
	}
}

// handleHello records the hello of a peer and wakes helloLoop.
func (x *Exchange) handleHello(m *wirepb.Peer, now time.Time) {
	address, err := netip.ParseAddrPort(m.GetDatagramAddress())
	if err != nil {
		x.cfg.Log.WithError(err).Warn("invalid hello from peer") // wire.Check has already checked the address
		return
	}
	peer := Peer{
		Name: m.GetName(), DatagramAddress: address, RPCAddress: m.GetRpcAddress(), Zone: m.GetZone(), Region: m.GetRegion(),
		LinkMbps: int(m.GetLinkMbps()), Relays: m.GetRelays(), Incarnation: m.GetIncarnation(),
	}
	x.mu.Lock()
	x.hellos[peer.Name] = receivedHello{peer: peer, receivedAt: now}
	x.mu.Unlock()
	x.wakeHelloLoop()
}

func (x *Exchange) wakeHelloLoop() {
	select {
	case x.helloReceived <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// helloLoop updates the peers after each received hello and sends returned peers what they
// missed, until ctx ends. It runs outside the event loop of the datagram socket, which must
// not block on sends.
func (x *Exchange) helloLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.helloReceived:
			x.updatePeers(time.Now())
			x.syncReturnedPeers(time.Now())
		}
	}
}

// mergeHellos returns the listed peers, replaced or extended by the peers that sent a
// hello. A hello is newer than a listing that has the entry under another incarnation.
// Hellos that are listed or older than helloTTL are deleted.
func mergeHellos(listed []Peer, hellos map[string]receivedHello, now time.Time) []Peer {
	var out []Peer
	for _, p := range listed {
		if h, ok := hellos[p.Name]; ok && h.peer.Incarnation == p.Incarnation || ok && now.Sub(h.receivedAt) > helloTTL {
			delete(hellos, p.Name)
		}
		if _, ok := hellos[p.Name]; !ok {
			out = append(out, p)
		}
	}
	for name, h := range hellos {
		if now.Sub(h.receivedAt) > helloTTL {
			delete(hellos, name)
			continue
		}
		out = append(out, h.peer)
	}
	return out
}

// syncNewPeers sends all active attempts, and the known deaths, limits and drains of servers, to new peers.
func (x *Exchange) syncNewPeers(peers []Peer, now time.Time) {
	if len(peers) == 0 {
		return
	}
	messages := packMessages(x.cfg.Incarnation, x.cfg.Ledger.AttemptsOf(x.cfg.Incarnation), nil, nil, now)
	messages = append(messages, x.knownState(now)...)
	if hello := x.hello(now); hello != nil {
		messages = append(messages, &wirepb.WorkNews{Owner: x.cfg.Incarnation, Hello: hello})
	}
	for _, p := range peers {
		x.cfg.Log.WithFields(logrus.Fields{"peer": p.Name, "address": p.DatagramAddress.String()}).Info("peer found")
		for _, m := range messages {
			x.sendTo(p.DatagramAddress, m)
		}
	}
}

// hello returns the hello to send within helloPeriod after the start, and nil later.
func (x *Exchange) hello(now time.Time) *wirepb.Peer {
	if now.Sub(x.started) > helloPeriod {
		return nil
	}
	return x.ownPresence.helloMessage(x.cfg.Name)
}
