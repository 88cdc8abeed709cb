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

// Effects is what a step of a Reporter or an Observer asks of its runner.
type Effects struct {
	Send []Outgoing
	// PullConfigFrom is the drpc address of an entry that has newer objects, or
	// empty.
	PullConfigFrom string
	// PullConfigVersion is the version that PullConfig is to bring.
	PullConfigVersion uint64
	// PullPeersFrom is the drpc address of an entry to ask for the list of
	// entries, or empty.
	PullPeersFrom string
	// PullServersFrom is the drpc address of an entry to ask for the backend servers
	// whose home it is, or empty. ServersPulled must follow.
	PullServersFrom string
	// NewEvidence is crash evidence that was not known here yet.
	NewEvidence []*wirepb.Evidence
}

// send adds a datagram. Without a valid address it adds nothing.
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

// address parses an ip:port. It returns the zero address for anything else.
func address(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
