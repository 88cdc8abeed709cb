package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/briarturn/briarturn/backend"
)

// herd is a queueing model in virtual time: entries that send short prompts to
// servers, each of which prefills one after the other. Entries learn of a
// server's queue by its periodic report and by the answers they get.
type herd struct {
	policy  string
	entries int
	servers int
	load    float64       // of the servers' capacity
	period  time.Duration // between two reports of one server; zero: none
	// limit is the queue from which a server refuses; the entry then asks the
	// next of three, of which the last may not refuse. Zero: none refuses.
	limit  time.Duration
	length time.Duration
	seed   uint64
	rate   int64 // tokens/s of one server; zero: herdRate
	// liar: the first server always says that it has nothing to do.
	liar bool
	// zone: a third of the servers is away in the middle third of the run.
	zone  bool
	learn bool // entries learn from answers how long a prefill takes
}

const (
	herdRate      = 10_000 // tokens/s of one server
	herdMinTokens = 1_000
	herdMaxTokens = 4_000
	herdWarmUp    = 5 * time.Second
	herdLimit     = 200 * time.Millisecond
)

// herdResult is what one run gave.
type herdResult struct {
	meanSlowdown float64 // (wait + service) / service
	p99Slowdown  float64
	longest      float64 // longest queue in seconds, averaged over arrivals
	maxToMean    float64 // longest queue over the mean queue, averaged over arrivals
	refused      float64 // refusals per request
	liarShare    float64 // of the requests, over an equal share
	afterReturn  float64 // mean slowdown in the seconds after the zone is back
}

// herdServer is a server that works off its queue in order.
type herdServer struct {
	key      uint64
	rate     int64
	free     time.Time   // when all it has is done
	ends     []time.Time // of the requests it has
	sequence uint64
	liar     bool
	taken    int
}

// sample returns the server's true load at a time.
func (s *herdServer) sample(t time.Time) backend.Load {
	for len(s.ends) > 0 && !s.ends[0].After(t) {
		s.ends = s.ends[1:]
	}
	s.sequence++
	if s.liar {
		return backend.Load{Incarnation: 1, Sequence: s.sequence}
	}
	return backend.Load{
		Running:      int32(len(s.ends)),
		PrefillShort: int64(s.left(t).Seconds() * float64(s.rate)),
		Incarnation:  1,
		Sequence:     s.sequence,
	}
}

func (s *herdServer) left(t time.Time) time.Duration { return max(0, s.free.Sub(t)) }

// take queues a prompt and returns its wait.
func (s *herdServer) take(t time.Time, service time.Duration) time.Duration {
	s.taken++
	wait := s.left(t)
	s.free = t.Add(wait + service)
	s.ends = append(s.ends, s.free)
	return wait
}

// herdEntry is an entry with its own table, and its own turn in round-robin.
type herdEntry struct {
	policy Policy
	table  *backend.Table
}

// herdRun is the state of one run.
type herdRun struct {
	period   time.Duration
	limit    time.Duration
	rate     int64
	rnd      *rand.Rand
	servers  []*herdServer
	entries  []herdEntry
	reports  int // sent so far
	rows     []backend.Row
	slow     []float64
	refusals int
	longest  float64
	ratio    float64
	zone     *herdZone // nil: none goes away
}

func newHerdRun(tb testing.TB, h herd) *herdRun {
	if h.rate == 0 {
		h.rate = herdRate
	}
	r := &herdRun{period: h.period, limit: h.limit, rate: h.rate, rnd: rand.New(rand.NewPCG(h.seed, 4))}
	for range h.entries {
		r.entries = append(r.entries, herdEntry{h.newPolicy(tb), backend.NewTable(backend.TableOptions{})})
	}
	for i := range h.servers {
		d := server(fmt.Sprintf("engine-%03d", i)).Descriptor
		d.PrefillRate = h.rate
		s := &herdServer{key: backend.KeyOf(d.Name), rate: h.rate, liar: h.liar && i == 0}
		r.servers = append(r.servers, s)
		for _, e := range r.entries {
			e.table.Observe(d, 1, s.sample(now), now)
		}
	}
	return r
}

