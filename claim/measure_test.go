package claim

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarturn/briarturn/objectapi"
)

var measureLong = flag.Bool("claim.measure", false, "run the measurements at their full length")

// serviceTime is how long a confirmation runs at its plain service.
const serviceTime = 20 * time.Millisecond

// meteredStore counts the bytes read from and written to the store.
type meteredStore struct {
	objectapi.Store
	read, written atomic.Int64
}

func (s *meteredStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	s.read.Add(int64(len(o.Data)))
	return o, err
}

func (s *meteredStore) Create(ctx context.Context, kind, name string, d json.RawMessage) (objectapi.Object, error) {
	s.written.Add(int64(len(d)))
	return s.Store.Create(ctx, kind, name, d)
}

func (s *meteredStore) Update(ctx context.Context, kind, name string, d json.RawMessage, v uint64) (objectapi.Object, error) {
	s.written.Add(int64(len(d)))
	return s.Store.Update(ctx, kind, name, d, v)
}

// loadTest sends confirmations to a number of entries, as Poisson arrivals at a
// given rate.
type loadTest struct {
	f          *testCluster
	store      *meteredStore
	rate       float64
	issued     bool
	mu         sync.Mutex // guards the fields below
	claimWaits []time.Duration
	granted    int
	refused    int
	runs       map[Key]int
}

func newLoad(t *testing.T, rate float64, issued bool, shards, entries int) *loadTest {
	l := &loadTest{rate: rate, issued: issued, runs: map[Key]int{}}
	l.f = newTestCluster(t, 0, nil)
	l.store = &meteredStore{Store: l.f.store}
	for i := range entries {
		l.f.entries = append(l.f.entries, l.f.start(t, fmt.Sprint("entry-", i), func(c *Config) { c.Store = l.store; c.Shards = shards }))
	}
	l.preload(t, l.f.entries...)
	l.resetCounts()
	return l
}

func (l *loadTest) run(d time.Duration, rnd *rand.Rand) {
	var calls sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / l.rate * float64(time.Second)))
		at := l.f.entries[rnd.IntN(len(l.f.entries))]
		k := testKey(fmt.Sprintf("%.0f-%d-%d", l.rate, rnd.Uint64(), n))
		if l.issued {
			k = testKey(l.f.entries[rnd.IntN(len(l.f.entries))].Issue(testWorkspace))
		}
		calls.Go(func() { l.call(at, k) })
	}
	calls.Wait()
}

func (l *loadTest) call(at *Claimer, k Key) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g, err := at.Claim(ctx, k, Request{FirstSend: true})
	l.mu.Lock()
	l.claimWaits = append(l.claimWaits, time.Since(began))
	if err != nil || !g.Fresh {
		l.refused++
		l.mu.Unlock()
		return
	}
	l.granted++
	l.runs[k]++
	l.mu.Unlock()
	time.Sleep(serviceTime)
	_ = at.Settle(ctx, g, Outcome{Kind: OutcomeDone, Record: Record{Status: 200, Response: []byte(`{"ok":true}`)}})
}

func (l *loadTest) counter(name string) int64 {
	n := int64(0)
	for _, c := range l.f.entries {
		if v, ok := c.cfg.Metrics.Get("claim." + name).(interface{ Count() int64 }); ok {
			n += v.Count()
		}
	}
	return n
}

func (l *loadTest) quantile(q float64) time.Duration {
	slices.Sort(l.claimWaits)
	return l.claimWaits[int(q*float64(len(l.claimWaits)-1))].Round(100 * time.Microsecond)
}

