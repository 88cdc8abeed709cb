package upstream

import (
	"slices"
	"testing"
	"time"
)

const (
	svc   = "pool"
	grace = 2 * time.Second
)

var begin = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func server(instance string) Server {
	return Server{Instance: instance, Service: svc, Address: "10.0.0.1:80"}
}

func wantServers(t *testing.T, d *Directory, after time.Duration, want ...string) {
	t.Helper()
	var got []string
	for _, s := range d.AvailableServers(svc, begin.Add(after)) {
		got = append(got, s.Instance)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("after %v: servers %v, want %v", after, got, want)
	}
}

func TestDrainingServersTakeNoNewWork(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a"), server("b")}, begin)
	leaving := server("a")
	leaving.Draining = true
	d.Put(leaving)
	d.Remove("b", begin)
	d.Put(server("c"))
	wantServers(t, d, 0, "c")
}

// Symptom: after an outage of the store every request is refused for two seconds
// though all servers live.
// Sequence: the store is away, registrations lapse, it returns with an empty list;
// the servers register again.
// Cause: absence right after an outage taken for the end of a server.
func TestServersOutliveALapseInAnOutage(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a"), server("b")}, begin)
	d.MarkStoreUnavailable()
	back := begin.Add(10 * time.Second)
	d.Replace(nil, back)
	wantServers(t, d, 11*time.Second, "a", "b")
	d.Put(server("a"))
	wantServers(t, d, 13*time.Second, "a")
}

// Symptom: a request reaches a server 2.1 s after it said that it leaves.
// Sequence: the store returns from an outage; a second later a server's
// registration ends; 1.5 s after that the store is away once more.
// Cause: the time in which it might come back was only looked at when the store
// answered, which it no longer did.
func TestGraceEndsWithoutTheStore(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a"), server("b")}, begin)
	d.MarkStoreUnavailable()
	d.MarkStoreAvailable(begin.Add(time.Second))
	d.Remove("b", begin.Add(2*time.Second))
	d.MarkStoreUnavailable()
	wantServers(t, d, 2900*time.Millisecond, "a", "b")
	wantServers(t, d, 3100*time.Millisecond, "a")
}

func TestRemovalWithoutOutageIsFinal(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a")}, begin)
	d.Remove("a", begin.Add(time.Hour))
	wantServers(t, d, time.Hour)
}

// Symptom: a server that started again under its name is taken for the one that it was.
// Sequence: it registers with a later start; an older registration is listed again.
// Cause: only the name told servers apart.
func TestRestartsAreToldByTheStart(t *testing.T) {
	d := NewDirectory(grace)
	first, second := server("a"), server("a")
	first.StartedUnixMs, second.StartedUnixMs = 1000, 2000
	if d.IsRestart(first) {
		t.Error("a server that nobody knew has restarted")
	}
	d.Put(first)
	if d.IsRestart(first) || !d.IsRestart(second) {
		t.Errorf("the same start: %v, a later one: %v; want false and true", d.IsRestart(first), d.IsRestart(second))
	}
	d.Put(second)
	if d.IsRestart(first) {
		t.Error("an earlier start counts as a restart")
	}
}

// The word of a server's coldness, read again by another way, makes it cold anew.
func TestColdnessCountsFromItsFirstReading(t *testing.T) {
	d := NewDirectory(0)
	now := time.Now()
	d.Put(Server{Instance: "x", Service: "s", Revision: 7, ColdUntil: now.Add(time.Second)})
	d.Replace([]Server{{Instance: "x", Service: "s", Revision: 7, ColdUntil: now.Add(time.Minute)}}, now)
	if got := d.All()[0].ColdUntil; !got.Equal(now.Add(time.Second)) {
		t.Errorf("cold for %v", got.Sub(now))
	}
	d.Put(Server{Instance: "x", Service: "s", Revision: 8, ColdUntil: now.Add(time.Minute)})
	if got := d.All()[0].ColdUntil; !got.Equal(now.Add(time.Minute)) {
		t.Errorf("a new word of it is not taken: %v", got.Sub(now))
	}
}
