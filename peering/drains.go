package peering

import (
	"time"

	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// One entry learns from a response that a server drains. The others would go on sending requests
// there, until each has such a response or reads the server's registration, which takes the object
// API. A notice is sent at once, and heartbeats repeat it for noticeRepeatPeriod, since datagrams
// can be lost.

// maxDrainsPerMessage is the maximum number of draining servers in a datagram of 1,200 bytes.
const maxDrainsPerMessage = 50

// ReportDrain implements gateway.DrainReporter.
func (o *outbox) ReportDrain(s servernotice.Server) {
	o.mu.Lock()
	o.drains = append(o.drains, s)
	o.mu.Unlock()
	o.signal()
}

// drainMessages packs draining servers into messages that each fit a datagram.
func drainMessages(owner uint64, list []servernotice.Server) []*wirepb.WorkNews {
	return packNews(owner, list, maxDrainsPerMessage, func(m *wirepb.WorkNews, s servernotice.Server) {
		m.Drains = append(m.Drains, &wirepb.ServerDrain{Server: s.Key, StartedUnixMs: uint64(max(s.StartedUnixMs, 0))})
	})
}

// repeatDrains sends the notices that the entry saw itself lately again. They aren't urgent, and go
// through relays.
func (x *Exchange) repeatDrains(now time.Time) {
	for _, m := range drainMessages(x.cfg.Incarnation, x.cfg.Notices.ObservedDrains(noticeRepeatPeriod, now)) {
		x.broadcastRelayed(m)
	}
}

// handleDrains merges the notices of a peer.
func (x *Exchange) handleDrains(drains []*wirepb.ServerDrain, now time.Time) {
	for _, d := range drains {
		x.cfg.Notices.MergeDraining(servernotice.Server{Key: d.GetServer(), StartedUnixMs: int64(d.GetStartedUnixMs())}, now)
	}
}
