package claim

import (
	"fmt"
	"testing"
)

// Model of issued keys with the store permanently down. Entry 0 issued the key
// and entry 1 asks it. Messages between them may be late, duplicated by a retry
// or lost, both entries may crash, and entry 0 restarts as a new incarnation.

type issuedFault uint8

const (
	noIssuedFault         issuedFault = iota
	grantWithoutResponse              // entry 1 runs the call although the issuer did not respond
	restartedIssuerGrants             // a restarted issuer grants keys of its previous incarnation
)

type issuedSend struct {
	at         uint8
	reported   uint8
	asked      [2]uint8 // messages to the issuer: the request and its retry
	answered   [2]verdict
	tries      uint8
	dispatch   uint8
	ran        bool
	before     bool
	releaseMsg uint8 // "settled as not run" in transit to the issuer
}

type issuedState struct {
	table     modelRecord // state of the key at the issuer
	restarted bool
	crashed   [2]bool
	runs      uint8
	sends     [modelSends]issuedSend
}

type issuedModel struct {
	entry [modelSends]uint8
	fault issuedFault
}

func (m *issuedModel) next(s issuedState, emit func(issuedState)) {
	for e := range s.crashed {
		if !s.crashed[e] {
			t := s
			t.crashed[e] = true
			if e == 0 {
				t.table = modelRecord{}
			}
			emit(t)
		}
	}
	if s.crashed[0] && !s.restarted {
		t := s
		t.restarted = true
		emit(t)
	}
	for i := range s.sends {
		m.network(s, i, emit)
		if !s.crashed[m.entry[i]] {
			m.step(s, i, emit)
		}
	}
}

// issuerClaim returns the issuer's response to one claim, and false if no issuer
// responds.
func (m *issuedModel) issuerClaim(s *issuedState, i int) (verdict, bool) {
	if s.crashed[0] && !(s.restarted && m.fault == restartedIssuerGrants) {
		return verdictRefuse, false
	}
	v := decideClaim(s.table.mark != 0, s.table.state == Running, s.table.mark == uint8(i+1))
	if v == verdictGrant {
		s.table = modelRecord{uint8(i + 1), Running}
	}
	return v, true
}

func (m *issuedModel) network(s issuedState, i int, emit func(issuedState)) {
	for n, msg := range s.sends[i].asked {
		if msg != msgSent {
			continue
		}
		t := s
		v, ok := m.issuerClaim(&t, i)
		if !ok {
			continue
		}
		t.sends[i].asked[n] = msgDone
		t.sends[i].answered[n] = v
		emit(t)
	}
	if s.sends[i].releaseMsg == msgSent {
		t := s
		m.releaseKey(&t, i)
		t.sends[i].releaseMsg = msgDone
		emit(t)
	}
	if s.sends[i].dispatch == msgSent {
		t := s
		t.runs++
		t.sends[i].ran = true
		t.sends[i].dispatch = msgDone
		emit(t)
		t = s
		t.sends[i].dispatch = msgRefused
		emit(t)
	}
}

func (m *issuedModel) releaseKey(s *issuedState, i int) {
	if s.table.mark == uint8(i+1) && s.table.state == Running {
		s.table = modelRecord{}
	}
}

func (m *issuedModel) step(s issuedState, i int, emit func(issuedState)) {
	t := s
	send := &t.sends[i]
	switch send.at {
	case atStart:
		send.before = s.runs > 0
		send.at = atRead
		emit(t)
	case atRead:
		m.askIssuer(s, i, emit)
	case atWaitWrite:
		m.awaitResponse(s, i, emit)
	case atGranted:
		send.at = atWaitRun
		send.dispatch = msgSent
		emit(t)
	case atWaitRun:
		m.waitRun(s, i, emit)
	}
}

