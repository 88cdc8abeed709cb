package slo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/request"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func key(workspace string) Key {
	return Key{Workspace: workspace, Class: request.ClassShort, Objective: "ttft"}
}

func drawSnapshot(t *rapid.T, source string) Snapshot {
	tr := NewTracker(Config{})
	n := rapid.IntRange(0, 40).Draw(t, "events")
	for range n {
		k := key(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"))
		at := start.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "second")) * time.Second)
		latency := time.Duration(rapid.Int64Range(-1, int64(2*time.Hour)).Draw(t, "latency"))
		tr.Record(k, rapid.Bool().Draw(t, "good"), latency, at)
	}
	return tr.Snapshot(source, start)
}

// encode returns a snapshot in its wire form; equal bytes mean equal counts.
func encode(t *rapid.T, s Snapshot) string {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestMergeIsAssociativeAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSnapshot(t, "e1"), drawSnapshot(t, "e2"), drawSnapshot(t, "e3")
		want := encode(t, Merge(a, b, c))
		for name, got := range map[string]Snapshot{
			"(ab)c": Merge(Merge(a, b), c),
			"a(bc)": Merge(a, Merge(b, c)),
			"cba":   Merge(c, b, a),
		} {
			if g := encode(t, got); g != want {
				t.Fatalf("%s: %s", name, cmp.Diff(want, g))
			}
		}
		var back Snapshot
		if err := json.Unmarshal([]byte(want), &back); err != nil {
			t.Fatal(err)
		}
		if got := encode(t, back); got != want {
			t.Fatalf("wire: %s", cmp.Diff(want, got))
		}
	})
}

// 49 entries answer in 10 ms, and one has 3% of its answers at 30 s. Averaging quantiles, or
// dropping values outside a dense histogram, would lose the slow answers and show a healthy
// p99; adding up counts does not.
func TestMergeKeepsTheTail(t *testing.T) {
	var snaps []Snapshot
	for e := range 50 {
		tr := NewTracker(Config{})
		for i := range 1000 {
			latency := 10 * time.Millisecond
			if e == 49 && i < 30 {
				latency = 30 * time.Second
			}
			if e == 49 && i == 30 {
				latency = 5 * time.Hour // beyond the histogram's bound
			}
			tr.Record(key("a"), true, latency, start)
		}
		snaps = append(snaps, tr.Snapshot(fmt.Sprint(e), start))
	}
	h := Merge(snaps...).Series[0].Latency
	if h.Count() != 50_000 {
		t.Errorf("%d latencies", h.Count())
	}
	if got := h.Quantile(0.9995); got < 29*time.Second || got > 31*time.Second {
		t.Errorf("p99.95 %v", got)
	}
	if h.Max() < time.Hour {
		t.Errorf("max %v", h.Max())
	}
}

// recordTraffic records ten requests per second for a time and returns its end. One in oneIn
// requests is bad; none if oneIn is 0.
func recordTraffic(tr *Tracker, from time.Time, seconds, oneIn int) time.Time {
	for s := range seconds {
		for i := range 10 {
			bad := oneIn > 0 && (s*10+i)%oneIn == 0
			tr.Record(key("a"), !bad, time.Millisecond, from.Add(time.Duration(s)*time.Second))
		}
	}
	return from.Add(time.Duration(seconds) * time.Second)
}

var level = Level{Name: "notices", Workspace: "a", Objective: "ttft", Target: 0.99}

