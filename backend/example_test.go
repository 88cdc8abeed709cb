package backend_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/backend"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// An entry records reports, counts its own dispatches, and marks servers that
// stop reporting as suspect.
func ExampleTable() {
	table := backend.NewTable(backend.TableOptions{})
	engine := backend.Descriptor{Name: "briar-1", Pool: "briar-pool", MemoryTokens: 1000}
	table.Observe(engine, 1, backend.Load{Sequence: 1, Used: 300, Capacity: 1000}, noon)

	dispatch := table.BeginDispatch("briar-1", backend.DispatchLoad{Prefill: 150, Tokens: 200}, noon)
	rows := table.Sample("briar-pool", 16, nil, rand.New(rand.NewPCG(1, 1)), nil)
	fmt.Println(rows[0].Name, rows[0].FreeTokens(), "free")

	table.EndDispatch(dispatch)
	table.Sweep(noon.Add(backend.DefaultSuspectAfter + time.Second))
	row, _ := table.Lookup("briar-1")
	fmt.Println(row.State, row.FreeTokens(), "free")
	// Output:
	// briar-1 500 free
	// suspect 700 free
}

// An agent accounts for the memory of its engine: a long request holds tokens
// before its run, and Sweep frees expired holds.
func ExampleLedger() {
	ledger := backend.NewLedger(backend.LedgerConfig{Capacity: 1000})
	entry := backend.Owner{Entry: "entry-1", Incarnation: 1}
	hold := backend.HoldSpec{ID: "h", Owner: entry, Tokens: 600, TTL: 5 * time.Second}
	if _, err := ledger.Hold(noon, hold); err != nil {
		fmt.Println(err)
	}

	err := ledger.Admit(noon, backend.RunSpec{ID: "notice", Owner: entry, Tokens: 500})
	fmt.Println("beside the hold:", err)

	ledger.Sweep(noon.Add(6 * time.Second))
	err = ledger.Admit(noon.Add(6*time.Second), backend.RunSpec{ID: "notice", Owner: entry, Tokens: 500})
	fmt.Println("after it lapsed:", err, ledger.State().Held, "reserved")
	// Output:
	// beside the hold: not enough free KV memory
	// after it lapsed: <nil> 500 reserved
}
