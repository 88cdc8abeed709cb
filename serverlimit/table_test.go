package serverlimit

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_000_000, 0)

const server uint64 = 7

func wantRate(t *testing.T, table *Table, want float64, now time.Time) {
	t.Helper()
	if got := table.Rates(now)[server]; got != want {
		t.Errorf("rate %v, want %v", got, want)
	}
}

// Guards against lifting a limit because a response that was on its way when it was named
// arrives after it.
func TestEarlierResponseDoesNotEndLimit(t *testing.T) {
	table := NewTable()
	if !table.Observe(server, 2.1, t0, t0.Add(time.Second)) {
		t.Error("a new limit is no change")
	}
	if table.Observe(server, 0, t0, t0.Add(2*time.Second)) {
		t.Error("the response to an earlier request ended the limit")
	}
	wantRate(t, table, 2.1, t0.Add(2*time.Second))
	if !table.Observe(server, 0, t0.Add(2*time.Second), t0.Add(3*time.Second)) {
		t.Error("the limit didn't end")
	}
	wantRate(t, table, 0, t0.Add(3*time.Second))
}

// Guards against a limit that comes back with a report that is older than its end.
func TestOlderReportDoesNotReviveLimit(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(server, 2.1, t0, t0)
	report := a.Observations(t0.Add(time.Second))[0]
	b.Merge(report, t0.Add(time.Second))
	wantRate(t, b, 2.1, t0.Add(time.Second))
	b.Observe(server, 0, t0.Add(2*time.Second), t0.Add(2*time.Second))
	report.Age = 2 * time.Second
	if b.Merge(report, t0.Add(3*time.Second)) {
		t.Error("an older report replaced the end")
	}
	wantRate(t, b, 0, t0.Add(3*time.Second))
	for _, o := range b.Observations(t0.Add(3 * time.Second)) {
		a.Merge(o, t0.Add(3*time.Second))
	}
	wantRate(t, a, 0, t0.Add(3*time.Second))
}

// Guards against avoiding a server forever because no entry sends to it any more.
func TestLimitExpires(t *testing.T) {
	table := NewTable()
	table.Observe(server, 2.1, t0, t0)
	wantRate(t, table, 2.1, t0.Add(TTL-1))
	wantRate(t, table, 0, t0.Add(TTL))
	table.Sweep(func(uint64) bool { return true }, t0.Add(TTL))
	if got := len(table.servers); got != 0 {
		t.Errorf("%d servers kept", got)
	}
}

func TestObservationsOfRemovedServersAreDropped(t *testing.T) {
	table := NewTable()
	table.Observe(server, 2.1, t0, t0)
	table.Sweep(func(uint64) bool { return false }, t0)
	wantRate(t, table, 0, t0)
}

// Guards against rates below one request per second and entry that leave no entry a share, so
// that nobody would learn the end of the limit.
func TestAllowanceOfAnyRateIsUsable(t *testing.T) {
	const bound = 4 * time.Second // period in which the platform counts
	for _, rate := range []float64{0.01, 0.07, 0.25, 0.3, 1, 2.1, 7.9, 300} {
		a := Allowance(rate)
		if a.Sends < 1 {
			t.Errorf("rate %v: %+v", rate, a)
		}
		if most := rate * a.Window.Seconds(); float64(a.Sends) > most {
			t.Errorf("rate %v: %d sends in %v, %v are allowed", rate, a.Sends, a.Window, most)
		}
		if a.Window < bound {
			t.Errorf("rate %v: window %v", rate, a.Window)
		}
	}
}
