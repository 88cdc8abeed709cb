package peering

import (
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// One entry finds a server that is down by a failed attempt to connect. The others would find it in
// the same way, each at the cost of some requests. Evidence is sent at once, and heartbeats repeat it
// for lossRepeatPeriod, since datagrams can be lost.

const (
	// lossRepeatPeriod is the age up to which heartbeats repeat evidence: twice.
	lossRepeatPeriod = time.Second
	// maxLostPerMessage is the maximum number of lost servers in a datagram of 1,200 bytes.
	maxLostPerMessage = 40
	// unknownLink is the link of an entry that isn't known as a peer yet.
	unknownLink = "?"
)

// ReportLoss implements gateway.LossReporter.
func (o *outbox) ReportLoss(e lostservers.Evidence) {
	o.mu.Lock()
	o.lost = append(o.lost, e)
	o.mu.Unlock()
	o.signal()
}

// lostServerMessages packs evidence into messages that each fit a datagram.
func lostServerMessages(owner uint64, list []lostservers.Evidence, now boottime.Instant) []*wirepb.WorkNews {
	return packNews(owner, list, maxLostPerMessage, func(m *wirepb.WorkNews, e lostservers.Evidence) {
		m.LostServers = append(m.LostServers, encodeLoss(e, now))
	})
}

// repeatLostServers sends the evidence that the entry saw itself lately again. It isn't urgent, and goes
// through relays.
func (x *Exchange) repeatLostServers(now boottime.Instant) {
	for _, m := range lostServerMessages(x.cfg.Incarnation, x.cfg.Lost.OwnEvidence(lossRepeatPeriod, now), now) {
		x.broadcastRelayed(m)
	}
}

// handleLostServers merges the evidence of a peer. Kinds that this release doesn't know are
// ignored.
func (x *Exchange) handleLostServers(owner uint64, list []*wirepb.LostServer, now boottime.Instant) {
	if len(list) == 0 {
		return
	}
	source := lostservers.Source{Entry: owner, Link: x.linkOf(owner)}
	for _, l := range list {
		if e, ok := decodeLoss(l, now); ok {
			x.cfg.Lost.Merge(source, e, now)
		}
	}
}

// noteLife records that the servers of attempts of a peer have sent it first tokens.
func (x *Exchange) noteLife(owner uint64, firstTokens []uint64, now boottime.Instant) {
	if len(firstTokens) == 0 || !x.cfg.Lost.HasEvidence() {
		return
	}
	for _, seq := range firstTokens {
		if server, known := x.cfg.Ledger.ServerOf(placement.AttemptID{Owner: owner, Seq: seq}); known {
			x.cfg.Lost.PeerAlive(server, now)
		}
	}
}

// linkOf returns what the links of a peer have in common with those of others, as in
// lostservers.Source.
func (x *Exchange) linkOf(owner uint64) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		switch {
		case p.Incarnation != owner:
			continue
		case p.Region != x.cfg.Region:
			return "region " + p.Region
		case p.Zone != x.cfg.Zone:
			return "zone " + p.Zone
		}
		return ""
	}
	return unknownLink
}

// PeerName returns the name of the peer with an incarnation. ok is false if it isn't known.
func (x *Exchange) PeerName(incarnation uint64) (name string, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		if p.Incarnation == incarnation {
			return p.Name, true
		}
	}
	return "", false
}

// lossKinds maps the kinds of evidence to those of messages.
var lossKinds = map[lostservers.Kind]wirepb.LossKind{
	lostservers.Refused: wirepb.LossKind_LOSS_REFUSED,
	lostservers.Reset:   wirepb.LossKind_LOSS_RESET,
	lostservers.Silent:  wirepb.LossKind_LOSS_SILENT,
}

// encodeLoss converts evidence to its message.
func encodeLoss(e lostservers.Evidence, now boottime.Instant) *wirepb.LostServer {
	return &wirepb.LostServer{
		Server:        e.Server.Key,
		StartedUnixMs: uint64(max(e.Server.StartedUnixMs, 0)),
		Kind:          lossKinds[e.Kind],
		AgeMs:         uint32(max(now.Sub(e.SeenAt), 0).Milliseconds()),
	}
}

// decodeLoss converts a message that passed wire.Check. ok is false if its kind is unknown.
func decodeLoss(m *wirepb.LostServer, now boottime.Instant) (e lostservers.Evidence, ok bool) {
	for kind, k := range lossKinds {
		if k == m.GetKind() {
			e.Kind, ok = kind, true
		}
	}
	e.Server = servernotice.Server{Key: m.GetServer(), StartedUnixMs: int64(m.GetStartedUnixMs())}
	e.SeenAt = now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	return e, ok
}
