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

// Entries without attempts tell each other so twice a second: with hundreds of them that is
// most of what they send. What began and ended is told as soon as before.
func TestIdleEntryBeatsSeldom(t *testing.T) {
	var rest idleRest
	var sent []int
	for i, idle := range []bool{false, true, true, true, true, true, true, true, false, false, true, true} {
		if !rest.skips(idle) {
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

// An idle entry that beats seldom is taken for dead, and others read the store in its
// place; or one that died with attempts keeps its servers busy for as long as an idle one
// may be silent.
func TestSilenceIsJudgedByWhatAnEntryLastSaid(t *testing.T) {
	now := time.Now()
	x := &Exchange{
		cfg: Config{
			Incarnation: 1, RPCAddress: "own", Log: quiet.Logger(),
			Ledger: placement.NewLedger(func(uint64) *placement.EngineProfile { return nil }),
		},
		last: map[uint64]time.Time{}, idle: map[uint64]bool{}, heard: metrics.NewCounter(),
		peers: []Peer{{Incarnation: 2, RPCAddress: "two"}, {Incarnation: 3, RPCAddress: "three"}},
	}
	hear := func(m *wirepb.WorkNews) {
		x.hear(netip.AddrPort{}, &wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: m}})
	}
	heard := func(after time.Duration) int {
		near, _ := x.heardLately(now.Add(after))
		return len(near)
	}
	hear(&wirepb.WorkNews{Owner: 2, Beat: true})
	hear(&wirepb.WorkNews{Owner: 3, Beat: true, Active: []uint64{7}})
	if n := heard(silentAfter + time.Second); n != 1 {
		t.Errorf("%d heard, want the idle one", n)
	}
	if n := heard(idleSilentAfter + time.Second); n != 0 {
		t.Errorf("%d heard after a long silence", n)
	}
	hear(&wirepb.WorkNews{Owner: 2, Began: []*wirepb.WorkBegan{{Seq: 1}}})
	x.forgetSilent(now.Add(silentAfter + time.Second))
	if len(x.last) != 0 || len(x.cfg.Ledger.AttemptsOf(2)) != 0 {
		t.Errorf("kept: last %v, works %v", x.last, x.cfg.Ledger.AttemptsOf(2))
	}
}
