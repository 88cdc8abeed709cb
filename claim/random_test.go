package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

var randomSeeds = flag.Uint64("claim.seeds", 40, "seeds of the randomised run")
var randomStart = flag.Uint64("claim.start", 1, "first seed of the randomised run")

const (
	randomEntries = 3
	randomCalls   = 60
	randomSends   = 3
)

// runCounts are the counts of a randomised run.
type runCounts struct {
	sends, granted, prior, notRun, unverified, ran, deaths, faults, free int
}

// randomRun is the run of one seed: callers, entries that die, a store with
// faults, and a plain service that counts the runs of each key.
type randomRun struct {
	f    *testCluster
	mu   sync.Mutex // guards the fields below
	runs map[Key]int
	live []*Claimer
	dead map[*Claimer]bool
	runCounts
	violations []string
	sentBy     map[Key][]*Claimer // entries that each caller's own key was sent to
}

func (r *randomRun) runCount(k Key) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[k]
}

func (r *randomRun) entry(rnd *rand.Rand) *Claimer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.live[rnd.IntN(len(r.live))]
}

func (r *randomRun) isDead(c *Claimer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead[c]
}

// caller sends one call up to three times, each time through a random entry;
// the sends may overlap.
func (r *randomRun) caller(n int, rnd *rand.Rand) {
	time.Sleep(time.Duration(rnd.IntN(20_000)) * time.Millisecond)
	k := testKey(fmt.Sprint("key-", n))
	if rnd.IntN(2) == 0 {
		k = testKey(r.entry(rnd).Issue(testWorkspace))
	}
	var sends sync.WaitGroup
	for i := range 1 + rnd.IntN(randomSends) {
		seed := rnd.Uint64()
		sends.Go(func() { r.send(k, i == 0, rand.New(rand.NewPCG(seed, 1))) })
		time.Sleep(time.Duration(rnd.IntN(3_000)) * time.Millisecond)
	}
	sends.Wait()
}

func (r *randomRun) send(k Key, first bool, rnd *rand.Rand) {
	c := r.entry(rnd)
	r.recordSender(k, c)
	before := r.runCount(k)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rnd.IntN(2_000))*time.Millisecond)
	defer cancel()
	g, err := c.Claim(ctx, k, Request{FirstSend: first})
	r.countResult(k, before, g, err)
	if err != nil || !g.Fresh || r.isDead(c) {
		return
	}
	o := r.dispatch(k, rnd)
	if !r.isDead(c) {
		_ = c.Settle(ctx, g, o)
	}
}

