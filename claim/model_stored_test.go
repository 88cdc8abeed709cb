package claim

import (
	"fmt"
	"testing"
)

// Model of claims in a shard: two entries, three sends, and one or two keys in
// one shard. Every step of an entry, of the network and of the store is a
// separate transition, so all orders of them are visited: an entry may be
// paused or crash between any two, a write may take effect late or never, an
// response may be lost before or after its write took effect, and the store may
// fail at each call.

const (
	modelSends  = 3
	modelWrites = 2 // maximum number of writes of one send
)

// Steps of a send.
const (
	atStart uint8 = iota
	atRead
	atDecide
	atWaitWrite
	atGranted
	atWaitRun
	atSettle
	atRelease
	atEnd
)

// Results that a send reports to its caller.
const (
	reportedNothing uint8 = iota
	reportedNotRun
	reportedUnknown
	reportedDone
	reportedPrior
)

// States of a message.
const (
	msgNone uint8 = iota
	msgSent
	msgDone
	msgRefused
)

// storedFault is a way to break the protocol that the model must detect.
type storedFault uint8

const (
	noFault             storedFault = iota
	overwriteOnLost                 // after a lost response, write unconditionally
	takeOverRunning                 // grant a claim whose entry crashed
	timeoutIsNotRun                 // release the key if a dispatched call gets no response
	notRunWithoutRead               // report "not run" although the store could not be read
	releaseWithoutWrite             // release without a write if nothing is recorded
)

type modelRecord struct {
	mark  uint8 // number of the send that claimed, from 1; 0 is none
	state State
}

type modelWrite struct {
	msg     uint8
	version uint8
}

type modelSend struct {
	at         uint8
	reported   uint8
	outcome    OutcomeKind
	tries      uint8
	ambiguous  bool
	callerGone bool // the caller stopped waiting
	ranBefore  bool // the key had run before this send began
	version    uint8
	read       modelRecord
	writes     [modelWrites]modelWrite
	dispatch   uint8
	ran        bool
}

type storedState struct {
	version uint8
	records [2]modelRecord
	runs    [2]uint8
	crashed [2]bool
	sends   [modelSends]modelSend
}

// storedModel assigns a key and an entry to each send.
type storedModel struct {
	key   [modelSends]uint8
	entry [modelSends]uint8
	fault storedFault
	sends int   // number of active sends; the others stay at atStart
	tries uint8 // maximum number of claim writes of one send
}

func (m *storedModel) next(s storedState, emit func(storedState)) {
	for e := range s.crashed {
		if !s.crashed[e] {
			t := s
			t.crashed[e] = true
			emit(t)
		}
	}
	for i := range m.sends {
		m.network(s, i, emit)
		if !s.crashed[m.entry[i]] {
			m.step(s, i, emit)
		}
	}
}

// network delivers a message in transit, also if its sender has crashed.
func (m *storedModel) network(s storedState, i int, emit func(storedState)) {
	send := &s.sends[i]
	k := m.key[i]
	for w, write := range send.writes {
		if write.msg != msgSent {
			continue
		}
		t := s
		blind := m.fault == overwriteOnLost && w > 0
		if write.version == s.version || blind {
			t.version++
			t.records[k] = modelRecord{uint8(i + 1), Running}
			t.sends[i].writes[w].msg = msgDone
		} else {
			t.sends[i].writes[w].msg = msgRefused
		}
		emit(t)
	}
	if send.dispatch == msgSent {
		t := s
		t.runs[k]++
		t.sends[i].ran = true
		t.sends[i].dispatch = msgDone
		emit(t)
		t = s
		t.sends[i].dispatch = msgRefused // the agent refused: certainly not run
		emit(t)
	}
}

func (m *storedModel) step(s storedState, i int, emit func(storedState)) {
	k := m.key[i]
	t := s
	send := &t.sends[i]
	switch send.at {
	case atStart:
		send.at = atRead
		send.ranBefore = s.runs[k] > 0
		emit(t)
	case atRead:
		send.at = atDecide
		send.version = s.version
		send.read = s.records[k]
		emit(t)
		t = s
		m.giveUp(send, m.fault == notRunWithoutRead)
		emit(t)
	case atDecide:
		m.decide(s, i, emit)
	case atWaitWrite:
		m.waitWrite(s, i, emit)
	case atGranted:
		send.at = atWaitRun
		send.dispatch = msgSent
		emit(t)
	case atWaitRun:
		m.waitRun(s, i, emit)
	case atSettle, atRelease:
		m.settle(s, i, emit)
	}
}

// giveUp ends a claim whose write did not take effect.
func (m *storedModel) giveUp(send *modelSend, absent bool) {
	if !send.callerGone {
		send.reported = reportedUnknown
		if absent {
			send.reported = reportedNotRun
		}
	}
	send.at = atEnd
	if send.ambiguous {
		send.at = atRelease
	}
}

func (m *storedModel) decide(s storedState, i int, emit func(storedState)) {
	t := s
	send := &t.sends[i]
	r := send.read
	v := decideClaim(r.mark != 0, r.state == Running, r.mark == uint8(i+1))
	if m.fault == takeOverRunning && v == verdictRefuse && r.state == Running && s.crashed[m.entry[r.mark-1]] {
		v = verdictGrant
	}
	switch v {
	case verdictRefuse:
		send.reported = reportedPrior
		send.at = atEnd
		emit(t)
	case verdictAlreadyGranted:
		m.landed(send)
		emit(t)
	default:
		if send.tries < m.tries {
			send.writes[send.tries] = modelWrite{msgSent, send.version}
			send.tries++
			send.at = atWaitWrite
			emit(t)
		}
		t = s
		m.giveUp(&t.sends[i], true) // the store refused the write
		emit(t)
	}
}

