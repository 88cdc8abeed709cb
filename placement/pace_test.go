package placement

import (
	"slices"
	"testing"
	"time"
)

// actualSlowdowns maps instances to the ratio of their actual to their declared times.
type actualSlowdowns map[string]float64

// completePrefill advances the time until all parts of a placed prompt are prefilled by
// servers with these slowdowns.
func (f *fleet) completePrefill(p Placement, actual actualSlowdowns) {
	a := f.ledger.attempts[p.attemptID]
	took := time.Duration(0)
	for _, part := range a.parts {
		expected := float64(part.expectedReady.Sub(a.begunAt)) / part.slowdownFactor
		for _, c := range f.candidates {
			if f.ledger.servers[ServerKey(c.Instance)] == part.server {
				took = max(took, time.Duration(expected*max(1, actual[c.Instance])))
			}
		}
	}
	f.now = f.now.Add(took)
	p.FirstToken()
}

// slowdownOf returns the ledger's slowdown factor of an instance.
func (f *fleet) slowdownOf(instance string) float64 {
	return f.ledger.serverLocked(ServerKey(instance)).slowdown.factorAt(f.now)
}

// Half of the first tokens were late under low load. One server of eight takes four times
// as long for everything without failing, and prompts have parts there as on any other.
// Only the attempts recorded for a server were considered, so a slow one looked as free as
// the rest.
func TestSlowServerIsAvoided(t *testing.T) {
	f := newFleet(8)
	const slow = "engine-03"
	actual := actualSlowdowns{slow: 4}
	const prompts, settled = 40, 20
	used := 0
	for i := range prompts {
		p := f.place(t, review(60_000))
		if i >= settled && slices.Contains(instances(p), slow) {
			used++
		}
		f.completePrefill(p, actual)
		p.End()
		f.now = f.now.Add(50 * time.Millisecond)
	}
	// It is retried as its slowdown decays.
	if used > (prompts-settled)/4 {
		t.Errorf("%d of the last %d prompts had a part on the slow server", used, prompts-settled)
	}
	for _, c := range f.candidates {
		// Others may have been suspected first; their slowdown decays or is corrected.
		if c.Instance != slow && f.slowdownOf(c.Instance) > actual[slow]/2 {
			t.Errorf("%s counts as slow: factor %.1f", c.Instance, f.slowdownOf(c.Instance))
		}
	}
}

// A prompt waited for ten seconds, and others were placed on the same server. The server
// has become slow and the prompt's first token is overdue. Only a first token that had
// arrived changed a server's slowdown.
func TestOverduePromptMarksServerSlow(t *testing.T) {
	f := newFleet(2)
	p := f.place(t, notice())
	f.now = f.now.Add(2 * time.Second)
	other := f.place(t, notice())
	if other.Server.Instance == p.Server.Instance {
		t.Errorf("both prompts are on %s, where the first is overdue", p.Server.Instance)
	}
	slow := f.ledger.SlowServers(f.now)
	if factor := slow[ServerKey(p.Server.Instance)]; len(slow) != 1 || factor <= maxNormalSlowdown {
		t.Errorf("slow servers %v, want the first one", slow)
	}
}

// A server stayed idle long after it had recovered, because its slowdown only decayed with
// time. Here a stream on the slow server shows passes of the declared length.
func TestNormalPassesResetSlowdown(t *testing.T) {
	f := newFleet(1)
	p := f.place(t, notice())
	f.now = f.now.Add(900 * time.Millisecond)
	p.FirstToken()
	if f.slowdownOf("engine-00") <= maxNormalSlowdown {
		t.Fatal("a first token after 0.9 s doesn't mark the server as slow")
	}
	for range passesPerSample + 1 {
		f.now = f.now.Add(engine.DecodePassTime(1, 6_400))
		p.Event()
	}
	if factor := f.slowdownOf("engine-00"); factor > 1 {
		t.Errorf("slowdown %.1f after passes of the declared length", factor)
	}
}

// In a burst all servers counted as slow, and prompts were refused or deferred. More work
// arrives than all servers can do, so every first token is late. The number of servers that
// could count as slow was unlimited, although there was no better one.
func TestSlowServersAreLimited(t *testing.T) {
	f := newFleet(8)
	late := actualSlowdowns{}
	for _, c := range f.candidates {
		late[c.Instance] = 8
	}
	for range 40 {
		p := f.place(t, notice())
		f.completePrefill(p, late)
		p.End()
	}
	slow := 0
	for _, c := range f.candidates {
		if f.slowdownOf(c.Instance) > maxNormalSlowdown {
			slow++
		}
	}
	if most := 3; slow > most { // the smallest count at or above maxSlowShare of eight
		t.Errorf("%d of 8 servers count as slow, want %d at most", slow, most)
	}
}

// A server that was slow for a moment was never used again. While it was avoided, nothing
// could show that it had recovered, and its slowdown didn't decay.
func TestSlowdownDecays(t *testing.T) {
	var p slowdown
	p.raiseTo(8, start)
	if got := p.factorAt(start.Add(slowdownDecay * 4)); got > maxNormalSlowdown {
		t.Errorf("slowdown %.2f after %v without measurements", got, slowdownDecay*4)
	}
	if p.raiseTo(100, start); p.factorAt(start) > maxSlowdown {
		t.Errorf("slowdown %.1f exceeds the maximum", p.factorAt(start))
	}
}
