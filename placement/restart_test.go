package placement

import (
	"testing"
	"time"
)

// A server that had just restarted stayed idle while others were full, and then counted as
// slow. A long part is queued on a server that restarts under the same name and loses the
// part, so the prompt's first token never arrives. The ledger didn't distinguish the two
// processes.
func TestRestartClearsQueuedPrefill(t *testing.T) {
	f := newFleet(1)
	key := ServerKey(f.candidates[0].Instance)
	f.place(t, review(133_000))
	f.now = f.now.Add(100 * time.Millisecond)
	f.ledger.Restarted(key, f.now)
	if p := f.place(t, notice()); p.Forecast > 100*time.Millisecond {
		t.Errorf("the first token is expected after %v", p.Forecast)
	} else {
		p.End()
	}
	f.now = f.now.Add(20 * time.Second)
	f.place(t, notice()).End() // checks for overdue attempts
	if factor := f.ledger.servers[key].slowdown.factorAt(f.now); factor > 1 {
		t.Errorf("the server counts as %.1f times slower than declared", factor)
	}
}

func TestRestartOfUnknownServerIsIgnored(t *testing.T) {
	f := newFleet(1)
	f.ledger.Restarted(ServerKey("nobody"), f.now)
	if n := len(f.ledger.servers); n != 0 {
		t.Errorf("%d servers are in the ledger, want none", n)
	}
}
