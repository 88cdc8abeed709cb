package node

import (
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/entry"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/workspace"
)

// catalogView answers the entry's questions from the declared state in force.
type catalogView struct {
	catalog  *declared.Catalog
	table    *backend.Table
	policies map[string]routing.Policy // by name
}

// Pool implements entry.Catalog.
func (v catalogView) Pool(model string) (entry.Pool, bool) {
	state := v.catalog.State()
	if p, _ := state.ModelPool(model); p != nil {
		return v.pool(model, p), true
	}
	for name, p := range state.ModelPools() {
		found := v.pool(name, p)
		_, adapter := found.Adapters[model]
		if adapter || slices.Contains(found.Models, model) {
			return found, true
		}
	}
	return entry.Pool{}, false
}

// Pools implements entry.Catalog.
func (v catalogView) Pools() []entry.Pool {
	var out []entry.Pool
	for name, p := range v.catalog.State().ModelPools() {
		out = append(out, v.pool(name, p))
	}
	return out
}

func (v catalogView) pool(name string, p *declared.ModelPool) entry.Pool {
	out := entryPool(name, p)
	out.Policy = v.policies[p.RoutingPolicy]
	return out
}

// namedPolicies returns the policies that a ModelPool may name.
func namedPolicies(options routing.Options) (map[string]routing.Policy, error) {
	out := map[string]routing.Policy{}
	for _, name := range []string{routing.PolicyCost, routing.PolicyRoundRobin, routing.PolicyLeastLoad} {
		policy, err := routing.New(name, options)
		if err != nil {
			return nil, err
		}
		out[name] = policy
	}
	return out, nil
}

// shortShare is the part of a pool that is left to shorter prompts: half of
// what the declared share of long ones leaves, as routing.Query takes it.
func shortShare(longShare float64) float64 {
	if longShare >= 1 {
		return -1
	}
	return (1 - longShare) / 2
}

func entryPool(name string, p *declared.ModelPool) entry.Pool {
	out := entry.Pool{
		Name:               name,
		EngineMemoryTokens: p.Engine.MemoryTokens,
		Adapters:           map[string]string{},
		ShortShare:         shortShare(p.LongPrefillShare),
	}
	for _, m := range p.Models {
		out.Models = append(out.Models, m.Name)
		for _, a := range m.Adapters {
			out.Adapters[a.Name] = m.Name
		}
	}
	return out
}

// Workspace implements entry.Catalog.
func (v catalogView) Workspace(name string) (entry.Workspace, bool) {
	p, _ := v.catalog.State().WorkspacePolicy(name)
	if p == nil {
		return entry.Workspace{}, false
	}
	out := entry.Workspace{
		DefaultTimeout: p.DefaultTimeout.D(),
		MaxTimeout:     p.MaxTimeout.D(),
	}
	for _, c := range p.Classes {
		out.Classes = append(out.Classes, entry.ServiceClass{Name: c.Name, Priority: c.Priority, Timeout: c.Timeout.D()})
	}
	return out, true
}

// Service implements entry.Catalog.
func (v catalogView) Service(name string) bool {
	for _, s := range v.catalog.State().BackendServerSets() {
		if s.PlainService && s.Pool == name {
			return true
		}
	}
	return false
}

// Confirmed implements entry.Catalog.
func (v catalogView) Confirmed() bool { return v.catalog.Freshness().Confirmed }

// applyPolicies brings the scheduler to the declared workspaces. known holds
// the names that were set before and is updated.
func applyPolicies(state *declared.State, scheduler *workspace.Scheduler, known map[string]bool) {
	seen := map[string]bool{}
	for name, p := range state.WorkspacePolicies() {
		seen[name] = true
		scheduler.SetPolicy(name, schedulerPolicy(p))
	}
	for name := range known {
		if !seen[name] {
			scheduler.RemovePolicy(name)
		}
	}
	clear(known)
	for name := range seen {
		known[name] = true
	}
}

func schedulerPolicy(p *declared.WorkspacePolicy) workspace.Policy {
	return workspace.Policy{
		Weight:          p.Weight,
		TokensPerSecond: float64(p.TokensPerSecond),
		BurstTokens:     float64(p.BurstTokens),
		Concurrency:     p.Concurrency,
		RetryRatio:      RetryRatio(p.RetryBudget),
	}
}

// RetryRatio turns a declared retry budget into the scheduler's: there zero
// means the default, but who declares zero wants no retries.
func RetryRatio(budget float64) float64 {
	if budget == 0 {
		return workspace.NoRetries
	}
	return budget
}

// Bounds of a pool's dispatch windows at one entry.
const (
	slotsPerServer = 32
	minSlots       = 8
	// longWindow is the part of the pool that the longest prompts may be sent
	// for, of its KV memory and of its prefill.
	longWindow = 0.75
	// prefillWindow is the prefill, in seconds of all engines, that may be in
	// progress in each class; longPrefillWindow that of the longest prompts, a
	// few of which make up a second.
	prefillWindow     = 1.0
	longPrefillWindow = 4.0
)

// capacityOf returns this entry's dispatch windows for a pool, by length class.
// The agents decide what fits; a window only keeps the queue where order and
// fairness are decided, at the entries, instead of at the engines.
func (n *Entry) capacityOf(pool string) [request.ClassCount]workspace.Capacity {
	live := 0
	var tokens, rate int64
	for _, row := range n.table.Rows(pool, nil) {
		if row.State != backend.StateLive || row.Load.Draining {
			continue
		}
		live++
		tokens += row.Load.Capacity
		rate += row.PrefillRate
	}
	entries := int64(max(n.entries.Load(), 1))
	var out [request.ClassCount]workspace.Capacity
	for class := range out {
		out[class] = workspace.Capacity{
			Slots:         max(minSlots, int(int64(live*slotsPerServer)/entries)),
			Tokens:        tokens / entries,
			PrefillTokens: int64(prefillWindow * float64(rate/entries)),
		}
	}
	long := &out[request.ClassHuge]
	long.Tokens = int64(float64(long.Tokens) * longWindow)
	long.PrefillTokens = int64(longPrefillWindow * longWindow * float64(rate/entries))
	return out
}
