package servernotice

import (
	"testing"
	"time"
)

var (
	t0     = time.Unix(1_000_000, 0)
	server = Server{Key: 7, StartedUnixMs: 1000}
)

func known(uint64) bool   { return true }
func unknown(uint64) bool { return false }

// Guards against using a server again because its registration lapses and comes back, or an older
// listing arrives, while it still shuts down.
func TestDrainNoticeOutlastsRegistration(t *testing.T) {
	table := NewTable()
	if !table.SetDraining(server, t0) || table.SetDraining(server, t0.Add(time.Second)) {
		t.Error("only the first notice is new")
	}
	table.Sweep(known, t0.Add(time.Hour))
	table.Sweep(unknown, t0.Add(time.Hour+retention-1))
	for _, s := range []Server{server, {Key: server.Key}, {Key: server.Key, StartedUnixMs: server.StartedUnixMs - 1}} {
		if !table.View().Draining(s) {
			t.Errorf("the notice of %+v is lost", s)
		}
	}
	table.Sweep(unknown, t0.Add(time.Hour+retention))
	if table.View().Draining(server) || len(table.servers) != 0 {
		t.Error("the notice of a server that is gone is kept")
	}
}

// Guards against avoiding a server that has started again under the same name.
func TestNextStartHasAnnouncedNothing(t *testing.T) {
	table := NewTable()
	table.SetDraining(server, t0)
	table.BackOff(server, t0.Add(time.Minute), t0)
	next := Server{Key: server.Key, StartedUnixMs: server.StartedUnixMs + 1}
	if table.View().Draining(next) || table.View().BackOffLeft(next, t0) != 0 {
		t.Error("the next start is bound by the notices of the one before")
	}
	table.BackOff(next, t0.Add(time.Second), t0)
	if table.View().Draining(next) || table.View().BackOffLeft(next, t0) != time.Second {
		t.Error("the notices of two starts are mixed")
	}
	table.SetDraining(server, t0) // the response of the start before arrives late
	if table.View().Draining(next) {
		t.Error("the next start is bound by a late notice of the one before")
	}
	if table.View().Draining(Server{Key: 8}) {
		t.Error("another server is bound")
	}
}

// Guards against a notice that is lost when the start time of a server becomes known after it.
func TestNoticeOfUnknownStartHolds(t *testing.T) {
	table := NewTable()
	table.SetDraining(Server{Key: server.Key}, t0)
	if !table.View().Draining(server) {
		t.Error("the notice is lost")
	}
}

// Guards against requests within the time that a server named, because its registration expired
// meanwhile.
func TestBackOffOutlastsRegistration(t *testing.T) {
	table := NewTable()
	table.BackOff(server, t0.Add(2*retention), t0)
	table.Sweep(unknown, t0.Add(retention))
	if table.View().BackOffLeft(server, t0.Add(retention)) != retention {
		t.Error("the back-off is lost")
	}
	table.Sweep(unknown, t0.Add(2*retention))
	if len(table.servers) != 0 {
		t.Error("the back-off of a server that is gone is kept beyond its end")
	}
}

// Guards against requests before the end of the time that a server named, because a later
// response named a shorter one.
func TestShorterBackOffDoesNotReplaceLongerOne(t *testing.T) {
	table := NewTable()
	if !table.BackOff(server, t0.Add(3*time.Second), t0) {
		t.Error("a first back-off is no change")
	}
	if table.BackOff(server, t0.Add(2*time.Second), t0.Add(time.Second)) {
		t.Error("an earlier end is a change")
	}
	if got := table.View().BackOffLeft(server, t0.Add(time.Second)); got != 2*time.Second {
		t.Errorf("%v left, want 2s", got)
	}
	if !table.BackOff(server, t0.Add(4*time.Second), t0.Add(time.Second)) {
		t.Error("a later end is no change")
	}
	if got := table.View().BackOffLeft(server, t0.Add(4*time.Second)); got != 0 {
		t.Errorf("%v left at the end", got)
	}
	table.Sweep(known, t0.Add(4*time.Second))
	if len(table.servers) != 0 {
		t.Error("a back-off that has ended is kept")
	}
}