func burnAt(t *testing.T, tr *Tracker, now time.Time) Result {
	t.Helper()
	res, err := Burn(level, []Snapshot{tr.Snapshot("e", now)}, now)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// An hour of good requests, then 20% bad (burn rate 20), then good again. With a single window,
// operators would be paged for an outage that is over, or late for one that continues.
func TestBurnNeedsBothWindows(t *testing.T) {
	tr := NewTracker(Config{})
	now := recordTraffic(tr, start, 3600, 0)
	if res := burnAt(t, tr, now); res.State != StateOK {
		t.Fatalf("after an hour without errors: %+v", res)
	}
	now = recordTraffic(tr, now, 270, 5)
	if res := burnAt(t, tr, now); res.burnOver(5*time.Minute) < 14.4 || res.State != StateOK {
		t.Errorf("after four and a half minutes of outage: %+v", res)
	}
	now = recordTraffic(tr, now, 3600-270, 5)
	res := burnAt(t, tr, now)
	if res.State != StatePage || res.burnOver(time.Hour) < 18 || res.burnOver(time.Hour) > 20.1 {
		t.Errorf("after an hour of outage: %+v", res)
	}
	now = recordTraffic(tr, now, 360, 0)
	res = burnAt(t, tr, now)
	if res.burnOver(5*time.Minute) != 0 || res.burnOver(time.Hour) < 14.4 || res.State != StateWarning {
		t.Errorf("six minutes after the outage: %+v", res)
	}
}

// An outage is followed by exactly one turn of the ring without requests and then one request.
// A cell that is not cleared when its slot is reused would count the old outage again.
func TestExpiredCellsAreCleared(t *testing.T) {
	tr := NewTracker(Config{})
	recordTraffic(tr, start, 10, 1)
	for _, w := range Windows(DefaultAlertRules()) {
		now := start.Add(cellWidth(w) * (ringCells + 1))
		tr.Record(key("a"), true, 0, now)
		for _, b := range burnAt(t, tr, now).Windows {
			if b.Window == w && b.Bad != 0 {
				t.Errorf("window %v: %d bad", w, b.Bad)
			}
		}
	}
}

// A level uses a window for which an entry keeps no counts. If missing counts read as no
// failures, the level would be ok during an outage.
func TestUntrackedWindowIsNotOK(t *testing.T) {
	tr := NewTracker(Config{Windows: []time.Duration{5 * time.Minute, time.Hour}})
	now := recordTraffic(tr, start, 60, 1)
	byDefault := burnAt(t, tr, now)
	for i, want := range []bool{false, true, false, true} { // 5m, 30m, 1h, 6h
		if byDefault.State != StatePage || byDefault.Windows[i].Untracked != want {
			t.Errorf("default pairs: %+v", byDefault)
		}
	}
	l := level
	l.AlertRules = []AlertRule{{ShortWindow: 2 * time.Minute, LongWindow: 2 * time.Hour, BurnThreshold: 1, State: StatePage}}
	res, err := Burn(l, []Snapshot{Merge(tr.Snapshot("e", now))}, now)
	if err != nil || res.State != StateUnknown {
		t.Errorf("%+v, %v", res, err)
	}
	l.AlertRules[0].ShortWindow = 0
	if _, err := Burn(l, nil, now); !errors.Is(err, ErrInvalidLevel) {
		t.Errorf("window of 0: %v", err)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	tr := NewTracker(Config{MaxSeries: 2})
	tr.Record(key("a"), true, 0, start)
	tr.Record(key("b"), true, 0, start.Add(5*time.Hour))
	tr.Record(key("c"), true, 0, start.Add(5*time.Hour))
	if tr.Uncounted() != 1 {
		t.Errorf("%d refused", tr.Uncounted())
	}
	tr.Record(key("c"), true, 0, start.Add(7*time.Hour))
	snap := tr.Snapshot("e", start)
	if len(snap.Series) != 2 || snap.Series[1].Workspace != "c" || tr.Uncounted() != 1 {
		t.Errorf("%+v", snap.Series)
	}
}

// Requests that fail before the first token have no latency to compare with a target. Each
// failure must count as bad on its own and stay out of the latency distribution; otherwise an
// outage would leave the burn rate at 0.
func TestObserveComparesWithLatencyTargets(t *testing.T) {
	promises := []LatencyTarget{
		{Name: "p", Workspace: "a", TTFT: time.Second, InterToken: 50 * time.Millisecond},
		{Name: "other", Workspace: "b", TTFT: time.Second},
	}
	tr := NewTracker(Config{Windows: []time.Duration{time.Minute}})
	for _, o := range []Observation{
		{Workspace: "a", TTFT: time.Second, InterToken: 50 * time.Millisecond},
		{Workspace: "a", TTFT: 2 * time.Second, InterToken: -1},
		{Workspace: "a", Failed: true},
		{Workspace: "a", Class: request.ClassHuge, Failed: true},
	} {
		tr.Observe(promises, o, start)
	}
	got := map[string]string{}
	for _, s := range tr.Snapshot("e", start).Series {
		c := s.Counts[0].Cells[0]
		got[s.Objective] = fmt.Sprintf("%d good, %d bad, %d latencies", c.Good, c.Bad, s.Latency.Count())
	}
	want := map[string]string{
		"p/ttft":        "1 good, 2 bad, 2 latencies",
		"p/inter_token": "1 good, 1 bad, 1 latencies",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestHistogramRejectsOtherGeometry(t *testing.T) {
	for _, text := range []string{"", "garbage", "HISTFAAAAA"} {
		if err := NewHistogram().UnmarshalText([]byte(text)); !errors.Is(err, ErrInvalidHistogram) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestReport(t *testing.T) {
	tr := NewTracker(Config{})
	now := recordTraffic(tr, start, 3600, 5)
	rep, err := NewReport([]Level{level}, []Snapshot{tr.Snapshot("e", now)}, now)
	if err != nil || rep.State() != StatePage {
		t.Fatalf("%+v, %v", rep, err)
	}
	var table, page bytes.Buffer
	if err := rep.WriteTable(&table); err != nil || !bytes.Contains(table.Bytes(), []byte("notices")) {
		t.Errorf("table %s, %v", table.String(), err)
	}
	if err := rep.WriteHTML(&page); err != nil || !bytes.Contains(page.Bytes(), []byte("<svg")) {
		t.Errorf("page of %d bytes, %v", page.Len(), err)
	}
	if _, err := NewReport([]Level{{Objective: "ttft", Target: 1}}, nil, now); !errors.Is(err, ErrInvalidLevel) {
		t.Errorf("target 1: %v", err)
	}
}

// BenchmarkTrackerBytes reports the memory of one series in steady use and its size on the
// wire.
func BenchmarkTrackerBytes(b *testing.B) {
	var bytesHeld, wire int
	for b.Loop() {
		tr := NewTracker(Config{})
		for i := range 10_000 {
			latency := time.Duration(20+i%400) * time.Millisecond
			tr.Record(key("a"), i%50 != 0, latency, start.Add(time.Duration(i)*time.Second))
		}
		s := tr.series[key("a")]
		bytesHeld = len(s.rings)*(ringCells+1)*8 + s.latency.Bytes()
		data, err := json.Marshal(tr.Snapshot("e", start))
		if err != nil {
			b.Fatal(err)
		}
		wire = len(data)
	}
	b.ReportMetric(float64(bytesHeld), "B/series")
	b.ReportMetric(float64(wire), "wire-B/series")
}

func BenchmarkRecord(b *testing.B) {
	tr := NewTracker(Config{})
	i := 0
	for b.Loop() {
		tr.Record(key("a"), true, time.Duration(i%1000)*time.Millisecond, start.Add(time.Duration(i)*time.Millisecond))
		i++
	}
}
