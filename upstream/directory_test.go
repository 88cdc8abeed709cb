package upstream

import (
	"slices"
	"testing"
	"time"
)

const (
	serviceName = "pool"
	grace       = 2 * time.Second
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func server(instance string) Server {
	return Server{Instance: instance, Service: serviceName, Address: "10.0.0.1:80"}
}

func wantServers(t *testing.T, d *Directory, after time.Duration, want ...string) {
	t.Helper()
	var got []string
	for _, s := range d.AvailableServers(serviceName, startTime.Add(after)) {
		got = append(got, s.Instance)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("after %v: servers %v, want %v", after, got, want)
	}
}

func TestDrainingServersTakeNoNewWork(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a"), server("b")}, startTime)
	leaving := server("a")
	leaving.Draining = true
	d.Put(leaving)
	d.Remove("b", startTime)
	d.Put(server("c"))
	wantServers(t, d, 0, "c")
}

// Guards against refusing every request for two seconds after an outage of the store
// although all servers are alive. Registrations expire during the outage and the store
// returns with an empty list until the servers register again; a server missing at that
// time must not count as ended.
func TestServersSurviveRegistrationLapseDuringOutage(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a"), server("b")}, startTime)
	d.MarkStoreUnavailable()
	back := startTime.Add(10 * time.Second)
	d.Replace(nil, back)
	wantServers(t, d, 11*time.Second, "a", "b")
	d.Put(server("a"))
	wantServers(t, d, 13*time.Second, "a")
}

// Guards against sending a request to a server 2.1 s after it announced that it leaves.
// The store returns from an outage, a server's registration ends a second later, and
// 1.5 s after that the store is unavailable again. The grace period was checked only
// when the store answered.
func TestGraceEndsWithoutTheStore(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a"), server("b")}, startTime)
	d.MarkStoreUnavailable()
	d.MarkStoreAvailable(startTime.Add(time.Second))
	d.Remove("b", startTime.Add(2*time.Second))
	d.MarkStoreUnavailable()
	wantServers(t, d, 2900*time.Millisecond, "a", "b")
	wantServers(t, d, 3100*time.Millisecond, "a")
}

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	d := NewDirectory(grace)
	d.Replace([]Server{server("a")}, startTime)
	d.Remove("a", startTime.Add(time.Hour))
	wantServers(t, d, time.Hour)
}

// Guards against treating a restarted server as the earlier one with the same name. It
// registers with a later start time, and an older registration may be listed again;
// the name alone doesn't distinguish the two.
func TestRestartsAreDetectedByStartTime(t *testing.T) {
	d := NewDirectory(grace)
	first, second := server("a"), server("a")
	first.StartedUnixMs, second.StartedUnixMs = 1000, 2000
	if d.IsRestart(first) {
		t.Error("an unknown server counts as restarted")
	}
	d.Put(first)
	if d.IsRestart(first) || !d.IsRestart(second) {
		t.Errorf("restart with the same start time: %v, with a later one: %v; want false and true", d.IsRestart(first), d.IsRestart(second))
	}
	d.Put(second)
	if d.IsRestart(first) {
		t.Error("an earlier start time counts as a restart")
	}
}

// Guards against restarting the cold period of a server when the same registration is
// read again from another source.
func TestColdPeriodCountsFromFirstRead(t *testing.T) {
	d := NewDirectory(0)
	now := time.Now()
	d.Put(Server{Instance: "x", Service: "s", Revision: 7, ColdUntil: now.Add(time.Second)})
	d.Replace([]Server{{Instance: "x", Service: "s", Revision: 7, ColdUntil: now.Add(time.Minute)}}, now)
	if got := d.All()[0].ColdUntil; !got.Equal(now.Add(time.Second)) {
		t.Errorf("cold for %v", got.Sub(now))
	}
	d.Put(Server{Instance: "x", Service: "s", Revision: 8, ColdUntil: now.Add(time.Minute)})
	if got := d.All()[0].ColdUntil; !got.Equal(now.Add(time.Minute)) {
		t.Errorf("a new revision does not update ColdUntil: %v", got.Sub(now))
	}
}
