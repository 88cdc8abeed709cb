package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// idleRow returns an idle server with a current load sample and much memory.
func idleRow(name string) backend.Row {
	return backend.Row{
		Descriptor: backend.Descriptor{
			Name: name, Zone: "z1", Region: "r", Pool: "p", Models: []string{"m"},
			PrefillRate: 10_000, DecodeRate: 1_000, MemoryTokens: 400_000,
		},
		Key:    backend.KeyOf(name),
		LoadAt: now,
	}
}

func newQuery(tokens int64) *Query {
	return &Query{
		Pool: "p", Model: "m", Zone: "z1", Region: "r", Now: now,
		PromptTokens: tokens, Class: request.ClassOf(tokens),
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(4, 4)) }

// choiceNames returns the names of the servers that a policy ranks, best first.
func choiceNames(p Policy, q *Query, rows []backend.Row, limit int) []string {
	var names []string
	for _, c := range p.Choose(q, rows, newRand(), limit, nil) {
		names = append(names, c.Name)
	}
	return names
}

func mustNew(t testing.TB, name string) Policy {
	t.Helper()
	p, err := New(name, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestNewByName(t *testing.T) {
	for _, name := range []string{PolicyCost, PolicyRoundRobin, PolicyLeastLoad} {
		if p := mustNew(t, name); p.Name() != name {
			t.Errorf("New(%q) is %q", name, p.Name())
		}
	}
	if _, err := New("fastest", Options{}); !errors.Is(err, ErrUnknownPolicy) {
		t.Errorf("error %v", err)
	}
}

func TestFilter(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Query, *backend.Row)
		want   tier
	}{
		{"fits", func(*Query, *backend.Row) {}, tierFit},
		{"model absent", func(q *Query, _ *backend.Row) { q.Model = "other" }, tierUnfit},
		{"pool as model", func(q *Query, _ *backend.Row) { q.Model = "p" }, tierFit},
		{"adapter absent", func(q *Query, _ *backend.Row) { q.Adapter = "a" }, tierUnfit},
		{"leaving", func(_ *Query, r *backend.Row) { r.State = backend.StateLeaving }, tierUnfit},
		{"dead", func(_ *Query, r *backend.Row) { r.State = backend.StateDead }, tierUnfit},
		{"draining", func(_ *Query, r *backend.Row) { r.Load.Draining = true }, tierUnfit},
		{"tried", func(q *Query, _ *backend.Row) { q.Exclude = []string{"a"} }, tierUnfit},
		{"never fits", func(q *Query, _ *backend.Row) { q.PromptTokens = 500_000 }, tierUnfit},
		{"fits later", func(_ *Query, r *backend.Row) { r.Load.Held = 399_500 }, tierWait},
		{"suspect", func(_ *Query, r *backend.Row) { r.State = backend.StateSuspect }, tierSuspect},
		{"other role", func(_ *Query, r *backend.Row) { r.Role = backend.RolePrefill }, tierWait},
		{"alone, busy", func(q *Query, r *backend.Row) { q.PreferIdle, r.UnreportedRequests = true, 1 }, tierWait},
		{"alone, idle", func(q *Query, _ *backend.Row) { q.PreferIdle = true }, tierFit},
	} {
		q, row := newQuery(1_000), idleRow("a")
		c.change(q, &row)
		if got := classify(q, &row); got != c.want {
			t.Errorf("%s: tier %d, want %d", c.name, got, c.want)
		}
	}
}

// expectedTTFT returns the cost policy's estimate for one row.
func expectedTTFT(t *testing.T, q *Query, row backend.Row) time.Duration {
	t.Helper()
	choices := mustNew(t, PolicyCost).Choose(q, []backend.Row{row}, newRand(), 1, nil)
	if len(choices) != 1 {
		t.Fatalf("%d choices", len(choices))
	}
	return choices[0].ExpectedTTFT
}

func TestLongPrefillYieldsToShort(t *testing.T) {
	row := idleRow("a")
	idle := expectedTTFT(t, newQuery(1_000), row)
	row.Load.PrefillLong = 300_000 // half a minute of work
	if got := expectedTTFT(t, newQuery(1_000), row); got <= idle || got > idle+500*time.Millisecond {
		t.Errorf("short beside long prefill: %v, alone %v", got, idle)
	}
	if got := expectedTTFT(t, newQuery(100_000), row); got < 40*time.Second {
		t.Errorf("long behind long prefill: %v, want at least 40s", got)
	}
}