func (l *loadTest) keysRunTwice() int {
	n := 0
	for _, runs := range l.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// TestMeasureGroupCommit logs the confirmations per store write. It checks only
// that every confirmation was granted and none ran twice.
func TestMeasureGroupCommit(t *testing.T) {
	length := 2 * time.Second
	if *measureLong {
		length = 30 * time.Second
	}
	for _, shards := range shardCounts(true) {
		measureGroupCommit(t, length, shards)
	}
}

func measureGroupCommit(t *testing.T, length time.Duration, shards int) {
	t.Log("shards | keys | offered/s | granted | store writes/s | reads/s | conflicts/s | confirmations/write | claim wait p50 p99 | KB written/s")
	for _, issued := range []bool{false, true} {
		for _, rate := range []float64{10, 100, 1000} {
			inBubble(t, func(t *testing.T) {
				l := newLoad(t, rate, issued, shards, 3)
				l.run(length, rand.New(rand.NewPCG(1, uint64(rate))))
				for _, c := range l.f.entries {
					_ = c.Flush(context.Background())
				}
				seconds := length.Seconds()
				writes := l.counter("store_writes")
				t.Logf("%d | %s | %.0f | %d | %.1f | %.1f | %.1f | %.2f | %s %s | %.1f",
					shards, map[bool]string{false: "own", true: "issued"}[issued], rate, l.granted,
					float64(writes)/seconds, float64(l.counter("store_reads"))/seconds,
					float64(l.counter("store_conflicts"))/seconds, float64(l.granted)/float64(writes),
					l.quantile(0.5), l.quantile(0.99), float64(l.store.written.Load())/1024/seconds)
				if l.refused > 0 || l.keysRunTwice() > 0 {
					t.Errorf("%d refused, %d run twice", l.refused, l.keysRunTwice())
				}
			})
		}
	}
}

// TestMeasureForwarding logs the cost of a shard that many entries share, with
// and without a preferred writer.
func TestMeasureForwarding(t *testing.T) {
	length, rates, sizes := time.Second, []float64{735}, []int{10}
	if *measureLong {
		length, rates, sizes = 20*time.Second, []float64{10, 100, 735, 1000}, []int{3, 10, 30, 86}
	}
	t.Log("forwarding | shards | entries | offered/s | granted | refused | store writes/s | reads/s | conflicts/s | confirmations/write | claim wait p50 p99 | KB written/s | KB/write")
	for _, forwarding := range []bool{true, false} {
		for _, shards := range shardCounts(forwarding) {
			for _, entries := range sizes {
				for _, rate := range rates {
					inBubble(t, func(t *testing.T) {
						l := newLoad(t, rate, false, shards, entries)
						l.setForwarding(forwarding)
						l.run(length, rand.New(rand.NewPCG(1, uint64(rate))))
						l.logResults(t, fmt.Sprintf("%v | %d | %d | %.0f", forwarding, shards, entries, rate), length)
					})
				}
			}
		}
	}
}

func shardCounts(forwarding bool) []int {
	if *measureLong && forwarding {
		return []int{1, 2, 4}
	}
	return []int{DefaultShards}
}

func (l *loadTest) setForwarding(on bool) {
	for _, c := range l.f.entries {
		if !on {
			c.cfg.Peers = nil
		}
	}
}

func (l *loadTest) logResults(t *testing.T, name string, length time.Duration) {
	for _, c := range l.f.entries {
		_ = c.Flush(context.Background())
	}
	seconds := length.Seconds()
	writes := l.counter("store_writes")
	kilobytes := float64(l.store.written.Load()) / 1024
	t.Logf("%s | %d | %d | %.1f | %.1f | %.1f | %.2f | %s %s | %.1f | %.1f", name, l.granted, l.refused,
		float64(writes)/seconds, float64(l.counter("store_reads"))/seconds,
		float64(l.counter("store_conflicts"))/seconds, float64(l.granted)/float64(writes),
		l.quantile(0.5), l.quantile(0.99), kilobytes/seconds, kilobytes/float64(writes))
	if l.keysRunTwice() > 0 {
		t.Errorf("%d run twice", l.keysRunTwice())
	}
}

// TestMeasureOutage logs the calls that succeed during a store outage in which
// one of three entries dies halfway. At full length the outage takes ten minutes.
func TestMeasureOutage(t *testing.T) {
	length := 10 * time.Second
	if *measureLong {
		length = 10 * time.Minute
	}
	const rate = 50
	t.Log("keys | offered in the outage | ran | refused | run twice | resent after the outage: done unknown-or-running run-again")
	for _, issued := range []bool{false, true} {
		inBubble(t, func(t *testing.T) {
			l := newLoad(t, rate, issued, DefaultShards, 3)
			l.run(time.Second, rand.New(rand.NewPCG(1, 1)))
			for _, c := range l.f.entries {
				_ = c.Flush(context.Background())
			}
			l.outage(t, length)
		})
	}
}

func (l *loadTest) outage(t *testing.T, length time.Duration) {
	before, beforeRefused := l.granted, l.refused
	l.f.setStoreDown(true)
	l.run(length/2, rand.New(rand.NewPCG(2, 1)))
	gone := l.f.entries[0]
	l.f.remove(gone.Issuer())
	l.f.entries[0] = l.f.start(t, gone.Issuer().Entry, func(c *Config) { c.Store = l.store })
	gone.dropPending()
	l.run(length/2, rand.New(rand.NewPCG(3, 1)))
	ran, refused := l.granted-before, l.refused-beforeRefused
	l.f.setStoreDown(false)
	time.Sleep(2 * DefaultMaxBackoff)
	for _, c := range l.f.entries {
		_ = c.Flush(context.Background())
	}
	done, unknown, again := l.resend()
	t.Logf("%s | %d | %d | %d | %d | %d %d %d", map[bool]string{false: "own", true: "issued"}[l.issued],
		ran+refused, ran, refused, l.keysRunTwice(), done, unknown, again)
	if l.keysRunTwice() > 0 || again > 0 {
		t.Errorf("%d run twice, %d granted again", l.keysRunTwice(), again)
	}
}

// dropPending drops the entry's queued ops, as the death of its process does.
func (c *Claimer) dropPending() {
	for _, g := range c.groups {
		g.mu.Lock()
		g.pending = nil
		g.mu.Unlock()
	}
}

// resend resends every key that ran, through an entry that is alive.
func (l *loadTest) resend() (done, unknown, again int) {
	at := l.f.entries[1]
	var calls sync.WaitGroup
	var mu sync.Mutex
	for k := range l.runs {
		calls.Go(func() {
			g, err := at.Claim(context.Background(), k, Request{})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && g.Fresh:
				again++
			case err == nil && g.Prior.State == Done:
				done++
			default:
				unknown++
			}
		})
	}
	calls.Wait()
	return done, unknown, again
}

