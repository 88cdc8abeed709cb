package peering

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Hundreds of entries send each other updates and heartbeats, most of them to other
// availability zones, where links are slow and traffic is paid for. Messages that aren't
// urgent therefore go to one entry of each other zone, which relays them to its zone, so
// that each message is sent to a zone only once. The relay is picked at random for each
// message, so that a relay that died or is slow costs its zone only one message of many,
// which the next heartbeat repairs.
const (
	// minZonePeersToRelay is the minimum number of peers in another zone for which messages
	// are relayed. For fewer, the saved traffic doesn't justify the longer path.
	minZonePeersToRelay = 3
	// minPeersToRelayStarts is the number of peers from which attempt starts are relayed too.
	// From there on, sending to each peer takes a small entry longer than sending to its
	// zone and the relays, including the additional hop.
	minPeersToRelayStarts = 150
	// relayQueueSize is the maximum number of messages that wait to be relayed: one second
	// of messages from 400 entries.
	relayQueueSize = 1024
)

// broadcast sends a message to all peers, directly or through relays. In a small fleet
// attempt starts go directly to each peer, because peers use them for placement a moment
// later.
func (x *Exchange) broadcast(m *wirepb.WorkNews) {
	if x.bypassesRelays(m) {
		x.sendToAll(m)
		return
	}
	x.broadcastRelayed(m)
}

// broadcastRelayed sends a message to all peers, those of other zones through relays.
func (x *Exchange) broadcastRelayed(m *wirepb.WorkNews) {
	direct, relays := x.recipients()
	for _, p := range direct {
		x.sendTo(p.DatagramAddress, m)
	}
	if len(relays) == 0 {
		return
	}
	relayed := proto.CloneOf(m)
	relayed.PassOn = true
	for _, p := range relays {
		x.sendTo(p.DatagramAddress, relayed)
	}
}

// bypassesRelays reports whether a message goes directly to every peer.
func (x *Exchange) bypassesRelays(m *wirepb.WorkNews) bool {
	if len(m.GetEvidence())+len(m.GetRates())+len(m.GetDrains())+len(m.GetLostServers())+len(m.GetPartDeaths()) > 0 || m.GetHello() != nil {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(m.GetBegan()) > 0 && len(x.peers) < minPeersToRelayStarts
}

// recipients splits the peers into those that receive a message directly and one relay for
// each other zone. Only live peers that can relay are chosen as relays.
func (x *Exchange) recipients() (direct, relays []Peer) {
	perZone := map[string][]Peer{}
	x.mu.Lock()
	peers := x.peers
	now := time.Now()
	candidates := map[string][]Peer{}
	for _, p := range peers {
		if p.Zone == x.cfg.Zone {
			direct = append(direct, p)
			continue
		}
		perZone[p.Zone] = append(perZone[p.Zone], p)
		if p.Relays && !x.timedOutLocked(p.Incarnation, now) {
			candidates[p.Zone] = append(candidates[p.Zone], p)
		}
	}
	x.mu.Unlock()
	for zone, members := range perZone {
		if len(members) < minZonePeersToRelay || len(candidates[zone]) == 0 {
			direct = append(direct, members...)
			continue
		}
		relays = append(relays, candidates[zone][rand.IntN(len(candidates[zone]))])
	}
	return direct, relays
}

// enqueueRelay queues a message for the other entries of the zone and drops it if the queue
// is full. It doesn't block, because the event loop of the datagram socket calls it.
func (x *Exchange) enqueueRelay(m *wirepb.WorkNews) {
	select {
	case x.relayQueue <- m:
	default:
		x.relaysDropped.Inc(1)
	}
}

// relayLoop sends queued messages to the other entries of the zone until ctx ends.
func (x *Exchange) relayLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-x.relayQueue:
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

// zonePeers returns the peers in the own zone.
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
