package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
)

// This example takes candidates from the table and ranks them by the policy.
func Example() {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	rnd := rand.New(rand.NewPCG(1, 1))
	table := backend.NewTable(backend.TableOptions{})
	for name, prefill := range map[string]int64{"briar-1": 90_000, "briar-2": 0} {
		table.Observe(backend.Descriptor{
			Name: name, Pool: "briar-pool", Models: []string{"briar-7b"},
			PrefillRate: 10_000, DecodeRate: 1_000, MemoryTokens: 400_000,
		}, 1, backend.Load{Sequence: 1, PrefillShort: prefill, Capacity: 400_000}, now)
	}

	policy, err := routing.New(routing.PolicyCost, routing.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	query := &routing.Query{
		Pool: "briar-pool", Model: "briar-7b", Now: now,
		PromptTokens: 2_000, MaxTokens: 100, Class: request.ClassOf(2_000),
	}
	rows := routing.Candidates(table, nil, query, rnd, nil)
	for _, choice := range policy.Choose(query, rows, rnd, 2, nil) {
		fmt.Println(choice.Name, choice.FreeTokens)
	}
	// Output:
	// briar-2 400000
	// briar-1 400000
}
