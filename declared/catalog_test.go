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

func newPolicy(name string, version uint64, data string) objectapi.Object {
	return objectapi.Object{Kind: KindWorkspacePolicy, Name: name, Version: version, Data: json.RawMessage(data)}
}

func applySnapshots(c *Catalog, revision uint64, objects ...objectapi.Object) {
	for _, kind := range Kinds() {
		c.Snapshot(kind, objectapi.Listing{Revision: revision, Objects: filterByKind(objects, kind)})
	}
}

// applyEvents applies changes to a catalog as the watches of all kinds would.
func applyEvents(c *Catalog, l objectapi.Listing) {
	for _, kind := range Kinds() {
		c.Events(kind, objectapi.Listing{Revision: l.Revision, Objects: filterByKind(l.Objects, kind)})
	}
}

// Guards against an invalid object that removes the limits of a workspace. A
// valid version is followed by one that violates two rules; a process that
// drops what it cannot decode would lose the limits.
func TestInvalidVersionKeepsLastValidInForce(t *testing.T) {
	c := NewCatalog(Config{})
	c.Apply(newPolicy("w", 1, `{"weight":2}`))
	r := c.Apply(newPolicy("w", 2, `{"weight":0,"concurency":5}`))
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
	c.Apply(newPolicy("w", 3, `{}`))
	if p, v := c.State().WorkspacePolicy("w"); v != 3 || p.Weight != DefaultWeight || c.State().Refusals() != nil {
		t.Fatalf("version %d in force: %+v", v, p)
	}
}

// Guards against routing to servers whose set moved to another pool. The scope
// of an agent is pool a and the set moves from a to b; a puller that receives
// only objects within its scope would never receive the move.
func TestSetMovedOutOfScopeIsRemoved(t *testing.T) {
	set := func(version uint64, pool string) objectapi.Object {
		return objectapi.Object{Kind: KindBackendServerSet, Name: "s", Version: version,
			Data: json.RawMessage(fmt.Sprintf(setFormat, pool))}
	}
	entry, agent := NewCatalog(Config{}), NewCatalog(Config{Kinds: agentScope.Kinds})
	applySnapshots(entry, 1, set(1, "a"))
	agent.ApplyBatch("entry", entry.Since(agent.Revision(), agentScope))
	if s, _ := agent.State().BackendServerSet("s"); s == nil {
		t.Fatal("the set is not in force")
	}
	applyEvents(entry, objectapi.Listing{Revision: 2, Objects: []objectapi.Object{set(2, "b")}})
	if v := entry.State().PoolVersion("a"); v != 2 {
		t.Fatalf("version %d of the old pool, want 2", v)
	}
	agent.ApplyBatch("entry", entry.Since(agent.Revision(), agentScope))
	if s, v := agent.State().BackendServerSet("s"); s != nil {
		t.Fatalf("version %d is still in force", v)
	}
}

// Guards against memory that grows with every deletion. Many objects are
// created and deleted while the catalog follows the store, so tombstones must
// not be kept indefinitely.
func TestTombstonesAreBounded(t *testing.T) {
	const bound = 8
	c := NewCatalog(Config{MaxTombstones: bound})
	applySnapshots(c, 0)
	late := newPolicy("gone-5", 11, `{}`)
	for i := range uint64(100) {
		o := newPolicy(fmt.Sprint("gone-", i), 2*i+1, `{}`)
		applyEvents(c, objectapi.Listing{Revision: o.Version, Objects: []objectapi.Object{o}})
		o.Version, o.Deleted, o.Data = 2*i+2, true, nil
		applyEvents(c, objectapi.Listing{Revision: o.Version, Objects: []objectapi.Object{o}})
	}
	if n := c.State().tombstones; n == 0 || n > bound {
		t.Fatalf("%d tombstones held, want 1 to %d", n, bound)
	}
	if r := c.Apply(late); r.Applied != 0 {
		t.Fatal("an object whose tombstone was dropped is in force again")
	}
	if b := c.Since(10, Scope{}); !b.Complete {
		t.Fatal("a peer from before the dropped tombstones got changes only")
	}
	if b := c.Since(198, Scope{}); b.Complete || len(b.Objects) != 1 {
		t.Fatalf("a peer that lacks one deletion got %+v", b)
	}
}

