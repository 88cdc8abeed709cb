package wire

import (
	"math"
	"net/netip"
	"unicode/utf8"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Bounds of the fields of a datagram.
const (
	maxNameBytes         = 64      // names of servers, pools, zones and models
	maxModels            = 16      // models of one server
	maxAdapters          = 32      // adapters of one server
	maxDigestRows        = 32      // rows of one digest
	maxEvidence          = 40      // evidence records of one datagram
	maxRates             = 60      // server rates of one datagram
	maxDrains            = 60      // draining servers of one datagram
	maxCompleted         = 120     // completed fingerprints of one datagram
	maxRetryTokens       = 1024    // retries that one entry asks another for, or lends it
	maxEntries           = 512     // entries of a region
	maxRequests          = 1 << 20 // running or waiting on one server
	maxTokens            = 1 << 40 // any count or rate of tokens
	maxKiloTokens        = 1 << 30 // any token count of a digest row, in thousands of tokens
	maxDeaths            = 1 << 10
	maxHelpers           = 16    // helpers or holders of one attempt
	maxPartMicros        = 600e6 // ten minutes
	maxMillis            = 24 * 60 * 60 * 1000
	maxWeight            = 1e6
	maxEvidenceTTLMillis = 24 * 60 * 60 * 1000
	maxAgeDeciseconds    = 10 * 60 * 60 // one hour
	maxPort              = 1<<16 - 1
)

// Decode decodes and checks one datagram. It returns ErrOversize,
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

// Check checks that every field of a datagram is within its bounds. A datagram
// that passes needs no further checks of length, range or address. Check
// returns ErrUndecodable for a datagram without a body, and ErrOutOfBounds with
// the name of the field for a field outside its bounds.
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
		return checkWorkNews(body.Work)
	case *wirepb.Datagram_Describe:
		return require(body.Describe.GetKey() != 0, "describe.key")
	}
	return errors.Annotate(ErrUndecodable, "no body")
}

