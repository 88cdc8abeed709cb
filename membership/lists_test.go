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

// listEntries are entries 0 to n-1 of a region.
func listEntries(n int) []*wirepb.Peer {
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

// offer is an entry's answer that names its list.
func offer(r *Reporter, home string, version uint64, now time.Time) Effects {
	return r.Handle(now, netip.AddrPort{}, &wirepb.Datagram{Body: &wirepb.Datagram_Ack{Ack: &wirepb.ReportAck{
		Entry: wire.Key(home), EntryIncarnation: 1, PeersVersion: version,
	}}})
}

// Symptom: a home sends many times its budget when one entry comes or goes.
// Sequence: an entry is replaced; each agent of the region hears of a changed
// list with its next answer, and pulls all of it from each of its homes.
// Cause: a pull as soon as a list is offered, and for each home anew.
func TestChangedListIsPulledOnceAndSpread(t *testing.T) {
	const agents, entries, minute = 40, 86, 60
	old, changed := listEntries(entries), listEntries(entries+1)
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
			if out := offer(r, home, oldVersion, began); out.PullPeersFrom != "" {
				t.Fatalf("agent %d pulls from %s a list that it has", i, home)
			}
		}
		pulls := 0
		for second := 0; second < 20*minute; second += 20 {
			now := began.Add(time.Duration(second) * time.Second)
			for _, home := range r.Homes() {
				if offer(r, home, changedVersion, now).PullPeersFrom == "" {
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

// Symptom: agents go on with a home that is dead, and with others that are.
// Sequence: entries die; the list without them waits to be pulled.
// Cause: a delay that doesn't ask whether a home answers.
func TestChangedListIsPulledAtOnceWhereAHomeIsSilent(t *testing.T) {
	old := listEntries(86)
	r := NewReporter(ReporterConfig{
		Descriptor:  backend.Descriptor{Name: "briar-1", Region: "tas"},
		Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	r.SetPeers("entry-0", old)
	now := time.Unix(1_700_000_000, 0)
	homes := r.Homes()
	for range 2 * suspectUnacked {
		now = now.Add(time.Minute)
		r.Tick(now, backend.Load{})
		offer(r, homes[0], PeersVersion(old), now)
	}
	if out := offer(r, homes[0], PeersVersion(listEntries(85)), now); out.PullPeersFrom == "" {
		t.Error("the list isn't pulled though a home is silent")
	}
}
