package peering

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// The load that this answers: hundreds of entries that tell each other of each attempt and
// that they live, most of them in other availability zones, where links are slow and bytes
// are paid for. What isn't urgent goes to one entry of every other zone, which passes it on
// there: a zone hears once what all its entries hear. Each message goes by another entry, so
// that one that is lost or slow costs its zone one message of many, for which a beat makes up.
const (
	// relayLeast is how many entries of another zone make it worth while: below, what is
	// saved is less than the way gets longer.
	relayLeast = 3
	// relayAllLeast is how many peers make it quicker for what begins too: from there on
	// telling each takes a small entry longer than telling those of its zone, having the
	// rest passed on, and one link more.
	relayAllLeast = 150
	// passingMost bounds the messages that wait to be passed on: a second's of 400 entries.
	passingMost = 1024
)

// tell sends a message to all peers. What begins goes straight to each as long as they are
// few: others place by it a moment later.
func (x *Exchange) tell(m *wirepb.WorkNews) {
	if x.goesStraight(m) {
		x.sendAll(m)
		return
	}
	direct, relays := x.ways()
	for _, p := range direct {
		x.sendTo(p.DatagramAddress, m)
	}
	if len(relays) == 0 {
		return
	}
	passed := proto.CloneOf(m)
	passed.PassOn = true
	for _, p := range relays {
		x.sendTo(p.DatagramAddress, passed)
	}
}

func (x *Exchange) goesStraight(m *wirepb.WorkNews) bool {
	if len(m.GetEvidence()) > 0 || m.GetHello() != nil {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(m.GetBegan()) > 0 && len(x.peers) < relayAllLeast
}

// ways parts the peers into those that are told themselves and one of each other zone that
// passes on. An entry is asked to only if it was heard lately and knows how to.
func (x *Exchange) ways() (direct, relays []Peer) {
	ofZone := map[string][]Peer{}
	x.mu.Lock()
	peers := x.peers
	now := time.Now()
	able := map[string][]Peer{}
	for _, p := range peers {
		if p.Zone == x.cfg.Zone {
			direct = append(direct, p)
			continue
		}
		ofZone[p.Zone] = append(ofZone[p.Zone], p)
		if p.Relays && !x.silentLocked(p.Incarnation, now) {
			able[p.Zone] = append(able[p.Zone], p)
		}
	}
	x.mu.Unlock()
	for zone, members := range ofZone {
		if len(members) < relayLeast || len(able[zone]) == 0 {
			direct = append(direct, members...)
			continue
		}
		relays = append(relays, able[zone][rand.IntN(len(able[zone]))])
	}
	return direct, relays
}

// toPassOn takes a message for the other entries of the zone. It doesn't wait: the event
// loop of the datagrams calls it.
func (x *Exchange) toPassOn(m *wirepb.WorkNews) {
	select {
	case x.passing <- m:
	default:
		x.dropped.Inc(1)
	}
}

// passOn passes messages on until ctx ends.
func (x *Exchange) passOn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-x.passing:
			m = proto.CloneOf(m)
			m.PassOn = false
			for _, p := range x.zonePeers() {
				if p.Incarnation != m.GetOwner() {
					x.sendTo(p.DatagramAddress, m)
				}
			}
		}
	}
}

// zonePeers returns the peers of the own zone.
func (x *Exchange) zonePeers() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []Peer
	for _, p := range x.peers {
		if p.Zone == x.cfg.Zone {
			out = append(out, p)
		}
	}
	return out
}
