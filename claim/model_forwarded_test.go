package claim

import (
	"flag"
	"testing"
)

// fullModels adds the large bounds. The default bounds catch every broken
// variant.
var fullModels = flag.Bool("claim.full", false, "explore the models to their large bounds too")

// Model of forwarded claims, built on the model of stored claims. The entry of
// the first send forwards its claim to a preferred writer, a third process, and
// may at any moment stop waiting and write itself with the same mark. The
// writer may be paused, crash or continue for any length of time. Its write and
// its response may be late or lost. The message to it may arrive at any time,
// also after the send has ended, or never. The limit on the age of a forwarded
// claim is left out, so a claim may be arbitrarily late, and withdrawn marks
// are kept forever.

// States of a forwarded claim.
const (
	fwdNone uint8 = iota
	fwdSent
	fwdRead         // the writer has read the shard
	fwdWrite        // its write is in transit
	fwdResponseLost // as above, and the writer treats the response as lost
	fwdGranted
	fwdNotRun
	fwdPrior
	fwdUncertain
	fwdRefused // not recorded and never will be; outcome of earlier sends unknown
)

// forwardFault is a way to break forwarding that the model must detect.
type forwardFault uint8

const (
	noForwardFault      forwardFault = iota
	grantOnTimeout                   // dispatch although the writer did not respond
	writerReleasesClaim              // the writer releases a claim whose sender stopped waiting
	markNotWithdrawn                 // release a claim without storing its mark as withdrawn
	unconditionalWriter              // the writer's write is unconditional
	uncertainIsNotRun                // the writer reports "not run" after a lost store response
)

type forwardPart struct {
	at           uint8
	version      uint8
	read         modelRecord
	tries        uint8
	uncertain    bool // the sender stopped waiting or got no certain response
	released     bool
	sawWithdrawn bool // the mark was withdrawn when the writer read the shard
}

type forwardedState struct {
	storedState
	writerCrashed bool
	withdrawn     bool
	fwd           forwardPart // claim of send 0
}

type forwardedModel struct {
	storedModel
	fault    forwardFault
	maxTries uint8 // maximum number of writes by the writer
}

func (m *forwardedModel) next(s forwardedState, emit func(forwardedState)) {
	if !s.writerCrashed {
		t := s
		t.writerCrashed = true
		emit(t)
		m.writer(s, emit)
	}
	m.write(s, emit)
	if s.sends[0].at == atForward {
		m.await(s, emit)
		s.sends[0].at = atEnd // the stored model has no step for atForward
		m.stored(s, func(t forwardedState) { t.sends[0].at = atForward; emit(t) })
		return
	}
	m.stored(s, emit)
}

// atForward: the send waits for the writer's response.
const atForward = atEnd + 1

// stored takes a step of the stored model. The first send forwards its claim
// where the stored model goes on to read, and its mark is withdrawn when its
// claim is released.
func (m *forwardedModel) stored(s forwardedState, emit func(forwardedState)) {
	m.storedModel.next(s.storedState, func(inner storedState) {
		t := s
		t.storedState = inner
		before, after := s.sends[0], inner.sends[0]
		if before.at == atStart && after.at == atRead {
			t.sends[0].at = atForward
			t.fwd.at = fwdSent
		}
		m.released(&t, before, after)
		emit(t)
	})
}

// released applies the differences from the stored model for a claim that
// another entry may record.
func (m *forwardedModel) released(t *forwardedState, before, after modelSend) {
	if !t.fwd.uncertain || before.at == after.at {
		return
	}
	refused := before.at == atRead || before.at == atDecide
	if refused && after.at == atEnd {
		t.sends[0].at = atRelease // also if the store certainly refused the write
		return
	}
	notRun := before.at == atRelease || before.at == atSettle && before.outcome == OutcomeNotRun
	if after.at == atEnd && notRun && m.fault != markNotWithdrawn {
		t.withdrawn = true
	}
}

// await lets the writer's response arrive or the send stop waiting.
func (m *forwardedModel) await(s forwardedState, emit func(forwardedState)) {
	if s.crashed[m.entry[0]] {
		return
	}
	t := s
	send := &t.sends[0]
	switch s.fwd.at {
	case fwdGranted:
		send.at = atGranted
		emit(t)
	case fwdPrior:
		send.at, send.reported = atEnd, reportedPrior
		emit(t)
	case fwdNotRun:
		send.at, send.reported = atEnd, reportedNotRun
		emit(t)
	case fwdRefused:
		send.at = atRead
		emit(t)
	}
	t = s
	t.fwd.uncertain = true
	t.sends[0].at = atRead
	if m.fault == grantOnTimeout {
		t.sends[0].at = atGranted
	}
	emit(t)
	t = s // the caller stops waiting
	t.fwd.uncertain = true
	t.sends[0].at, t.sends[0].reported, t.sends[0].callerGone = atRelease, reportedUnknown, true
	emit(t)
}

