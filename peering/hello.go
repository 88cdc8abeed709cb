package peering

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// An entry that starts knows the others from one list of the object API; they would know
// of it half a second later, from their readers. Until then they send it nothing: it
// places its first prompts on servers that they keep busy, and takes itself for alone.
// After all entries of a few zones were killed that is when most callers come at once.
// So it says itself who it is, and is told of all attempts that go on.
const (
	// helloTime is how long after its start an entry says who it is with each beat:
	// three or four times, since datagrams are lost.
	helloTime = 2 * time.Second
	// helloKept is how long a peer is kept that only its own word tells of. The object
	// API tells of it within seconds, unless that is away.
	helloKept = 30 * time.Second
)

// introduced is a peer that said itself who it is.
type introduced struct {
	peer Peer
	at   time.Time
}

// message is what an entry says of itself.
func (p presence) message(name string) *wirepb.Peer {
	return &wirepb.Peer{
		Name: name, DatagramAddress: p.DatagramAddress, RpcAddress: p.RPCAddress, Zone: p.Zone, Region: p.Region,
		Incarnation: p.Incarnation, LinkMbps: uint32(max(p.LinkMbps, 0)), Relays: p.Relays,
	}
}

// hearHello notes the word of an entry that started.
func (x *Exchange) hearHello(m *wirepb.Peer, now time.Time) {
	address, err := netip.ParseAddrPort(m.GetDatagramAddress())
	if err != nil {
		x.cfg.Log.WithError(err).Warn("a peer's own word can't be read") // its address was checked before
		return
	}
	peer := Peer{
		Name: m.GetName(), DatagramAddress: address, RPCAddress: m.GetRpcAddress(), Zone: m.GetZone(), Region: m.GetRegion(),
		LinkMbps: int(m.GetLinkMbps()), Relays: m.GetRelays(), Incarnation: m.GetIncarnation(),
	}
	x.mu.Lock()
	x.hellos[peer.Name] = introduced{peer: peer, at: now}
	x.mu.Unlock()
	select {
	case x.greeted <- struct{}{}:
	default: // a token is there already
	}
}

// welcome takes peers' own words as they come, apart from the event loop of the
// datagrams, which must not wait for what is sent.
func (x *Exchange) welcome(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.greeted:
			x.update(time.Now())
		}
	}
}

// withHellos returns the listed peers with those in place that said themselves who they
// are. The own word of an entry is newer than a list that has it in another life.
func withHellos(listed []Peer, hellos map[string]introduced, now time.Time) []Peer {
	var out []Peer
	for _, p := range listed {
		if h, ok := hellos[p.Name]; ok && h.peer.Incarnation == p.Incarnation || ok && now.Sub(h.at) > helloKept {
			delete(hellos, p.Name)
		}
		if _, ok := hellos[p.Name]; !ok {
			out = append(out, p)
		}
	}
	for name, h := range hellos {
		if now.Sub(h.at) > helloKept {
			delete(hellos, name)
			continue
		}
		out = append(out, h.peer)
	}
	return out
}

// greet tells new peers of all attempts that go on.
func (x *Exchange) greet(peers []Peer, now time.Time) {
	if len(peers) == 0 {
		return
	}
	all := pack(x.cfg.Incarnation, x.cfg.Ledger.AttemptsOf(x.cfg.Incarnation), nil, nil, now)
	if hello := x.hello(now); hello != nil {
		all = append(all, &wirepb.WorkNews{Owner: x.cfg.Incarnation, Hello: hello})
	}
	for _, p := range peers {
		x.cfg.Log.WithFields(logrus.Fields{"peer": p.Name, "address": p.DatagramAddress.String()}).Info("peer found")
		for _, m := range all {
			x.sendTo(p.DatagramAddress, m)
		}
	}
}

// hello is what the entry says of itself for a while after its start, else nil.
func (x *Exchange) hello(now time.Time) *wirepb.Peer {
	if now.Sub(x.started) > helloTime {
		return nil
	}
	return x.own.message(x.cfg.Name)
}
