package declared

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/objectapi"
)

func policy(name string, version uint64, data string) objectapi.Object {
	return objectapi.Object{Kind: KindWorkspacePolicy, Name: name, Version: version, Data: json.RawMessage(data)}
}

func listAll(c *Catalog, revision uint64, objects ...objectapi.Object) {
	for _, kind := range Kinds() {
		c.Snapshot(kind, objectapi.Listing{Revision: revision, Objects: ofKind(objects, kind)})
	}
}

// hear tells a catalog of changes as the watches of all kinds would.
func hear(c *Catalog, l objectapi.Listing) {
	for _, kind := range Kinds() {
		c.Events(kind, objectapi.Listing{Revision: l.Revision, Objects: ofKind(l.Objects, kind)})
	}
}

// Symptom: one bad object takes a workspace's limits away.
// Sequence: a good version, then one that breaks two rules.
// Cause: a process that drops what it can't read.
func TestBadVersionLeavesTheLastGoodInForce(t *testing.T) {
	c := NewCatalog(Config{})
	c.Apply(policy("w", 1, `{"weight":2}`))
	r := c.Apply(policy("w", 2, `{"weight":0,"concurency":5}`))
	want := []Refusal{{
		Kind: KindWorkspacePolicy, Name: "w", Version: 2, InForce: 1,
		Faults: config.FieldErrors{{Path: "concurency", Message: "unknown key"}, {Path: "weight", Message: "must be more than 0"}},
	}}
	if d := cmp.Diff(want, r.Refused); d != "" {
		t.Fatal(d)
	}
	if d := cmp.Diff(want, c.State().Refusals()); d != "" {
		t.Fatal(d)
	}
	if p, v := c.State().WorkspacePolicy("w"); v != 1 || p.Weight != 2 {
		t.Fatalf("version %d in force: %+v", v, p)
	}
	c.Apply(policy("w", 3, `{}`))
	if p, v := c.State().WorkspacePolicy("w"); v != 3 || p.Weight != DefaultWeight || c.State().Refusals() != nil {
		t.Fatalf("version %d in force: %+v", v, p)
	}
}

// Symptom: a set of servers that moved to another pool is still routed to by
// the old one.
// Sequence: an agent's scope is pool a; the set moves from a to b.
// Cause: a puller that is told only of what is in its scope never hears of
// what left it.
func TestSetThatLeavesTheScope(t *testing.T) {
	set := func(version uint64, pool string) objectapi.Object {
		return objectapi.Object{Kind: KindBackendServerSet, Name: "s", Version: version,
			Data: json.RawMessage(fmt.Sprintf(setFormat, pool))}
	}
	entry, agent := NewCatalog(Config{}), NewCatalog(Config{Kinds: agentScope.Kinds})
	listAll(entry, 1, set(1, "a"))
	agent.ApplyBatch("entry", entry.Since(agent.Revision(), agentScope))
	if s, _ := agent.State().BackendServerSet("s"); s == nil {
		t.Fatal("the set is not in force")
	}
	hear(entry, objectapi.Listing{Revision: 2, Objects: []objectapi.Object{set(2, "b")}})
	if v := entry.State().PoolVersion("a"); v != 2 {
		t.Fatalf("version %d concerns the old pool, want 2", v)
	}
	agent.ApplyBatch("entry", entry.Since(agent.Revision(), agentScope))
	if s, v := agent.State().BackendServerSet("s"); s != nil {
		t.Fatalf("version %d is still in force", v)
	}
}

// Symptom: memory grows with every deletion that ever was.
// Sequence: many objects come and go; the store is followed all along.
// Cause: tombstones that are kept for good.
func TestTombstonesAreBounded(t *testing.T) {
	const bound = 8
	c := NewCatalog(Config{MaxTombstones: bound})
	listAll(c, 0)
	late := policy("gone-5", 11, `{}`)
	for i := range uint64(100) {
		o := policy(fmt.Sprint("gone-", i), 2*i+1, `{}`)
		hear(c, objectapi.Listing{Revision: o.Version, Objects: []objectapi.Object{o}})
		o.Version, o.Deleted, o.Data = 2*i+2, true, nil
		hear(c, objectapi.Listing{Revision: o.Version, Objects: []objectapi.Object{o}})
	}
	if n := c.State().tombstones; n == 0 || n > bound {
		t.Fatalf("%d tombstones held, want 1 to %d", n, bound)
	}
	if r := c.Apply(late); r.Applied != 0 {
		t.Fatal("an object whose tombstone was dropped came back")
	}
	if b := c.Since(10, Scope{}); !b.Complete {
		t.Fatal("changes were given to a peer from before the dropped tombstones")
	}
	if b := c.Since(198, Scope{}); b.Complete || len(b.Objects) != 1 {
		t.Fatalf("a peer that lacks one deletion got %+v", b)
	}
}