// TestMeasureRetention logs the cost of a shard as an hour of claims
// accumulates in it, and what an entry without cached indexes has to read.
func TestMeasureRetention(t *testing.T) {
	parts, length := 2, time.Second
	if *measureLong {
		parts, length = 7, 10*time.Minute
	}
	const rate, entries = 735, 10
	inBubble(t, func(t *testing.T) {
		l := newLoad(t, rate, false, DefaultShards, entries)
		t.Log("after | granted | refused | store writes/s | reads/s | conflicts/s | confirmations/write | claim wait p50 p99 | KB written/s | KB/write")
		for i := range parts {
			l.resetCounts()
			l.run(length, rand.New(rand.NewPCG(1, uint64(i))))
			l.logResults(t, (length * time.Duration(i+1)).String(), length)
			l.preload(t, l.f.entries...)
		}
		cold := l.f.start(t, "cold", func(c *Config) { c.Store = l.store; c.Peers = nil })
		l.resetCounts()
		began := time.Now()
		l.preload(t, cold)
		t.Logf("an entry without cached indexes reads %d KB in %v", l.store.read.Load()/1024, time.Since(began))
	})
}

func (l *loadTest) preload(t *testing.T, entries ...*Claimer) {
	for _, c := range entries {
		if err := c.Preload(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

// resetCounts sets all counts to zero.
func (l *loadTest) resetCounts() {
	l.claimWaits, l.granted, l.refused = nil, 0, 0
	l.runs = map[Key]int{}
	l.store.read.Store(0)
	l.store.written.Store(0)
	for _, c := range l.f.entries {
		for _, name := range []string{"store_writes", "store_reads", "store_conflicts"} {
			c.cfg.Metrics.Get("claim." + name).(interface{ Clear() }).Clear()
		}
	}
}

// TestMeasureWriterDeath logs the claim waits and refusals while a preferred
// writer hangs and is still listed, and after it is delisted.
func TestMeasureWriterDeath(t *testing.T) {
	length, entries, rate := time.Second, 10, 300.0
	if *measureLong {
		length, entries, rate = 3*time.Second, 86, 735
	}
	inBubble(t, func(t *testing.T) {
		l := newLoad(t, rate, false, DefaultShards, entries)
		t.Log("phase | granted | refused | store writes/s | reads/s | conflicts/s | confirmations/write | claim wait p50 p99 | KB written/s | KB/write")
		phase := func(name string) {
			l.resetCounts()
			l.run(length, rand.New(rand.NewPCG(7, uint64(len(name)))))
			l.logResults(t, fmt.Sprintf("%s (longest wait %v)", name, l.quantile(1)), length)
			if l.refused > 0 {
				t.Errorf("%s: %d refused", name, l.refused)
			}
		}
		phase("all alive")
		l.hangWriter(t)
		phase("a writer dead, still listed")
		l.f.remove(l.hangingIssuer())
		phase("taken off the list")
	})
}

// hangWriter makes the preferred writer of the first shard hang; the load
// continues through the other entries.
func (l *loadTest) hangWriter(t *testing.T) {
	t.Helper()
	for _, c := range l.f.entries {
		if name, elsewhere := c.groups[0].preferredWriter(); elsewhere {
			l.f.mu.Lock()
			l.f.hanging = name
			l.f.mu.Unlock()
		}
	}
	l.f.entries = slices.DeleteFunc(l.f.entries, func(c *Claimer) bool { return c.cfg.Entry == l.f.hanging })
}

func (l *loadTest) hangingIssuer() Issuer {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	for by := range l.f.claimers {
		if by.Entry == l.f.hanging {
			return by
		}
	}
	return Issuer{}
}

// regionPeers restricts the candidate writers to the entries of one region.
type regionPeers struct {
	*testCluster
	prefix string
}

func (r regionPeers) CandidateWriters() []string {
	return slices.DeleteFunc(r.testCluster.CandidateWriters(), func(n string) bool { return !strings.HasPrefix(n, r.prefix) })
}

// TestMeasureRegions logs the cost of several regions that share a store, each
// with its own preferred writer.
func TestMeasureRegions(t *testing.T) {
	length, perRegion := time.Second, 2
	if *measureLong {
		length, perRegion = 10*time.Second, 86
	}
	t.Log("regions | entries each | offered/s | granted | refused | store writes/s | reads/s | conflicts/s | confirmations/write | claim wait p50 p99 | KB written/s | KB/write")
	for _, regions := range []int{1, 2, 5} {
		inBubble(t, func(t *testing.T) {
			const rate = 735
			l := newLoad(t, rate, false, DefaultShards, 0)
			for i := range regions * perRegion {
				prefix := fmt.Sprintf("region-%d-", i%regions)
				l.f.entries = append(l.f.entries, l.f.start(t, fmt.Sprint(prefix, i), func(c *Config) {
					c.Store = l.store
					c.Peers = regionPeers{l.f, prefix}
				}))
			}
			l.preload(t, l.f.entries...)
			l.resetCounts()
			l.run(length, rand.New(rand.NewPCG(1, rate)))
			l.logResults(t, fmt.Sprintf("%d | %d | %d", regions, perRegion, rate), length)
		})
	}
}
