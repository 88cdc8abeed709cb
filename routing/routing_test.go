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

// server returns an idle row that is fresh and large.
func server(name string) backend.Row {
	return backend.Row{
		Descriptor: backend.Descriptor{
			Name: name, Zone: "z1", Region: "r", Pool: "p", Models: []string{"m"},
			PrefillRate: 10_000, DecodeRate: 1_000, MemoryTokens: 400_000,
		},
		Key:    backend.KeyOf(name),
		LoadAt: now,
	}
}

func query(tokens int64) *Query {
	return &Query{
		Pool: "p", Model: "m", Zone: "z1", Region: "r", Now: now,
		PromptTokens: tokens, Class: request.ClassOf(tokens),
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(4, 4)) }

// chosen returns the names that a policy ranks.
func chosen(p Policy, q *Query, rows []backend.Row, limit int) []string {
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
		{"alone, busy", func(q *Query, r *backend.Row) { q.RequireIdle, r.OwnRunning = true, 1 }, tierWait},
		{"alone, idle", func(q *Query, _ *backend.Row) { q.RequireIdle = true }, tierFit},
	} {
		q, row := query(1_000), server("a")
		c.change(q, &row)
		if got := filter(q, &row); got != c.want {
			t.Errorf("%s: tier %d, want %d", c.name, got, c.want)
		}
	}
}

// expected returns the cost policy's expected time on one row.
func expected(t *testing.T, q *Query, row backend.Row) time.Duration {
	t.Helper()
	choices := mustNew(t, PolicyCost).Choose(q, []backend.Row{row}, newRand(), 1, nil)
	if len(choices) != 1 {
		t.Fatalf("%d choices", len(choices))
	}
	return choices[0].ExpectedTTFT
}

func TestLongPrefillYieldsToShort(t *testing.T) {
	row := server("a")
	idle := expected(t, query(1_000), row)
	row.Load.PrefillLong = 300_000 // half a minute of work
	if got := expected(t, query(1_000), row); got <= idle || got > idle+500*time.Millisecond {
		t.Errorf("short beside long prefill: %v, alone %v", got, idle)
	}
	if got := expected(t, query(100_000), row); got < 40*time.Second {
		t.Errorf("long behind long prefill: %v, want at least 40s", got)
	}
}

func TestOwnDispatchesAndDistanceCost(t *testing.T) {
	near, own, far := server("near"), server("own"), server("far")
	own.OwnPrefill, own.OwnRunning = 10_000, 1
	far.Zone = "z2"
	p := mustNew(t, PolicyCost)
	got := chosen(p, query(1_000), []backend.Row{own, far, near}, 3)
	if diff := cmp.Diff([]string{"near", "far", "own"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestShortAvoidsLongAndLongTakesLeastLong(t *testing.T) {
	a, b, c := server("a"), server("b"), server("c")
	a.Load.PrefillLong = 200_000
	b.Load.PrefillLong = 100_000
	c.Load.PrefillShort = 500
	p := mustNew(t, PolicyCost)
	for _, tokens := range []int64{1_000, 150_000} {
		got := chosen(p, query(tokens), []backend.Row{a, b, c}, 1)
		if diff := cmp.Diff([]string{"c"}, got); diff != "" {
			t.Errorf("%d tokens: %s", tokens, diff)
		}
	}
}

// Symptom: a server that lost its network looks the emptiest and draws all.
// Sequence: it reports an empty queue and then nothing for a minute.
// Cause: a sample that is believed however old it is.
func TestOldSampleIsDrawnToTheMean(t *testing.T) {
	old, busy := server("old"), server("busy")
	old.LoadAt = now.Add(-time.Minute)
	busy.Load.PrefillShort = 20_000
	first := 0
	p, rnd := mustNew(t, PolicyCost), newRand()
	for range 1000 {
		if p.Choose(query(1_000), []backend.Row{old, busy}, rnd, 1, nil)[0].Name == "old" {
			first++
		}
	}
	// The busy server's two seconds are known. The other's queue is drawn around
	// a mean of one: longer than two with the chance exp(-2).
	if first < 820 || first > 910 {
		t.Errorf("the old sample won %d of 1000, want about 865", first)
	}
}

// Symptom: requests fail though a server could have served them.
// Sequence: all servers but one of a large pool leave.
// Cause: a sample that happens to meet only those that left.
func TestLoneServerOfLargePoolIsFound(t *testing.T) {
	rows := manyRows(1_000)
	for i := range rows {
		rows[i].State = backend.StateLeaving
	}
	rows[777].State = backend.StateLive
	got := chosen(mustNew(t, PolicyCost), query(1_000), rows, 3)
	if diff := cmp.Diff([]string{rows[777].Name}, got); diff != "" {
		t.Error(diff)
	}
}

func TestSuspectsComeLast(t *testing.T) {
	a, b := server("a"), server("b")
	a.State = backend.StateSuspect
	b.Load.PrefillShort = 100_000
	got := chosen(mustNew(t, PolicyCost), query(1_000), []backend.Row{a, b}, 2)
	if diff := cmp.Diff([]string{"b", "a"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestBaselines(t *testing.T) {
	a, b, c := server("a"), server("b"), server("c")
	a.Load.Running, b.Load.Running, c.Load.Running = 3, 1, 2
	rows := []backend.Row{a, b, c}
	if diff := cmp.Diff([]string{"b", "c"}, chosen(mustNew(t, PolicyLeastLoad), query(1), rows, 2)); diff != "" {
		t.Error(diff)
	}
	rr := mustNew(t, PolicyRoundRobin)
	seen := map[string]int{}
	for range 30 {
		seen[chosen(rr, query(1), rows, 1)[0]]++
	}
	if diff := cmp.Diff(map[string]int{"a": 10, "b": 10, "c": 10}, seen); diff != "" {
		t.Error(diff)
	}
}

func TestLeastOfDrawIsTheLeastOfD(t *testing.T) {
	const n, d, draws = 10, 3, 100_000
	rnd, zero := newRand(), 0
	for range draws {
		if leastOfDraw(n, d, rnd) == 0 {
			zero++
		}
	}
	if share := float64(zero) / draws; share < 0.29 || share > 0.31 {
		t.Errorf("the best is chosen in %.3f of draws, want d/n = 0.3", share)
	}
}

// manyRows returns n rows of a pool with loads of all sorts, sorted by key.
func manyRows(n int) []backend.Row {
	table := manyServers(n)
	return table.Rows("p", nil)
}

func manyServers(n int) *backend.Table {
	rnd := newRand()
	table := backend.NewTable(backend.TableOptions{})
	for i := range n {
		d := server(fmt.Sprintf("engine-%05d", i)).Descriptor
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

func TestShortShareOfThePool(t *testing.T) {
	for share, want := range map[float64]int{0: 2, 0.5: 4, 0.25: 2, -1: 0, 1: 8} {
		d := decision{q: &Query{ShortShare: share}, rows: make([]backend.Row, 8)}
		n := 0
		for place := range d.rows {
			if d.inShortShare(place) {
				n++
			}
		}
		if n != want {
			t.Errorf("share %g: %d of 8 servers, want %d", share, n, want)
		}
	}
}
