package wire

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// sampleDatagrams returns one valid datagram of each kind except WorkNews.
func sampleDatagrams() map[string]*wirepb.Datagram {
	load := &wirepb.Load{Running: 3, PrefillShort: 4096, UsedTokens: 90_000, CapacityTokens: 400_000, Sequence: 9}
	d := &wirepb.Descriptor{
		Name: "briar-3", RpcAddress: "10.0.0.3:7000", DatagramAddress: "10.0.0.3:7001",
		EngineAddress: "10.0.0.3:8000", Zone: "hobart", Region: "tas", Pool: "briar-pool",
		Models: []string{"notice-8b"}, Role: "mixed", MemoryTokens: 400_000, Incarnation: 5,
	}
	ev := &wirepb.Evidence{Fingerprint: 1, Deaths: 1, TtlMs: 60_000, Death: 2}
	return map[string]*wirepb.Datagram{
		"report":   {Body: &wirepb.Datagram_Report{Report: &wirepb.Report{Key: 1, Incarnation: 5, Load: load}}},
		"hello":    {Body: &wirepb.Datagram_Hello{Hello: &wirepb.Hello{Descriptor_: d, Load: load}}},
		"ack":      {Body: &wirepb.Datagram_Ack{Ack: &wirepb.ReportAck{Entry: 1, EntryIncarnation: 2, Sequence: 9}}},
		"evidence": {Body: &wirepb.Datagram_Evidence{Evidence: &wirepb.EvidenceList{Evidence: []*wirepb.Evidence{ev}}}},
		"describe": {Body: &wirepb.Datagram_Describe{Describe: &wirepb.DescribeRequest{Key: 4}}},
		"digest": {Body: &wirepb.Datagram_Digest{Digest: &wirepb.Digest{
			Entry: 1, EntryIncarnation: 2, Evidence: []*wirepb.Evidence{ev},
			Rows:    []*wirepb.DigestRow{{Key: 1, Incarnation: 5, Address: 1, Port: 7001}},
			Entries: 7, Ages: []byte{0, 4, 255},
		}}},
	}
}

type receivedDatagram struct {
	from netip.AddrPort
	m    *wirepb.Datagram
}

// listenAddress has a loopback IP that nothing else listens on: on 127.0.0.1,
// datagrams may still arrive for a port that another test has just closed.
const listenAddress = "127.0.1.77:0"

