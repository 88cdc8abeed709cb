package placement

import (
	"testing"
	"time"
)

// Symptom: a server that just started again stays idle while others are full, and is
// then taken for slow.
// Sequence: a long part waits to be read on a server; it ends and starts again under
// its name, and forgets the part; the prompt's first token stays out.
// Cause: the ledger took both lives for one.
func TestRestartedServerHasNothingToRead(t *testing.T) {
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
	f.place(t, notice()).End() // looks at what is overdue
	if factor := f.ledger.servers[key].pace.now(f.now); factor > 1 {
		t.Errorf("the server counts as %.1f times slower than declared", factor)
	}
}

func TestRestartOfAnUnknownServerIsNothing(t *testing.T) {
	f := newFleet(1)
	f.ledger.Restarted(ServerKey("nobody"), f.now)
	if n := len(f.ledger.servers); n != 0 {
		t.Errorf("%d servers are known", n)
	}
}