// Symptom: a deleted object is in force again on one process.
// Sequence: the process holds the tombstone of an object; unheard, the object
// is made anew and deleted again; the process lists; then a peer that lags
// tells of the object that was made in between.
// Cause: that version is newer than the tombstone, and still older than the
// list. Found by TestPeersNeverRevert with 20,000 checks.
func TestVersionBetweenTwoDeletions(t *testing.T) {
	c := NewCatalog(Config{})
	listAll(c, 1, policy("w", 1, `{}`))
	gone := objectapi.Object{Kind: KindWorkspacePolicy, Name: "w", Version: 2, Deleted: true}
	hear(c, objectapi.Listing{Revision: 2, Objects: []objectapi.Object{gone}})
	listAll(c, 10)
	if r := c.Apply(policy("w", 5, `{}`)); r.Stale != 1 {
		t.Fatalf("the old version was taken: %+v", r)
	}
}

// clock is set by hand.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// Symptom: a replaced VM takes requests under a configuration from long ago.
// Sequence: it starts empty while the store is down, and hears a peer that was
// cut off from the store.
// Cause: the peer's word is taken for the store's.
func TestEmptyProcessInAnOutage(t *testing.T) {
	clk := &clock{time.Unix(0, 0)}
	peer := NewCatalog(Config{Now: clk.Now})
	listAll(peer, 5, policy("w", 5, `{}`))
	pull := func(to *Catalog) Freshness {
		to.ApplyBatch("peer", peer.Since(to.Revision(), Scope{}))
		return to.Freshness()
	}

	early := NewCatalog(Config{Now: clk.Now})
	if f := pull(early); f != (Freshness{Ready: true, ReadyBy: ReadyByPeer, Revision: 5}) {
		t.Fatalf("by a confirmed peer: %+v", f)
	}
	if b := early.Since(0, Scope{}); b.StoreConfirmed {
		t.Fatal("a confirmation was passed on")
	}

	clk.now = clk.now.Add(DefaultMaxConfirmationAge + time.Nanosecond)
	late := NewCatalog(Config{Now: clk.Now})
	if f := pull(late); f != (Freshness{Revision: 5}) {
		t.Fatalf("by a peer that lost the store: %+v", f)
	}
	if f := peer.Freshness(); !f.Ready || f.Confirmed {
		t.Fatalf("the peer itself: %+v", f)
	}
	listAll(late, 6)
	if f := late.Freshness(); f != (Freshness{Ready: true, ReadyBy: ReadyByStore, Confirmed: true, Revision: 6}) {
		t.Fatalf("by the store: %+v", f)
	}
}

func TestUnconfirmedPeersWhereAllowed(t *testing.T) {
	clk := &clock{time.Unix(0, 0)}
	giver := NewCatalog(Config{Now: clk.Now})
	listAll(giver, 5, policy("w", 5, `{}`))
	clk.now = clk.now.Add(time.Hour)
	b := giver.Since(0, Scope{})
	c := NewCatalog(Config{Now: clk.Now, UnconfirmedPeers: 2, UnconfirmedAfter: time.Minute})
	c.ApplyBatch("one", b)
	c.ApplyBatch("one", b)
	clk.now = clk.now.Add(time.Hour)
	if c.Freshness().Ready {
		t.Fatal("ready by one peer that spoke twice")
	}
	c.ApplyBatch("two", b)
	if f := c.Freshness(); f.ReadyBy != ReadyByUnconfirmedPeers || f.Confirmed {
		t.Fatalf("by two peers: %+v", f)
	}
}

// Symptom: a peer that knows nothing yet empties others.
// Sequence: an empty process is asked for its state.
// Cause: an empty answer that is taken for the complete state.
func TestEmptyPeerSaysNothing(t *testing.T) {
	full, empty := NewCatalog(Config{}), NewCatalog(Config{})
	listAll(full, 5, policy("w", 5, `{}`))
	full.ApplyBatch("empty", empty.Since(0, Scope{}))
	if p, _ := full.State().WorkspacePolicy("w"); p == nil {
		t.Fatal("the policy is gone")
	}
	if r := NewCatalog(Config{}).ApplyBatch("empty", empty.Since(0, Scope{})); !r.Gap {
		t.Fatal("an empty answer made a state complete")
	}
}

func TestChangedIsTold(t *testing.T) {
	c := NewCatalog(Config{})
	before := c.State()
	c.Apply(policy("w", 1, `{}`))
	select {
	case <-before.Changed():
	default:
		t.Fatal("no notice of a change")
	}
	before = c.State()
	c.Apply(policy("w", 1, `{}`))
	if c.State() != before {
		t.Fatal("a doubled delivery made a new state")
	}
}