// newPolicy returns a policy, which has learned how long a prefill takes if the
// model says so.
func (h herd) newPolicy(tb testing.TB) Policy {
	costs := NewCostModel(nil)
	if h.learn {
		tokens := int64(herdMinTokens+herdMaxTokens) / 2
		took := time.Duration(float64(tokens) / float64(h.rate) * float64(time.Second))
		costs.Record("p", Observation{PromptTokens: tokens, Prefill: took, PrefillRate: h.rate})
	}
	p, err := New(h.policy, Options{Costs: costs})
	if err != nil {
		tb.Fatal(err)
	}
	return p
}

// run returns the figures of one run.
func (h herd) run(tb testing.TB) herdResult {
	r := newHerdRun(tb, h)
	if h.zone {
		r.zone = newHerdZone(r, h.length)
	}
	meanTokens := float64(herdMinTokens+herdMaxTokens) / 2
	perSecond := h.load * float64(h.servers) * float64(r.rate) / meanTokens
	gap := float64(time.Second) / perSecond
	end := now.Add(h.length)
	for t := now; t.Before(end); {
		t = t.Add(time.Duration(r.rnd.ExpFloat64() * gap))
		r.zone.step(r, t)
		r.reportUntil(t)
		r.arrive(tb, t)
	}
	return r.result()
}

// reportUntil sends the reports that are due: the servers' reports are spread
// evenly over the period.
func (r *herdRun) reportUntil(t time.Time) {
	if r.period == 0 {
		return
	}
	for {
		at := now.Add(time.Duration(r.reports) * r.period / time.Duration(len(r.servers)))
		if at.After(t) {
			return
		}
		s := r.servers[r.reports%len(r.servers)]
		r.reports++
		if r.zone.away(s) {
			continue
		}
		load := s.sample(at)
		for _, e := range r.entries {
			e.table.ObserveLoad(s.key, 1, load, 0, at)
		}
	}
}

func (r *herdRun) arrive(tb testing.TB, t time.Time) {
	e := r.entries[r.rnd.IntN(len(r.entries))]
	q := query(herdMinTokens + r.rnd.Int64N(herdMaxTokens-herdMinTokens))
	q.Now = t
	r.rows = e.table.Rows("p", r.rows[:0])
	ranked := e.policy.Choose(q, r.rows, r.rnd, 3, nil)
	if len(ranked) == 0 {
		tb.Fatal("no choice")
	}
	s := r.admit(e.table, ranked, t)
	service := time.Duration(float64(q.PromptTokens) / float64(r.rate) * float64(time.Second))
	wait := s.take(t, service)
	e.table.ObserveLoad(s.key, 1, s.sample(t), 0, t)
	if t.Sub(now) > herdWarmUp {
		r.slow = append(r.slow, float64(wait+service)/float64(service))
		r.zone.observe(t, float64(wait+service)/float64(service))
		r.observeQueues(t)
	}
}

// admit returns the first of the ranked servers that doesn't refuse. A refusal
// brings the server's load.
func (r *herdRun) admit(table *backend.Table, ranked []Choice, t time.Time) *herdServer {
	var s *herdServer
	for _, c := range ranked {
		key := backend.KeyOf(c.Name)
		i := slices.IndexFunc(r.servers, func(s *herdServer) bool { return s.key == key })
		s = r.servers[i]
		if r.limit == 0 || s.left(t) <= r.limit {
			return s
		}
		r.refusals++
		table.ObserveLoad(s.key, 1, s.sample(t), 0, t)
	}
	return s
}

func (r *herdRun) observeQueues(t time.Time) {
	var longest, sum time.Duration
	for _, s := range r.servers {
		longest = max(longest, s.left(t))
		sum += s.left(t)
	}
	r.longest += longest.Seconds()
	r.ratio += float64(longest) * float64(len(r.servers)) / float64(max(1, sum))
}