// Guards against a deleted object that is in force again on one process. The
// process holds a tombstone of the object and misses that it is recreated and
// deleted again; it lists, and then a lagging peer sends the object from
// between the two deletions. That version is newer than the tombstone and
// older than the list. Found by TestPeersNeverRevert with 20,000 checks.
func TestVersionBetweenDeletionsIsStale(t *testing.T) {
	c := NewCatalog(Config{})
	applySnapshots(c, 1, newPolicy("w", 1, `{}`))
	gone := objectapi.Object{Kind: KindWorkspacePolicy, Name: "w", Version: 2, Deleted: true}
	applyEvents(c, objectapi.Listing{Revision: 2, Objects: []objectapi.Object{gone}})
	applySnapshots(c, 10)
	if r := c.Apply(newPolicy("w", 5, `{}`)); r.Stale != 1 {
		t.Fatalf("the old version was applied: %+v", r)
	}
}

// manualClock is a clock that tests set.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// Guards against a replaced VM that accepts requests with an outdated
// configuration. It starts empty while the store is down and pulls from a peer
// that has lost the store; the peer's state must not count as confirmed by the
// store.
func TestEmptyProcessDuringOutage(t *testing.T) {
	clk := &manualClock{time.Unix(0, 0)}
	peer := NewCatalog(Config{Now: clk.Now})
	applySnapshots(peer, 5, newPolicy("w", 5, `{}`))
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
	applySnapshots(late, 6)
	if f := late.Freshness(); f != (Freshness{Ready: true, ReadyBy: ReadyByStore, Confirmed: true, Revision: 6}) {
		t.Fatalf("by the store: %+v", f)
	}
}

func TestReadyByUnconfirmedPeersIfConfigured(t *testing.T) {
	clk := &manualClock{time.Unix(0, 0)}
	giver := NewCatalog(Config{Now: clk.Now})
	applySnapshots(giver, 5, newPolicy("w", 5, `{}`))
	clk.now = clk.now.Add(time.Hour)
	b := giver.Since(0, Scope{})
	c := NewCatalog(Config{Now: clk.Now, UnconfirmedPeers: 2, UnconfirmedAfter: time.Minute})
	c.ApplyBatch("one", b)
	c.ApplyBatch("one", b)
	clk.now = clk.now.Add(time.Hour)
	if c.Freshness().Ready {
		t.Fatal("ready by two batches of one peer")
	}
	c.ApplyBatch("two", b)
	if f := c.Freshness(); f.ReadyBy != ReadyByUnconfirmedPeers || f.Confirmed {
		t.Fatalf("by two peers: %+v", f)
	}
}

// Guards against a peer without state that empties others. The batch of an
// empty process must not count as the complete state.
func TestBatchOfEmptyPeerIsIgnored(t *testing.T) {
	full, empty := NewCatalog(Config{}), NewCatalog(Config{})
	applySnapshots(full, 5, newPolicy("w", 5, `{}`))
	full.ApplyBatch("empty", empty.Since(0, Scope{}))
	if p, _ := full.State().WorkspacePolicy("w"); p == nil {
		t.Fatal("the policy was removed")
	}
	if r := NewCatalog(Config{}).ApplyBatch("empty", empty.Since(0, Scope{})); !r.Gap {
		t.Fatal("a batch of an empty peer made a state complete")
	}
}

func TestChangedIsClosedOnChange(t *testing.T) {
	c := NewCatalog(Config{})
	before := c.State()
	c.Apply(newPolicy("w", 1, `{}`))
	select {
	case <-before.Changed():
	default:
		t.Fatal("Changed was not closed")
	}
	before = c.State()
	c.Apply(newPolicy("w", 1, `{}`))
	if c.State() != before {
		t.Fatal("a duplicate delivery created a new state")
	}
}
