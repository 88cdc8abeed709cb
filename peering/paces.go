package peering

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// An entry measures the pace of a server on its own streams only. A noticeable change is sent in
// the next batch; heartbeats repeat what the entry has measured lately, since datagrams can be
// lost.

// maxPacesPerMessage is the maximum number of paces in a datagram of 1,200 bytes, and in one
// heartbeat.
const maxPacesPerMessage = 40

// PacePublisher returns the publisher to which the entry's ledger reports the paces of servers.
func (x *Exchange) PacePublisher() placement.PacePublisher { return x.outbox }

// Pace implements placement.PacePublisher.
func (o *outbox) Pace(p placement.Pace) {
	o.mu.Lock()
	o.paces = append(o.paces, p)
	o.mu.Unlock()
	o.signal()
}

// paceMessages packs paces into messages that each fit a datagram.
func paceMessages(owner uint64, list []placement.Pace) []*wirepb.WorkNews {
	return packNews(owner, list, maxPacesPerMessage, func(m *wirepb.WorkNews, p placement.Pace) {
		m.Paces = append(m.Paces, &wirepb.ServerPace{
			Server: p.Server, Factor: float32(p.Factor), AgeMs: uint32(max(p.Age, 0).Milliseconds()),
		})
	})
}

// repeatPaces sends the entry's own recent measurements again. They aren't urgent, and go through
// relays.
func (x *Exchange) repeatPaces(now time.Time) {
	own := x.cfg.Ledger.OwnPaces(noticeRepeatPeriod, maxPacesPerMessage, now)
	for _, m := range paceMessages(x.cfg.Incarnation, own) {
		x.broadcastRelayed(m)
	}
}

// handlePaces merges the measurements of a peer, and counts those that are taken into account.
func (x *Exchange) handlePaces(owner uint64, paces []*wirepb.ServerPace, now time.Time) {
	for _, m := range paces {
		p := placement.Pace{
			Server: m.GetServer(), Factor: float64(m.GetFactor()), Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		}
		if x.cfg.Ledger.MergePace(owner, p, now) {
			x.pacesReceived.Inc(1)
		}
	}
}

// PeerNames returns the names of the peers with the given incarnations. Unknown ones are left out.
func (x *Exchange) PeerNames(incarnations []uint64) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, p := range x.peers {
		if slices.Contains(incarnations, p.Incarnation) {
			out = append(out, p.Name)
		}
	}
	return out
}
