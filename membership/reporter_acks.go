package membership

import (
	"net/netip"
	"time"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Handle processes a datagram from an entry.
func (r *Reporter) Handle(now time.Time, from netip.AddrPort, m *wirepb.Datagram) Effects {
	var out Effects
	switch body := m.GetBody().(type) {
	case *wirepb.Datagram_Ack:
		r.handleAck(now, body.Ack, &out)
	case *wirepb.Datagram_Describe:
		if body.Describe.GetKey() == wire.NameKey(r.cfg.Descriptor.Name) {
			out.send(from, r.newHello(r.lastSent))
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
		r.oldIncarnation.Inc(1)
		return
	}
	h.incarnation = ack.GetEntryIncarnation()
	r.offer.update(ack.GetConfigVersion(), h.rpcAddr)
	r.pullConfig(now, out)
	known := ack.GetKnownIncarnation()
	if known != 0 && known < r.incarnation {
		// An announcement to a previous incarnation. Its sequence belongs to
		// that incarnation; here it would count as the acknowledgement of a
		// drain.
		return
	}
	h.period = time.Duration(ack.GetPeriodMs()) * time.Millisecond
	h.unacked = 0
	h.ackedSequence = max(h.ackedSequence, ack.GetSequence())
	h.suspect = false
	h.draining = ack.GetDraining()
	h.hasDescriptor = !ack.GetWantHello()
	r.chooseHomes()
	if known > r.incarnation {
		r.raiseIncarnation(known + 1)
	}
	if !h.hasDescriptor {
		out.send(h.addr, r.newHello(r.lastSent))
	}
	r.handlePeersVersion(now, h, ack.GetPeersVersion(), out)
}

// raiseIncarnation sets an incarnation above the one that an entry has of this
// agent. This happens if the clock was lower at this start than at an earlier
// one. Otherwise entries would drop all reports as outdated.
func (r *Reporter) raiseIncarnation(incarnation uint64) {
	r.incarnation = incarnation
	r.incarnationRaised.Inc(1)
	for _, h := range r.entries {
		h.hasDescriptor = false
	}
}
