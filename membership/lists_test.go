package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// newPeerList returns entries 0 to n-1 of a region.
func newPeerList(n int) []*wirepb.Peer {
	var list []*wirepb.Peer
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7001)
		list = append(list, &wirepb.Peer{
			Name: fmt.Sprintf("entry-%d", i), DatagramAddress: addr.String(),
			RpcAddress: fmt.Sprintf("10.0.0.%d:7000", i), Region: "tas", Zone: "hobart", Incarnation: 1,
		})
	}
	return list
}

// ackPeersVersion passes a home's answer with a version of its list to r.
func ackPeersVersion(r *Reporter, home string, version uint64, now time.Time) Effects {
	return r.Handle(now, netip.AddrPort{}, &wirepb.Datagram{Body: &wirepb.Datagram_Ack{Ack: &wirepb.ReportAck{
		Entry: wire.NameKey(home), EntryIncarnation: 1, PeersVersion: version,
	}}})
}

// When one entry is replaced, all agents of the region learn of a changed list
// with their next answers. Each must pull it once, and at different times. A
// home sent many times its budget if agents pulled as soon as a version was
// offered, and separately from each of their homes.
func TestChangedPeerListIsPulledOnceOverTime(t *testing.T) {
	const agents, entries, minute = 40, 86, 60
	old, changed := newPeerList(entries), newPeerList(entries+1)
	oldVersion, changedVersion := PeersVersion(old), PeersVersion(changed)
	began := time.Unix(1_700_000_000, 0)
	perMinute := map[int]int{}
	for i := range agents {
		r := NewReporter(ReporterConfig{
			Descriptor:  backend.Descriptor{Name: fmt.Sprintf("briar-%d", i), Region: "tas"},
			Incarnation: 1, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		r.SetPeers("entry-0", old)
		for _, home := range r.Homes() {
			if out := ackPeersVersion(r, home, oldVersion, began); out.PullPeersFrom != "" {
				t.Fatalf("agent %d pulls from %s a list that it has", i, home)
			}
		}
		pulls := 0
		for second := 0; second < 20*minute; second += 20 {
			now := began.Add(time.Duration(second) * time.Second)
			for _, home := range r.Homes() {
				if ackPeersVersion(r, home, changedVersion, now).PullPeersFrom == "" {
					continue
				}
				pulls++
				perMinute[second/minute]++
				r.SetPeers(home, changed)
			}
		}
		if pulls != 1 {
			t.Errorf("agent %d pulled the list %d times, want once", i, pulls)
		}
	}
	for m, n := range perMinute {
		if n > agents/5 {
			t.Errorf("%d of %d agents pulled in minute %d", n, agents, m)
		}
	}
}

// If a home is silent, a changed list must be pulled at once. With the usual
// delay, agents would keep reporting to dead entries.
func TestChangedPeerListIsPulledAtOnceIfHomeIsSilent(t *testing.T) {
	old := newPeerList(86)
	r := NewReporter(ReporterConfig{
		Descriptor:  backend.Descriptor{Name: "briar-1", Region: "tas"},
		Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	r.SetPeers("entry-0", old)
	now := time.Unix(1_700_000_000, 0)
	homes := r.Homes()
	for range 2 * suspectAfterUnacked {
		now = now.Add(time.Minute)
		r.Tick(now, backend.Load{})
		ackPeersVersion(r, homes[0], PeersVersion(old), now)
	}
	if out := ackPeersVersion(r, homes[0], PeersVersion(newPeerList(85)), now); out.PullPeersFrom == "" {
		t.Error("the list wasn't pulled although a home is silent")
	}
}
