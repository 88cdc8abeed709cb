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

// simulation is a queueing model in virtual time: entries send short prompts to servers,
// each of which prefills one at a time. Entries learn the length of a server's queue from
// its periodic report and from the answers they receive.
type simulation struct {
	policy  string
	entries int
	servers int
	load    float64       // fraction of the servers' capacity
	period  time.Duration // between two reports of one server; zero: no reports
	// limit is the queue length from which a server refuses a request. The entry then
	// tries the next of three servers; the last can't refuse. Zero: no server refuses.
	limit  time.Duration
	length time.Duration
	seed   uint64
	rate   int64 // tokens/s of one server; zero: simPrefillRate
	// firstReportsIdle makes the first server always report an empty queue.
	firstReportsIdle bool
	// zone takes a third of the servers down in the middle third of the run.
	zone         bool
	learnPrefill bool // entries know the mean prefill time
}

const (
	simPrefillRate = 10_000 // tokens/s of one server
	simMinTokens   = 1_000
	simMaxTokens   = 4_000
	simWarmUp      = 5 * time.Second
	simQueueLimit  = 200 * time.Millisecond
)

// simResult holds the figures of one run.
type simResult struct {
	meanSlowdown     float64 // (wait + service) / service
	p99Slowdown      float64
	longest          float64 // longest queue in seconds, averaged over arrivals
	maxToMean        float64 // longest queue over the mean queue, averaged over arrivals
	refused          float64 // refusals per request
	firstServerShare float64 // requests of the first server over an equal share
	afterRestore     float64 // mean slowdown within restoreWindow after the zone outage
}

// simServer processes its queue in order.
type simServer struct {
	key         uint64
	rate        int64
	idleAt      time.Time   // when its queue is empty
	completions []time.Time // end times of the queued requests
	sequence    uint64
	reportsIdle bool
	accepted    int
}

// sample returns the server's load at a time; it is empty if the server reports idle.
func (s *simServer) sample(t time.Time) backend.Load {
	for len(s.completions) > 0 && !s.completions[0].After(t) {
		s.completions = s.completions[1:]
	}
	s.sequence++
	if s.reportsIdle {
		return backend.Load{Incarnation: 1, Sequence: s.sequence}
	}
	return backend.Load{
		Running:      int32(len(s.completions)),
		PrefillShort: int64(s.backlog(t).Seconds() * float64(s.rate)),
		Incarnation:  1,
		Sequence:     s.sequence,
	}
}

func (s *simServer) backlog(t time.Time) time.Duration { return max(0, s.idleAt.Sub(t)) }

// enqueue adds a prompt to the queue and returns its wait.
func (s *simServer) enqueue(t time.Time, service time.Duration) time.Duration {
	s.accepted++
	wait := s.backlog(t)
	s.idleAt = t.Add(wait + service)
	s.completions = append(s.completions, s.idleAt)
	return wait
}

// simEntry is an entry with a table and a policy instance of its own.
type simEntry struct {
	policy Policy
	table  *backend.Table
}

// simRun is the state of one run.
type simRun struct {
	period    time.Duration
	limit     time.Duration
	rate      int64
	rnd       *rand.Rand
	servers   []*simServer
	entries   []simEntry
	reports   int // sent so far
	rows      []backend.Row
	slowdowns []float64
	refusals  int
	longest   float64
	ratio     float64
	outage    *zoneOutage // nil: no server goes down
}

func newSimRun(tb testing.TB, h simulation) *simRun {
	if h.rate == 0 {
		h.rate = simPrefillRate
	}
	r := &simRun{period: h.period, limit: h.limit, rate: h.rate, rnd: rand.New(rand.NewPCG(h.seed, 4))}
	for range h.entries {
		r.entries = append(r.entries, simEntry{h.newPolicy(tb), backend.NewTable(backend.TableOptions{})})
	}
	for i := range h.servers {
		d := idleRow(fmt.Sprintf("engine-%03d", i)).Descriptor
		d.PrefillRate = h.rate
		s := &simServer{key: backend.KeyOf(d.Name), rate: h.rate, reportsIdle: h.firstReportsIdle && i == 0}
		r.servers = append(r.servers, s)
		for _, e := range r.entries {
			e.table.Observe(d, 1, s.sample(now), now)
		}
	}
	return r
}

// newPolicy returns the policy, with the mean prefill time recorded if learnPrefill is set.
func (h simulation) newPolicy(tb testing.TB) Policy {
	costs := NewCostModel(nil)
	if h.learnPrefill {
		tokens := int64(simMinTokens+simMaxTokens) / 2
		took := time.Duration(float64(tokens) / float64(h.rate) * float64(time.Second))
		costs.Record("p", Observation{PromptTokens: tokens, Prefill: took, PrefillRate: h.rate})
	}
	p, err := New(h.policy, Options{Costs: costs})
	if err != nil {
		tb.Fatal(err)
	}
	return p
}

// run runs the simulation and returns its figures.
func (h simulation) run(tb testing.TB) simResult {
	r := newSimRun(tb, h)
	if h.zone {
		r.outage = newZoneOutage(r, h.length)
	}
	meanTokens := float64(simMinTokens+simMaxTokens) / 2
	perSecond := h.load * float64(h.servers) * float64(r.rate) / meanTokens
	gap := float64(time.Second) / perSecond
	end := now.Add(h.length)
	for t := now; t.Before(end); {
		t = t.Add(time.Duration(r.rnd.ExpFloat64() * gap))
		r.outage.step(r, t)
		r.reportUntil(t)
		r.arrive(tb, t)
	}
	return r.result()
}