// listen returns an endpoint on loopback and a channel of the datagrams that it
// receives.
func listen(t testing.TB, reg metrics.Registry) (*Datagrams, chan receivedDatagram) {
	t.Helper()
	got := make(chan receivedDatagram, 64)
	d, err := ListenDatagrams(DatagramConfig{
		Address: listenAddress,
		Metrics: reg,
		Handler: func(from netip.AddrPort, m *wirepb.Datagram) { got <- receivedDatagram{from, m} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	})
	return d, got
}

func TestDatagramsArriveWithSender(t *testing.T) {
	reg := metrics.NewRegistry()
	a, _ := listen(t, reg)
	b, got := listen(t, metrics.NewRegistry())
	want, sent := int64(0), 0
	for name, m := range sampleDatagrams() {
		if err := a.Send(b.Addr(), m); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		want += int64(proto.Size(m) + UDPHeaderBytes)
		sent++
		r := <-got
		if r.from != a.Addr() {
			t.Errorf("%s: from %s, want %s", name, r.from, a.Addr())
		}
		if diff := cmp.Diff(m, r.m, protocmp.Transform()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	if n := metrics.GetOrRegisterCounter("wire.datagrams.bytes_out", reg).Count(); n != want {
		t.Errorf("bytes_out is %d after %d datagrams, want %d", n, sent, want)
	}
}

// Guards against the use of fields before they are checked: an undecodable, an
// oversize or an out-of-bounds datagram would make the process panic or show a
// server with an impossible load. A valid datagram after them must arrive.
func TestInvalidDatagramsAreCountedAndDropped(t *testing.T) {
	reg := metrics.NewRegistry()
	d, got := listen(t, reg)
	conn, err := net.Dial("udp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	bad := sampleDatagrams()["report"]
	bad.GetReport().Incarnation = 0
	outOfBounds, err := proto.Marshal(bad)
	if err != nil {
		t.Fatal(err)
	}
	good, err := proto.Marshal(sampleDatagrams()["report"])
	if err != nil {
		t.Fatal(err)
	}
	for _, buf := range [][]byte{[]byte("GET / HTTP/1.1"), make([]byte, MaxDatagramBytes+1), outOfBounds, good} {
		if _, err := conn.Write(buf); err != nil {
			t.Fatal(err)
		}
	}
	if r := <-got; r.m.GetReport().GetIncarnation() != 5 {
		t.Errorf("received %v, want the valid report", r.m)
	}
	for _, name := range []string{"undecodable", "oversize", "out_of_bounds"} {
		if n := metrics.GetOrRegisterCounter("wire.datagrams."+name, reg).Count(); n != 1 {
			t.Errorf("counter %s is %d, want 1", name, n)
		}
	}
}

func TestSendRejectsOversizeDatagram(t *testing.T) {
	d, _ := listen(t, nil)
	m := sampleDatagrams()["digest"]
	for i := range maxEvidence - 1 {
		e := &wirepb.Evidence{Fingerprint: uint64(i + 1), Death: 1 << 63, TtlMs: maxEvidenceTTLMillis, Deaths: 1, Quarantined: true}
		m.GetDigest().Evidence = append(m.GetDigest().Evidence, e)
	}
	if err := d.Send(d.Addr(), m); !errors.Is(err, ErrOversize) {
		t.Fatalf("got error %v for %d bytes, want ErrOversize", err, proto.Size(m))
	}
}

func TestCheckRejectsOutOfBoundsFields(t *testing.T) {
	for name, m := range sampleDatagrams() {
		if err := Check(m); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	cases := []struct {
		kind, field string
		corrupt     func(*wirepb.Datagram)
	}{
		{"hello", "hello.descriptor", func(m *wirepb.Datagram) { m.GetHello().Descriptor_ = nil }},
		{"hello", "descriptor.name", func(m *wirepb.Datagram) { m.GetHello().Descriptor_.Name = strings.Repeat("x", 65) }},
		{"hello", "descriptor.rpc_address", func(m *wirepb.Datagram) { m.GetHello().Descriptor_.RpcAddress = "briar-3:7000" }},
		{"hello", "descriptor.datagram_address", func(m *wirepb.Datagram) { m.GetHello().Descriptor_.DatagramAddress = "10.0.0.3:0" }},
		{"hello", "descriptor.models", func(m *wirepb.Datagram) { m.GetHello().Descriptor_.Models = make([]string, 17) }},
		{"hello", "descriptor.role", func(m *wirepb.Datagram) { m.GetHello().Descriptor_.Role = "king" }},
		{"report", "load", func(m *wirepb.Datagram) { m.GetReport().Load = nil }},
		{"report", "load.incarnation", func(m *wirepb.Datagram) { m.GetReport().Load.Incarnation = 4 }},
		{"report", "load.running", func(m *wirepb.Datagram) { m.GetReport().Load.Running = 1 << 31 }},
		{"report", "load.used_tokens", func(m *wirepb.Datagram) { m.GetReport().Load.UsedTokens = 1 << 63 }},
		{"ack", "ack.entry_incarnation", func(m *wirepb.Datagram) { m.GetAck().EntryIncarnation = 0 }},
		{"digest", "digest.rows", func(m *wirepb.Datagram) { m.GetDigest().Rows = make([]*wirepb.DigestRow, 33) }},
		{"digest", "digest.row.port", func(m *wirepb.Datagram) { m.GetDigest().Rows[0].Port = 70000 }},
		{"digest", "digest.row.address", func(m *wirepb.Datagram) { m.GetDigest().Rows[0].Address = 0 }},
		{"digest", "digest.ages", func(m *wirepb.Datagram) { m.GetDigest().Ages = make([]byte, 513) }},
		{"evidence", "evidence.ttl", func(m *wirepb.Datagram) { m.GetEvidence().Evidence[0].TtlMs = 1 << 40 }},
		{"describe", "describe.key", func(m *wirepb.Datagram) { m.GetDescribe().Key = 0 }},
	}
	for _, c := range cases {
		m := sampleDatagrams()[c.kind]
		c.corrupt(m)
		err := Check(m)
		if !errors.Is(err, ErrOutOfBounds) || !strings.Contains(err.Error(), "field "+c.field+":") {
			t.Errorf("%s: got error %v, want ErrOutOfBounds with the field", c.field, err)
		}
	}
	if err := Check(&wirepb.Datagram{}); !errors.Is(err, ErrUndecodable) {
		t.Errorf("empty datagram: got error %v, want ErrUndecodable", err)
	}
}

// FuzzDecode checks that Decode returns only its documented errors, and that a
// datagram that it accepts passes Check again and encodes to at most twice
// MaxDatagramBytes. The corpus in testdata has one datagram of each kind except
// WorkNews.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleDatagrams() {
		buf, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf)
	}
	f.Fuzz(func(t *testing.T, buf []byte) {
		m, err := Decode(buf)
		if err != nil {
			known := errors.Is(err, ErrUndecodable) || errors.Is(err, ErrOutOfBounds) || errors.Is(err, ErrOversize)
			if !known {
				t.Fatalf("undocumented error: %v", err)
			}
			return
		}
		again, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(m); err != nil || len(again) > 2*MaxDatagramBytes {
			t.Fatalf("accepted datagram: Check returned %v, encoded to %d bytes", err, len(again))
		}
	})
}

// BenchmarkCloseDatagrams measures how long it takes to open and close an
// endpoint. Closing is part of the grace period of a process that shuts down.
// Result: 0.13 ms, and 501 ms when Close waited for gnet to poll its own state.
func BenchmarkCloseDatagrams(b *testing.B) {
	for b.Loop() {
		d, err := ListenDatagrams(DatagramConfig{Address: "127.0.0.1:0", Handler: func(netip.AddrPort, *wirepb.Datagram) {}})
		if err != nil {
			b.Fatal(err)
		}
		if err := d.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
