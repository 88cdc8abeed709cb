package placement

import (
	"slices"
	"testing"
	"time"
)

// truth is how many times as long as declared each instance really takes.
type truth map[string]float64

// first lets the time pass until a placed prompt is read: when the last of its parts
// is, on servers that take so long.
func (f *fleet) first(p Placement, real truth) {
	a := f.ledger.works[p.work]
	took := time.Duration(0)
	for _, part := range a.parts {
		expected := float64(part.ready.Sub(a.begun)) / part.factor
		for _, c := range f.candidates {
			if f.ledger.servers[ServerKey(c.Instance)] == part.server {
				took = max(took, time.Duration(expected*max(1, real[c.Instance])))
			}
		}
	}
	f.now = f.now.Add(took)
	p.FirstToken()
}

// paceOf is what the ledger takes an instance's factor for.
func (f *fleet) paceOf(instance string) float64 {
	return f.ledger.serverLocked(ServerKey(instance)).pace.now(f.now)
}

// Symptom: half of the first tokens are late on a day with little to do.
// Sequence: one server of eight takes four times as long for everything; it fails
// nothing, and prompts have a part read there as on any other.
// Cause: all that was known of a server was the work placed there, by which a slow
// one is as free as the rest.
func TestSlowServerIsLeftAlone(t *testing.T) {
	f := newFleet(8)
	const slow = "engine-03"
	real := truth{slow: 4}
	const prompts, settled = 40, 20
	used := 0
	for i := range prompts {
		p := f.place(t, review(60_000))
		if i >= settled && slices.Contains(instances(p), slow) {
			used++
		}
		f.first(p, real)
		p.End()
		f.now = f.now.Add(50 * time.Millisecond)
	}
	// It is tried again as its pace fades.
	if used > (prompts-settled)/4 {
		t.Errorf("%d of the last %d prompts had a part read on the slow server", used, prompts-settled)
	}
	for _, c := range f.candidates {
		// The first ones may have been suspected, and that fades or is disproved.
		if c.Instance != slow && f.paceOf(c.Instance) > real[slow]/2 {
			t.Errorf("%s counts as slow: %.1f", c.Instance, f.paceOf(c.Instance))
		}
	}
}

// Symptom: a prompt waits for ten seconds, and others join it on the same server.
// Sequence: the server got slow; the prompt's first token is overdue and not there.
// Cause: only a first token that had come told of its server.
func TestOverduePromptTellsOfItsServer(t *testing.T) {
	f := newFleet(2)
	p := f.place(t, notice())
	f.now = f.now.Add(2 * time.Second)
	other := f.place(t, notice())
	if other.Server.Instance == p.Server.Instance {
		t.Errorf("both on %s, where the first waits", p.Server.Instance)
	}
}

// Symptom: a server stays idle long after it has recovered. Sequence: it was slow; a
// stream that is written there shows passes as declared. Cause: only time had it
// forgotten.
func TestPassesClearAServer(t *testing.T) {
	f := newFleet(1)
	p := f.place(t, notice())
	f.now = f.now.Add(900 * time.Millisecond)
	p.FirstToken()
	if f.paceOf("engine-00") <= paceNormal {
		t.Fatal("a first token after 0.9 s tells nothing")
	}
	for range pacePasses + 1 {
		f.now = f.now.Add(engine.DecodePassTime(1, 6_400))
		p.Event()
	}
	if pace := f.paceOf("engine-00"); pace > 1 {
		t.Errorf("pace %.1f after passes as declared", pace)
	}
}

// Symptom: in a burst all servers count as slow, and prompts are refused or wait.
// Sequence: more work comes than all servers can do; every first token is late.
// Cause: lateness was laid to servers without bound, where there is nothing better.
func TestFewServersCountAsSlow(t *testing.T) {
	f := newFleet(8)
	late := truth{}
	for _, c := range f.candidates {
		late[c.Instance] = 8
	}
	for range 40 {
		p := f.place(t, notice())
		f.first(p, late)
		p.End()
	}
	slow := 0
	for _, c := range f.candidates {
		if f.paceOf(c.Instance) > paceNormal {
			slow++
		}
	}
	if most := 3; slow > most { // the least number over paceShare of eight
		t.Errorf("%d of 8 servers count as slow, want %d at most", slow, most)
	}
}

// Symptom: a server that was slow for a moment is never used again.
// Sequence: it was avoided, so that nothing could show it recovered.
// Cause: what is believed of it did not fade.
func TestPaceFades(t *testing.T) {
	var p pace
	p.atLeast(8, start)
	if got := p.now(start.Add(paceMemory * 4)); got > paceNormal {
		t.Errorf("pace %.2f after %v without news", got, paceMemory*4)
	}
	if p.atLeast(100, start); p.now(start) > paceMost {
		t.Errorf("pace %.1f is believed", p.now(start))
	}
}
