package membership

import (
	"net/netip"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Outgoing is a datagram to send.
type Outgoing struct {
	To      netip.AddrPort
	Message *wirepb.Datagram
}

// Effects are the actions that a step of a Reporter or an Observer returns to
// its runner.
type Effects struct {
	Send []Outgoing
	// PullConfigFrom is the drpc address of an entry that has newer objects, or
	// empty.
	PullConfigFrom string
	// PullConfigVersion is the version that the pull from PullConfigFrom should
	// bring.
	PullConfigVersion uint64
	// PullPeersFrom is the drpc address of the entry to pull the list of entries
	// from, or empty.
	PullPeersFrom string
	// PullServersFrom is the drpc address of the entry whose backend servers are
	// to be pulled, or empty. The caller must call ServersPulled afterwards.
	PullServersFrom string
	// NewEvidence is crash evidence that wasn't known to this entry before.
	NewEvidence []*wirepb.Evidence
}

// send adds a datagram. It does nothing if the address is invalid.
func (e *Effects) send(to netip.AddrPort, m *wirepb.Datagram) {
	if to.IsValid() {
		e.Send = append(e.Send, Outgoing{To: to, Message: m})
	}
}

func reportMessage(r *wirepb.Report) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Report{Report: r}}
}

func helloMessage(h *wirepb.Hello) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Hello{Hello: h}}
}

func ackMessage(a *wirepb.ReportAck) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Ack{Ack: a}}
}

func digestMessage(d *wirepb.Digest) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Digest{Digest: d}}
}

func evidenceMessage(list []*wirepb.Evidence) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Evidence{Evidence: &wirepb.EvidenceList{Evidence: list}}}
}

func describeMessage(key uint64) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Describe{Describe: &wirepb.DescribeRequest{Key: key}}}
}

// parseAddrPort parses an ip:port. It returns the zero AddrPort for anything
// else.
func parseAddrPort(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