func TestOwnDispatchesAndDistanceRaiseCost(t *testing.T) {
	near, own, far := idleRow("near"), idleRow("own"), idleRow("far")
	own.UnreportedPrefill, own.UnreportedRequests = 10_000, 1
	far.Zone = "z2"
	p := mustNew(t, PolicyCost)
	got := choiceNames(p, newQuery(1_000), []backend.Row{own, far, near}, 3)
	if diff := cmp.Diff([]string{"near", "far", "own"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestPromptsAvoidServersWithLongPrefill(t *testing.T) {
	a, b, c := idleRow("a"), idleRow("b"), idleRow("c")
	a.Load.PrefillLong = 200_000
	b.Load.PrefillLong = 100_000
	c.Load.PrefillShort = 500
	p := mustNew(t, PolicyCost)
	for _, tokens := range []int64{1_000, 150_000} {
		got := choiceNames(p, newQuery(tokens), []backend.Row{a, b, c}, 1)
		if diff := cmp.Diff([]string{"c"}, got); diff != "" {
			t.Errorf("%d tokens: %s", tokens, diff)
		}
	}
}

// A server reports an empty queue, loses its network and reports nothing for a minute. If
// the sample keeps its weight, the server appears the least loaded and attracts all
// requests.
func TestOldSampleRegressesToMean(t *testing.T) {
	old, busy := idleRow("old"), idleRow("busy")
	old.LoadAt = now.Add(-time.Minute)
	busy.Load.PrefillShort = 20_000
	first := 0
	p, rnd := mustNew(t, PolicyCost), newRand()
	for range 1000 {
		if p.Choose(newQuery(1_000), []backend.Row{old, busy}, rnd, 1, nil)[0].Name == "old" {
			first++
		}
	}
	// The busy server's wait of two seconds is known. The other server's wait is drawn from
	// an exponential distribution with a mean of one second; it exceeds two seconds with
	// probability exp(-2).
	if first < 820 || first > 910 {
		t.Errorf("the old sample won %d of 1000, want about 865", first)
	}
}

// All servers but one of a large pool leave. If a decision relied on a sample alone, it would
// usually contain none but leaving servers, and requests would fail.
func TestOnlyUsableServerOfLargePoolIsFound(t *testing.T) {
	rows := manyRows(1_000)
	for i := range rows {
		rows[i].State = backend.StateLeaving
	}
	rows[777].State = backend.StateLive
	got := choiceNames(mustNew(t, PolicyCost), newQuery(1_000), rows, 3)
	if diff := cmp.Diff([]string{rows[777].Name}, got); diff != "" {
		t.Error(diff)
	}
}

func TestSuspectServersRankLast(t *testing.T) {
	a, b := idleRow("a"), idleRow("b")
	a.State = backend.StateSuspect
	b.Load.PrefillShort = 100_000
	got := choiceNames(mustNew(t, PolicyCost), newQuery(1_000), []backend.Row{a, b}, 2)
	if diff := cmp.Diff([]string{"b", "a"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestBaselinePolicies(t *testing.T) {
	a, b, c := idleRow("a"), idleRow("b"), idleRow("c")
	a.Load.Running, b.Load.Running, c.Load.Running = 3, 1, 2
	rows := []backend.Row{a, b, c}
	if diff := cmp.Diff([]string{"b", "c"}, choiceNames(mustNew(t, PolicyLeastLoad), newQuery(1), rows, 2)); diff != "" {
		t.Error(diff)
	}
	rr := mustNew(t, PolicyRoundRobin)
	counts := map[string]int{}
	for range 30 {
		counts[choiceNames(rr, newQuery(1), rows, 1)[0]]++
	}
	if diff := cmp.Diff(map[string]int{"a": 10, "b": 10, "c": 10}, counts); diff != "" {
		t.Error(diff)
	}
}

func TestBestOfDrawProbability(t *testing.T) {
	const n, d, draws = 10, 3, 100_000
	rnd, zero := newRand(), 0
	for range draws {
		if bestOfDraw(n, d, rnd) == 0 {
			zero++
		}
	}
	if share := float64(zero) / draws; share < 0.29 || share > 0.31 {
		t.Errorf("the best position is drawn in %.3f of draws, want d/n = 0.3", share)
	}
}

// manyRows returns n rows of a pool with various loads, sorted by key.
func manyRows(n int) []backend.Row {
	table := tableOf(n)
	return table.Rows("p", nil)
}

func tableOf(n int) *backend.Table {
	rnd := newRand()
	table := backend.NewTable(backend.TableOptions{})
	for i := range n {
		d := idleRow(fmt.Sprintf("engine-%05d", i)).Descriptor
		load := backend.Load{
			Sequence: 1, Running: rnd.Int32N(30), PrefillShort: rnd.Int64N(20_000),
			Used: rnd.Int64N(300_000),
		}
		if rnd.IntN(10) == 0 {
			load.PrefillLong = rnd.Int64N(300_000)
		}
		table.Observe(d, 1, load, now.Add(-time.Duration(rnd.Int64N(int64(4*time.Second)))))
	}
	return table
}

func TestShortShareOfPool(t *testing.T) {
	for share, want := range map[float64]int{0: 2, 0.5: 4, 0.25: 2, -1: 0, 1: 8} {
		d := decision{q: &Query{ShortShare: share}, rows: make([]backend.Row, 8)}
		n := 0
		for place := range d.rows {
			if d.inReservedShare(place) {
				n++
			}
		}
		if n != want {
			t.Errorf("share %g: %d of 8 servers, want %d", share, n, want)
		}
	}
}