// reportUntil sends the reports that are due by t. The servers' reports are spread evenly
// over the period.
func (r *simRun) reportUntil(t time.Time) {
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
		if r.outage.isDown(s) {
			continue
		}
		load := s.sample(at)
		for _, e := range r.entries {
			e.table.ObserveLoad(s.key, 1, load, 0, at)
		}
	}
}

func (r *simRun) arrive(tb testing.TB, t time.Time) {
	e := r.entries[r.rnd.IntN(len(r.entries))]
	q := newQuery(simMinTokens + r.rnd.Int64N(simMaxTokens-simMinTokens))
	q.Now = t
	r.rows = e.table.Rows("p", r.rows[:0])
	ranked := e.policy.Choose(q, r.rows, r.rnd, 3, nil)
	if len(ranked) == 0 {
		tb.Fatal("no choice")
	}
	s := r.admit(e.table, ranked, t)
	service := time.Duration(float64(q.PromptTokens) / float64(r.rate) * float64(time.Second))
	wait := s.enqueue(t, service)
	e.table.ObserveLoad(s.key, 1, s.sample(t), 0, t)
	if t.Sub(now) > simWarmUp {
		r.slowdowns = append(r.slowdowns, float64(wait+service)/float64(service))
		r.outage.observe(t, float64(wait+service)/float64(service))
		r.observeQueues(t)
	}
}

// admit returns the first of the ranked servers that doesn't refuse. A refusal carries the
// server's load.
func (r *simRun) admit(table *backend.Table, ranked []Choice, t time.Time) *simServer {
	var s *simServer
	for _, c := range ranked {
		key := backend.KeyOf(c.Name)
		i := slices.IndexFunc(r.servers, func(s *simServer) bool { return s.key == key })
		s = r.servers[i]
		if r.limit == 0 || s.backlog(t) <= r.limit {
			return s
		}
		r.refusals++
		table.ObserveLoad(s.key, 1, s.sample(t), 0, t)
	}
	return s
}

func (r *simRun) observeQueues(t time.Time) {
	var longest, sum time.Duration
	for _, s := range r.servers {
		longest = max(longest, s.backlog(t))
		sum += s.backlog(t)
	}
	r.longest += longest.Seconds()
	r.ratio += float64(longest) * float64(len(r.servers)) / float64(max(1, sum))
}

func (r *simRun) result() simResult {
	sum := 0.0
	for _, v := range r.slowdowns {
		sum += v
	}
	slices.Sort(r.slowdowns)
	n := len(r.slowdowns)
	return simResult{
		meanSlowdown:     sum / float64(n),
		p99Slowdown:      r.slowdowns[int(math.Ceil(0.99*float64(n)))-1],
		longest:          r.longest / float64(n),
		maxToMean:        r.ratio / float64(n),
		refused:          float64(r.refusals) / float64(n),
		firstServerShare: r.firstServerShare(),
		afterRestore:     r.outage.mean(),
	}
}

func (res simResult) String() string {
	return fmt.Sprintf("slowdown mean %.2f p99 %.2f, longest queue %.2fs, longest/mean %.2f",
		res.meanSlowdown, res.p99Slowdown, res.longest, res.maxToMean)
}

// Forty entries receive the same load reports every four seconds. If each entry chooses the
// server with the lowest reported load, all of them send to the same server until the next
// report, and it has the longest queue while others are idle.
func TestEntriesSpreadLoadOnStaleReports(t *testing.T) {
	h := simulation{entries: 40, servers: 48, load: 0.8, period: 4 * time.Second, length: time.Minute, seed: 1}
	results := map[string]simResult{}
	for _, name := range []string{PolicyCost, PolicyLeastLoad, PolicyRoundRobin} {
		h.policy = name
		results[name] = h.run(t)
		t.Logf("%-11s %v", name, results[name])
	}
	cost, least, roundRobin := results[PolicyCost], results[PolicyLeastLoad], results[PolicyRoundRobin]
	if cost.longest > 0.5*least.longest {
		t.Errorf("longest queue %.2fs, want at most half of least-load's %.2fs", cost.longest, least.longest)
	}
	if cost.meanSlowdown > 0.5*least.meanSlowdown || cost.p99Slowdown > 0.5*least.p99Slowdown {
		t.Errorf("%v; want at most half of least-load's %v", cost, least)
	}
	if cost.meanSlowdown > roundRobin.meanSlowdown {
		t.Errorf("%v; worse than round-robin, which ignores the load: %v", cost, roundRobin)
	}
}

// BenchmarkStaleness reports the slowdown caused by the age of load reports.
func BenchmarkStaleness(b *testing.B) {
	periods := []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 0}
	sizes := []simulation{
		{entries: 3, servers: 21},
		{entries: 3, servers: 21, limit: simQueueLimit},
		{entries: 40, servers: 48},
		{entries: 40, servers: 48, limit: simQueueLimit},
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

// BenchmarkLearnedSampleDecay reports the benefit of fitting the decay of load samples to
// the pool's prefill times.
func BenchmarkLearnedSampleDecay(b *testing.B) {
	for _, rate := range []int64{1_000, 10_000, 100_000} {
		for _, learn := range []bool{false, true} {
			for _, period := range []time.Duration{250 * time.Millisecond, time.Second, 4 * time.Second} {
				h := simulation{
					policy: PolicyCost, entries: 40, servers: 48, load: 0.8, seed: 1,
					rate: rate, learnPrefill: learn, period: period,
					length: 2 * time.Minute * simPrefillRate / time.Duration(rate),
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
