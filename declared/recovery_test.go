package declared

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/objectapi"
)

// recoveringCatalog is a catalog with its clock and the RecoverySink that feeds it.
type recoveringCatalog struct {
	*Catalog
	now time.Time
}

func newRecoveringCatalog() *recoveringCatalog {
	c := &recoveringCatalog{now: time.Unix(1000, 0)}
	c.Catalog = NewCatalog(Config{Kinds: []string{KindWorkspacePolicy}, MaxConfirmationAge: time.Second, Now: func() time.Time { return c.now }})
	return c
}

func (c *recoveringCatalog) list(era, number uint64, recovery objectapi.Recovery, objects ...objectapi.Object) {
	for i := range objects {
		objects[i].Version = objectapi.JoinRevision(era, objects[i].Version)
	}
	c.Snapshot(KindWorkspacePolicy, objectapi.Listing{Revision: objectapi.JoinRevision(era, number), Objects: objects, Recovery: recovery})
}

// want checks the weight of policy "w" (0: none) and whether the store confirms the state.
func (c *recoveringCatalog) want(t *testing.T, what string, weight float64, confirmed bool) {
	t.Helper()
	got := 0.0
	if p, version := c.State().WorkspacePolicy("w"); version > 0 {
		got = float64(p.Weight)
	}
	if got != weight || c.Freshness().Confirmed != confirmed {
		t.Errorf("%s: weight %v, confirmed %v; want %v, %v", what, got, c.Freshness().Confirmed, weight, confirmed)
	}
}

// Guards against a policy that comes back older, or is lost, when the store comes back from an older copy.
func TestOlderCopyDoesNotReplaceDeclaredState(t *testing.T) {
	c := newRecoveringCatalog()
	c.list(1, 48, objectapi.Recovered, newPolicy("w", 48, `{"weight":5}`), newPolicy("v", 47, `{"weight":3}`))
	c.want(t, "before", 5, true)
	c.now = c.now.Add(time.Minute)
	c.list(2, 44, objectapi.Recovering, newPolicy("w", 40, `{"weight":4}`))
	c.want(t, "older copy", 5, false)
	if _, version := c.State().WorkspacePolicy("v"); version == 0 {
		t.Error("a policy that the copy lacks is gone")
	}
	c.Events(KindWorkspacePolicy, objectapi.Listing{
		Revision: objectapi.JoinRevision(2, 46), Recovery: objectapi.Recovering,
		Objects: []objectapi.Object{newPolicy("w", objectapi.JoinRevision(2, 46), `{"weight":6}`)},
	})
	c.want(t, "written since", 6, false)
	c.list(2, 46, objectapi.JustRecovered, newPolicy("w", 46, `{"weight":6}`))
	c.want(t, "recovered", 6, true)
	if _, version := c.State().WorkspacePolicy("v"); version > 0 {
		t.Error("a policy that nobody wrote again stays")
	}
}

// Guards against a process that counts as ready by an older copy, because it starts just after the return.
func TestFirstListOfAnOlderCopyConfirmsNothing(t *testing.T) {
	c := newRecoveringCatalog()
	c.list(2, 44, objectapi.Recovering, newPolicy("w", 40, `{"weight":4}`))
	c.want(t, "first list", 4, false)
	c.list(2, 45, objectapi.JustRecovered, newPolicy("w", 45, `{"weight":5}`))
	c.want(t, "recovered", 5, true)
}