// landed handles a recorded claim: it is granted, or released if its caller has
// stopped waiting.
func (m *storedModel) landed(send *modelSend) {
	send.at = atGranted
	if send.callerGone {
		send.at = atRelease
	}
}

func (m *storedModel) waitWrite(s storedState, i int, emit func(storedState)) {
	now := s.sends[i]
	t := s
	send := &t.sends[i]
	switch now.writes[now.tries-1].msg {
	case msgDone:
		m.landed(send)
		emit(t)
	case msgRefused:
		send.at = atRead
		emit(t)
	}
	t = s
	t.sends[i].ambiguous = true // the response is lost, whether or not the write took effect
	t.sends[i].at = atRead
	emit(t)
	if !now.callerGone {
		t = s
		t.sends[i].callerGone = true
		t.sends[i].reported = reportedUnknown
		emit(t)
	}
}

func (m *storedModel) waitRun(s storedState, i int, emit func(storedState)) {
	t := s
	send := &t.sends[i]
	send.at = atSettle
	switch send.dispatch {
	case msgDone:
		send.outcome, send.reported = OutcomeDone, reportedDone
		emit(t)
	case msgRefused:
		send.outcome, send.reported = OutcomeNotRun, reportedNotRun
		emit(t)
	}
	t = s
	t.sends[i].at = atSettle
	t.sends[i].outcome, t.sends[i].reported = OutcomeUnknown, reportedUnknown
	if m.fault == timeoutIsNotRun {
		t.sends[i].outcome = OutcomeNotRun
	}
	emit(t)
}

// settle is one step, because a conditional write that takes effect is
// equivalent to a read and a write at that moment. It may never happen, because
// the entry may crash first.
func (m *storedModel) settle(s storedState, i int, emit func(storedState)) {
	t := s
	send := &t.sends[i]
	r := &t.records[m.key[i]]
	o := send.outcome
	if send.at == atRelease {
		o = OutcomeNotRun
	}
	mine := r.mark == uint8(i+1) && r.state == Running
	if mine || m.fault != releaseWithoutWrite {
		t.version++
	}
	switch {
	case mine && o == OutcomeNotRun:
		*r = modelRecord{}
	case mine && o == OutcomeDone:
		r.state = Done
	case mine:
		r.state = Unknown
	}
	send.at = atEnd
	emit(t)
}

func (m *storedModel) check(s storedState) string {
	for k, runs := range s.runs {
		if runs > 1 {
			return fmt.Sprintf("key %d ran %d times", k, runs)
		}
	}
	for i, send := range s.sends {
		if send.reported == reportedNotRun && (send.ran || send.ranBefore) {
			return fmt.Sprintf("send %d was reported as not run, but its key had run", i)
		}
	}
	return m.checkOrphanedClaims(s)
}

// checkOrphanedClaims detects a claim that is recorded after its send ended
// without a run and released it.
func (m *storedModel) checkOrphanedClaims(s storedState) string {
	for _, r := range s.records {
		if r.mark == 0 || r.state != Running {
			continue
		}
		i := r.mark - 1
		send := s.sends[i]
		if send.at == atEnd && send.outcome == 0 && !s.crashed[m.entry[i]] {
			return fmt.Sprintf("send %d ended without a run, but its claim is recorded", i)
		}
	}
	return ""
}

// Explores all interleavings of two entries, three sends, a network that loses
// and delays messages and a store that loses responses. Guards against a call
// that runs twice, and against "not run" reported for a call that ran.
func TestModelStoredClaims(t *testing.T) {
	models := map[string]storedModel{
		"one key, two sends, two writes each": {entry: [modelSends]uint8{0, 1}, sends: 2, tries: 2},
		"two keys, two sends, one write each": {key: [modelSends]uint8{0, 1}, entry: [modelSends]uint8{0, 1}, sends: 2, tries: 1},
	}
	if *fullModels {
		models["two keys, two sends, two writes each"] = storedModel{
			key: [modelSends]uint8{0, 1}, entry: [modelSends]uint8{0, 1}, sends: 2, tries: 2}
	}
	for name, m := range models {
		states, violation := explore(storedState{}, m.next, m.check)
		t.Logf("%s: %d states", name, states)
		if violation != "" {
			t.Errorf("%s: %s", name, violation)
		}
	}
}

// Guards against a model that passes for any protocol: each variant leaves one
// rule out and must be detected.
func TestModelStoredCatchesFaults(t *testing.T) {
	faults := map[string]storedFault{
		"overwrite after a lost response": overwriteOnLost,
		"take over a running claim":       takeOverRunning,
		"no response treated as not run":  timeoutIsNotRun,
		"not run without reading":         notRunWithoutRead,
		"release without a write":         releaseWithoutWrite,
	}
	for name, fault := range faults {
		m := storedModel{entry: [modelSends]uint8{0, 1, 1}, sends: 2, tries: 2, fault: fault}
		states, violation := explore(storedState{}, m.next, m.check)
		t.Logf("%s: %q after %d states", name, violation, states)
		if violation == "" {
			t.Errorf("%s: not caught in %d states", name, states)
		}
	}
}