func (r *herdRun) result() herdResult {
	sum := 0.0
	for _, v := range r.slow {
		sum += v
	}
	slices.Sort(r.slow)
	n := len(r.slow)
	return herdResult{
		meanSlowdown: sum / float64(n),
		p99Slowdown:  r.slow[int(math.Ceil(0.99*float64(n)))-1],
		longest:      r.longest / float64(n),
		maxToMean:    r.ratio / float64(n),
		refused:      float64(r.refusals) / float64(n),
		liarShare:    r.liarShare(),
		afterReturn:  r.zone.mean(),
	}
}

func (res herdResult) String() string {
	return fmt.Sprintf("slowdown mean %.2f p99 %.2f, longest queue %.2fs, longest/mean %.2f",
		res.meanSlowdown, res.p99Slowdown, res.longest, res.maxToMean)
}

// Symptom: the server that looked best in the last reports has the longest
// queue, and others are idle.
// Sequence: many entries hear the same reports, four seconds apart, and all send
// to the same servers until the next.
// Cause: every entry takes the least of the same stale loads.
func TestEntriesDoNotHerd(t *testing.T) {
	h := herd{entries: 40, servers: 48, load: 0.8, period: 4 * time.Second, length: time.Minute, seed: 1}
	results := map[string]herdResult{}
	for _, name := range []string{PolicyCost, PolicyLeastLoad, PolicyRoundRobin} {
		h.policy = name
		results[name] = h.run(t)
		t.Logf("%-11s %v", name, results[name])
	}
	cost, least, turns := results[PolicyCost], results[PolicyLeastLoad], results[PolicyRoundRobin]
	if cost.longest > 0.5*least.longest {
		t.Errorf("longest queue %.2fs, want at most half of least-load's %.2fs", cost.longest, least.longest)
	}
	if cost.meanSlowdown > 0.5*least.meanSlowdown || cost.p99Slowdown > 0.5*least.p99Slowdown {
		t.Errorf("%v; want at most half of least-load's %v", cost, least)
	}
	if cost.meanSlowdown > turns.meanSlowdown {
		t.Errorf("%v; worse than round-robin, which knows nothing: %v", cost, turns)
	}
}

// BenchmarkStaleness reports what the age of loads costs in slowdown.
func BenchmarkStaleness(b *testing.B) {
	periods := []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 0}
	sizes := []herd{
		{entries: 3, servers: 21},
		{entries: 3, servers: 21, limit: herdLimit},
		{entries: 40, servers: 48},
		{entries: 40, servers: 48, limit: herdLimit},
	}
	for _, size := range sizes {
		for _, name := range []string{PolicyCost, PolicyLeastLoad, PolicyRoundRobin} {
			for _, period := range periods {
				h := size
				h.policy, h.period = name, period
				h.load, h.length = 0.8, 2*time.Minute
				b.Run(fmt.Sprintf("%s/entries=%d/servers=%d/limit=%v/period=%v", name, h.entries, h.servers, h.limit, period), func(b *testing.B) {
					for b.Loop() {
						h.seed = 1
						res := h.run(b)
						b.ReportMetric(res.meanSlowdown, "slowdown")
						b.ReportMetric(res.p99Slowdown, "p99")
						b.ReportMetric(res.longest, "longest-s")
						b.ReportMetric(res.maxToMean, "max/mean")
						b.ReportMetric(res.refused, "refused/req")
					}
				})
			}
		}
	}
}

// BenchmarkLearnedMemory reports what it is worth to fit the trust in old loads
// to how long the pool's prefills take.
func BenchmarkLearnedMemory(b *testing.B) {
	for _, rate := range []int64{1_000, 10_000, 100_000} {
		for _, learn := range []bool{false, true} {
			for _, period := range []time.Duration{250 * time.Millisecond, time.Second, 4 * time.Second} {
				h := herd{
					policy: PolicyCost, entries: 40, servers: 48, load: 0.8, seed: 1,
					rate: rate, learn: learn, period: period,
					length: 2 * time.Minute * herdRate / time.Duration(rate),
				}
				b.Run(fmt.Sprintf("rate=%d/learn=%v/period=%v", rate, learn, period), func(b *testing.B) {
					for b.Loop() {
						res := h.run(b)
						b.ReportMetric(res.meanSlowdown, "slowdown")
						b.ReportMetric(res.p99Slowdown, "p99")
					}
				})
			}
		}
	}
}
