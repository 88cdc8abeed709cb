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

// fleet is some entries of one region and their store.
type fleet struct {
	store   *standin.Memory
	entries []*Claimer

	mu       sync.Mutex      // guards cut and claimers
	cut      map[string]bool // entries that don't answer
	claimers map[Issuer]*Claimer

	hung string // an entry that gives no answer; guarded by mu

	wire *badWire // nil if forwarded claims are never lost
}

func newFleet(t testing.TB, n int, change func(*Config)) *fleet {
	f := &fleet{
		store:    standin.NewMemory(standin.Config{Seed: 1}),
		cut:      map[string]bool{},
		claimers: map[Issuer]*Claimer{},
	}
	f.store.SetFaults(standin.Faults{LatencyMS: storeLatencyMS})
	for i := range n {
		f.entries = append(f.entries, f.start(t, string(rune('a'+i)), change))
	}
	return f
}

// start brings up an incarnation of an entry.
func (f *fleet) start(t testing.TB, name string, change func(*Config)) *Claimer {
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

// forget lets an incarnation be gone.
func (f *fleet) forget(by Issuer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claimers, by)
}

func (f *fleet) reach(by Issuer) (*Claimer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claimers[by]
	if c == nil || f.cut[by.Entry] {
		return nil, errors.New("connection refused")
	}
	return c, nil
}

func (f *fleet) ClaimIssued(_ context.Context, by Issuer, key Key, mark string) (Grant, error) {
	c, err := f.reach(by)
	if err != nil {
		return Grant{}, err
	}
	return c.ServeClaim(key, mark)
}

func (f *fleet) SettleIssued(_ context.Context, by Issuer, key Key, mark string, o Outcome) error {
	c, err := f.reach(by)
	if err != nil {
		return err
	}
	return c.ServeSettle(key, mark, o)
}

// hop is one way between two entries.
const hop = time.Millisecond

func (f *fleet) CandidateWriters() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for by := range f.claimers {
		names = append(names, by.Entry)
	}
	return names
}

func (f *fleet) Forward(ctx context.Context, entry string, b Batch) ([]ChangeResult, error) {
	c, err := f.named(entry)
	if err != nil {
		return nil, err
	}
	time.Sleep(hop)
	if f.isHung(entry) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.wire != nil {
		return f.wire.forward(ctx, c, b)
	}
	answers, err := c.ServeForward(ctx, b)
	time.Sleep(hop)
	return answers, err
}

func (f *fleet) isHung(entry string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hung == entry
}

func (f *fleet) named(entry string) (*Claimer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for by, c := range f.claimers {
		if by.Entry == entry && !f.cut[entry] {
			return c, nil
		}
	}
	return nil, errors.New("connection refused")
}

func (f *fleet) down(down bool) {
	f.store.SetFaults(standin.Faults{Down: down, LatencyMS: storeLatencyMS})
}

// inBubble runs a test under virtual time and lets the groups end.
func inBubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute)
	})
}

const testWorkspace = "derwent"

func ownKey(text string) Key { return Key{Workspace: testWorkspace, IdempotencyKey: text} }

// claim asserts a grant and returns it.
func claim(t *testing.T, c *Claimer, k Key) Grant {
	t.Helper()
	g, err := c.Claim(t.Context(), k, Request{ID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func settle(t *testing.T, c *Claimer, g Grant, o Outcome) {
	t.Helper()
	if err := c.Settle(t.Context(), g, o); err != nil {
		t.Fatal(err)
	}
}

var done = Outcome{Kind: OutcomeDone, Record: Record{Status: 200, Response: []byte("confirmed")}}
