package wire

import (
	"net/netip"
	"unicode/utf8"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Bounds of what a datagram may say.
const (
	maxNameBytes  = 64      // names of servers, pools, zones, models
	maxModels     = 16      // models of one server
	maxAdapters   = 32      // adapters of one server
	maxRows       = 32      // rows of one digest
	maxEvidence   = 40      // fingerprints of one datagram
	maxEntries    = 512     // entries of a region
	maxRequests   = 1 << 20 // running or waiting on one server
	maxTokens     = 1 << 40 // any count or rate of tokens
	maxKiloTokens = 1 << 30 // any count of a digest row, thousands of tokens
	maxDeaths     = 1 << 10
	maxHelpers    = 16    // servers that read parts of one prompt
	maxPartMicros = 600e6 // ten minutes
	maxMillis     = 24 * 60 * 60 * 1000
	maxWeight     = 1e6
	maxTTLMillis  = 24 * 60 * 60 * 1000
	maxAgeTenths  = 10 * 60 * 60 // one hour
	maxPort       = 1<<16 - 1
)

// Decode decodes and checks one datagram. Its errors are ErrOversize,
// ErrUndecodable or ErrOutOfBounds.
func Decode(buf []byte) (*wirepb.Datagram, error) {
	if len(buf) > MaxDatagramBytes {
		return nil, errors.Annotatef(ErrOversize, "%d bytes", len(buf))
	}
	m := &wirepb.Datagram{}
	if err := proto.Unmarshal(buf, m); err != nil {
		return nil, errors.WithType(err, ErrUndecodable)
	}
	if err := Check(m); err != nil {
		return nil, err
	}
	return m, nil
}

// Check tells whether every field of a datagram is within its bounds. What
// passes can be used without further checks of length, range or address. Its
// errors are ErrUndecodable (no body) or ErrOutOfBounds with the field's name.
func Check(m *wirepb.Datagram) error {
	switch body := m.GetBody().(type) {
	case *wirepb.Datagram_Report:
		return checkReport(body.Report)
	case *wirepb.Datagram_Hello:
		return checkHello(body.Hello)
	case *wirepb.Datagram_Ack:
		return checkAck(body.Ack)
	case *wirepb.Datagram_Digest:
		return checkDigest(body.Digest)
	case *wirepb.Datagram_Evidence:
		return checkEvidence(body.Evidence.GetEvidence())
	case *wirepb.Datagram_Work:
		return checkWork(body.Work)
	case *wirepb.Datagram_Describe:
		return want(body.Describe.GetKey() != 0, "describe.key")
	}
	return errors.Annotate(ErrUndecodable, "no body")
}

func checkWork(w *wirepb.WorkNews) error {
	if err := firstOf(want(w.GetOwner() != 0, "work.owner"), checkEvidence(w.GetEvidence()), checkPeer(w)); err != nil {
		return err
	}
	for _, b := range w.GetBegan() {
		err := firstOf(
			want(b.GetSeq() != 0, "work.began.seq"),
			want(b.GetServer() != 0, "work.began.server"),
			want(len(b.GetHelpers()) <= maxHelpers, "work.began.helpers"),
			want(len(b.GetHolders()) <= maxHelpers, "work.began.holders"),
			want(b.GetPartUs() <= maxPartMicros, "work.began.part_us"),
			want(b.GetPauseMs() <= maxMillis, "work.began.pause_ms"),
			want(b.GetFirstInMs() <= maxMillis, "work.began.first_in_ms"),
			want(b.GetWeight() >= 0 && b.GetWeight() <= maxWeight, "work.began.weight"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// checkPeer checks whom an entry says that it is; its news bear the same incarnation.
func checkPeer(w *wirepb.WorkNews) error {
	p := w.GetHello()
	if p == nil {
		return nil
	}
	return firstOf(
		want(validName(p.GetName()), "work.hello.name"),
		want(p.GetZone() == "" || validName(p.GetZone()), "work.hello.zone"),
		want(p.GetRegion() == "" || validName(p.GetRegion()), "work.hello.region"),
		want(p.GetIncarnation() == w.GetOwner(), "work.hello.incarnation"),
		want(validAddress(p.GetDatagramAddress()), "work.hello.datagram_address"),
		want(p.GetRpcAddress() == "" || validAddress(p.GetRpcAddress()), "work.hello.rpc_address"),
	)
}

func checkReport(r *wirepb.Report) error {
	load := r.GetLoad()
	return firstOf(
		want(r.GetKey() != 0, "report.key"),
		want(r.GetIncarnation() != 0, "report.incarnation"),
		checkLoad(load, r.GetIncarnation()),
	)
}

func checkHello(h *wirepb.Hello) error {
	d := h.GetDescriptor_()
	return firstOf(
		want(d != nil, "hello.descriptor"),
		checkDescriptor(d),
		checkLoad(h.GetLoad(), d.GetIncarnation()),
	)
}

// checkLoad checks a sample. Its incarnation may be left out where the message
// around it has it, but must not differ: a sample would otherwise be credited
// to another life of the agent.
func checkLoad(l *wirepb.Load, incarnation uint64) error {
	return firstOf(
		want(l != nil, "load"),
		want(l.GetIncarnation() == 0 || l.GetIncarnation() == incarnation, "load.incarnation"),
		want(l.GetRunning() <= maxRequests, "load.running"),
		want(l.GetWaiting() <= maxRequests, "load.waiting"),
		want(l.GetPrefillShort() <= maxTokens, "load.prefill_short"),
		want(l.GetPrefillLong() <= maxTokens, "load.prefill_long"),
		want(l.GetUsedTokens() <= maxTokens, "load.used_tokens"),
		want(l.GetHeldTokens() <= maxTokens, "load.held_tokens"),
		want(l.GetCapacityTokens() <= maxTokens, "load.capacity_tokens"),
	)
}

func checkDescriptor(d *wirepb.Descriptor) error {
	return firstOf(
		want(validName(d.GetName()), "descriptor.name"),
		want(validAddress(d.GetRpcAddress()), "descriptor.rpc_address"),
		want(validAddress(d.GetDatagramAddress()), "descriptor.datagram_address"),
		want(d.GetEngineAddress() == "" || validAddress(d.GetEngineAddress()), "descriptor.engine_address"),
		want(validName(d.GetZone()), "descriptor.zone"),
		want(validName(d.GetRegion()), "descriptor.region"),
		want(validName(d.GetPool()), "descriptor.pool"),
		want(validNames(d.GetModels(), maxModels), "descriptor.models"),
		want(validNames(d.GetAdapters(), maxAdapters), "descriptor.adapters"),
		want(validRole(d.GetRole()), "descriptor.role"),
		want(validWeights(d.GetWeights()), "descriptor.weights"),
		want(d.GetLoading() == "" || validName(d.GetLoading()), "descriptor.loading"),
		want(d.GetPrefillRate() <= maxTokens, "descriptor.prefill_rate"),
		want(d.GetDecodeRate() <= maxTokens, "descriptor.decode_rate"),
		want(d.GetMemoryTokens() <= maxTokens, "descriptor.memory_tokens"),
		want(d.GetIncarnation() != 0, "descriptor.incarnation"),
	)
}

func checkAck(a *wirepb.ReportAck) error {
	return firstOf(
		want(a.GetEntry() != 0, "ack.entry"),
		want(a.GetEntryIncarnation() != 0, "ack.entry_incarnation"),
	)
}

func checkDigest(d *wirepb.Digest) error {
	if err := firstOf(
		want(d.GetEntry() != 0, "digest.entry"),
		want(d.GetEntryIncarnation() != 0, "digest.entry_incarnation"),
		want(len(d.GetRows()) <= maxRows, "digest.rows"),
		want(len(d.GetAges()) <= maxEntries, "digest.ages"),
		checkEvidence(d.GetEvidence()),
	); err != nil {
		return err
	}
	for _, row := range d.GetRows() {
		if err := checkRow(row); err != nil {
			return err
		}
	}
	return nil
}

func checkRow(r *wirepb.DigestRow) error {
	return firstOf(
		want(r.GetKey() != 0, "digest.row.key"),
		want(r.GetIncarnation() != 0, "digest.row.incarnation"),
		want(r.GetRunning() <= maxRequests, "digest.row.running"),
		want(r.GetPrefillK() <= maxKiloTokens, "digest.row.prefill"),
		want(r.GetFreeK() <= maxKiloTokens, "digest.row.free"),
		want(r.GetAgeDs() <= maxAgeTenths, "digest.row.age"),
		want(r.GetPort() <= maxPort, "digest.row.port"),
		want((r.GetAddress() == 0) == (r.GetPort() == 0), "digest.row.address"),
	)
}

func checkEvidence(list []*wirepb.Evidence) error {
	if err := want(len(list) <= maxEvidence, "evidence"); err != nil {
		return err
	}
	for _, e := range list {
		if err := firstOf(
			want(e.GetFingerprint() != 0, "evidence.fingerprint"),
			want(e.GetDeaths() <= maxDeaths, "evidence.deaths"),
			want(e.GetTtlMs() <= maxTTLMillis, "evidence.ttl"),
		); err != nil {
			return err
		}
	}
	return nil
}

// want returns ErrOutOfBounds with the field's name unless ok.
func want(ok bool, field string) error {
	if ok {
		return nil
	}
	return errors.Annotatef(ErrOutOfBounds, "field %s", field)
}

// firstOf returns the first error.
func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// validName accepts printable UTF-8 without spaces.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if r <= ' ' || r == 0x7f {
			return false
		}
	}
	return true
}

func validNames(list []string, max int) bool {
	if len(list) > max {
		return false
	}
	for _, s := range list {
		if !validName(s) {
			return false
		}
	}
	return true
}

func validWeights(list []*wirepb.Weights) bool {
	if len(list) > maxModels+maxAdapters {
		return false
	}
	for _, w := range list {
		if !validName(w.GetName()) {
			return false
		}
	}
	return true
}

// validAddress accepts ip:port with a port.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func validRole(s string) bool {
	switch s {
	case "", "mixed", "prefill", "decode":
		return true
	}
	return false
}