func (r *randomRun) recordSender(k Key, c *Claimer) {
	if _, issued := IssuedBy(k.IdempotencyKey); issued {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentBy[k] = append(r.sentBy[k], c)
}

// checkFree verifies that a call that never ran can be sent again, unless an
// entry that it was sent to has died and left its claim.
func (r *randomRun) checkFree(t *testing.T) {
	for _, c := range r.live {
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Minute) // for claims that were forwarded late
	for k, senders := range r.sentBy {
		orphaned := slices.ContainsFunc(senders, func(c *Claimer) bool { return r.dead[c] })
		if r.runs[k] > 0 || orphaned {
			continue
		}
		r.free++
		g, err := r.live[0].Claim(t.Context(), k, Request{})
		if err != nil || !g.Fresh {
			r.violations = append(r.violations, fmt.Sprintf("%v never ran and is not free: %+v, %v", k, g.Prior, err))
		}
	}
}

// lossyNetwork loses and delays forwarded claims.
type lossyNetwork struct {
	mu  sync.Mutex // guards rnd
	rnd *rand.Rand
}

func (w *lossyNetwork) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *lossyNetwork) forward(ctx context.Context, c *Claimer, b Batch) ([]ChangeResult, error) {
	switch w.intN(6) {
	case 0:
		return nil, errors.New("connection reset before it was sent")
	case 1:
		_, _ = c.ServeForward(ctx, b)
		return nil, errors.New("connection reset before the response")
	case 2: // the sender times out; the message arrives late, perhaps after it has expired
		go func() {
			time.Sleep(time.Duration(w.intN(40_000)) * time.Millisecond)
			_, _ = c.ServeForward(context.Background(), b)
		}()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.ServeForward(ctx, b)
}

func (r *randomRun) countResult(k Key, before int, g Grant, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends++
	switch {
	case errors.Is(err, ErrNotRun):
		r.notRun++
		if before > 0 {
			r.violations = append(r.violations, fmt.Sprintf("%v had run %d times and was reported as not run", k, before))
		}
	case err != nil:
		r.unverified++
	case g.Fresh:
		r.granted++
	default:
		r.prior++
	}
}

// dispatch runs the call, refuses it, or runs it without an response.
func (r *randomRun) dispatch(k Key, rnd *rand.Rand) Outcome {
	time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
	if rnd.IntN(4) == 0 {
		return Outcome{Kind: OutcomeNotRun}
	}
	r.mu.Lock()
	r.ran++
	r.runs[k]++
	if r.runs[k] > 1 {
		r.violations = append(r.violations, fmt.Sprintf("%v ran %d times", k, r.runs[k]))
	}
	r.mu.Unlock()
	time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
	if rnd.IntN(4) == 0 {
		return Outcome{Kind: OutcomeUnknown}
	}
	return doneOutcome
}

// injectFaults makes the store fail in various ways and replaces entries.
func (r *randomRun) injectFaults(t *testing.T, d time.Duration, rnd *rand.Rand) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rnd.IntN(2_000)) * time.Millisecond)
		r.mu.Lock()
		r.runCounts.faults++
		r.mu.Unlock()
		switch rnd.IntN(5) {
		case 0:
			r.f.store.SetFaults(standin.Faults{Down: true})
		case 1:
			r.f.store.SetFaults(standin.Faults{LatencyMS: 5, LoseProbability: 0.5})
		case 2:
			r.f.store.SetFaults(standin.Faults{LatencyMS: 1_500})
		case 3:
			r.replaceEntry(t, rnd.IntN(randomEntries))
		default:
			r.f.store.SetFaults(standin.Faults{LatencyMS: 5})
		}
	}
}

// replaceEntry kills an entry and starts a new incarnation. A write that the
// old one had sent may still take effect.
func (r *randomRun) replaceEntry(t *testing.T, i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.live[i]
	r.dead[old] = true
	r.deaths++
	r.f.remove(old.Issuer())
	r.live[i] = r.f.start(t, old.Issuer().Entry, sealOften)
}

// sealOften makes shards seal their claims after every few.
func sealOften(c *Config) { c.SealThreshold = 400 }

func runSeed(t *testing.T, seed uint64) runCounts {
	var total runCounts
	inBubble(t, func(t *testing.T) {
		f := newTestCluster(t, randomEntries, sealOften)
		f.lossyNet = &lossyNetwork{rnd: rand.New(rand.NewPCG(seed, randomCalls+1))}
		r := &randomRun{f: f, runs: map[Key]int{}, dead: map[*Claimer]bool{}, sentBy: map[Key][]*Claimer{}}
		r.live = append(r.live, f.entries...)
		var callers sync.WaitGroup
		for n := range randomCalls {
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			callers.Go(func() { r.caller(n, rnd) })
		}
		r.injectFaults(t, 25*time.Second, rand.New(rand.NewPCG(seed, randomCalls)))
		f.setStoreDown(false)
		callers.Wait()
		r.checkFree(t)
		for _, problem := range r.violations {
			t.Errorf("seed %d: %s", seed, problem)
		}
		total = r.runCounts
	})
	return total
}

// Guards against a call that runs twice and against "not run" reported for a
// call that ran. Calls are sent through three entries, some concurrently, while
// entries die, store responses are lost, and the store is slow or down. Tests the
// code for faults that the models do not cover.
func TestRandomFaultsNeverRunTwice(t *testing.T) {
	var sum runCounts
	for i := range *randomSeeds {
		one := runSeed(t, *randomStart+i)
		sum.sends += one.sends
		sum.granted += one.granted
		sum.prior += one.prior
		sum.notRun += one.notRun
		sum.unverified += one.unverified
		sum.ran += one.ran
		sum.deaths += one.deaths
		sum.faults += one.faults
		sum.free += one.free
	}
	t.Logf("seeds from %d: %+v", *randomStart, sum)
	if sum.ran == 0 || sum.prior == 0 || sum.notRun == 0 || sum.unverified == 0 || sum.free == 0 {
		t.Error("the run did not produce every kind of result")
	}
}
