package peering

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
	"github.com/rcrowley/go-metrics"
)

// BenchmarkTell is what a piece of news costs its entry before peers of five zones: to each of
// them, and to those of its own zone and one of each other, as well as what passing one on costs.
func BenchmarkTell(b *testing.B) {
	sink, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer sink.Close()
	to := netip.MustParseAddrPort(sink.LocalAddr().String())
	own, err := wire.ListenDatagrams(wire.DatagramConfig{
		Address: "127.0.0.1:0", Handler: func(netip.AddrPort, *wirepb.Datagram) {}, Log: quiet.Logger(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer own.Close()
	news := &wirepb.WorkNews{Owner: 1, Began: []*wirepb.WorkBegan{{Seq: 1, Server: 7, PartUs: 9000, MemoryTokens: 5000, PauseMs: 250, Weight: 1.5}}}
	for _, each := range []int{6, 14, 84, 170} {
		x := zones(each, "a", "b", "c", "d", "e")
		x.datagrams, x.failed = own, metrics.NewCounter()
		for i := range x.peers {
			x.peers[i].DatagramAddress = to
		}
		for name, send := range map[string]func(){
			"all": func() { x.sendAll(news) },
			"zones": func() {
				direct, relays := x.ways()
				for _, p := range append(direct, relays...) {
					x.sendTo(p.DatagramAddress, news)
				}
			},
			"pass": func() {
				for _, p := range x.zonePeers() {
					x.sendTo(p.DatagramAddress, news)
				}
			},
		} {
			b.Run(fmt.Sprintf("%s-%d", name, 5*each), func(b *testing.B) {
				for range b.N {
					send()
				}
			})
		}
	}
}