func (m *issuedModel) askIssuer(s issuedState, i int, emit func(issuedState)) {
	t := s
	if m.entry[i] != 0 {
		t.sends[i].asked[t.sends[i].tries] = msgSent
		t.sends[i].tries++
		t.sends[i].at = atWaitWrite
		emit(t)
		return
	}
	v, _ := m.issuerClaim(&t, i)
	m.applyVerdict(&t.sends[i], v)
	emit(t)
}

func (m *issuedModel) applyVerdict(send *issuedSend, v verdict) {
	send.at = atGranted
	if v == verdictRefuse {
		send.at = atEnd
		send.reported = reportedPrior
	}
}

func (m *issuedModel) awaitResponse(s issuedState, i int, emit func(issuedState)) {
	for n := range s.sends[i].tries {
		if s.sends[i].asked[n] == msgDone {
			t := s
			m.applyVerdict(&t.sends[i], s.sends[i].answered[n])
			emit(t)
		}
	}
	t := s
	send := &t.sends[i]
	if int(send.tries) < len(send.asked) {
		send.at = atRead // no response: retry with the same mark
		emit(t)
		return
	}
	send.at = atEnd
	send.reported = reportedUnknown
	if m.fault == grantWithoutResponse {
		send.at = atGranted
	}
	emit(t)
}

func (m *issuedModel) waitRun(s issuedState, i int, emit func(issuedState)) {
	t := s
	send := &t.sends[i]
	send.at = atEnd
	switch send.dispatch {
	case msgDone:
		send.reported = reportedDone
		m.settled(&t, i, Done)
		emit(t)
	case msgRefused:
		send.reported = reportedNotRun
		if m.entry[i] == 0 {
			m.releaseKey(&t, i)
		} else {
			send.releaseMsg = msgSent
		}
		emit(t)
	}
	t = s
	t.sends[i].at = atEnd
	t.sends[i].reported = reportedUnknown
	m.settled(&t, i, Unknown)
	emit(t)
}

// settled reports an outcome other than "not run" to the issuer. From entry 1
// this is best effort and left out here: the key then stays Running, which is
// refused as well.
func (m *issuedModel) settled(s *issuedState, i int, state State) {
	if m.entry[i] == 0 && s.table.mark == uint8(i+1) {
		s.table.state = state
	}
}

func (m *issuedModel) check(s issuedState) string {
	if s.runs > 1 {
		return fmt.Sprintf("ran %d times", s.runs)
	}
	for i, send := range s.sends {
		if send.reported == reportedNotRun && (send.ran || send.before) {
			return fmt.Sprintf("send %d was reported as not run, but the key had run", i)
		}
	}
	return ""
}

// Explores all interleavings of two entries and three sends over an unreliable
// network without a store. Guards against a call that runs twice in a store
// outage. The rule under test: only the issuing incarnation grants a key.
func TestModelIssuedKeys(t *testing.T) {
	orders := [][modelSends]uint8{{0, 1, 1}, {0, 0, 1}}
	if *fullModels {
		orders = append(orders, [modelSends]uint8{1, 1, 1})
	}
	for _, entries := range orders {
		m := issuedModel{entry: entries}
		states, violation := explore(issuedState{}, m.next, m.check)
		t.Logf("sends at entries %v: %d states", entries, states)
		if violation != "" {
			t.Errorf("sends at entries %v: %s", entries, violation)
		}
	}
}

// Guards against a model that passes for any protocol: each variant leaves one
// rule out and must be detected.
func TestModelIssuedCatchesFaults(t *testing.T) {
	faults := map[string]issuedFault{
		"run without the issuer's response": grantWithoutResponse,
		"restarted issuer grants old keys":  restartedIssuerGrants,
	}
	for name, fault := range faults {
		m := issuedModel{entry: [modelSends]uint8{0, 1, 1}, fault: fault}
		states, violation := explore(issuedState{}, m.next, m.check)
		t.Logf("%s: %q after %d states", name, violation, states)
		if violation == "" {
			t.Errorf("%s: not caught in %d states", name, states)
		}
	}
}
