package membership

import (
	"net/netip"
	"time"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Handle takes a datagram from an entry.
func (r *Reporter) Handle(now time.Time, from netip.AddrPort, m *wirepb.Datagram) Effects {
	var out Effects
	switch body := m.GetBody().(type) {
	case *wirepb.Datagram_Ack:
		r.handleAck(now, body.Ack, &out)
	case *wirepb.Datagram_Describe:
		if body.Describe.GetKey() == wire.Key(r.cfg.Descriptor.Name) {
			out.send(from, r.hello(r.sent))
		}
	}
	return out
}

func (r *Reporter) handleAck(now time.Time, ack *wirepb.ReportAck, out *Effects) {
	h := r.entries[ack.GetEntry()]
	if h == nil {
		return
	}
	if ack.GetEntryIncarnation() < h.incarnation {
		r.oldEntry.Inc(1)
		return
	}
	h.incarnation = ack.GetEntryIncarnation()
	r.news.offered(ack.GetConfigVersion(), h.rpc)
	r.pullConfig(now, out)
	known := ack.GetKnownIncarnation()
	if known != 0 && known < r.incarnation {
		// An announcement to a former life. Its sequence would count for this
		// one's: a drain would be taken for acknowledged.
		return
	}
	h.period = time.Duration(ack.GetPeriodMs()) * time.Millisecond
	h.unacked = 0
	h.acked = max(h.acked, ack.GetSequence())
	h.suspect = false
	h.draining = ack.GetDraining()
	h.greeted = !ack.GetWantHello()
	r.chooseHomes()
	if known > r.incarnation {
		r.raise(known + 1)
	}
	if !h.greeted {
		out.send(h.addr, r.hello(r.sent))
	}
	r.listOffered(now, h, ack.GetPeersVersion(), out)
}

// raise goes above an incarnation that an entry knows of this agent. It happens
// when the clock stood lower at this start than at an earlier one; all reports
// would be dropped as old ones otherwise.
func (r *Reporter) raise(incarnation uint64) {
	r.incarnation = incarnation
	r.raised.Inc(1)
	for _, h := range r.entries {
		h.greeted = false
	}
}
