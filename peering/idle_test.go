package peering

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Guards against idle entries that send a heartbeat twice a second: with hundreds of entries
// that is most of the traffic. Heartbeats of busy entries aren't skipped.
func TestIdleEntrySkipsHeartbeats(t *testing.T) {
	var rest idleThrottle
	var sent []int
	for i, idle := range []bool{false, true, true, true, true, true, true, true, false, false, true, true} {
		if !rest.skip(idle) {
			sent = append(sent, i)
		}
	}
	want := []int{0, 1, 4, 7, 8, 9, 10}
	if len(sent) != len(want) {
		t.Fatalf("sent %v, want %v", sent, want)
	}
	for i := range want {
		if sent[i] != want[i] {
			t.Fatalf("sent %v, want %v", sent, want)
		}
	}
}

// Guards against two failures: an idle entry, which sends fewer heartbeats, is assumed dead
// and others read the store in its place; or the servers of an entry that died with active
// attempts look busy until the longer timeout of an idle entry.
func TestPeerTimeoutDependsOnLastReportedAttempts(t *testing.T) {
	now := time.Now()
	x := &Exchange{
		cfg: Config{
			Incarnation: 1, RPCAddress: "own", Log: quiet.Logger(),
			Ledger: placement.NewLedger(func(uint64) *placement.EngineProfile { return nil }),
		},
		lastSeen: map[uint64]time.Time{}, idlePeers: map[uint64]bool{}, received: metrics.NewCounter(),
		peers: []Peer{{Incarnation: 2, RPCAddress: "two"}, {Incarnation: 3, RPCAddress: "three"}},
	}
	receive := func(m *wirepb.WorkNews) {
		x.handleDatagram(netip.AddrPort{}, &wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: m}})
	}
	live := func(after time.Duration) int {
		near, _ := x.livePeers(now.Add(after))
		return len(near)
	}
	receive(&wirepb.WorkNews{Owner: 2, Beat: true})
	receive(&wirepb.WorkNews{Owner: 3, Beat: true, Active: []uint64{7}})
	if n := live(peerTimeout + time.Second); n != 1 {
		t.Errorf("%d live peers, want only the idle one", n)
	}
	if n := live(idlePeerTimeout + time.Second); n != 0 {
		t.Errorf("%d live peers after the idle timeout, want none", n)
	}
	receive(&wirepb.WorkNews{Owner: 2, Began: []*wirepb.WorkBegan{{Seq: 1}}})
	x.expirePeers(now.Add(peerTimeout + time.Second))
	if len(x.lastSeen) != 0 || len(x.cfg.Ledger.AttemptsOf(2)) != 0 {
		t.Errorf("not expired: last seen %v, attempts %v", x.lastSeen, x.cfg.Ledger.AttemptsOf(2))
	}
}