func checkWorkNews(w *wirepb.WorkNews) error {
	err := firstError(
		require(w.GetOwner() != 0, "work.owner"),
		checkEvidence(w.GetEvidence()),
		require(len(w.GetCompleted()) <= maxCompleted, "work.completed"),
		checkRates(w.GetRates()),
		checkDrains(w.GetDrains()),
		checkPartDeaths(w.GetPartDeaths()),
		checkPartsCleared(w.GetPartsCleared()),
		checkRetryAsks(w.GetRetryAsks()),
		checkRetryLoans(w.GetRetryLoans()),
		checkWorkHello(w),
	)
	if err != nil {
		return err
	}
	for _, b := range w.GetBegan() {
		err := firstError(
			require(b.GetSeq() != 0, "work.began.seq"),
			require(b.GetServer() != 0, "work.began.server"),
			require(len(b.GetHelpers()) <= maxHelpers, "work.began.helpers"),
			require(len(b.GetHolders()) <= maxHelpers, "work.began.holders"),
			require(b.GetPartUs() <= maxPartMicros, "work.began.part_us"),
			require(b.GetPauseMs() <= maxMillis, "work.began.pause_ms"),
			require(b.GetFirstInMs() <= maxMillis, "work.began.first_in_ms"),
			require(b.GetWeight() >= 0 && b.GetWeight() <= maxWeight, "work.began.weight"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkRetryAsks(list []*wirepb.RetryAsk) error {
	for _, a := range list {
		err := firstError(
			require(validName(a.GetService()), "work.retry_asks.service"),
			require(a.GetTokens() > 0 && a.GetTokens() <= maxRetryTokens, "work.retry_asks.tokens"),
			require(a.GetSeq() != 0, "work.retry_asks.seq"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkRetryLoans(list []*wirepb.RetryLoan) error {
	for _, l := range list {
		err := firstError(
			require(l.GetTo() != 0, "work.retry_loans.to"),
			require(validName(l.GetService()), "work.retry_loans.service"),
			require(l.GetTokens() > 0 && l.GetTokens() <= maxRetryTokens, "work.retry_loans.tokens"),
			require(l.GetSeq() != 0, "work.retry_loans.seq"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkPartDeaths(list []*wirepb.PartDeath) error {
	for _, d := range list {
		err := firstError(
			checkPartScope(d.GetScope()),
			require(d.GetDeath() != 0, "work.part_deaths.death"),
			require(d.GetRanMs() <= maxMillis, "work.part_deaths.ran_ms"),
			require(d.GetAgeMs() <= maxMillis, "work.part_deaths.age_ms"),
			require(len(d.GetParts()) <= MaxPartsPerMessage, "work.part_deaths.parts"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkPartsCleared(list []*wirepb.PartsCleared) error {
	for _, c := range list {
		err := firstError(
			checkPartScope(c.GetScope()),
			require(c.GetAgeMs() <= maxMillis, "work.parts_cleared.age_ms"),
			require(len(c.GetParts()) <= MaxPartsPerMessage, "work.parts_cleared.parts"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkPartScope(s *wirepb.PartScope) error {
	return firstError(
		require(len(s.GetService()) <= quarantine.MaxScopeNameBytes, "part.scope.service"),
		require(len(s.GetModel()) <= quarantine.MaxScopeNameBytes, "part.scope.model"),
	)
}

func checkDrains(list []*wirepb.ServerDrain) error {
	if err := require(len(list) <= maxDrains, "work.drains"); err != nil {
		return err
	}
	for _, d := range list {
		err := firstError(
			require(d.GetServer() != 0, "work.drains.server"),
			require(d.GetStartedUnixMs() <= math.MaxInt64, "work.drains.started_unix_ms"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// MaxRatePerSecond is the greatest request rate of a server that a message may carry.
const MaxRatePerSecond = 1e6

func checkRates(list []*wirepb.ServerRate) error {
	if err := require(len(list) <= maxRates, "work.rates"); err != nil {
		return err
	}
	for _, r := range list {
		err := firstError(
			require(r.GetServer() != 0, "work.rates.server"),
			require(r.GetPerSecond() >= 0 && r.GetPerSecond() <= MaxRatePerSecond, "work.rates.per_second"),
			require(r.GetAgeMs() <= maxMillis, "work.rates.age_ms"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// checkWorkHello checks the peer information with which an entry introduces
// itself. Its incarnation must be the owner of the message.
func checkWorkHello(w *wirepb.WorkNews) error {
	p := w.GetHello()
	if p == nil {
		return nil
	}
	return firstError(
		require(validName(p.GetName()), "work.hello.name"),
		require(p.GetZone() == "" || validName(p.GetZone()), "work.hello.zone"),
		require(p.GetRegion() == "" || validName(p.GetRegion()), "work.hello.region"),
		require(p.GetIncarnation() == w.GetOwner(), "work.hello.incarnation"),
		require(validAddress(p.GetDatagramAddress()), "work.hello.datagram_address"),
		require(p.GetRpcAddress() == "" || validAddress(p.GetRpcAddress()), "work.hello.rpc_address"),
	)
}

func checkReport(r *wirepb.Report) error {
	load := r.GetLoad()
	return firstError(
		require(r.GetKey() != 0, "report.key"),
		require(r.GetIncarnation() != 0, "report.incarnation"),
		checkLoad(load, r.GetIncarnation()),
	)
}

func checkHello(h *wirepb.Hello) error {
	d := h.GetDescriptor_()
	return firstError(
		require(d != nil, "hello.descriptor"),
		checkDescriptor(d),
		checkLoad(h.GetLoad(), d.GetIncarnation()),
	)
}

// checkLoad checks a load sample. The sample may leave out its incarnation,
// because the enclosing message has it. A different incarnation is rejected:
// the sample would be attributed to another incarnation of the agent.
func checkLoad(l *wirepb.Load, incarnation uint64) error {
	return firstError(
		require(l != nil, "load"),
		require(l.GetIncarnation() == 0 || l.GetIncarnation() == incarnation, "load.incarnation"),
		require(l.GetRunning() <= maxRequests, "load.running"),
		require(l.GetWaiting() <= maxRequests, "load.waiting"),
		require(l.GetPrefillShort() <= maxTokens, "load.prefill_short"),
		require(l.GetPrefillLong() <= maxTokens, "load.prefill_long"),
		require(l.GetUsedTokens() <= maxTokens, "load.used_tokens"),
		require(l.GetHeldTokens() <= maxTokens, "load.held_tokens"),
		require(l.GetCapacityTokens() <= maxTokens, "load.capacity_tokens"),
	)
}

func checkDescriptor(d *wirepb.Descriptor) error {
	return firstError(
		require(validName(d.GetName()), "descriptor.name"),
		require(validAddress(d.GetRpcAddress()), "descriptor.rpc_address"),
		require(validAddress(d.GetDatagramAddress()), "descriptor.datagram_address"),
		require(d.GetEngineAddress() == "" || validAddress(d.GetEngineAddress()), "descriptor.engine_address"),
		require(validName(d.GetZone()), "descriptor.zone"),
		require(validName(d.GetRegion()), "descriptor.region"),
		require(validName(d.GetPool()), "descriptor.pool"),
		require(validNames(d.GetModels(), maxModels), "descriptor.models"),
		require(validNames(d.GetAdapters(), maxAdapters), "descriptor.adapters"),
		require(validRole(d.GetRole()), "descriptor.role"),
		require(validWeights(d.GetWeights()), "descriptor.weights"),
		require(d.GetLoading() == "" || validName(d.GetLoading()), "descriptor.loading"),
		require(d.GetPrefillRate() <= maxTokens, "descriptor.prefill_rate"),
		require(d.GetDecodeRate() <= maxTokens, "descriptor.decode_rate"),
		require(d.GetMemoryTokens() <= maxTokens, "descriptor.memory_tokens"),
		require(d.GetIncarnation() != 0, "descriptor.incarnation"),
	)
}

func checkAck(a *wirepb.ReportAck) error {
	return firstError(
		require(a.GetEntry() != 0, "ack.entry"),
		require(a.GetEntryIncarnation() != 0, "ack.entry_incarnation"),
	)
}

func checkDigest(d *wirepb.Digest) error {
	if err := firstError(
		require(d.GetEntry() != 0, "digest.entry"),
		require(d.GetEntryIncarnation() != 0, "digest.entry_incarnation"),
		require(len(d.GetRows()) <= maxDigestRows, "digest.rows"),
		require(len(d.GetAges()) <= maxEntries, "digest.ages"),
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
	return firstError(
		require(r.GetKey() != 0, "digest.row.key"),
		require(r.GetIncarnation() != 0, "digest.row.incarnation"),
		require(r.GetRunning() <= maxRequests, "digest.row.running"),
		require(r.GetPrefillK() <= maxKiloTokens, "digest.row.prefill"),
		require(r.GetFreeK() <= maxKiloTokens, "digest.row.free"),
		require(r.GetAgeDs() <= maxAgeDeciseconds, "digest.row.age"),
		require(r.GetPort() <= maxPort, "digest.row.port"),
		require((r.GetAddress() == 0) == (r.GetPort() == 0), "digest.row.address"),
	)
}

func checkEvidence(list []*wirepb.Evidence) error {
	if err := require(len(list) <= maxEvidence, "evidence"); err != nil {
		return err
	}
	for _, e := range list {
		if err := firstError(
			require(e.GetFingerprint() != 0, "evidence.fingerprint"),
			require(e.GetDeaths() <= maxDeaths, "evidence.deaths"),
			require(e.GetTtlMs() <= maxEvidenceTTLMillis, "evidence.ttl"),
			require(e.GetRanMs() <= maxEvidenceTTLMillis, "evidence.ran"),
			require(e.GetAgeMs() <= maxEvidenceTTLMillis, "evidence.age"),
		); err != nil {
			return err
		}
	}
	return nil
}

// require returns ErrOutOfBounds with the name of the field unless ok is true.
func require(ok bool, field string) error {
	if ok {
		return nil
	}
	return errors.Annotatef(ErrOutOfBounds, "field %s", field)
}

// firstError returns the first non-nil error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// validName reports whether s is valid UTF-8 of 1 to maxNameBytes bytes without
// ASCII spaces and control characters.
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

// validAddress reports whether s is an ip:port with a specified IP and a port
// other than 0.
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