// write lets the writer's write arrive, also after the writer has crashed.
func (m *forwardedModel) write(s forwardedState, emit func(forwardedState)) {
	if s.fwd.at != fwdWrite && s.fwd.at != fwdResponseLost {
		return
	}
	k := m.key[0]
	t := s
	landed := s.fwd.version == s.version || m.fault == unconditionalWriter
	if landed {
		t.version++
		t.records[k] = modelRecord{1, Running}
	}
	switch {
	case s.fwd.at == fwdResponseLost:
		t.fwd.at = fwdUncertain
	case landed:
		t.fwd.at = fwdGranted
	case s.fwd.tries < m.maxTries:
		t.fwd.at = fwdSent // a conflict: read again
	default:
		t.fwd.at = fwdNotRun
	}
	emit(t)
}

// writer takes a step of the preferred writer.
func (m *forwardedModel) writer(s forwardedState, emit func(forwardedState)) {
	t := s
	switch s.fwd.at {
	case fwdSent:
		t.fwd.at = fwdRead
		t.fwd.version = s.version
		t.fwd.sawWithdrawn = s.withdrawn
		t.fwd.read = s.records[m.key[0]]
		emit(t)
		t = s
		t.fwd.at = fwdRefused // the store could not be read
		emit(t)
	case fwdRead:
		m.decideForwarded(s, emit)
	case fwdWrite:
		t.fwd.at = fwdResponseLost
		if m.fault == uncertainIsNotRun {
			t.fwd.at = fwdNotRun
			if s.fwd.version == s.version { // the write took effect and its response was lost
				t.version++
				t.records[m.key[0]] = modelRecord{1, Running}
			}
		}
		emit(t)
	case fwdGranted:
		m.releaseByWriter(s, emit)
	}
}

func (m *forwardedModel) decideForwarded(s forwardedState, emit func(forwardedState)) {
	t := s
	r := s.fwd.read
	switch {
	case s.fwd.sawWithdrawn:
		t.fwd.at = fwdUncertain
	case decideClaim(r.mark != 0, r.state == Running, r.mark == 1) == verdictGrant:
		t.fwd.at = fwdWrite
		t.fwd.tries++
		emit(t)
		t = s
		t.fwd.at = fwdNotRun // the store certainly refused the write
	case r.mark == 1 && r.state == Running:
		t.fwd.at = fwdGranted
	default:
		t.fwd.at = fwdPrior
	}
	emit(t)
}

// releaseByWriter is the step of the writerReleasesClaim fault.
func (m *forwardedModel) releaseByWriter(s forwardedState, emit func(forwardedState)) {
	if m.fault != writerReleasesClaim || !s.fwd.uncertain || s.fwd.released {
		return
	}
	t := s
	t.fwd.released = true
	t.version++
	if r := &t.records[m.key[0]]; r.mark == 1 && r.state == Running {
		*r = modelRecord{}
	}
	emit(t)
}

func (m *forwardedModel) check(s forwardedState) string {
	r := s.records[m.key[0]]
	freed := s.sends[0].at == atEnd && s.sends[0].outcome == OutcomeNotRun
	if freed && r.mark == 1 && r.state == Running && !s.crashed[m.entry[0]] {
		return "send 0 was settled as not run, but its claim is recorded again"
	}
	return m.storedModel.check(s.storedState)
}

func forwarded(fault forwardFault, keys [modelSends]uint8, tries, writerTries uint8) forwardedModel {
	return forwardedModel{
		storedModel: storedModel{key: keys, entry: [modelSends]uint8{0, 1}, sends: 2, tries: tries},
		fault:       fault,
		maxTries:    writerTries,
	}
}

// Explores all interleavings of a forwarded claim and one written directly.
// Guards against two paths of one claim, or one path of each of two claims,
// that both lead to a run, and against a refused call that leaves a claim which
// is never run. The rule under test: all paths of a claim share one mark, and
// only the claim's own entry dispatches or releases.
func TestModelForwardedClaims(t *testing.T) {
	models := map[string]forwardedModel{
		"one key": forwarded(noForwardFault, [modelSends]uint8{}, 1, 1),
	}
	if *fullModels {
		models["two keys"] = forwarded(noForwardFault, [modelSends]uint8{0, 1}, 1, 1)
		models["one key, two writes at the writer"] = forwarded(noForwardFault, [modelSends]uint8{}, 1, 2)
	}
	for name, m := range models {
		states, violation := explore(forwardedState{}, m.next, m.check)
		t.Logf("%s: %d states", name, states)
		if violation != "" {
			t.Errorf("%s: %s", name, violation)
		}
	}
}

// Guards against a model that passes for any protocol: each variant leaves one
// rule out and must be detected.
func TestModelForwardedCatchesFaults(t *testing.T) {
	faults := map[string]forwardFault{
		"run without the writer's response": grantOnTimeout,
		"writer releases a claim":           writerReleasesClaim,
		"released mark not stored":          markNotWithdrawn,
		"writer writes without a condition": unconditionalWriter,
		"not run after a lost response":     uncertainIsNotRun,
	}
	for name, fault := range faults {
		m := forwarded(fault, [modelSends]uint8{}, 1, 1)
		states, violation := explore(forwardedState{}, m.next, m.check)
		t.Logf("%s: %q after %d states", name, violation, states)
		if violation == "" {
			t.Errorf("%s: not caught in %d states", name, states)
		}
	}
}
