package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/entry"
	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/workspace"
)

func fencingSet(checks string) declared.Batch {
	data := `{"pool":"p","checks_fencing":` + checks + `,"zones":["z"],
		"servers":[{"name":"briar-1","zone":"z","address":"10.0.0.1:1"}]}`
	return declared.Batch{Complete: true, Revision: 1, StoreConfirmed: true, Objects: []objectapi.Object{{
		Kind: declared.KindBackendServerSet, Name: "set", Version: 1, Data: json.RawMessage(data),
	}}}
}

// Symptom: a declared set says that its servers check fences; agents refuse
// their orders in an outage all the same, or trust servers of other sets.
// Cause: nobody reads the set.
func TestFencingIsReadFromTheDeclaredSet(t *testing.T) {
	for _, c := range []struct {
		checks, server string
		want           bool
	}{{"true", "briar-1", true}, {"true", "briar-2", false}, {"false", "briar-1", false}} {
		catalog := declared.NewCatalog(declared.Config{})
		catalog.ApplyBatch("entry", fencingSet(c.checks))
		n := &Agent{catalog: catalog}
		n.cfg.Descriptor.Name = c.server
		if got := n.checksFencing(); got != c.want {
			t.Errorf("set says %s, server %s: %t", c.checks, c.server, got)
		}
		n.cfg.ChecksFencing = true
		if !n.checksFencing() {
			t.Error("the settings have no effect")
		}
	}
}

// Symptom: entry.retry_budget is set and retries stay as they were.
// Cause: the scheduler isn't given it.
func TestRetryBudgetOfTheSettingsHolds(t *testing.T) {
	for budget, want := range map[float64]bool{0: false, 0.5: true} {
		n, err := StartEntry(EntryConfig{
			Name: "entry-1", Zone: "z", Region: "r", RetryRatio: RetryRatio(budget),
			HTTPListen: "127.0.0.1:0", RPCListen: "127.0.0.1:0", DatagramListen: "127.0.0.1:0",
			Store: standin.NewMemory(standin.Config{}), Log: quiet.Logger(),
		})
		if err != nil {
			t.Fatal(err)
		}
		if got := n.scheduler.AllowRetry("undeclared"); got != want {
			t.Errorf("budget %g: retried %t", budget, got)
		}
		n.Close()
	}
	if p := schedulerPolicy(&declared.WorkspacePolicy{}); p.RetryRatio != workspace.NoRetries {
		t.Errorf("declared budget 0 gives %g", p.RetryRatio)
	}
}

func poolState(t *testing.T, policy, share string) *declared.Catalog {
	t.Helper()
	data := `{"models":[{"name":"m","version":"1","source":"s"}],"zones":["z"],
		"engine":{"prefill_rate":1,"decode_rate":1,"memory_tokens":1},
		"routing_policy":"` + policy + `","long_prefill_share":` + share + `}`
	catalog := declared.NewCatalog(declared.Config{})
	catalog.ApplyBatch("entry", declared.Batch{Complete: true, Revision: 1, Objects: []objectapi.Object{{
		Kind: declared.KindModelPool, Name: "p", Version: 1, Data: json.RawMessage(data),
	}}})
	return catalog
}

// Symptom: a pool declares a routing policy or a share for long prompts and is
// routed as before.
// Cause: the entry asks its own policy and a constant. Every name that may be
// declared must be one of package routing, and others are refused.
func TestPoolsPolicyAndShareReachTheEntry(t *testing.T) {
	policies, err := namedPolicies(routing.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for name := range policies {
		v := catalogView{catalog: poolState(t, name, "0.75"), policies: policies}
		pool, ok := v.Pool("m")
		if !ok || pool.Policy == nil || pool.Policy.Name() != name {
			t.Errorf("policy %s: %+v", name, pool)
		}
		if want := 0.125; pool.ShortShare != want {
			t.Errorf("short share %g, want %g", pool.ShortShare, want)
		}
	}
	v := catalogView{catalog: poolState(t, "", "1"), policies: policies}
	if pool, ok := v.Pool("p"); !ok || pool.Policy != nil || pool.ShortShare >= 0 {
		t.Errorf("%+v", pool)
	}
	if _, ok := (catalogView{catalog: poolState(t, "roundrobin", "1")}).Pool("p"); ok {
		t.Error("a pool with an unknown policy is in force")
	}
}

func TestWorkspacePolicyReachesTheEntry(t *testing.T) {
	data := `{"default_timeout":"5s","max_timeout":"1m",
		"service_classes":[{"name":"batch","priority":50,"timeout":"30s"}]}`
	catalog := declared.NewCatalog(declared.Config{})
	catalog.ApplyBatch("entry", declared.Batch{Complete: true, Revision: 1, Objects: []objectapi.Object{{
		Kind: declared.KindWorkspacePolicy, Name: "w", Version: 1, Data: json.RawMessage(data),
	}}})
	v := catalogView{catalog: catalog}
	got, ok := v.Workspace("w")
	want := entry.Workspace{
		DefaultTimeout: 5 * time.Second,
		MaxTimeout:     time.Minute,
		Classes:        []entry.ServiceClass{{Name: "batch", Priority: 50, Timeout: 30 * time.Second}},
	}
	if d := cmp.Diff(want, got); d != "" || !ok {
		t.Errorf("known %t\n%s", ok, d)
	}
	if _, ok := v.Workspace("other"); ok {
		t.Error("a workspace that isn't declared is known")
	}
}
