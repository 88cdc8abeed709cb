package claim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

const storeLatencyMS = 5

// testCluster is the entries of one region and their store.
type testCluster struct {
	store   *standin.Memory
	entries []*Claimer

	mu          sync.Mutex      // guards unreachable and claimers
	unreachable map[string]bool // entries that refuse connections
	claimers    map[Issuer]*Claimer

	hanging string // entry that accepts calls and never responds; guarded by mu

	lossyNet *lossyNetwork // nil if forwarded claims are neither lost nor delayed
}

func newTestCluster(t testing.TB, n int, change func(*Config)) *testCluster {
	f := &testCluster{
		store:       standin.NewMemory(standin.Config{Seed: 1}),
		unreachable: map[string]bool{},
		claimers:    map[Issuer]*Claimer{},
	}
	f.store.SetFaults(standin.Faults{LatencyMS: storeLatencyMS})
	for i := range n {
		f.entries = append(f.entries, f.start(t, string(rune('a'+i)), change))
	}
	return f
}

// start starts an incarnation of an entry.
func (f *testCluster) start(t testing.TB, name string, change func(*Config)) *Claimer {
	cfg := Config{Store: f.store, Peers: f, Entry: name}
	if change != nil {
		change(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimers[c.Issuer()] = c
	return c
}

// remove removes an incarnation, as if its process had died.
func (f *testCluster) remove(by Issuer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claimers, by)
}

func (f *testCluster) reachable(by Issuer) (*Claimer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claimers[by]
	if c == nil || f.unreachable[by.Entry] {
		return nil, errors.New("connection refused")
	}
	return c, nil
}

func (f *testCluster) ClaimIssued(_ context.Context, by Issuer, key Key, mark string) (Grant, error) {
	c, err := f.reachable(by)
	if err != nil {
		return Grant{}, err
	}
	return c.ServeClaim(key, mark)
}

func (f *testCluster) SettleIssued(_ context.Context, by Issuer, key Key, mark string, o Outcome) error {
	c, err := f.reachable(by)
	if err != nil {
		return err
	}
	return c.ServeSettle(key, mark, o)
}

// networkDelay is the one-way delay between two entries.
const networkDelay = time.Millisecond

func (f *testCluster) CandidateWriters() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for by := range f.claimers {
		names = append(names, by.Entry)
	}
	return names
}

func (f *testCluster) Forward(ctx context.Context, entry string, b Batch) ([]ChangeResult, error) {
	c, err := f.claimerOf(entry)
	if err != nil {
		return nil, err
	}
	time.Sleep(networkDelay)
	if f.isHanging(entry) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.lossyNet != nil {
		return f.lossyNet.forward(ctx, c, b)
	}
	answers, err := c.ServeForward(ctx, b)
	time.Sleep(networkDelay)
	return answers, err
}

func (f *testCluster) isHanging(entry string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hanging == entry
}

func (f *testCluster) claimerOf(entry string) (*Claimer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for by, c := range f.claimers {
		if by.Entry == entry && !f.unreachable[entry] {
			return c, nil
		}
	}
	return nil, errors.New("connection refused")
}

func (f *testCluster) setStoreDown(down bool) {
	f.store.SetFaults(standin.Faults{Down: down, LatencyMS: storeLatencyMS})
}

// inBubble runs a test in a synctest bubble and then lets the groups finish.
func inBubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute)
	})
}

const testWorkspace = "derwent"

func testKey(text string) Key { return Key{Workspace: testWorkspace, IdempotencyKey: text} }

// mustClaim claims a key and fails the test on an error.
func mustClaim(t *testing.T, c *Claimer, k Key) Grant {
	t.Helper()
	g, err := c.Claim(t.Context(), k, Request{ID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func mustSettle(t *testing.T, c *Claimer, g Grant, o Outcome) {
	t.Helper()
	if err := c.Settle(t.Context(), g, o); err != nil {
		t.Fatal(err)
	}
}

var doneOutcome = Outcome{Kind: OutcomeDone, Record: Record{Status: 200, Response: []byte("confirmed")}}
